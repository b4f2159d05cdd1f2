package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is one server of a service. It speaks HTTP/1.1 over sockets of its own, so that a case can have it send what a sound
// server does not.
type target struct {
	id, service, zone, address string
	slots, queue               int

	world    *world
	listener net.Listener
	slot     chan struct{}
	waiting  atomic.Int64
	seq      int
	stop     chan struct{}
	// listed is the address in the target's entry, where callers reach it: its own, or that of a proxy before it.
	listed string
	model  modelTimes
	// quiet is shut while the target falls silent.
	quiet *valve
	// surplus returns after which time the answer to a call is sent once more; 0 for not at all.
	surplus func() time.Duration
}

// modelTimes are those of a model's streams.
type modelTimes struct {
	first, pause time.Duration
	events       int
	// staged is set if requests need the results of stages.
	staged bool
}

// summaryTimes are those of the streams with stages.
var summaryTimes = modelTimes{first: 60 * time.Millisecond, pause: 20 * time.Millisecond, events: 8, staged: true}

// world holds what all targets know together: the results of stages, and what was run.
type world struct {
	store  *store
	record *record
	mu     sync.Mutex
	// results holds the results of stages that were neither freed nor have expired, by their handles.
	results map[string]*result
	nextID  int
	// foreign counts the requests and pieces that got inputs of another request.
	foreign atomic.Int64
	calls   atomic.Int64
	runs    runBook
}

// result is the result of one piece, with the request and the key that it was made for.
type result struct {
	request, key string
	stage, piece int
	expires      time.Time
}

func newWorld(s *store, r *record) *world {
	return &world{store: s, record: r, results: map[string]*result{}, runs: runBook{record: r}}
}

// beat is how often a target writes to the store.
const beat = 1200 * time.Millisecond

// newTarget starts a target that is not listed yet.
func (w *world) newTarget(service, zone string, slots, queue int) (*target, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%04d%s", w.nextID, service)
	w.mu.Unlock()
	t := &target{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, queue: queue,
		listed: listener.Addr().String(), model: summaryTimes, quiet: newValve(), world: w, listener: listener, slot: make(chan struct{}, slots), stop: make(chan struct{}), surplus: func() time.Duration { return 0 },
	}
	go t.accept()
	return t, nil
}

// list lists a target in the store until it closes.
func (t *target) list() {
	t.write()
	go func() {
		ticker := time.NewTicker(beat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				t.write()
			case <-t.stop:
				return
			}
		}
	}()
}

// write writes the target's entry.
func (t *target) write() {
	t.seq++
	t.world.store.putJSON("servers", t.id, map[string]any{
		"service": t.service, "address": t.listed, "zone": t.zone, "version": "v1", "slots": t.slots, "state": "ready", "coldLeftMs": 0, "seqNo": t.seq,
	})
}

func (t *target) close() {
	close(t.stop)
	_ = t.listener.Close()
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

// answer is what a target answers.
type answer struct {
	status int
	header [][2]string
	body   []byte
}

// bytes returns the answer as it is sent. Every answer carries back the id of its request, if that has one.
func (a *answer) bytes(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerID, id)
	}
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	b.Write(a.body)
	return b.Bytes()
}

// Headers of the platform.
const (
	headerID      = "Emberlead-Attempt-Id"
	headerStamp   = "Emberlead-Server-Stamp"
	headerNotRun  = "Emberlead-Not-Executed"
	headerExpect  = "Emberlead-Expect-Instance"
	headerInputs  = "Emberlead-Inputs"
	headerTenant  = "Emberlead-Tenant"
	headerPieces  = "Emberlead-Pieces"
	headerKey     = "Emberlead-Piece-Key"
	headerLoad    = "Emberlead-Server-Load"
	headerAtMost  = "Emberlead-Deadline-Ms"
	headerModel   = "Emberlead-Model"
	headerTokens  = "Emberlead-Token-Count"
	headerPrompts = "Emberlead-Prompt-Prefix"
)

func notRun(status int) *answer {
	return &answer{status: status, header: [][2]string{{headerNotRun, "1"}}}
}

// serve serves one connection, a single request at a time.
func (t *target) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		next := make(chan error, 1)
		go func() {
			// Until the next request begins, the end of the connection ends this one.
			_, err := in.Peek(1)
			if err != nil {
				cancel()
			}
			next <- err
		}()
		ok := t.handle(ctx, conn, &writing, request, body)
		err = <-next
		cancel()
		if err != nil || !ok {
			return
		}
	}
}

// handle answers one request, and reports whether the connection stays open.
func (t *target) handle(ctx context.Context, conn net.Conn, writing *sync.Mutex, request *http.Request, body []byte) bool {
	id := request.Header.Get(headerID)
	send := func(a *answer) bool {
		writing.Lock()
		defer writing.Unlock()
		a.header = append(a.header, [2]string{headerLoad, fmt.Sprintf("%d,%d,%d", len(t.slot), t.waiting.Load(), t.slots)})
		_, err := conn.Write(a.bytes(id))
		return err == nil
	}
	if expected := request.Header.Get(headerExpect); expected != "" && expected != t.id {
		return send(&answer{status: http.StatusMisdirectedRequest, header: [][2]string{{"Emberlead-Instance-Id", t.id}}})
	}
	if wait, err := strconv.Atoi(request.Header.Get(headerAtMost)); err == nil {
		// A target stops working at the time that it is handed.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
		defer cancel()
	}
	switch {
	case request.URL.Path == "/healthz":
		return send(&answer{status: http.StatusOK, header: [][2]string{{"Emberlead-Instance-Id", t.id}}})
	case request.URL.Path == "/-/report":
		return send(&answer{status: http.StatusOK, header: [][2]string{{"Content-Type", "application/json"}}, body: t.report()})
	case request.URL.Path == "/-/stage-free":
		t.free(body)
		return send(&answer{status: http.StatusOK})
	case request.URL.Path == "/-/stage-run":
		a := t.runCall(ctx, body)
		if a == nil {
			return false
		}
		if !send(a) {
			return false
		}
		if wait := t.surplus(); wait > 0 && a.status == http.StatusOK {
			again := a.bytes(id)
			time.AfterFunc(wait, func() {
				writing.Lock()
				defer writing.Unlock()
				t.world.record.add("surplus answer of %s, %s after the first, to call %s", t.id, wait, short(body))
				_, _ = conn.Write(again)
			})
		}
		return true
	default:
		return t.runModel(ctx, conn, writing, request, send)
	}
}

// report tells the state of the target.
func (t *target) report() []byte {
	data, _ := json.Marshal(map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busySlots": false, "seqNo": 0,
		"queuedCount": t.waiting.Load(), "activeCount": len(t.slot), "kvUsed": 0, "kvTotal": 286093, "handles": 0, "freeMb": 18,
	})
	return data
}

// take waits for a slot, or reports that the target is full or the connection closed.
func (t *target) take(ctx context.Context) (full, closed bool) {
	select {
	case t.slot <- struct{}{}:
		return false, false
	default:
	}
	if t.waiting.Add(1) > int64(t.queue) {
		t.waiting.Add(-1)
		return true, false
	}
	defer t.waiting.Add(-1)
	select {
	case t.slot <- struct{}{}:
		return false, false
	case <-ctx.Done():
		return false, true
	}
}

type callItem struct {
	ID         string `json:"id"`
	Stage      int    `json:"stage"`
	Piece      int    `json:"piece"`
	PrivateKey string `json:"privateKey"`
	// RemainingMs is how long the result is of use; 0 for any time.
	RemainingMs int64    `json:"remainingMs"`
	Inputs      []string `json:"inputs"`
}

// Times of a call for pieces, as the small deployment's pages give them.
const (
	callTime     = 200 * time.Millisecond
	pieceTime    = 21 * time.Millisecond
	resultLife   = 4 * time.Second
	maxCallItems = 8
)

// runCall makes the pieces of a call; it returns nil if the connection closed before that.
func (t *target) runCall(ctx context.Context, body []byte) *answer {
	var call struct {
		Items []callItem `json:"items"`
	}
	if json.Unmarshal(body, &call) != nil || len(call.Items) > maxCallItems {
		return &answer{status: http.StatusBadRequest}
	}
	arrivedAt := time.Now()
	full, closed := t.take(ctx)
	switch {
	case full:
		return notRun(http.StatusServiceUnavailable)
	case closed:
		return nil
	}
	defer func() { <-t.slot }()
	turnAt := time.Now()
	t.world.calls.Add(1)
	t.world.record.add("call at %s: %s", t.id, short(body))
	time.Sleep(callTime + time.Duration(len(call.Items))*pieceTime)
	var items []map[string]string
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	for _, item := range call.Items {
		if item.RemainingMs > 0 && turnAt.Sub(arrivedAt) > time.Duration(item.RemainingMs)*time.Millisecond {
			items = append(items, map[string]string{"reason": "late"})
			continue
		}
		t.world.nextID++
		handle := fmt.Sprintf("%s/%08x", t.address, t.world.nextID)
		t.world.results[handle] = &result{request: item.ID, key: item.PrivateKey, stage: item.Stage, piece: item.Piece, expires: time.Now().Add(resultLife)}
		items = append(items, map[string]string{"handle": handle})
	}
	data, _ := json.Marshal(map[string]any{"items": items})
	return &answer{status: http.StatusOK, header: [][2]string{{"Content-Type", "application/json"}}, body: data}
}

// short names the pieces of a call.
func short(body []byte) string {
	var call struct {
		Items []callItem `json:"items"`
	}
	_ = json.Unmarshal(body, &call)
	var names []string
	for _, item := range call.Items {
		names = append(names, fmt.Sprintf("%s.%d.%d", item.ID, item.Stage, item.Piece))
	}
	return strings.Join(names, " ")
}

func (t *target) free(body []byte) {
	var call struct {
		Handles []string `json:"handles"`
	}
	_ = json.Unmarshal(body, &call)
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	for _, handle := range call.Handles {
		delete(t.world.results, handle)
	}
}

// fetchTime is how long a model takes to fetch the results of stages.
const fetchTime = 5 * time.Millisecond

// fetch returns the results that a request names, or false if one is gone.
func (w *world) fetch(handles []string) ([]*result, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*result
	for _, handle := range handles {
		r := w.results[handle]
		if r == nil || time.Now().After(r.expires) {
			return nil, false
		}
		found = append(found, r)
	}
	return found, true
}

// runModel reads the inputs of a request and answers with a stream made from them.
func (t *target) runModel(ctx context.Context, conn net.Conn, writing *sync.Mutex, request *http.Request, send func(*answer) bool) bool {
	id := request.Header.Get(headerID)
	if id == "" || t.model.staged && request.Header.Get(headerInputs) == "" {
		return send(notRun(http.StatusBadRequest))
	}
	full, closed := t.take(ctx)
	switch {
	case full:
		return send(notRun(http.StatusServiceUnavailable))
	case closed:
		return false
	}
	defer func() { <-t.slot }()
	if !t.model.staged {
		return t.stream(ctx, conn, writing, request, "text")
	}
	time.Sleep(fetchTime)
	inputs, found := t.world.fetch(strings.Split(request.Header.Get(headerInputs), ","))
	if !found {
		t.world.record.add("request %s at %s: an input is gone", id, t.id)
		return send(notRun(http.StatusConflict))
	}
	var keys []string
	for _, r := range inputs {
		if r.request != id {
			t.world.foreign.Add(1)
			t.world.record.add("FOREIGN input at %s: request %s of %s gets piece %d of stage %d of request %s", t.id, id, request.Header.Get(headerTenant), r.piece, r.stage, r.request)
		}
		keys = append(keys, r.key)
	}
	t.world.record.add("request %s runs at %s", id, t.id)
	return t.stream(ctx, conn, writing, request, strings.Join(keys, ","))
}

// stream sends the events after the one that the request names, with a text.
func (t *target) stream(ctx context.Context, conn net.Conn, writing *sync.Mutex, request *http.Request, text string) bool {
	writing.Lock()
	defer writing.Unlock()
	id := request.Header.Get(headerID)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	run := t.world.runs.begin(id, t.id, after)
	defer run.end()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nEmberlead-Weight-Versions: 1\r\n%s: %d,%d,%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, id, headerStamp, t.id, id, headerLoad, len(t.slot), t.waiting.Load(), t.slots)
	if pause(ctx, t.model.first) != nil {
		return false
	}
	run.started()
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := after + 1; n <= t.model.events; n++ {
		if t.quiet.waitOr(ctx) != nil {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
		if _, err := fmt.Fprintf(conn, "%s\r\n%s\r\n", strconv.FormatInt(int64(len(event)), 16), event); err != nil {
			return false
		}
		if pause(ctx, t.model.pause) != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// pause waits, unless the connection closes.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
