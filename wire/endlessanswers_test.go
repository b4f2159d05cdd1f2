package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/relay"
)

const (
	// endlessBytes is what an endless answer offers.
	endlessBytes = 32 << 20
	// maxTakenHead is how much may be taken of what precedes the body of an answer.
	maxTakenHead = 96 << 10
)

// endlessTarget writes a start and then a text again and again to each connection, as long as it is taken.
type endlessTarget struct {
	start, again string
	taken        atomic.Int64
	closed       chan struct{}
}

func (e *endlessTarget) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer close(e.closed)
		defer far.Close()
		_, _ = far.Read(make([]byte, 4096))
		again := e.again
		if again != "" {
			again = strings.Repeat(again, 1+4096/len(again))
		}
		for text := e.start; text != "" && e.taken.Load() < endlessBytes; text = again {
			n, err := io.WriteString(far, text)
			e.taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return near, nil
}

func newEndlessTarget(start, again string) (*endlessTarget, *TargetTransport) {
	e := &endlessTarget{start: start, again: again, closed: make(chan struct{})}
	return e, NewTargetTransport(clockwork.NewRealClock(), WithDialer(e.dial))
}

func ownRequest() *relay.TargetRequest {
	return &relay.TargetRequest{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Matches: func(h http.Header) bool { return h.Get("X-Id") == "own" }}
}

// TestEndlessBytesBeforeAnswerAreNotTaken guards against daemons that take bytes without end before the body of an answer, until
// their memory is full.
func TestEndlessBytesBeforeAnswerAreNotTaken(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	scenarios := []struct {
		testName, start, again string
		// taken is how much may be taken.
		taken int64
	}{
		{"a status line", ok[:13], "x", maxTakenHead},
		{"a header", ok + "X-A: ", "x", maxTakenHead},
		{"a header without a colon", ok, "x", maxTakenHead},
		{"many headers", ok, "X-A: x\r\n", maxTakenHead},
		{"a folded header", ok + "X-A: x\r\n", " x\r\n", maxTakenHead},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", maxTakenHead},
		{"interim answers with headers", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", maxTakenHead},
		{"answers to other requests", okResponse("other", ""), okResponse("other", ""), maxTakenHead},
		{"an answer to another request", ok + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", maxStrayBytes + maxTakenHead},
		{"an answer to another request without a length", ok + "X-Id: other\r\n\r\n", "x", maxStrayBytes + maxTakenHead},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			target, transport := newEndlessTarget(s.start, s.again)
			_, err := transport.Send(t.Context(), netip.MustParseAddrPort("10.0.0.1:80"), ownRequest())
			var sendErr *relay.SendError
			if !errors.As(err, &sendErr) || !sendErr.Written {
				t.Errorf("result %v, want an error that does not say that the request was not run", err)
			}
			select {
			case <-target.closed:
			case <-time.After(30 * time.Second):
				t.Error("the connection is open")
			}
			if taken := target.taken.Load(); taken > s.taken {
				t.Errorf("%d bytes were taken, want at most %d", taken, s.taken)
			}
		})
	}
}

// TestEndlessFramingOfBodyIsNotTaken guards against bodies whose framing has no end.
func TestEndlessFramingOfBodyIsNotTaken(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
	scenarios := []struct{ testName, start, again string }{
		{"a chunk size", chunked, "0"},
		{"a chunk extension", chunked + "1;", "x"},
		{"a trailer", chunked + "0\r\nX-A: ", "x"},
		{"many trailers", chunked + "0\r\n", "X-A: x\r\n"},
		{"tiny chunks with extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			target, transport := newEndlessTarget(s.start, s.again)
			in, err := transport.Send(t.Context(), netip.MustParseAddrPort("10.0.0.1:80"), ownRequest())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, bodyReader{in.Body}); err == nil {
				t.Error("the body counts as complete")
			}
			_ = in.Body.Close()
			<-target.closed
			if taken := target.taken.Load(); taken > maxTakenHead {
				t.Errorf("%d bytes were taken, want at most %d", taken, maxTakenHead)
			}
		})
	}
}

// bodyReader makes a body an io.Reader.
type bodyReader struct{ relay.Body }

// TestLargeAnswersPassWhole checks that answers below the limits are delivered, also behind a large one to another request.
func TestLargeAnswersPassWhole(t *testing.T) {
	large := strings.Repeat("x", 6<<20)
	header := "X-A: " + strings.Repeat("x", 30<<10) + "\r\n"
	scenarios := []struct{ testName, start, body string }{
		{"a large body", okResponse("own", large), large},
		{"a large head", strings.Replace(okResponse("own", "ok"), "\r\n", "\r\n"+header, 1), "ok"},
		{"interim answers before it", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 20) + okResponse("own", "ok"), "ok"},
		{"a large answer to another request before it", okResponse("other", large) + okResponse("own", large), large},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, transport := newEndlessTarget(s.start, "")
			in, err := transport.Send(t.Context(), netip.MustParseAddrPort("10.0.0.1:80"), ownRequest())
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(bodyReader{in.Body})
			if err != nil || string(body) != s.body {
				t.Errorf("a body of %d bytes, %v, want %d", len(body), err, len(s.body))
			}
			_ = in.Body.Close()
		})
	}
}

// TestHeadsOfManyTargetsShareALimit lets many targets send large heads that do not end, and no further bytes.
func TestHeadsOfManyTargetsShareALimit(t *testing.T) {
	const targets = 100
	to := netip.MustParseAddrPort("10.0.0.1:80")
	head := "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", maxHeadBytes-1<<10)
	sent := make(chan struct{}, targets)
	transport := NewTargetTransport(clockwork.NewRealClock(), WithDialer(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 4096))
			_, _ = io.WriteString(far, head)
			sent <- struct{}{}
		}()
		return near, nil
	}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	results := make(chan error, targets)
	for range targets {
		go func() {
			_, err := transport.Send(ctx, to, ownRequest())
			results <- err
		}()
	}
	for range targets {
		<-sent
	}
	if used := transport.limits.headBytes.Load(); used > maxAllHeadBytes {
		t.Errorf("%d bytes of heads are held, want at most %d", used, maxAllHeadBytes)
	}
	transport.dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 4096))
			_, _ = io.WriteString(far, okResponse("own", "ok"))
		}()
		return near, nil
	}
	if _, err := transport.Send(ctx, to, ownRequest()); err != nil {
		t.Errorf("an answer with a small head is not read: %v", err)
	}
	cancel()
	for range targets {
		if err := <-results; err == nil {
			t.Error("a head without an end counts as complete")
		}
	}
	if counts := transport.Counts().Oversized; counts.AllHeads == 0 {
		t.Errorf("counts %+v", counts)
	}
	if used := transport.limits.headBytes.Load(); used != 0 {
		t.Errorf("%d bytes of heads are held after all have ended", used)
	}
}

// TestEndlessEventOfTargetIsGivenUp guards against events of many lines, and comments, without end.
func TestEndlessEventOfTargetIsGivenUp(t *testing.T) {
	for _, text := range []string{"data: x\n", ": x\n", "\n", "x"} {
		offered := int64(endlessBytes)
		body := io.LimitReader(repeatReader(strings.Repeat(text, 512)), offered)
		counted := &countedReads{Reader: body}
		if _, _, err := newEventReader(counted).next(); err == nil {
			t.Errorf("an event of %q without end counts as complete", text)
		}
		if counted.n > 2*maxEventLine {
			t.Errorf("%d bytes of %q were taken", counted.n, text)
		}
	}
}

// repeatReader returns the same text with each read.
type repeatReader string

func (r repeatReader) Read(p []byte) (int, error) { return copy(p, r), nil }

type countedReads struct {
	io.Reader
	n int
}

func (r *countedReads) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += n
	return n, err
}
