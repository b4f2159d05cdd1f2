package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// raceTypicalLatency is the usual response time, raceLate that of a late response, and raceLeft the timeout of a
	// request.
	raceTypicalLatency = 500 * time.Microsecond
	raceLate           = 400 * time.Millisecond
	raceLeft           = 5 * time.Second
	raceRoute          = "route"
	// overlap is a moment in which a target breaks off or answers, after another one has.
	overlap = minStartTimeout
)

// raceBudget allows every retry.
var raceBudget = RetryBudgetConfig{Ratio: 1, Slack: 100, Window: 10 * time.Second}

// racer is the scripted behavior of a target.
type racer func(ctx context.Context) (*TargetResponse, error)

// raceSender answers with the scripts of the targets and counts canceled attempts.
type raceSender struct {
	mu       sync.Mutex
	racers   map[netip.AddrPort]racer
	asked    map[netip.AddrPort]int
	canceled map[netip.AddrPort]int
	// connect returns how long it takes to connect to a target; nil if it takes no time.
	connect func() time.Duration
	// closeTime is how long it takes to close the connection of a canceled attempt.
	closeTime time.Duration
}

func (s *raceSender) Send(ctx context.Context, to netip.AddrPort, out *TargetRequest) (*TargetResponse, error) {
	s.mu.Lock()
	s.asked[to]++
	r := s.racers[to]
	s.mu.Unlock()
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.canceled[to]++
	})
	if s.connect != nil {
		select {
		case <-time.After(s.connect()):
		case <-ctx.Done():
			return nil, &SendError{Err: ctx.Err()}
		}
	}
	if out.Observer == nil {
		return r(context.WithValue(ctx, afterKey{}, out.Header.Get(afterHeader)))
	}
	if err := out.Observer.BeforeWrite(""); err != nil {
		return nil, &SendError{Err: err}
	}
	closed := make(chan struct{})
	keepConnection := context.AfterFunc(ctx, func() {
		time.Sleep(s.closeTime)
		out.Observer.Aborted()
		close(closed)
	})
	response, err := r(context.WithValue(ctx, afterKey{}, out.Header.Get(afterHeader)))
	if err != nil {
		return nil, err
	}
	if body, ok := response.Body.(*pausedBody); ok {
		body.complete, body.closed = keepConnection, closed
	}
	return response, nil
}

// afterKey is the context key under which racers find the ID of the last event that the caller has.
type afterKey struct{}

// requestAfter returns the ID of the last event that the caller has.
func requestAfter(ctx context.Context) int {
	after, _ := strconv.Atoi(fmt.Sprint(ctx.Value(afterKey{})))
	return after
}

func (s *raceSender) askedOf(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[raceAddress(i)]
}

func (s *raceSender) canceledAt(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled[raceAddress(i)]
}

// raceDialect treats every response as that of the request, unless its header says that the request was not run.
type raceDialect struct{ stubDialect }

const (
	notRunHeader = "Not-Run"
	afterHeader  = "After"
)

func (raceDialect) Header(_ *Request, fwd *ForwardInfo) http.Header {
	return http.Header{afterHeader: {strconv.Itoa(fwd.After)}}
}

func (raceDialect) ParseResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{RequestID: "r", Stamped: true, NotRun: h.Get(notRunHeader) != ""}
}

// pausedBody is a response body that returns each part after a pause.
type pausedBody struct {
	ctx   context.Context
	parts []part
	ends  error
	// complete is called when the body has ended, and closed is closed with the connection, unless they are nil.
	complete func() bool
	closed   chan struct{}
}

type part struct {
	after time.Duration
	text  string
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		if b.complete != nil && errors.Is(b.ends, io.EOF) && b.complete() {
			b.closed = nil
		}
		return 0, b.ends
	}
	select {
	case <-time.After(b.parts[0].after):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, b.parts[0].text)
	b.parts = b.parts[1:]
	return n, nil
}

func (b *pausedBody) Close() error {
	if b.closed != nil && b.ctx.Err() != nil {
		<-b.closed
	}
	return nil
}

// respondsAfter returns a racer that starts to respond after a delay and then sends the parts.
func respondsAfter(wait time.Duration, status int, ends error, parts ...part) racer {
	return func(ctx context.Context) (*TargetResponse, error) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, &SendError{Written: true, Err: ctx.Err()}
		}
		return &TargetResponse{Status: status, Header: http.Header{}, Body: &pausedBody{ctx: ctx, parts: parts, ends: ends}}, nil
	}
}

func whole(wait time.Duration, body string) racer {
	return respondsAfter(wait, http.StatusOK, io.EOF, part{0, body})
}

// streamed returns a racer that sends the events of a stream at intervals of a millisecond.
func streamed(wait time.Duration, events ...int) racer {
	return respondsAfter(wait, http.StatusOK, io.EOF, eventParts(events...)...)
}

func eventParts(events ...int) []part {
	var parts []part
	for _, id := range events {
		parts = append(parts, part{time.Millisecond, fmt.Sprintf("id: %d\ndata: x\n\n", id)})
	}
	return parts
}

func refusesAfter(wait time.Duration) racer {
	return func(ctx context.Context) (*TargetResponse, error) {
		in, err := respondsAfter(wait, http.StatusServiceUnavailable, io.EOF)(ctx)
		if err == nil {
			in.Header.Set(notRunHeader, "1")
		}
		return in, err
	}
}

func failsAfter(wait time.Duration) racer {
	return func(ctx context.Context) (*TargetResponse, error) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return nil, &SendError{Written: true, Err: io.ErrUnexpectedEOF}
	}
}

func hangs(ctx context.Context) (*TargetResponse, error) {
	<-ctx.Done()
	return nil, &SendError{Written: true, Err: ctx.Err()}
}

// racedRequest is one request with scripted targets.
type racedRequest struct {
	*flow
	fleet    *Fleet
	sender   *raceSender
	recorder *httptest.ResponseRecorder
	// log is the log of the daemon.
	log *strings.Builder
}

func raceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

func raceTarget(i int) proto.RelayTarget {
	t := testTarget(fmt.Sprint("t", i), "p", "z")
	t.Address, t.Region = raceAddress(i), []string{"north", "south"}[i%2]
	return t
}

// newRaced returns a request with one target per racer. Past responses were quick, and the first target costs least.
func newRaced(kind proto.RouteKind, racers ...racer) *racedRequest {
	clock := clockwork.NewRealClock()
	sender := &raceSender{racers: map[netip.AddrPort]racer{}, asked: map[netip.AddrPort]int{}, canceled: map[netip.AddrPort]int{}}
	fleet := NewFleet(func(string) {}, WithColdConfig(ColdConfig{Factor: 1.5, Slack: 5}))
	for i, r := range racers {
		sender.racers[raceAddress(i)] = r
		t := raceTarget(i)
		if i > 0 {
			t.Zone = "other"
		}
		fleet.ApplyChanges(clock.Now(), []FleetChange{putChange(uint64(i+1), t)})
	}
	peers := &recordingPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}
	lines := &strings.Builder{}
	log := hclog.New(&hclog.LoggerOptions{Output: lines})
	s := NewServer(ServerConfig{
		Clock: clock, Log: log, Dialect: raceDialect{}, Sender: sender, Fleet: fleet, Peers: peers, Zone: "z",
		Placer: NewPlacer("self", clock, log, fleet, peers), Budget: raceBudget,
	})
	for range 200 {
		s.responseTimes.observe("p", initialResponseTime, raceTypicalLatency)
		s.firstEventTimes.observe(raceRoute, initialFirstEventTime, raceTypicalLatency)
	}
	now := clock.Now()
	recorder := httptest.NewRecorder()
	f := &flow{
		server: s, w: recorder, req: &Request{ID: "r"}, pool: "p", poolSpec: &proto.RelayPool{Name: "p"}, triedTargets: map[string]bool{},
		route:     &proto.Route{Name: raceRoute, Kind: kind, MaxTargets: 3, Resumable: true, MaxPause: 100 * time.Millisecond},
		startedAt: now, due: now.Add(raceLeft), deadline: now.Add(raceLeft),
	}
	return &racedRequest{flow: f, fleet: fleet, sender: sender, recorder: recorder, log: lines}
}

// end runs the request to its end and returns the body that its caller received.
func (r *racedRequest) end(t *testing.T) string {
	t.Helper()
	if fail := r.run(t.Context()); fail != nil {
		t.Errorf("the request failed after %s: status %d, %s", time.Since(r.startedAt), fail.status, fail.reason)
	}
	return r.recorder.Body.String()
}

func (r *racedRequest) changeTarget(t proto.RelayTarget) {
	r.fleet.ApplyChanges(time.Now(), []FleetChange{putChange(100, t)})
}

// eventsOf returns the ids of the events that a caller received.
func eventsOf(body string) string {
	ids := ""
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids += strings.TrimSpace(id)
		}
	}
	return ids
}
