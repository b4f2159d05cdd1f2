package wire

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
)

const (
	headerCut, headerReset, headerForm = "X-Cut", "X-Reset", "X-Form"
	// maxCutPlays is how many cut answers are read at a time.
	maxCutPlays = 32
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

// cuttingTarget answers with the first bytes of the form that a request asks for, and then closes or resets the connection.
func cuttingTarget(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				cut, _ := strconv.Atoi(r.Header.Get(headerCut))
				_, _ = fmt.Fprint(conn, fmt.Sprintf(cutForms[r.Header.Get(headerForm)], r.Header.Get(headerID))[:cut])
				if r.Header.Get(headerReset) != "" {
					resetConn(conn)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
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
