package wire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/relay"
)

const (
	// connectWait bounds opening a connection: targets are one millisecond away, and a dropped SYN packet is
	// retransmitted only after one second.
	connectWait = 200 * time.Millisecond
	// idleMost is how long a connection may stay idle if the target states no keep-alive timeout.
	idleMost = 4 * time.Second
	// idleShare is the fraction of the keep-alive timeout stated by a target for which a connection may stay idle; the
	// rest is a margin, since each end measures the timeout on its own clock.
	idleShare = 0.7
	// onceIdle is how long a connection may have been idle to be used for a non-idempotent request: if the target
	// closed it at that moment, it would be unknown whether the request ran.
	onceIdle = 300 * time.Millisecond
	// idlePerAddress bounds the idle connections kept to one target; targets accept a few hundred from all daemons
	// together.
	idlePerAddress = 8
	// inlineBody is the largest body that is written before the response is read. Larger ones are written concurrently,
	// since a target may respond before it has read them.
	inlineBody = 4 << 10
	// strayAnswers bounds the responses to other requests that are discarded before the matching one.
	strayAnswers = 2
	exchangeBuf  = 4 << 10
)

// TargetTransport sends requests to targets over connections of its own. Unlike a general HTTP client, it never sends a
// request twice, and it reports whether any byte was written.
type TargetTransport struct {
	clock  clockwork.Clock
	dialer net.Dialer

	mu   sync.Mutex
	idle map[netip.AddrPort][]*targetConn

	dialed, reused, stray atomic.Int64
}

// NewTargetTransport returns a transport without open connections.
func NewTargetTransport(clock clockwork.Clock) *TargetTransport {
	return &TargetTransport{clock: clock, idle: map[netip.AddrPort][]*targetConn{}, dialer: net.Dialer{Timeout: connectWait, KeepAlive: -1}}
}

// TransportCounts holds totals since the start.
type TransportCounts struct {
	Dialed int64 `json:"dialed"`
	Reused int64 `json:"reused"`
	Stray  int64 `json:"strayAnswers"`
}

// Counts returns the totals.
func (e *TargetTransport) Counts() TransportCounts {
	return TransportCounts{Dialed: e.dialed.Load(), Reused: e.reused.Load(), Stray: e.stray.Load()}
}

type targetConn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
	until  time.Time
	used   bool
}

// quiet reports whether an idle connection is open and no data has arrived on it.
func (c *targetConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, rerr := syscall.Read(int(fd), one[:])
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (e *TargetTransport) take(to netip.AddrPort, once bool) *targetConn {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		list := e.idle[to]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		if once && now.Sub(c.since) > onceIdle {
			return nil
		}
		e.idle[to] = list[:len(list)-1]
		if now.Before(c.until) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (e *TargetTransport) rest(to netip.AddrPort, c *targetConn, h http.Header) {
	now := e.clock.Now()
	c.since, c.used = now, true
	c.until = now.Add(restTime(h))
	e.mu.Lock()
	defer e.mu.Unlock()
	if list := e.idle[to]; len(list) < idlePerAddress && c.until.After(now) {
		e.idle[to] = append(list, c)
		return
	}
	_ = c.Close()
}

// restTime returns how long a connection may stay idle, based on the target's Keep-Alive header.
func restTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
	return idleMost
}

// CloseIdle closes the idle connections to an address whose target has ended, since the target may not have closed them.
func (e *TargetTransport) CloseIdle(to netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.idle[to] {
		_ = c.Close()
	}
	delete(e.idle, to)
}

// CloseExpired closes connections that have been idle for too long; it is called about once a second.
func (e *TargetTransport) CloseExpired() {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for to, list := range e.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(e.idle, to)
			continue
		}
		e.idle[to] = kept
	}
}

func (e *TargetTransport) connect(ctx context.Context, to netip.AddrPort, once bool) (*targetConn, error) {
	if c := e.take(to, once); c != nil {
		e.reused.Add(1)
		return c, nil
	}
	e.dialed.Add(1)
	conn, err := e.dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, err
	}
	return &targetConn{Conn: conn, reader: bufio.NewReaderSize(conn, exchangeBuf)}, nil
}

// Send writes a request and returns the status and header of its response; canceling the context closes the connection.
func (e *TargetTransport) Send(ctx context.Context, to netip.AddrPort, out *relay.TargetRequest) (*relay.TargetResponse, error) {
	c, err := e.connect(ctx, to, out.NonIdempotent)
	if err != nil {
		return nil, &relay.SendError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchanged{exchange: e, to: to, conn: c, stop: stop, written: make(chan error, 1)}
	sent, err := x.write(out)
	if err != nil {
		x.abandon()
		return nil, &relay.SendError{Written: sent, Err: err}
	}
	resp, err := x.readHead(out)
	if err != nil {
		x.abandon()
		return nil, &relay.SendError{Written: true, Err: err}
	}
	x.resp = resp
	return &relay.TargetResponse{Status: resp.StatusCode, Header: resp.Header, Body: x}, nil
}

// Refuses reports whether connections to an address are refused.
func (e *TargetTransport) Refuses(ctx context.Context, to netip.AddrPort) bool {
	conn, err := e.dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent over the connection.
	_ = conn.Close()
	return false
}

// exchanged is a response that is being read, with the connection that it arrives on.
type exchanged struct {
	exchange *TargetTransport
	to       netip.AddrPort
	conn     *targetConn
	stop     func() bool
	written  chan error
	beside   bool // the body is written by another goroutine
	resp     *http.Response
	ended    bool
	closed   bool
}

// write writes the head and the body of a request, and reports whether any byte may have reached the target.
func (x *exchanged) write(out *relay.TargetRequest) (sent bool, err error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(out.Body), inlineBody))
	b.WriteString(out.Method + " " + out.URI + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	if err := out.Header.Write(&b); err != nil {
		return false, &Error{Op: "write request", Kind: proto.KindInvalid, Err: err}
	}
	if len(out.Body) > 0 || out.Method != http.MethodGet && out.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(out.Body) <= inlineBody {
		b.Write(out.Body)
		n, err := x.conn.Write(b.Bytes())
		return n > 0, err
	}
	if n, err := x.conn.Write(b.Bytes()); err != nil {
		return n > 0, err
	}
	x.beside = true
	go func() {
		_, err := x.conn.Write(out.Body)
		x.written <- err
	}()
	return true, nil
}

// readHead reads the head of the matching response; responses to earlier requests on the connection are discarded.
func (x *exchanged) readHead(out *relay.TargetRequest) (*http.Response, error) {
	request := &http.Request{Method: out.Method}
	for stray := 0; ; stray++ {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if out.Matches == nil || out.Matches(resp.Header) {
			return resp, nil
		}
		x.exchange.stray.Add(1)
		if stray >= strayAnswers {
			return nil, newError("read answer", proto.KindMismatch, "the answers on the connection are for other requests")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
			return nil, err
		}
	}
}

// Read reads the body; it returns io.EOF only at the proper end of the body.
func (x *exchanged) Read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		x.ended = true
	}
	return n, err
}

// Close keeps the connection for another request if the request and its response are complete, and closes it otherwise.
func (x *exchanged) Close() error {
	if x.closed {
		return nil
	}
	x.closed = true
	whole := x.ended && x.stop() && !x.resp.Close && x.conn.reader.Buffered() == 0 && x.bodyWritten()
	if !whole {
		x.abandon()
		return nil
	}
	x.exchange.rest(x.to, x.conn, x.resp.Header)
	return nil
}

// bodyWritten reports whether the whole request was written; after an early response, part of the body may still be
// unsent.
func (x *exchanged) bodyWritten() bool {
	if !x.beside {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

func (x *exchanged) abandon() {
	x.stop()
	_ = x.conn.Close()
}
