package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// pipeListener accepts the connections that a test opens.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// callerTest is a server whose limits may change.
type callerTest struct {
	limits atomic.Pointer[proto.CallerLimits]
	conns  chan net.Conn
}

func newCallerTest(t *testing.T, limits proto.CallerLimits) *callerTest {
	t.Helper()
	c := &callerTest{conns: make(chan net.Conn)}
	c.limits.Store(&limits)
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return ctx }, MaxHeaderBytes: 1 << 30,
	}
	conns := NewCallerConns(clockwork.NewRealClock(), func() proto.CallerLimits { return *c.limits.Load() })
	listener := conns.Limit(server, &pipeListener{c.conns})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { close(c.conns) })
	return c
}

// callerEnd is the caller's end of a connection.
type callerEnd struct {
	net.Conn
	reader *bufio.Reader
}

func (c *callerTest) open() *callerEnd {
	near, far := net.Pipe()
	c.conns <- far
	return &callerEnd{near, bufio.NewReader(near)}
}

// send writes the parts of a request with a pause before each one, and returns the status of its answer; 0 if there is none.
func (e *callerEnd) send(pause time.Duration, parts ...string) int {
	go func() {
		for _, part := range parts {
			time.Sleep(pause)
			if _, err := io.WriteString(e, part); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(e.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestCallerLimitsOfConfigurationApply guards against proper requests that are turned away by limits other than those of the
// configuration in force.
func TestCallerLimitsOfConfigurationApply(t *testing.T) {
	small := proto.CallerLimits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	large := proto.CallerLimits{MaxHeaderBytes: 64 << 10, HeaderTimeout: 30 * time.Second, IdleTimeout: 100 * time.Second}
	request := func(headerBytes int) string {
		return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX-A: " + strings.Repeat("x", headerBytes) + "\r\n\r\nok"
	}
	half := func(s string) []string { return []string{s[:len(s)/2], s[len(s)/2:]} }
	scenarios := []struct {
		testName string
		pause    time.Duration
		parts    []string
		// idle is how long the connection rests before the request, after a first one.
		idle                 time.Duration
		withSmall, withLarge int
	}{
		{"a head within both limits", 0, []string{request(10 << 10)}, 0, http.StatusOK, http.StatusOK},
		{"a larger head", 0, []string{request(40 << 10)}, 0, http.StatusRequestHeaderFieldsTooLarge, http.StatusOK},
		{"a head without an end", 0, []string{request(4 << 20)}, 0, http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestHeaderFieldsTooLarge},
		{"a large body", 0, []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n", strings.Repeat("x", 1_000_000)}, 0, http.StatusOK, http.StatusOK},
		{"a slow head", 4 * time.Second, half(request(10)), 0, 0, http.StatusOK},
		{"a slow body", 10 * time.Second, []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", "ok"}, time.Second, http.StatusOK, http.StatusOK},
		{"a short rest", 0, []string{request(10)}, 14 * time.Second, http.StatusOK, http.StatusOK},
		{"a long rest", 0, []string{request(10)}, 80 * time.Second, 0, http.StatusOK},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCallerTest(t, small)
				send := func() int {
					e := c.open()
					defer e.Close()
					if s.idle > 0 {
						if status := e.send(0, request(10)); status != http.StatusOK {
							t.Errorf("the first request got status %d", status)
						}
						time.Sleep(s.idle)
					}
					return e.send(s.pause, s.parts...)
				}
				if status := send(); status != s.withSmall {
					t.Errorf("status %d with small limits, want %d", status, s.withSmall)
				}
				c.limits.Store(&large)
				if status := send(); status != s.withLarge {
					t.Errorf("status %d with large limits, want %d", status, s.withLarge)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
