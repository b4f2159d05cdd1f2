package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/relay"
)

const (
	// uploadBytes does not fit into the buffers of a connection, so that part of it is unsent when the answer begins.
	uploadBytes = 8 << 20
	// uploadPlays is how often each answer is played, as the outcome depends on which side of the connection meets a reset first.
	uploadPlays = 10
	// answerPause is the time between an answer and the end of its connection.
	answerPause = 20 * time.Millisecond
)

// earlyTarget answers as soon as it has read the head of a request, while the body is being written, and then ends the connection.
func earlyTarget(t *testing.T, answer string, end func(net.Conn)) netip.AddrPort {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		time.Sleep(answerPause)
		end(conn)
	})
}

// reset ends a connection without an orderly end.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// halfClose ends what is sent over a connection, and reads on until the other end closes it.
func halfClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// halfCloseUnread ends what is sent over a connection, and reads no more of it.
func halfCloseUnread(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite()
	time.Sleep(20 * answerPause)
}

// closeUploaded reads what has arrived of an upload, and closes the connection while the rest is on its way.
func closeUploaded(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.CopyN(io.Discard, conn, uploadBytes/2)
}

// newUploadTransports returns transports that reach a target over an own connection and over another daemon.
func newUploadTransports(t *testing.T, to netip.AddrPort) map[string]*TargetTransport {
	carrier := NewTargetTransport(clockwork.NewRealClock())
	dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return carrier.DialOwn(ctx, to) }
	return map[string]*TargetTransport{"link": NewTargetTransport(clockwork.NewRealClock()), "tunnel": newTunnelTest(t, to, TunnelConfig{MaxOpen: uploadPlays, Dial: dial}).transport}
}

func upload() *relay.TargetRequest { return newTargetRequest("a", strings.Repeat("u", uploadBytes)) }

// TestAnswerResetDuringUploadIsNotWhole guards against an answer that only the end of its connection ends and that passes as whole although
// the connection was reset, because the reset was reported to the goroutine that writes the upload and not to the one that reads.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	forms := map[string]string{
		"no length":             "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody",
		"no length, empty part": "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nbody",
		"a length":              "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nbody",
		"chunks":                "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"another answer before": "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 5\r\n\r\nother" + "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody",
		"a failure":             "HTTP/1.1 500 No\r\nX-Id: a\r\n\r\nbody",
	}
	for form, answer := range forms {
		to := earlyTarget(t, answer, reset)
		for way, transport := range newUploadTransports(t, to) {
			t.Run(form+" over a "+way, func(t *testing.T) {
				for range uploadPlays {
					if body, err := sendOnce(t, transport, to, upload()); err == nil {
						t.Errorf("taken for whole, with body %q", body)
					}
				}
			})
		}
	}
}

// TestEarlyAnswersPassWhole checks that an answer that ends in order during an upload is delivered, however the target treats the rest of
// the upload.
func TestEarlyAnswersPassWhole(t *testing.T) {
	ends := map[string]func(net.Conn){"half closed": halfClose, "half closed, unread": halfCloseUnread, "closed": closeUploaded}
	forms := map[string]string{
		"no length": "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nbody",
		"a length":  okResponse("a", "body"),
		"chunks":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	}
	for endName, end := range ends {
		for form, answer := range forms {
			to := earlyTarget(t, answer, end)
			for way, transport := range newUploadTransports(t, to) {
				t.Run(fmt.Sprintf("%s, %s, over a %s", form, endName, way), func(t *testing.T) {
					for range uploadPlays {
						if body, err := sendOnce(t, transport, to, upload()); err != nil || body != "body" {
							t.Errorf("body %q, %v", body, err)
						}
					}
				})
			}
		}
	}
	for form, answer := range map[string]string{"a length": forms["a length"], "chunks": forms["chunks"]} {
		to := earlyTarget(t, answer, reset)
		for way, transport := range newUploadTransports(t, to) {
			t.Run(fmt.Sprintf("%s, reset after its end, over a %s", form, way), func(t *testing.T) {
				for range uploadPlays {
					// The reset overtakes what a daemon between has not passed on.
					if body, err := sendOnce(t, transport, to, upload()); err != nil && way == "link" || err == nil && body != "body" {
						t.Errorf("body %q, %v", body, err)
					}
				}
			})
		}
	}
}

// TestClientsNoticeResetDuringUpload guards against the same at the clients that read answers by the standard library.
func TestClientsNoticeResetDuringUpload(t *testing.T) {
	to := earlyTarget(t, "HTTP/1.1 200 OK\r\n\r\n{}", reset)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	targets := NewTargetClient()
	limits := DefaultPlatformLimits()
	limits.WritesPerSecond, limits.Burst = 1000, 1000
	store := NewPlatformClient("http://"+to.String(), "a", limits)
	body := []byte(strings.Repeat("u", uploadBytes))
	for range uploadPlays {
		if answer, err := targets.SendRequest(ctx, http.MethodPost, to, "/x", body); err == nil {
			t.Errorf("the client of targets takes %q for whole", answer)
		}
		if _, err := store.do(ctx, platformCall{op: "put object", method: http.MethodPut, path: proto.PathObjects, body: body, write: true}); err == nil {
			t.Error("the client of the platform takes an answer for whole")
		}
	}
	early := earlyTarget(t, "HTTP/1.1 200 OK\r\n\r\n{}", halfClose)
	for range uploadPlays {
		if answer, err := targets.SendRequest(ctx, http.MethodPost, early, "/x", body); err != nil || string(answer) != "{}" {
			t.Errorf("an early answer that ends in order: %q, %v", answer, err)
		}
	}
}
