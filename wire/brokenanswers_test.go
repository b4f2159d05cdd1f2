package wire

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"emberlead/proto"
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
	"the status of the answer to others": "HTTP/1.1 000 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n" + answerHead + "Content-Length: 4\r\n\r\nbody",
}

// TestBrokenHeadsAreNoAnswers guards against heads that pass although they are no answer, as their status is none.
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
