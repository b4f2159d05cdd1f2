package wire

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"emberlead/proto"
	"emberlead/relay"
)

const (
	pathTunnel  = "/tunnel"
	targetParam = "target"
	tunnelParam = "tunnel"
	// tunnelChunk is the largest message in a tunnel, in bytes. Each end buffers one in each direction.
	tunnelChunk = 16 << 10
	// tunnelOpenTimeout bounds opening a tunnel: connecting to the daemon, and its connection to the target.
	tunnelOpenTimeout = 200 * time.Millisecond
	// carryDialTimeout bounds the connection to the target. With the head start of an own connection it is within connectTimeout, so that
	// an attempt at a target that nobody reaches fails no later than without other daemons.
	carryDialTimeout = 100 * time.Millisecond
	// tunnelStallTimeout is how long a message may wait for the other end to read.
	tunnelStallTimeout = 30 * time.Second
)

// TunnelConfig configures the tunnels that a daemon carries for others.
type TunnelConfig struct {
	// Dial opens an own connection to a target.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// IsTarget reports whether a target has an address, and TrustsLinks whether this daemon's failure to reach one says something about it.
	IsTarget    func(netip.AddrPort) bool
	TrustsLinks func(context.Context) bool
	// Relays lists daemons that may reach the given one if this daemon does not; none if it is nil.
	Relays func(proto.VM) []proto.VM
	// MaxOpen limits the tunnels that are open at a time.
	MaxOpen int64
}

// tunnelServer carries connections of other daemons to targets, over own connections only. A tunnel ends at once when either end
// closes it, and its end is orderly only if the target closed its connection orderly.
type tunnelServer struct {
	TunnelConfig
	open, carried, refused atomic.Int64

	mu    sync.Mutex
	conns map[*websocket.Conn]carriedConn
}

// carriedConn is a connection to a target that this daemon carries, and the ID that its user gave to the tunnel.
type carriedConn struct {
	net.Conn
	tunnel string
}

// track registers an open tunnel until the returned function is called.
func (s *tunnelServer) track(conn *websocket.Conn, target carriedConn) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*websocket.Conn]carriedConn{}
	}
	s.conns[conn] = target
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}
}

// closeTunnel closes a connection to a target, and the tunnel with it.
func (s *tunnelServer) closeTunnel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.conns {
		if target.tunnel == id {
			discardUnsent(target.Conn)
			_ = target.Close() // It may have just been closed.
		}
	}
}

// closeAll ends all tunnels that this daemon carries.
func (s *tunnelServer) closeAll() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseNow() // It may have just been closed.
	}
}

// TunnelCounts holds the number of open tunnels and the totals since the start.
type TunnelCounts struct {
	Open    int64 `json:"open"`
	Carried int64 `json:"carried"`
	Refused int64 `json:"refused"`
}

// TunnelCounts returns what this daemon carries for others.
func (l *Links) TunnelCounts() TunnelCounts {
	return TunnelCounts{Open: l.tunnels.open.Load(), Carried: l.tunnels.carried.Load(), Refused: l.tunnels.refused.Load()}
}

// acceptTunnel connects to a target before it accepts the tunnel, so that the status tells why it does not.
func (l *Links) acceptTunnel(w http.ResponseWriter, r *http.Request) {
	from := proto.VM(r.Header.Get(headerVM))
	if !l.authenticated(r, from) {
		http.Error(w, "a peer must authenticate", http.StatusUnauthorized)
		return
	}
	s := &l.tunnels
	to, err := netip.ParseAddrPort(r.URL.Query().Get(targetParam))
	if err != nil || s.Dial == nil || !s.IsTarget(to) {
		s.refused.Add(1)
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > s.MaxOpen {
		s.refused.Add(1)
		http.Error(w, "too many tunnels", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), carryDialTimeout)
	target, err := s.Dial(ctx, to)
	cancel()
	if err != nil {
		status := http.StatusGatewayTimeout
		switch {
		case !s.TrustsLinks(r.Context()):
			status = http.StatusServiceUnavailable
		case errors.Is(err, syscall.ECONNREFUSED):
			status = http.StatusBadGateway
		}
		s.refused.Add(1)
		http.Error(w, err.Error(), status)
		return
	}
	defer target.Close()
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		l.log.Debug("failed to accept a tunnel", "from", from, "error", err)
		return
	}
	defer conn.CloseNow()
	defer s.track(conn, carriedConn{target, r.URL.Query().Get(tunnelParam)})()
	s.carried.Add(1)
	l.log.Debug("carrying a connection", "from", from, "target", to, "open", s.open.Load())
	carry(r.Context(), conn, target)
}

// carry copies data both ways until either end closes.
func carry(ctx context.Context, tunnel *websocket.Conn, target net.Conn) {
	go func() {
		defer target.Close()
		defer discardUnsent(target)
		buffer := make([]byte, tunnelChunk)
		for {
			_, r, err := tunnel.Reader(ctx)
			if err != nil {
				return
			}
			// Only the write side is exposed, so that the buffer is used.
			if _, err := io.CopyBuffer(struct{ io.Writer }{target}, r, buffer); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, tunnelChunk)
	for {
		n, err := target.Read(buffer)
		if n > 0 && writeTunnel(ctx, tunnel, buffer[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = tunnel.Close(websocket.StatusNormalClosure, "") // The other end may be gone.
		}
		if err != nil {
			return
		}
	}
}

func writeTunnel(ctx context.Context, tunnel *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, tunnelStallTimeout)
	defer cancel()
	return tunnel.Write(ctx, websocket.MessageBinary, data)
}

// OpenTunnel opens a connection to a target that another daemon carries. If it does not, outcome says why.
func (l *Links) OpenTunnel(ctx context.Context, by proto.VM, to netip.AddrPort) (conn io.ReadWriteCloser, outcome relay.CarryOutcome, err error) {
	if l.isPartitioned(by) {
		return nil, relay.CarryUnanswered, newError("open tunnel", proto.KindUnavailable, "no link to %s", by)
	}
	alive, ok := l.resolve(by)
	if !ok || !alive.Peer.IsValid() {
		return nil, relay.CarryUnanswered, newError("open tunnel", proto.KindNotFound, "%s has no known address", by)
	}
	openCtx, cancel := context.WithTimeout(ctx, tunnelOpenTimeout)
	defer cancel()
	id := uuid.NewString()
	ws, resp, err := websocket.Dial(openCtx, l.peerURL(alive, pathTunnel)+"?"+url.Values{targetParam: {to.String()}, tunnelParam: {id}}.Encode(), &websocket.DialOptions{
		HTTPClient: l.client, HTTPHeader: l.peerHeader(), CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		outcome, cause := carryOutcome(resp)
		return nil, outcome, &Error{Op: "open tunnel", Kind: proto.KindUnavailable, Err: errors.WithMessage(cause, "by "+string(by)+": "+err.Error())}
	}
	if err := l.verifyPeerName(resp, alive.VM); err != nil {
		_ = ws.CloseNow() // Nothing was sent over the connection.
		return nil, relay.CarryUnanswered, err
	}
	return newTunnelConn(ws, func() { l.sendTunnelClose(proto.TunnelClose{Carrier: by, ID: id}) }), 0, nil
}

// sendTunnelClose tells a daemon over its link, and through others, that a tunnel is closed: the connection of the tunnel may
// be lost, and the target works on as long as the carrier does not know.
func (l *Links) sendTunnelClose(m proto.TunnelClose) {
	for _, to := range append(l.tunnels.Relays(m.Carrier), m.Carrier) {
		if alive, ok := l.resolve(to); ok && alive.Protocol >= proto.PeerProtocolTunnelClose {
			l.Send(to, m)
		}
	}
}

func (l *Links) handleTunnelClose(m proto.TunnelClose) {
	if m.Carrier != l.self {
		l.Send(m.Carrier, m)
		return
	}
	l.tunnels.closeTunnel(m.ID)
}

// errNotCarried means that a daemon did not open a tunnel for another reason than its connection to the target.
var errNotCarried = errors.New("connection not carried")

// carryOutcome returns why a daemon did not open a tunnel, from its response if there is one.
func carryOutcome(resp *http.Response) (relay.CarryOutcome, error) {
	if resp == nil {
		return relay.CarryUnanswered, errNotCarried
	}
	switch resp.StatusCode {
	case http.StatusBadGateway:
		return relay.CarryUnreachable, syscall.ECONNREFUSED
	case http.StatusGatewayTimeout:
		return relay.CarryUnreachable, context.DeadlineExceeded
	}
	return relay.CarryBusy, errNotCarried
}

// tunnelConn is the end of a tunnel at the daemon that uses it. It buffers one message that was not read yet.
type tunnelConn struct {
	ws       *websocket.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	messages chan []byte
	rest     []byte
	// readErr is why messages was closed.
	readErr   error
	closeOnce sync.Once
	// announceClose tells the carrier over other connections that the tunnel is closed.
	announceClose func()
}

func newTunnelConn(ws *websocket.Conn, announceClose func()) *tunnelConn {
	c := &tunnelConn{ws: ws, messages: make(chan []byte), announceClose: announceClose}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	go c.receive()
	return c
}

func (c *tunnelConn) receive() {
	defer close(c.messages)
	for {
		_, data, err := c.ws.Read(c.ctx)
		switch {
		case websocket.CloseStatus(err) == websocket.StatusNormalClosure:
			err = io.EOF
		case errors.Is(err, io.EOF):
			// The connection to the other daemon ended without a close frame.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			c.readErr = err
			return
		}
		select {
		case c.messages <- data:
		case <-c.ctx.Done():
			c.readErr = net.ErrClosed
			return
		}
	}
}

// usable reports whether the tunnel is open and no data has arrived on it.
func (c *tunnelConn) usable() bool {
	select {
	case <-c.messages:
		return false
	default:
		return c.ctx.Err() == nil
	}
}

// Read returns io.EOF only if the target closed its connection orderly.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		data, ok := <-c.messages
		if !ok {
			return 0, c.readErr
		}
		c.rest = data
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write reports at least one byte as written if it fails, since some may have reached the target.
func (c *tunnelConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+tunnelChunk)]
		if err := writeTunnel(c.ctx, c.ws, chunk); err != nil {
			return max(1, written), err
		}
		written += len(chunk)
	}
	return written, nil
}

// Abort closes the tunnel while its target works on a request.
func (c *tunnelConn) Abort() error {
	err := c.Close()
	c.announceClose()
	return err
}

// Close closes the tunnel at once, and with it the connection to the target.
func (c *tunnelConn) Close() error {
	c.closeOnce.Do(func() {
		c.cancel()
		_ = c.ws.CloseNow() // It may have been closed by the other end.
	})
	return nil
}
