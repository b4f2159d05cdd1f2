package wire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/relay"
)

const answerHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"

// brokenAnswers are bytes that are no answer, although a lenient parser takes them for one.
var brokenAnswers = map[string]string{
	"status 000":                         "HTTP/1.1 000 Broken\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
	"status 099":                         "HTTP/1.1 099 Broken\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
	"status 101, not asked for":          "HTTP/1.1 101 Switching Protocols\r\nX-Id: a\r\n\r\nbody",
	"status 600":                         "HTTP/1.1 600 Broken\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
	"status 999":                         "HTTP/1.1 999 Broken\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
	"a status with a sign":               "HTTP/1.1 +20 Broken\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
	"another major version":              "HTTP/2.0 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
	"a blank in a name":                  answerHead + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"a blank before a colon":             answerHead + "X-Y : 1\r\nContent-Length: 4\r\n\r\nbody",
	"a blank after Content-Length":       answerHead + "Content-Length : 4\r\n\r\nbody",
	"a blank after Transfer-Encoding":    answerHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a tab before a colon":               answerHead + "Content-Length\t: 4\r\n\r\nbody",
	"a control byte in a name":           answerHead + "X\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"a carriage return in a name":        answerHead + "X\rY: 1\r\nContent-Length: 4\r\n\r\nbody",
	"a delete byte in a name":            answerHead + "X\x7fY: 1\r\nContent-Length: 4\r\n\r\nbody",
	"an empty name":                      answerHead + ": 1\r\nContent-Length: 4\r\n\r\nbody",
	"a control byte in a value":          answerHead + "X-Y: 1\x01\r\nContent-Length: 4\r\n\r\nbody",
	"chunks in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a blank in an interim answer":       "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + answerHead + "Content-Length: 4\r\n\r\nbody",
	"a blank in the answer to another":   "HTTP/1.1 200 OK\r\nX-Id: b\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n" + answerHead + "Content-Length: 4\r\n\r\nbody",
	"the status of the answer to others": "HTTP/1.1 000 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n" + answerHead + "Content-Length: 4\r\n\r\nbody",
	"a blank in a trailer":               answerHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
	"a blank before a trailer's colon":   answerHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum : 1\r\n\r\n",
	"a control byte in a trailer":        answerHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX\x01Y: 1\r\n\r\n",
}

// TestBrokenHeadsAreNoAnswers guards against heads and trailers that pass although they are no answer: with a status that is none, or with
// fields whose names are none, so that the body has another end than the target meant.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	for name, answer := range brokenAnswers {
		to := rawTarget(t, answer, endOrderly)
		for way, transport := range newUploadTransports(t, to) {
			t.Run(name+" over a "+way, func(t *testing.T) {
				if body, err := sendOnce(t, transport, to, newTargetRequest("a", "")); err == nil {
					t.Errorf("taken for an answer, with body %q", body)
				}
				if reused := transport.Counts().Reused; reused != 0 {
					t.Errorf("%d connections were used again", reused)
				}
			})
		}
	}
}

// TestSoundHeadsPass checks that answers are delivered whose heads are unusual, but allowed.
func TestSoundHeadsPass(t *testing.T) {
	answers := map[string]string{
		"every character of names": answerHead + "X!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 4\r\n\r\nbody",
		"an empty value":           answerHead + "X-Y:\r\nContent-Length: 4\r\n\r\nbody",
		"a folded value":           answerHead + "X-Y: 1\r\n 2\r\nContent-Length: 4\r\n\r\nbody",
		"bytes above ASCII":        answerHead + "X-Y: \xe9\r\nContent-Length: 4\r\n\r\nbody",
		"line feeds":               "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 4\n\nbody",
		"no reason":                "HTTP/1.1 200\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
		"status 599":               "HTTP/1.1 599 Own\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
		"status 299":               "HTTP/1.1 299 Own\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
		"interim answers":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Own\r\nX-Y: 1\r\n\r\n" + answerHead + "Content-Length: 4\r\n\r\nbody",
		"a trailer":                answerHead + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nbody",
		"HTTP/1.0 with a length":   "HTTP/1.0 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0, a large head":   "HTTP/1.0 200 OK\r\nX-Id: a\r\nX-Y: " + strings.Repeat("y", 2*readBufferSize) + "\r\n\r\nbody",
		"no length":                answerHead + "\r\nbody",
	}
	for name, answer := range answers {
		to := rawTarget(t, answer, endOrderly)
		for way, transport := range newUploadTransports(t, to) {
			t.Run(name+" over a "+way, func(t *testing.T) {
				if body, err := sendOnce(t, transport, to, newTargetRequest("a", "")); err != nil || body != "body" {
					t.Errorf("body %q, %v", body, err)
				}
			})
		}
	}
}

// TestConnectionsOfHTTP10 checks that a connection is kept after an answer of HTTP/1.0 only if the target says so.
func TestConnectionsOfHTTP10(t *testing.T) {
	for field, reused := range map[string]int64{"": 0, "Connection: keep-alive\r\n": 1, "Connection: Keep-Alive\r\n": 1, "Connection: close\r\n": 0} {
		t.Run(field, func(t *testing.T) {
			_, to := newScriptedTarget(t, func(_, _ int, r *http.Request) (string, bool) {
				return fmt.Sprintf("HTTP/1.0 200 OK\r\nX-Id: %s\r\n%sContent-Length: 4\r\n\r\nbody", r.Header.Get(headerID), field), false
			})
			transport := NewTargetTransport(clockwork.NewRealClock())
			for _, id := range []string{"a", "b"} {
				if body, err := sendOnce(t, transport, to, newTargetRequest(id, "q")); body != "body" || err != nil {
					t.Fatalf("%s: %q, %v", id, body, err)
				}
			}
			if got := transport.Counts().Reused; got != reused {
				t.Errorf("%d requests on a used connection, want %d", got, reused)
			}
		})
	}
}

// TestClientsRejectBrokenHeads guards against the same at the clients that read answers by the standard library.
func TestClientsRejectBrokenHeads(t *testing.T) {
	for name, answer := range brokenAnswers {
		// The library discards interim answers, and reads no other versions and no answers to other requests.
		if strings.Contains(name, "answer") || strings.Contains(name, "HTTP/1.0") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			to := rawTarget(t, answer, endOrderly)
			if body, err := NewTargetClient().SendRequest(ctx, http.MethodGet, to, "/x", nil); err == nil {
				t.Errorf("the client of targets takes %q for an answer", body)
			}
			store := NewPlatformClient("http://"+to.String(), "a", DefaultPlatformLimits())
			if body, err := store.attempt(ctx, platformCall{op: "get object", method: http.MethodGet, path: proto.PathObjects}); err == nil {
				t.Errorf("the client of the platform takes %q for an answer", body)
			}
		})
	}
}

// TestConnectionOfBrokenHeadIsNotUsedAgain guards against an answer that is read from a connection on which something else than answers came.
func TestConnectionOfBrokenHeadIsNotUsedAgain(t *testing.T) {
	target, to := newScriptedTarget(t, func(conn, _ int, _ *http.Request) (string, bool) {
		if conn == 1 {
			return "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n", false
		}
		return okResponse("a", "{}"), false
	})
	client := NewTargetClient()
	for i, sound := range []bool{false, true, true} {
		if _, err := client.SendRequest(t.Context(), http.MethodGet, to, "/x", nil); (err == nil) != sound {
			t.Errorf("request %d: %v", i, err)
		}
	}
	if conns, requests := target.counts(); conns != 2 || requests != 3 {
		t.Errorf("%d connections for %d requests", conns, requests)
	}
}

// TestLinksRejectBrokenHeads guards against daemons that go on over a link or a tunnel whose other end sent no answer.
func TestLinksRejectBrokenHeads(t *testing.T) {
	const accepted = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nX Y: 1\r\n\r\n"
	to := rawTarget(t, accepted, func(conn net.Conn) { time.Sleep(answerPause); _ = conn.Close() })
	links := NewLinks(LinksConfig{Self: "a", SharedKey: "k", Log: hclog.NewNullLogger(), Resolve: func(vm proto.VM) (proto.Alive, bool) {
		return proto.Alive{VM: vm, Peer: to}, true
	}})
	t.Cleanup(links.Close)
	_, outcome, err := links.OpenTunnel(t.Context(), "b", netip.MustParseAddrPort("10.0.0.1:80"))
	if err == nil || outcome != relay.CarryUnanswered || !strings.Contains(err.Error(), "no field name") {
		t.Errorf("outcome %v, error %v", outcome, err)
	}
}
