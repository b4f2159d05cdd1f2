package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// callerServer serves callers with a handler and returns its address.
func callerServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return ctx }}
	limits := proto.CallerLimits{MaxHeaderBytes: 1 << 14, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	limited := NewCallerConns(clockwork.NewRealClock(), func() proto.CallerLimits { return limits }).Limit(server, listener)
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func callerRequest(name, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
}

// TestCallerThatLeavesBehindNextRequestIsNoticed guards against targets that work for callers who have left: a next request
// stood behind the one that was being handled, and the end of the connection behind that.
func TestCallerThatLeavesBehindNextRequestIsNoticed(t *testing.T) {
	large := strings.Repeat("x", 18_000)
	scenarios := []struct {
		testName, next string
		resets         bool
	}{
		{"closed", callerRequest("second", "y"), false},
		{"reset", callerRequest("second", "y"), true},
		{"closed, a large request", callerRequest("second", large), false},
		{"closed, a part of a request", callerRequest("second", large)[:9000], false},
		{"closed, several requests", strings.Repeat(callerRequest("second", "y"), 20), false},
		{"closed, a line end", "\r\n", false},
		{"closed, nothing", "", false},
	}
	for _, s := range scenarios {
		for _, body := range []string{"", "x", large} {
			t.Run(fmt.Sprintf("%s, body of %d bytes", s.testName, len(body)), func(t *testing.T) {
				handling, left := make(chan struct{}, 30), make(chan struct{}, 30)
				address := callerServer(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					handling <- struct{}{}
					<-r.Context().Done()
					left <- struct{}{}
				})
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(conn, callerRequest("first", body))
				<-handling
				// The server reads on beside the handler.
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, s.next)
				time.Sleep(20 * time.Millisecond)
				if s.resets {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				leftAt := time.Now()
				_ = conn.Close()
				select {
				case <-left:
					if took := time.Since(leftAt); took > maxWorkAfterCancel {
						t.Errorf("noticed after %s", took)
					}
				case <-time.After(2 * time.Second):
					t.Error("not noticed")
				}
			})
		}
	}
}

// TestNextRequestsAreAnsweredInTurn sends requests ahead of answers, in parts of any size, and checks each answer.
func TestNextRequestsAreAnsweredInTurn(t *testing.T) {
	address := callerServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(2 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s %d;", r.URL.Path, len(body))
	})
	for _, size := range []int{1, 100, 5000, 60_000} {
		for _, chunk := range []int{1 << 20, 4096, 700} {
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			want, requests := "", ""
			for i := range 8 {
				last := ""
				if i == 7 {
					last = "Connection: close\r\n"
				}
				requests += fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", i, last, size, strings.Repeat("x", size))
				want += fmt.Sprintf("/%d %d;", i, size)
			}
			go func() {
				for rest := requests; rest != ""; {
					n := min(chunk, len(rest))
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			answers, err := io.ReadAll(conn)
			if err != nil {
				t.Fatalf("size %d in parts of %d: %v", size, chunk, err)
			}
			got := ""
			for _, line := range strings.Split(string(answers), "\r\n") {
				if strings.HasPrefix(line, "/") {
					got += strings.SplitAfter(line, ";")[0]
				}
			}
			if got != want {
				t.Errorf("size %d in parts of %d: answers %s", size, chunk, got)
			}
			_ = conn.Close()
		}
	}
}
