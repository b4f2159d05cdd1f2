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
	"slices"
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
	// connectTimeout bounds opening a connection: targets are one millisecond away, and a dropped SYN packet is
	// retransmitted only after one second. It is longer while this daemon itself is late, by ownDelayFactor times its delay and
	// maxOwnDelay at most: what takes long then says nothing of a target or a link.
	connectTimeout = 200 * time.Millisecond
	ownDelayFactor = 2
	maxOwnDelay    = 2 * time.Second
	// defaultMaxIdle is how long a connection may stay idle if the target states no keep-alive timeout.
	defaultMaxIdle = 4 * time.Second
	// keepAliveFraction is the fraction of the keep-alive timeout stated by a target for which a connection may stay
	// idle; the rest is a margin, since each end measures the timeout on its own clock.
	keepAliveFraction = 0.7
	// nonIdempotentMaxIdle is how long a connection may have been idle to be used for a non-idempotent request: if the
	// target closed it at that moment, it would be unknown whether the request ran.
	nonIdempotentMaxIdle = 300 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections kept to one target; targets accept a few hundred from all daemons together.
	maxIdlePerAddress = 8
	// maxRequestsPerConn bounds the requests that a connection carries, and so the IDs that are remembered for it.
	maxRequestsPerConn = 1000
	// maxInlineBody is the largest body that is written before the response is read. Larger ones are written
	// concurrently, since a target may respond before it has read them.
	maxInlineBody = 4 << 10
	// maxStrayResponses bounds the responses to other requests that are discarded before the matching one.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of each of them.
	maxStrayBytes  = 8 << 20
	readBufferSize = 4 << 10
	versionHTTP10  = "HTTP/1.0"
)

// TargetTransport sends requests to targets over connections of its own. Unlike a general HTTP client, it never sends a
// request twice, and it reports whether any byte was written.
type TargetTransport struct {
	clock clockwork.Clock
	dial  dialFunc
	// paths decides which connections other daemons carry, and openTunnel opens those. Without paths all are own ones.
	paths      *relay.Paths
	openTunnel tunnelFunc

	mu   sync.Mutex
	idle map[netip.AddrPort][]*targetConn

	// ownDelay returns how late this daemon is with everything.
	ownDelay func() time.Duration

	dialed, reused, stray atomic.Int64
	limits                answerLimits
	// asking counts the connections that others are asked for although the link is not known to be lost.
	asking atomic.Int64
}

// TransportOption configures a TargetTransport.
type TransportOption func(*TargetTransport)

// WithDialer sets the function that opens connections to targets.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) TransportOption {
	return func(t *TargetTransport) { t.dial = dial }
}

// WithTraffic counts the bytes of own connections.
func WithTraffic(traffic *Traffic) TransportOption {
	return func(t *TargetTransport) { t.dial = traffic.Dialer(t.dial) }
}

// WithOwnDelay sets the function that returns how late this daemon is with everything, as its processor or its link is the limit.
func WithOwnDelay(delay func() time.Duration) TransportOption {
	return func(t *TargetTransport) { t.ownDelay = delay }
}

// tunnelFunc opens a connection to a target that another daemon carries.
type tunnelFunc func(ctx context.Context, by proto.VM, to netip.AddrPort) (io.ReadWriteCloser, relay.CarryOutcome, error)

// WithPaths makes other daemons carry the connections to targets that this daemon does not reach.
func WithPaths(paths *relay.Paths, openTunnel tunnelFunc) TransportOption {
	return func(t *TargetTransport) { t.paths, t.openTunnel = paths, openTunnel }
}

// NewTargetTransport returns a transport without open connections.
func NewTargetTransport(clock clockwork.Clock, options ...TransportOption) *TargetTransport {
	t := &TargetTransport{clock: clock, idle: map[netip.AddrPort][]*targetConn{}, dial: (&net.Dialer{KeepAlive: -1}).DialContext, ownDelay: func() time.Duration { return 0 }}
	for _, option := range options {
		option(t)
	}
	t.dial = checkEnds(t.dial)
	return t
}

// TransportCounts holds totals since the start.
type TransportCounts struct {
	Dialed int64 `json:"dialed"`
	Reused int64 `json:"reused"`
	Stray  int64 `json:"strayAnswers"`
	// Oversized counts the answers that were given up because of their size.
	Oversized AnswerLimitCounts `json:"oversized"`
}

// Counts returns the totals.
func (t *TargetTransport) Counts() TransportCounts {
	return TransportCounts{Dialed: t.dialed.Load(), Reused: t.reused.Load(), Stray: t.stray.Load(), Oversized: t.limits.counts()}
}

type targetConn struct {
	io.ReadWriteCloser
	limit  *limitedReader
	reader *bufio.Reader
	// carrier is the daemon that carries the connection, or "" for an own one.
	carrier proto.VM
	// onClose is called when the connection is closed, if it is set.
	onClose   func()
	idleSince time.Time
	idleUntil time.Time
	reused    bool
	// requestIDs holds the IDs of the requests that the connection has carried: a surplus answer to one of them could be taken for that
	// to another one with the same ID.
	requestIDs map[string]bool
}

// Close closes the connection.
func (c *targetConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.ReadWriteCloser.Close()
}

// abort closes the connection while its target works on a request.
func (c *targetConn) abort() error {
	tunnel, ok := c.ReadWriteCloser.(*tunnelConn)
	if !ok {
		discardUnsent(c.ReadWriteCloser)
		return c.Close()
	}
	if c.onClose != nil {
		c.onClose()
	}
	return tunnel.Abort()
}

// usable reports whether an idle connection is open and no data has arrived on it.
func (c *targetConn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tunnel, ok := c.ReadWriteCloser.(*tunnelConn); ok {
		return tunnel.usable()
	}
	own, ok := c.ReadWriteCloser.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := own.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(fd), buffer[:])
		usable = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

func (t *TargetTransport) takeIdle(to netip.AddrPort, out *relay.TargetRequest) *targetConn {
	now := t.clock.Now()
	usesLink := t.usesLink(to)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.idle[to]) - 1; i >= 0; i-- {
		c := t.idle[to][i]
		if out.NonIdempotent && now.Sub(c.idleSince) > nonIdempotentMaxIdle {
			return nil
		}
		if c.requestIDs[out.ID] {
			continue
		}
		t.idle[to] = slices.Delete(t.idle[to], i, i+1)
		if (c.carrier == "") == usesLink && now.Before(c.idleUntil) && c.usable() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (t *TargetTransport) putIdle(to netip.AddrPort, c *targetConn, h http.Header) {
	now := t.clock.Now()
	c.idleSince, c.reused = now, true
	c.idleUntil = now.Add(maxIdle(h))
	t.mu.Lock()
	defer t.mu.Unlock()
	if conns := t.idle[to]; len(conns) < maxIdlePerAddress && len(c.requestIDs) < maxRequestsPerConn && c.idleUntil.After(now) {
		t.idle[to] = append(conns, c)
		return
	}
	_ = c.Close()
}

// keepUnused keeps a connection over which nothing was sent, if it is new.
func (t *TargetTransport) keepUnused(to netip.AddrPort, c *targetConn) {
	if c.reused {
		_ = c.Close()
		return
	}
	t.putIdle(to, c, nil)
}

// maxIdle returns how long a connection may stay idle, based on the target's Keep-Alive header.
func maxIdle(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultMaxIdle
}

// CloseIdle closes the idle connections to an address whose target has ended, since the target may not have closed them.
func (t *TargetTransport) CloseIdle(to netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle[to] {
		_ = c.Close()
	}
	delete(t.idle, to)
}

// CloseExpired closes connections that have been idle for too long, or whose carrier stops or does not reach targets any more; it is
// called several times per second.
func (t *TargetTransport) CloseExpired() {
	now := t.clock.Now()
	carriers := t.carriers()
	t.mu.Lock()
	defer t.mu.Unlock()
	for to, conns := range t.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) && (c.carrier == "" || carriers[c.carrier]) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(t.idle, to)
			continue
		}
		t.idle[to] = kept
	}
}

func (t *TargetTransport) connect(ctx context.Context, to netip.AddrPort, out *relay.TargetRequest) (*targetConn, error) {
	if c := t.takeIdle(to, out); c != nil {
		t.reused.Add(1)
		return c, nil
	}
	return t.open(ctx, to)
}

func (t *TargetTransport) newConn(conn io.ReadWriteCloser, carrier proto.VM) *targetConn {
	limit := &limitedReader{Reader: conn, limits: &t.limits}
	return &targetConn{ReadWriteCloser: conn, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), carrier: carrier, requestIDs: map[string]bool{}}
}

// Send writes a request and returns the status and header of its response; canceling the context closes the connection.
func (t *TargetTransport) Send(ctx context.Context, to netip.AddrPort, out *relay.TargetRequest) (*relay.TargetResponse, error) {
	c, err := t.connect(ctx, to, out)
	if err != nil {
		return nil, &relay.SendError{Err: err}
	}
	if out.Observer != nil {
		err = out.Observer.BeforeWrite(c.carrier)
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		t.keepUnused(to, c)
		return nil, &relay.SendError{Err: err}
	}
	if out.ID != "" {
		c.requestIDs[out.ID] = true
	}
	body := &responseBody{transport: t, to: to, conn: c, ctx: ctx, sentAt: t.clock.Now(), observer: out.Observer, writeDone: make(chan error, 1)}
	body.stopCancel = context.AfterFunc(ctx, body.abort)
	sent, err := body.writeRequest(out)
	if err != nil {
		body.closeConn()
		return nil, &relay.SendError{Written: sent, Err: body.checkLink(err)}
	}
	resp, err := body.readHead(out)
	if proto.KindOf(err) == proto.KindTooLarge {
		// The link works, so this says something about the target.
		t.recordHeard(to, c)
		body.closeConn()
		return nil, &relay.SendError{Written: true, Err: err}
	}
	if err != nil {
		body.closeConn()
		return nil, &relay.SendError{Written: true, Err: body.checkLink(err)}
	}
	t.recordHeard(to, c)
	body.resp = resp
	return &relay.TargetResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// responseBody is a response that is being read, with the connection that it arrives on.
type responseBody struct {
	transport *TargetTransport
	to        netip.AddrPort
	conn      *targetConn
	// ctx is that of the request, which was sent at sentAt.
	ctx             context.Context
	sentAt          time.Time
	observer        relay.SendObserver
	stopCancel      func() bool
	writeDone       chan error
	concurrentWrite bool // the body is written by another goroutine
	resp            *http.Response
	complete        bool
	closed          bool
}

// writeRequest writes the head and the body of a request, and reports whether any byte may have reached the target.
func (r *responseBody) writeRequest(out *relay.TargetRequest) (sent bool, err error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(out.Body), maxInlineBody))
	b.WriteString(out.Method + " " + out.URI + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	if err := out.Header.Write(&b); err != nil {
		return false, &Error{Op: "write request", Kind: proto.KindInvalid, Err: err}
	}
	if len(out.Body) > 0 || out.Method != http.MethodGet && out.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(out.Body) <= maxInlineBody {
		b.Write(out.Body)
		n, err := r.conn.Write(b.Bytes())
		return n > 0, err
	}
	if n, err := r.conn.Write(b.Bytes()); err != nil {
		return n > 0, err
	}
	r.concurrentWrite = true
	go func() {
		_, err := r.conn.Write(out.Body)
		r.writeDone <- err
	}()
	return true, nil
}

// readHead reads the head of the matching response; responses to earlier requests on the connection are discarded.
func (r *responseBody) readHead(out *relay.TargetRequest) (*http.Response, error) {
	request := &http.Request{Method: out.Method}
	limit := r.conn.limit
	defer limit.begin(partBody)
	for stray := 0; ; {
		limit.begin(partHead)
		resp, err := r.readFinalHead(request)
		if err != nil {
			return nil, err
		}
		if out.Matches == nil || out.Matches(resp.Header) {
			return resp, nil
		}
		r.transport.stray.Add(1)
		if stray++; stray > maxStrayResponses {
			return nil, newError("read answer", proto.KindMismatch, "the answers on the connection are for other requests")
		}
		limit.begin(partStray)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

// readFinalHead reads the head of a final answer, and discards the interim ones before it.
func (r *responseBody) readFinalHead(request *http.Request) (*http.Response, error) {
	for {
		resp, err := r.conn.readResponse(request)
		if err == nil {
			err = checkAnswer(resp)
		}
		if err != nil || resp.StatusCode/100 != 1 {
			return resp, err
		}
	}
}

// readResponse parses a head. The parser ignores a transfer coding in HTTP/1.0, and would take the coded bytes for the body, so it is
// shown the later version.
func (c *targetConn) readResponse(request *http.Request) (*http.Response, error) {
	version, err := c.reader.Peek(len(versionHTTP10))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	http10 := string(version) == versionHTTP10
	if http10 {
		version[len(version)-1] = '1'
	}
	resp, err := http.ReadResponse(c.reader, request)
	if err == nil && http10 {
		resp.Proto, resp.ProtoMinor = versionHTTP10, 0
		resp.Close = resp.Close || !strings.EqualFold(resp.Header.Get("Connection"), "keep-alive")
	}
	return resp, err
}

// Read reads the body; it returns io.EOF only at the proper end of the body.
func (r *responseBody) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		r.complete = true
	case err != nil:
		err = r.checkLink(err)
	}
	return n, err
}

// Close keeps the connection for another request if the request and its response are complete, and closes it otherwise.
func (r *responseBody) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	reusable := r.complete && r.stopCancel() && !r.resp.Close && r.conn.reader.Buffered() == 0 && r.bodyWritten()
	if !reusable {
		r.closeConn()
		return nil
	}
	r.transport.putIdle(r.to, r.conn, r.resp.Header)
	return nil
}

// bodyWritten reports whether the whole request was written; after an early response, part of the body may still be unsent.
func (r *responseBody) bodyWritten() bool {
	if !r.concurrentWrite {
		return true
	}
	select {
	case err := <-r.writeDone:
		return err == nil
	default:
		return false
	}
}

func (r *responseBody) closeConn() {
	if !r.stopCancel() || r.complete {
		_ = r.conn.Close()
		return
	}
	r.abort()
}

// abort closes the connection while the target works on the request.
func (r *responseBody) abort() {
	_ = r.conn.abort()
	if r.observer != nil {
		r.observer.Aborted()
	}
}
