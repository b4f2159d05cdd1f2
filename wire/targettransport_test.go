package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/relay"
)

// scriptedTarget answers each request on each connection with the bytes that a script returns, and counts both.
type scriptedTarget struct {
	listener net.Listener
	mu       sync.Mutex
	conns    int
	requests int
}

// script returns the response to the n-th request of a connection, and whether to close the connection after it.
type script func(conn, request int, r *http.Request) (answer string, closing bool)

func newScriptedTarget(t *testing.T, s script) (*scriptedTarget, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &scriptedTarget{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go target.serve(s)
	return target, netip.MustParseAddrPort(l.Addr().String())
}

func (s *scriptedTarget) serve(fn script) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		n := s.conns
		s.mu.Unlock()
		go s.serveConn(conn, n, fn)
	}
}

func (s *scriptedTarget) serveConn(conn net.Conn, n int, fn script) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for request := 1; ; request++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		answer, closing := fn(n, request, r)
		if _, err := io.WriteString(conn, answer); err != nil || closing {
			return
		}
	}
}

func (s *scriptedTarget) counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, s.requests
}

const headerID = "X-Id"

func newTargetRequest(id string, body string) *relay.TargetRequest {
	return &relay.TargetRequest{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{headerID: {id}}, Body: []byte(body),
		Matches: func(h http.Header) bool { return h.Get(headerID) == id },
	}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func sendOnce(t *testing.T, transport *TargetTransport, to netip.AddrPort, out *relay.TargetRequest) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	in, err := transport.Send(ctx, to, out)
	if err != nil {
		return "", err
	}
	defer in.Body.Close()
	body, err := io.ReadAll(in.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	target, to := newScriptedTarget(t, func(_, _ int, r *http.Request) (string, bool) { return okResponse(r.Header.Get(headerID), "ok"), false })
	transport := NewTargetTransport(clockwork.NewFakeClock())
	for _, id := range []string{"a", "b", "c"} {
		if body, err := sendOnce(t, transport, to, newTargetRequest(id, "q")); body != "ok" || err != nil {
			t.Fatalf("%s: %q, %v", id, body, err)
		}
	}
	if conns, requests := target.counts(); conns != 1 || requests != 3 {
		t.Errorf("%d connections for %d requests", conns, requests)
	}
}

func TestStrayResponseIsDiscarded(t *testing.T) {
	_, to := newScriptedTarget(t, func(_, request int, r *http.Request) (string, bool) {
		if request == 2 {
			return okResponse("a", "stray") + okResponse(r.Header.Get(headerID), "mine"), false
		}
		return okResponse(r.Header.Get(headerID), "first"), false
	})
	transport := NewTargetTransport(clockwork.NewFakeClock())
	if body, err := sendOnce(t, transport, to, newTargetRequest("a", "")); body != "first" || err != nil {
		t.Fatalf("%q, %v", body, err)
	}
	if body, err := sendOnce(t, transport, to, newTargetRequest("b", "")); body != "mine" || err != nil {
		t.Fatalf("%q, %v", body, err)
	}
	if transport.Counts().Stray != 1 {
		t.Errorf("counts %+v", transport.Counts())
	}
}

func TestConnectionWithUnexpectedDataIsNotReused(t *testing.T) {
	target, to := newScriptedTarget(t, func(conn, _ int, r *http.Request) (string, bool) {
		answer := okResponse(r.Header.Get(headerID), "ok")
		if conn == 1 {
			answer += okResponse(r.Header.Get(headerID), "again")
		}
		return answer, false
	})
	transport := NewTargetTransport(clockwork.NewFakeClock())
	for _, id := range []string{"a", "a"} {
		if body, err := sendOnce(t, transport, to, newTargetRequest(id, "")); body != "ok" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if conns, _ := target.counts(); conns != 2 {
		t.Errorf("%d connections", conns)
	}
}

// TestRequestWithoutResponseIsNotResent lets the target close a reused connection after it has read the second request.
func TestRequestWithoutResponseIsNotResent(t *testing.T) {
	target, to := newScriptedTarget(t, func(_, request int, r *http.Request) (string, bool) {
		if request == 2 {
			return "", true
		}
		return okResponse(r.Header.Get(headerID), "ok"), false
	})
	transport := NewTargetTransport(clockwork.NewFakeClock())
	if _, err := sendOnce(t, transport, to, newTargetRequest("a", "")); err != nil {
		t.Fatal(err)
	}
	_, err := sendOnce(t, transport, to, newTargetRequest("b", ""))
	var sendErr *relay.SendError
	if !errors.As(err, &sendErr) || !sendErr.Written {
		t.Fatalf("error %v, want one that reports the request as written", err)
	}
	if conns, requests := target.counts(); conns != 1 || requests != 2 {
		t.Errorf("%d connections, %d requests: the request was resent", conns, requests)
	}
}

func TestRefusedConnectionReportsNothingWritten(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	_, err = sendOnce(t, NewTargetTransport(clockwork.NewFakeClock()), to, newTargetRequest("a", ""))
	var sendErr *relay.SendError
	if !errors.As(err, &sendErr) || sendErr.Written {
		t.Errorf("error %v, want one that reports nothing as written", err)
	}
}

// TestNonIdempotentRequestsAvoidIdleConnections leaves a connection idle for longer than a non-idempotent request
// accepts.
func TestNonIdempotentRequestsAvoidIdleConnections(t *testing.T) {
	target, to := newScriptedTarget(t, func(_, _ int, r *http.Request) (string, bool) { return okResponse(r.Header.Get(headerID), "ok"), false })
	clock := clockwork.NewFakeClock()
	transport := NewTargetTransport(clock)
	nonIdempotent := func(id string) *relay.TargetRequest {
		out := newTargetRequest(id, "")
		out.NonIdempotent = true
		return out
	}
	send := func(out *relay.TargetRequest, wantConns int) {
		t.Helper()
		if _, err := sendOnce(t, transport, to, out); err != nil {
			t.Fatal(err)
		}
		if conns, _ := target.counts(); conns != wantConns {
			t.Errorf("%d connections, want %d", conns, wantConns)
		}
	}
	send(nonIdempotent("a"), 1)
	clock.Advance(nonIdempotentMaxIdle / 2)
	send(nonIdempotent("b"), 1)
	clock.Advance(nonIdempotentMaxIdle + time.Millisecond)
	send(newTargetRequest("c", ""), 1)
	clock.Advance(nonIdempotentMaxIdle + time.Millisecond)
	send(nonIdempotent("d"), 2)
	clock.Advance(defaultMaxIdle)
	send(newTargetRequest("e", ""), 3)
}

func TestKeepAliveTimeoutOfTarget(t *testing.T) {
	for text, want := range map[string]time.Duration{"": defaultMaxIdle, "timeout=10": 7 * time.Second, "max=5, timeout=2": 1400 * time.Millisecond, "timeout=x": defaultMaxIdle} {
		h := http.Header{}
		h.Set("Keep-Alive", text)
		if got := maxIdle(h); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}

func TestTruncatedResponses(t *testing.T) {
	scenarios := []struct{ name, answer, body string }{
		{"shorter than its Content-Length", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf", ""},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ""},
		{"invalid status line", "HTTP/9 nonsense\r\n\r\n", ""},
		{"binary data", "\x00\x01\x02\r\n\r\n", ""},
		{"without a length, complete at the end of the connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall", "all"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, to := newScriptedTarget(t, func(int, int, *http.Request) (string, bool) { return s.answer, true })
			body, err := sendOnce(t, NewTargetTransport(clockwork.NewFakeClock()), to, newTargetRequest("a", ""))
			if s.body == "" && err == nil || s.body != "" && (err != nil || body != s.body) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestConnectionIsNotReusedAfterEarlyResponse lets a target respond before it has read a long body.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- conn
			head := make([]byte, 64)
			_, _ = conn.Read(head)
			_, _ = io.WriteString(conn, okResponse("a", "early"))
		}
	}()
	transport := NewTargetTransport(clockwork.NewFakeClock())
	to := netip.MustParseAddrPort(l.Addr().String())
	for range 2 {
		if body, err := sendOnce(t, transport, to, newTargetRequest("a", strings.Repeat("x", 32<<20))); body != "early" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections, want 2: one was reused while part of a body was unsent", len(conns))
	}
}

// TestCanceledContextClosesConnection cancels a request that a target is working on.
func TestCanceledContextClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1024)
		_, _ = conn.Read(buffer)
		cancel()
		for err == nil {
			_, err = conn.Read(buffer)
		}
		close(closed)
	}()
	_, err = NewTargetTransport(clockwork.NewFakeClock()).Send(ctx, netip.MustParseAddrPort(l.Addr().String()), newTargetRequest("a", ""))
	var sendErr *relay.SendError
	if !errors.As(err, &sendErr) || !sendErr.Written {
		t.Errorf("error %v", err)
	}
	<-closed
}

// TestCloseIdleClosesConnectionsToEndedTarget ends a target whose idle connections were not closed, as happens when its
// VM loses power.
func TestCloseIdleClosesConnectionsToEndedTarget(t *testing.T) {
	transport := NewTargetTransport(clockwork.NewFakeClock())
	to, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	near, far := net.Pipe()
	defer far.Close()
	transport.idle[to] = []*targetConn{{ReadWriteCloser: near}}
	transport.idle[other] = []*targetConn{{}}
	transport.CloseIdle(to)
	if len(transport.idle[to]) != 0 || len(transport.idle[other]) != 1 {
		t.Errorf("%d idle connections to the ended target and %d to another, want 0 and 1", len(transport.idle[to]), len(transport.idle[other]))
	}
	if _, err := near.Write([]byte{1}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("the connection is open: %v", err)
	}
}
