package wire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	headerCut, headerReset, headerForm, headerSplit = "X-Cut", "X-Reset", "X-Form", "X-Split"
	// maxCutPlays is how many cut answers are read at a time.
	maxCutPlays = 32
	// splitPause is the time between the two parts of an answer.
	splitPause = 5 * time.Millisecond
)

// cutForms are answers in each framing; %s is the id of the request.
var cutForms = map[string]string{
	"length":               "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 12\r\n\r\n{\"items\":[]}",
	"empty body":           "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"chunks":               "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunks and a trailer": "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n",
	"interim answers":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\nbody",
	"end of connection":    "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nbody",
}

// cuttingTarget answers with the first bytes of the form that a request asks for, all at once or in two parts, and then closes or resets the
// connection.
func cuttingTarget(t *testing.T) netip.AddrPort {
	return serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		cut, _ := strconv.Atoi(r.Header.Get(headerCut))
		answer := fmt.Sprintf(cutForms[r.Header.Get(headerForm)], r.Header.Get(headerID))[:cut]
		split, _ := strconv.Atoi(r.Header.Get(headerSplit))
		_, _ = io.WriteString(conn, answer[:split])
		time.Sleep(time.Duration(min(split, 1)) * splitPause)
		_, _ = io.WriteString(conn, answer[split:])
		if r.Header.Get(headerReset) != "" {
			resetConn(conn)
		}
	})
}

// TestAnswersCutAnywhereAreNotWhole guards against an answer of a target that ends inside its head, its interim answers, its body or its
// trailers and passes as whole: of a request, of a call for a stage or of a move of memory, which all come over this transport.
func TestAnswersCutAnywhereAreNotWhole(t *testing.T) {
	to := cuttingTarget(t)
	transports := map[string]*TargetTransport{"link": NewTargetTransport(clockwork.NewRealClock()), "tunnel": newTunnelTest(t, to, TunnelConfig{MaxOpen: 2 * maxCutPlays}).transport}
	for way, transport := range transports {
		for form, answer := range cutForms {
			t.Run(form+" over a "+way, func(t *testing.T) {
				var plays sync.WaitGroup
				running := make(chan struct{}, maxCutPlays)
				const id = "a"
				whole := fmt.Sprintf(answer, id)
				// The first request finds the path, and cut answers to others would make it doubtful.
				warm := newTargetRequest(id, "")
				warm.Header.Set(headerForm, form)
				warm.Header.Set(headerCut, strconv.Itoa(len(whole)))
				if _, err := sendOnce(t, transport, to, warm); err != nil {
					t.Errorf("the whole answer: %v", err)
				}
				play := func(cut int, reset string) {
					plays.Go(func() {
						running <- struct{}{}
						defer func() { <-running }()
						out := newTargetRequest(id, "")
						out.Header.Set(headerForm, form)
						out.Header.Set(headerCut, strconv.Itoa(cut))
						out.Header.Set(headerReset, reset)
						body, err := sendOnce(t, transport, to, out)
						// Without a length, an orderly end of the connection after the head is the end of the body.
						mayPass := form == "end of connection" && reset == "" && cut >= strings.Index(whole, "\r\n\r\n")+4
						if err == nil && !mayPass {
							t.Errorf("cut after %q, reset %t: taken for whole, with body %q", whole[:cut], reset != "", body)
						}
					})
				}
				for cut := range len(whole) {
					play(cut, "")
					play(cut, "reset")
				}
				plays.Wait()
			})
		}
	}
}

// cuttingProxy passes connections on, and ends each of them after a number of bytes that came back.
type cuttingProxy struct {
	listener net.Listener
	cut      int64
	reset    bool
	// passed counts the bytes that came back.
	passed atomic.Int64
}

func newCuttingProxy(t *testing.T, to string, cut int64, reset bool) *cuttingProxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &cuttingProxy{listener: l, cut: cut, reset: reset}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(near, to)
		}
	}()
	return p
}

func (p *cuttingProxy) pass(near net.Conn, to string) {
	defer near.Close()
	far, err := net.Dial("tcp4", to)
	if err != nil {
		return
	}
	defer far.Close()
	go func() { _, _ = io.Copy(far, near) }()
	buffer := make([]byte, readBufferSize)
	for rest := p.cut; rest > 0; {
		n, err := far.Read(buffer[:min(rest, int64(len(buffer)))])
		if err != nil {
			return
		}
		p.passed.Add(int64(n))
		rest -= int64(n)
		if _, err := near.Write(buffer[:n]); err != nil {
			return
		}
	}
	if p.reset {
		resetConn(near)
	}
}

// TestAnswersCutBetweenDaemonsAreNotWhole guards against an answer that passes as whole although the connection to the daemon that carries it
// ended within it, also where only the end of the target's connection tells the end of the answer.
func TestAnswersCutBetweenDaemonsAreNotWhole(t *testing.T) {
	const id, wantBody, maxTries = "a", "body", 20
	to := cuttingTarget(t)
	play := func(t *testing.T, form string, cut int64, reset bool) (body string, passed int64, err error) {
		x := newTunnelTest(t, to, TunnelConfig{MaxOpen: 1})
		p := newCuttingProxy(t, x.server.Listener.Addr().String(), cut, reset)
		x.server.URL = "http://" + p.listener.Addr().String()
		out := newTargetRequest(id, "")
		out.Header.Set(headerForm, form)
		answer := fmt.Sprintf(cutForms[form], id)
		out.Header.Set(headerCut, strconv.Itoa(len(answer)))
		out.Header.Set(headerSplit, strconv.Itoa(strings.Index(answer, wantBody)+len(wantBody)/2))
		body, err = sendOnce(t, x.transport, to, out)
		return body, p.passed.Load(), err
	}
	for _, form := range []string{"chunks", "chunks and a trailer", "interim answers", "end of connection"} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", form, reset), func(t *testing.T) {
				t.Parallel()
				body, whole, err := play(t, form, math.MaxInt64, reset)
				if err != nil || body != wantBody {
					t.Fatalf("the whole answer: %q, %v", body, err)
				}
				for cut := range whole {
					body, passed, err := play(t, form, cut, reset)
					// The connection may not have been opened in time.
					for tries := 1; err != nil && passed != cut && tries < maxTries; tries++ {
						body, passed, err = play(t, form, cut, reset)
					}
					if err == nil && body != wantBody {
						t.Errorf("cut after %d of %d bytes: taken for whole, with body %q", cut, whole, body)
					}
					if err != nil && passed != cut {
						t.Errorf("cut after %d of %d bytes: %d bytes came back", cut, whole, passed)
					}
				}
			})
		}
	}
}
