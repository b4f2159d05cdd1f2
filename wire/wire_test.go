package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"emberlead/core"
	"emberlead/fakes"
	"emberlead/proto"
)

func addressOf(url string) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
}

// TestInvalidRequests checks that every invalid request gets a clear problem document, and that nothing is run.
func TestInvalidRequests(t *testing.T) {
	front := newBenchFrontend(t, 1)
	old := uuid.MustParse("f47ac10b-58cc-4372-a567-0e02b2c3d479")
	scenarios := []struct {
		name, path, key, body string
		header                map[string]string
		status                int
		kind                  proto.FailureKind
	}{
		{"no key", "w/services/s", "", "{}", nil, 401, proto.FailureUnauthorized},
		{"wrong key", "w/services/s", "nope", "{}", nil, 401, proto.FailureUnauthorized},
		{"another workspace", "x/services/s", "key", "{}", nil, 401, proto.FailureUnauthorized},
		{"no such service", "w/services/none", "key", "{}", nil, 404, proto.FailureNotFound},
		{"not JSON", "w/services/s", "key", "{", nil, 400, proto.FailureBadRequest},
		{"too large", "w/services/s", "key", `"` + strings.Repeat("x", 1<<20) + `"`, nil, 413, proto.FailureTooLarge},
		{"negative timeout", "w/services/s", "key", "{}", map[string]string{proto.HeaderTimeout: "-1s"}, 400, proto.FailureBadRequest},
		{"invalid Emberlead-Repeatable header", "w/services/s", "key", "{}", map[string]string{proto.HeaderRepeatable: "maybe"}, 400, proto.FailureBadRequest},
		{"idempotency key without a timestamp", "w/services/s", "key", "{}", map[string]string{proto.HeaderKey: old.String()}, 400, proto.FailureKeyInvalid},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, front.URL+"/v1/workspaces/"+scenario.path+"/requests", strings.NewReader(scenario.body))
			if err != nil {
				t.Fatal(err)
			}
			if scenario.key != "" {
				req.Header.Set("Authorization", "Bearer "+scenario.key)
			}
			for name, value := range scenario.header {
				req.Header.Set(name, value)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var problem proto.Problem
			if err := json.NewDecoder(resp.Body).Decode(&problem); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != scenario.status || problem.Kind != scenario.kind || problem.Outcome != proto.OutcomeNotRun {
				t.Fatalf("%d %s %s, want %d %s notRun", resp.StatusCode, problem.Kind, problem.Outcome, scenario.status, scenario.kind)
			}
		})
	}
	if sendStreamRequest(t, front) == 0 {
		t.Fatal("a valid request got an empty response afterwards")
	}
}

func runAttempt(address netip.AddrPort, mayRepeat bool) core.AttemptEnded {
	var last core.AttemptEnded
	start := &core.Start{ID: proto.AttemptID{Request: uuid.New(), Number: 1}, Target: proto.Target{Address: address}, Input: []byte("{}"), Deadline: time.Now().Add(2 * time.Second)}
	NewTargetClient().Run(context.Background(), start, mayRepeat, func(ev core.Event) {
		if ended, ok := ev.(core.AttemptEnded); ok {
			last = ended
		}
	})
	return last
}

// TestAttemptStatus checks that an attempt counts as not started only if no byte was written or the target
// says so.
func TestAttemptStatus(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := netip.MustParseAddrPort(refused.Addr().String())
	if err := refused.Close(); err != nil {
		t.Fatal(err)
	}
	if got := runAttempt(closed, false).Status; got != core.StatusNotStarted {
		t.Errorf("refused connection: status %d", got)
	}
	scenarios := []struct {
		name   string
		answer http.HandlerFunc
		want   core.AttemptStatus
	}{
		{"connection closed", func(w http.ResponseWriter, _ *http.Request) { closeConn(w) }, core.StatusUnknown},
		{"outcome notRun", func(w http.ResponseWriter, _ *http.Request) { refuseWith(w, proto.OutcomeNotRun) }, core.StatusNotStarted},
		{"outcome ran", func(w http.ResponseWriter, _ *http.Request) { refuseWith(w, proto.OutcomeRan) }, core.StatusFailed},
		{"no outcome", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, core.StatusUnknown},
		{"response to another attempt", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"attempt":"other"}`) }, core.StatusUnknown},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var calls atomic.Int64
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				scenario.answer(w, r)
			}))
			defer target.Close()
			for _, mayRepeat := range []bool{true, false} {
				if got := runAttempt(addressOf(target.URL), mayRepeat).Status; got != scenario.want {
					t.Errorf("status %d, want %d", got, scenario.want)
				}
			}
			if calls.Load() != 2 {
				t.Errorf("the target was called %d times for 2 attempts", calls.Load())
			}
		})
	}
}

func closeConn(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func refuseWith(w http.ResponseWriter, outcome proto.Outcome) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(proto.RunRefusal{Outcome: outcome})
}

// TestPlatformClient checks that a write whose answer is lost is distinguished from one that failed, and is not sent
// again.
func TestPlatformClient(t *testing.T) {
	store := fakes.NewStore()
	server := httptest.NewServer(fakes.NewPlatform(store).Handler())
	defer server.Close()
	limits := DefaultPlatformLimits()
	limits.CallTimeout = 300 * time.Millisecond
	p := NewPlatformClient(server.URL, "test", limits)
	ctx := context.Background()
	write := func(version uint64) error {
		return p.Transact(ctx, proto.Transaction{
			Conditions: []proto.Condition{{Key: "a", Version: version}},
			Writes:     []proto.Write{{Key: "a", Value: []byte("x")}},
		})
	}
	store.LoseResponses(1)
	if kind := proto.KindOf(write(0)); kind != proto.KindUnknown {
		t.Fatalf("lost response: kind %q", kind)
	}
	if kind := proto.KindOf(write(0)); kind != proto.KindConflict {
		t.Fatalf("kind %q, want a conflict, since the write with the lost response took effect", kind)
	}
	if _, writes := store.Counts(); writes != 2 {
		t.Fatalf("%d writes were sent", writes)
	}
	store.SetDown(true)
	if kind := proto.KindOf(write(1)); kind != proto.KindUnavailable {
		t.Fatalf("store down: kind %q", kind)
	}
	store.SetDown(false)
	row, err := p.Read(ctx, "a")
	if err != nil || !bytes.Equal(row.Value, []byte("x")) {
		t.Fatalf("%+v %v", row, err)
	}
}

// TestPeersAuthenticate checks that only a peer with the key is accepted, and that a call is answered over the
// connection that it arrived on.
func TestPeersAuthenticate(t *testing.T) {
	answer := func(_ context.Context, from proto.VM, _ proto.Message) proto.Message {
		return proto.ChangesAnswer{Generation: proto.Generation(len(from))}
	}
	server := NewLinks(LinksConfig{Self: "b", SharedKey: "right", Log: hclog.NewNullLogger(), Handle: answer})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	resolve := func(proto.VM) (proto.Alive, bool) { return proto.Alive{Peer: addressOf(listener.URL)}, true }
	for key, want := range map[string]bool{"right": true, "wrong": false, "": false} {
		var log bytes.Buffer
		client := NewLinks(LinksConfig{Self: "abc", SharedKey: key, Log: hclog.New(&hclog.LoggerOptions{Output: &log}), Resolve: resolve, Handle: answer})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		m, err := client.Call(ctx, "b", proto.ChangesAsk{})
		cancel()
		client.Close()
		if got, ok := m.(proto.ChangesAnswer); want != (err == nil && ok && got.Generation == 3) {
			t.Errorf("key %q: %+v %v", key, m, err)
		}
		// Without this line, daemons with different keys would stay apart unnoticed.
		if logged := strings.Contains(log.String(), "does not accept this one's key"); logged == want {
			t.Errorf("key %q: refusal logged: %v", key, logged)
		}
	}
}

// TestTracePropagation checks that the request and its attempt have spans in the trace of the caller.
func TestTracePropagation(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	defer SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())))
	front := newBenchFrontend(t, 1)
	req, err := http.NewRequest(http.MethodPost, front.URL+"/v1/workspaces/w/services/s/requests", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("traceparent", "00-"+trace+"-00f067aa0ba902b7-01")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	// The spans end shortly after the response was sent.
	front.Close()
	names := map[string]bool{}
	for _, s := range recorder.Ended() {
		if s.SpanContext().TraceID().String() == trace {
			names[s.Name()] = true
		}
	}
	if !names["request"] || !names["attempt"] {
		t.Fatalf("spans in the caller's trace: %v", names)
	}
}

// TestSlowCallerIsDropped checks that a caller that does not read is dropped once too much data is buffered for it, and
// that the target's stream is canceled.
func TestSlowCallerIsDropped(t *testing.T) {
	const tokens = 4000
	front, engine := newTestFrontend(t, streamTarget(tokens, strings.Repeat("x", 16<<10)), tokens, time.Minute)
	conn, err := net.Dial("tcp", strings.TrimPrefix(front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/workspaces/w/services/s/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nAccept: text/event-stream\r\nContent-Length: 2\r\n\r\n{}")
	if err != nil {
		t.Fatal(err)
	}
	for range 400 {
		if w := engine.Stats().Report().Workspaces["w"]; w.CallerLeft == 1 && engine.OpenRequests() == 0 {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("requests still open: %d; %+v", engine.OpenRequests(), engine.Stats().Report().Workspaces)
}
