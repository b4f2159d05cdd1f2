package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/relay"
)

const (
	notRunSeeds    = 12
	notRunSenders  = 4
	notRunRequests = 60
	fuzzIDHeader   = "X-Id"
	fuzzSendHeader = "X-Send"
	fuzzNotRun     = "X-Not-Run"
)

// fuzzTarget answers, refuses, answers and refuses twice, late and out of place, breaks off and closes connections, and notes what it ran.
type fuzzTarget struct {
	mu     sync.Mutex
	random *rand.Rand
	ran    map[string]bool
}

func (t *fuzzTarget) draw(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

func (t *fuzzTarget) run(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ran[r.Header.Get(fuzzSendHeader)] = true
}

func fuzzAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\ndone", fuzzIDHeader, id)
}

func fuzzRefusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", fuzzIDHeader, id, fuzzNotRun)
}

func fuzzStream(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nevent\n\r\n0\r\n\r\n", fuzzIDHeader, id)
}

// serve handles the requests of a connection.
func (t *fuzzTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var mu sync.Mutex
	write := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	later := func(text string) {
		time.AfterFunc(time.Duration(t.draw(6000))*time.Microsecond, func() { write(text) })
	}
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(fuzzIDHeader)
		kind := t.draw(12)
		refuses := kind < 5
		if !refuses {
			t.run(r)
		}
		time.Sleep(time.Duration(t.draw(4000)) * time.Microsecond)
		switch kind {
		case 0, 1:
			write(fuzzRefusal(id))
		case 2:
			write("HTTP/1.1 100 Continue\r\n\r\n" + fuzzRefusal(id))
		case 3:
			write(fuzzRefusal(id))
			later(fuzzRefusal(id))
		case 4:
			write(fuzzRefusal(id) + fuzzRefusal(id))
		case 5, 6:
			write(fuzzAnswer(id))
		case 7:
			write(fuzzAnswer(id))
			later(fuzzAnswer(id))
		case 8:
			write(fuzzStream(id))
			later(fuzzRefusal(id))
		case 9:
			write(fuzzAnswer("another") + fuzzAnswer(id))
		case 10:
			write(fuzzStream(id)[:20+t.draw(50)])
			return
		default:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if t.draw(20) == 0 {
			return
		}
	}
}

func (t *fuzzTarget) listen(tb testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// sendFuzzed sends a request and reports whether it is believed not to have run.
func sendFuzzed(transport *TargetTransport, to netip.AddrPort, id, send string) (notRun bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	response, err := transport.Send(ctx, to, &relay.TargetRequest{
		ID: id, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{fuzzIDHeader: {id}, fuzzSendHeader: {send}}, Body: []byte("x"), NonIdempotent: true,
		Matches: func(h http.Header) bool { return h.Get(fuzzIDHeader) == id },
	})
	var sendErr *relay.SendError
	if errors.As(err, &sendErr) {
		return !sendErr.Written
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.Header.Get(fuzzNotRun) != ""
}

// TestRefusalsAreThoseOfTheirRequest guards against requests that must run once and run twice, as they were believed not to have run: by a
// surplus refusal of an earlier request with the same id, that came late in the place of the answer.
func TestRefusalsAreThoseOfTheirRequest(t *testing.T) {
	for seed := range uint64(notRunSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var targets []*fuzzTarget
			var addresses []netip.AddrPort
			for i := range uint64(3) {
				target := &fuzzTarget{random: rand.New(rand.NewPCG(seed, i)), ran: map[string]bool{}}
				targets, addresses = append(targets, target), append(addresses, target.listen(t))
			}
			transport := NewTargetTransport(clockwork.NewRealClock())
			var senders sync.WaitGroup
			var mu sync.Mutex
			believed := map[string]bool{}
			for sender := range uint64(notRunSenders) {
				senders.Go(func() {
					random := rand.New(rand.NewPCG(seed, 100+sender))
					for n := range notRunRequests {
						id := fmt.Sprintf("%d-%d", sender, n)
						for try := range 4 {
							send := fmt.Sprintf("%s-%d", id, try)
							if !sendFuzzed(transport, addresses[random.IntN(len(addresses))], id, send) {
								break
							}
							mu.Lock()
							believed[send] = true
							mu.Unlock()
						}
					}
				})
			}
			senders.Wait()
			for _, target := range targets {
				target.mu.Lock()
				for send := range target.ran {
					if believed[send] {
						t.Errorf("send %s is believed not to have run, and ran", send)
					}
				}
				target.mu.Unlock()
			}
			if len(believed) < notRunRequests {
				t.Errorf("only %d refusals", len(believed))
			}
		})
	}
}
