package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers that runners read and set.
const (
	headerAttempt  = "Emberlead-Attempt-Id"
	headerExpect   = "Emberlead-Expect-Instance"
	headerInstance = "Emberlead-Instance-Id"
	headerStamp    = "Emberlead-Server-Stamp"
	headerDeadline = "Emberlead-Deadline-Ms"
	headerNotRun   = "Emberlead-Not-Executed"
	// Headers of a stream that a client takes up again.
	headerLastEvent, headerResumes = "Last-Event-Id", "Resumes"
)

const (
	// runnerSlots is how many requests a runner works on at once. It rejects more.
	runnerSlots = 64
	// beat is how often a runner writes to its entry, as in the settings of the daemons.
	beat = 1200 * time.Millisecond
	// endTimeout is how long a runner that ends goes on with what it is at work on.
	endTimeout = time.Second
	// The states of a runner in its entry.
	stateReady, stateDraining = "ready", "draining"
)

// runner stands in for a runner of a plain service. It works on each request for a time, and drops one whose connection closes.
type runner struct {
	record      *record
	id, service string
	address     string
	work        time.Duration
	zone        string
	server      *http.Server
	store       *store

	// events is the number of events of its answers, which are streams then, and 0 for plain answers.
	events int

	mu       sync.Mutex
	arrivals []arrival
	busy     int
	state    string
	beats    int
	ended    bool
}

// arrival is a request that a runner got.
type arrival struct {
	id string
	at time.Time
}

// startRunner starts a runner and has it enter itself in the store.
func (s *stage) startRunner(id, service, zone string, work time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{record: s.record, id: id, service: service, address: listener.Addr().String(), zone: zone, work: work, store: s.store}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.enter(stateReady)
	go r.renew()
	return r, nil
}

// enter writes the runner's entry with a state.
func (r *runner) enter(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.write()
}

// write writes the runner's entry, unless it has ended. The lock must be held.
func (r *runner) write() {
	if r.ended {
		return
	}
	r.beats++
	r.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": runnerSlots, "state": r.state, "coldLeftMs": 0, "seqNo": r.beats,
	})
}

// renew writes the runner's entry again and again, until it ends.
func (r *runner) renew() {
	for {
		time.Sleep(beat)
		r.mu.Lock()
		r.write()
		ended := r.ended
		r.mu.Unlock()
		if ended {
			return
		}
	}
}

// end ends the runner once it has answered what it is at work on, and removes its entry.
func (r *runner) end() {
	r.record.add(r.id, "ends")
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	_ = r.server.Shutdown(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.store.put("servers", r.id, nil)
}

// admit takes a slot for a request, if there is one, and reports whether the runner is leaving.
func (r *runner) admit(attempt string) (admitted, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy >= runnerSlots {
		return false, r.state != stateReady
	}
	r.busy++
	if attempt != "" {
		r.arrivals = append(r.arrivals, arrival{attempt, time.Now()})
	}
	return true, r.state != stateReady
}

func (r *runner) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

// ServeHTTP answers health checks and runs requests.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/healthz" {
		r.serveHealth(w)
		return
	}
	attempt := req.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	if expected := req.Header.Get(headerExpect); expected != "" && expected != r.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	admitted, leaving := r.admit(attempt)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if !admitted {
		r.record.add(r.id, "is full and rejects %s", attempt)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.release()
	r.record.add(r.id, "runs %s, deadline in %s ms", attempt, req.Header.Get(headerDeadline))
	if r.events > 0 {
		r.stream(w, req)
		return
	}
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		r.record.add(r.id, "drops %s, as its connection was closed", attempt)
		return
	}
	body := strings.Repeat("x", 800)
	w.Header().Set(headerStamp, "stamp."+r.id+"."+attempt)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
	r.record.add(r.id, "has answered %s", attempt)
}

// serveHealth answers a health check, which takes a slot as a request does.
func (r *runner) serveHealth(w http.ResponseWriter) {
	w.Header().Set(headerInstance, r.id)
	admitted, leaving := r.admit("")
	if admitted {
		defer r.release()
	}
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if !admitted || leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stream sends the events after the last one that the client has, with a pause before each.
func (r *runner) stream(w http.ResponseWriter, req *http.Request) {
	attempt, flusher := req.Header.Get(headerAttempt), http.NewResponseController(w)
	w.Header().Set(headerStamp, "stamp."+r.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get(headerLastEvent))
	for i := last + 1; i <= r.events; i++ {
		select {
		case <-time.After(r.work):
		case <-req.Context().Done():
			r.record.add(r.id, "drops %s before event %d, as its connection was closed", attempt, i)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.id)
		if flusher.Flush() != nil {
			return
		}
	}
	r.record.add(r.id, "has answered %s", attempt)
}
