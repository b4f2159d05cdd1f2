package main

import (
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
	// Headers of a stream that a client takes up again.
	headerLastEvent, headerResumes = "Last-Event-Id", "Resumes"
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
	r.enter("ready")
	return r, nil
}

// enter writes the runner's entry with a state.
func (r *runner) enter(state string) {
	r.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": state, "coldLeftMs": 0, "seqNo": 1,
	})
}

// end ends the runner, with what it is at work on, and removes its entry.
func (r *runner) end() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.record.add(r.id, "ends")
	_ = r.server.Close()
	r.store.put("servers", r.id, nil)
}

// ServeHTTP answers health checks and runs requests.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set(headerInstance, r.id)
	if req.URL.Path == "/healthz" {
		return
	}
	attempt := req.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	if expected := req.Header.Get(headerExpect); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{attempt, time.Now()})
	r.mu.Unlock()
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
