package wire

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"emberlead/proto"
)

const (
	pathPeer        = "/peer"
	headerVM        = "Emberlead-Vm"
	outboxSize      = 512
	linkIdleTimeout = time.Minute
	redialDelay     = 500 * time.Millisecond
	writeTimeout    = 5 * time.Second
)

// LinkCounts are the totals of all links since the start.
type LinkCounts struct {
	Links    int   `json:"links"`
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	BytesOut int64 `json:"bytesOut"`
	BytesIn  int64 `json:"bytesIn"`
	Dropped  int64 `json:"dropped"`
	// Kinds counts the messages queued for sending, by kind of message.
	Kinds map[string]KindCount `json:"kinds,omitempty"`
}

// Links carries messages to other daemons over WebSocket. Each daemon opens a connection for the messages that it
// sends; answers come back on the same connection.
type Links struct {
	self      proto.VM
	sharedKey string
	tls       *tls.Config
	// credentials back tls if daemons authenticate with certificates that may change; nil otherwise.
	credentials   *Credentials
	log           hclog.Logger
	client        *http.Client
	resolve       func(proto.VM) (proto.Alive, bool)
	handle        func(context.Context, proto.VM, proto.Message) proto.Message
	beforeMessage func()

	mu          sync.Mutex
	links       map[proto.VM]*link
	partitioned map[proto.VM]bool
	// accepted are the connections opened by other daemons.
	accepted map[*websocket.Conn]bool
	closed   bool
	// certRefused are the daemons for which a certificate was refused on the last attempt to connect.
	certRefused map[proto.VM]bool
	calls       atomic.Uint64

	sent, received, bytesOut, bytesIn, dropped atomic.Int64

	kinds   kindCounts
	tunnels tunnelServer
}

// LinksConfig configures Links.
type LinksConfig struct {
	Self proto.VM
	// SharedKey is the bearer key that daemons on the loopback interface authenticate with.
	SharedKey string
	// TLS holds the certificate and the authority for mutual authentication, if set.
	TLS *tls.Config
	// Credentials replaces TLS, if set.
	Credentials *Credentials
	Log         hclog.Logger
	Resolve     func(proto.VM) (proto.Alive, bool)
	Handle      func(context.Context, proto.VM, proto.Message) proto.Message
	// Dial opens connections to other daemons; the default is a dialer whose connections fail when the other end stops responding.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// BeforeMessage runs before each received message is handled.
	BeforeMessage func()
	// Tunnels configures the connections to targets that this daemon carries for others; none if it is zero.
	Tunnels TunnelConfig
}

// NewLinks returns links that connect when the first message is sent.
func NewLinks(c LinksConfig) *Links {
	l := &Links{
		self: c.Self, sharedKey: c.SharedKey, tls: c.TLS, log: c.Log, resolve: c.Resolve, handle: c.Handle, beforeMessage: c.BeforeMessage,
		links: map[proto.VM]*link{}, partitioned: map[proto.VM]bool{}, accepted: map[*websocket.Conn]bool{}, certRefused: map[proto.VM]bool{}, credentials: c.Credentials, tunnels: tunnelServer{TunnelConfig: c.Tunnels},
	}
	if l.credentials != nil {
		l.tls = l.credentials.clientTLS()
	}
	if l.tunnels.Relays == nil {
		l.tunnels.Relays = func(proto.VM) []proto.VM { return nil }
	}
	if l.beforeMessage == nil {
		l.beforeMessage = func() {}
	}
	dial := dialFunc(c.Dial)
	if dial == nil {
		dial = NewDialer(dialTimeout).DialContext
	}
	l.client = NewAnswerClient(&http.Transport{TLSClientConfig: l.tls, DialContext: dial.withRetry(linkDialAttemptTimeout), MaxResponseHeaderBytes: maxHeadBytes})
	return l
}

// Counts returns the totals.
func (l *Links) Counts() LinkCounts {
	l.mu.Lock()
	n := len(l.links)
	l.mu.Unlock()
	return LinkCounts{
		Links: n, Sent: l.sent.Load(), Received: l.received.Load(),
		BytesOut: l.bytesOut.Load(), BytesIn: l.bytesIn.Load(), Dropped: l.dropped.Load(),
		Kinds: l.kinds.snapshot(),
	}
}

// SetPartitioned drops all messages to and from a daemon, or stops doing so; for tests.
func (l *Links) SetPartitioned(vm proto.VM, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[vm] = partitioned
}

func (l *Links) isPartitioned(vm proto.VM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned[vm]
}

// Close closes the links to all other daemons, and the connections that this one carries for them.
func (l *Links) Close() {
	l.tunnels.closeAll()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, lk := range l.links {
		lk.cancel()
	}
}

type link struct {
	owner  *Links
	to     proto.VM
	outbox chan []byte
	ctx    context.Context
	cancel context.CancelFunc
	// unreachable means that the other daemon could not be reached a moment ago, so that calls fail at once.
	unreachable atomic.Bool
	mu          sync.Mutex
	calls       map[uint64]pendingCall
}

// pendingCall is a call without an answer so far.
type pendingCall struct {
	reply chan proto.Message
	// progress is told of the bytes that arrive over the link; nil if the call is not bounded by its progress.
	progress *proto.Progress
}

func (l *Links) link(to proto.VM) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.partitioned[to] {
		return nil
	}
	lk := l.links[to]
	if lk != nil {
		return lk
	}
	lk = &link{owner: l, to: to, outbox: make(chan []byte, outboxSize), calls: map[uint64]pendingCall{}}
	lk.ctx, lk.cancel = context.WithCancel(context.Background())
	l.links[to] = lk
	go lk.run()
	return lk
}

func (l *Links) removeLink(lk *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[lk.to] == lk {
		delete(l.links, lk.to)
	}
	lk.cancel()
	lk.failCalls()
}

func (lk *link) failCalls() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.unreachable.Store(true)
	for id, call := range lk.calls {
		close(call.reply)
		delete(lk.calls, id)
	}
}

// Send queues a message and returns at once; if the queue is full, the message is dropped and counted.
func (l *Links) Send(to proto.VM, m proto.Message) {
	data, err := proto.Encode(m, 0, false, "")
	if err != nil {
		l.log.Error("failed to encode message", "error", err)
		return
	}
	if lk := l.link(to); lk != nil && lk.enqueue(data) {
		l.kinds.add(m, len(data))
	}
}

func (lk *link) enqueue(data []byte) bool {
	select {
	case lk.outbox <- data:
		return true
	default:
		lk.owner.dropped.Add(1)
		return false
	}
}

// Call sends a message and waits for its answer; it fails with KindUnavailable.
func (l *Links) Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	ctx, s := startSpan(ctx, "peer", trace.SpanKindClient, attribute.String("emberlead.peer", string(to)))
	answer, err := l.call(ctx, to, m)
	endSpan(s, err)
	return answer, err
}

func (l *Links) call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	id := l.calls.Add(1)
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	data, err := proto.Encode(m, id, false, carrier.Get("traceparent"))
	if err != nil {
		return nil, err
	}
	lk := l.link(to)
	if lk == nil {
		return nil, newError("call", proto.KindUnavailable, "no link to %s", to)
	}
	reply := make(chan proto.Message, 1)
	if !lk.addCall(id, pendingCall{reply, proto.ProgressOf(ctx)}) {
		return nil, newError("call", proto.KindUnavailable, "%s could not be reached a moment ago", to)
	}
	defer func() {
		lk.mu.Lock()
		delete(lk.calls, id)
		lk.mu.Unlock()
	}()
	if !lk.enqueue(data) {
		return nil, newError("call", proto.KindUnavailable, "the queue to %s is full", to)
	}
	l.kinds.add(m, len(data))
	select {
	case answer, ok := <-reply:
		if !ok {
			return nil, newError("call", proto.KindUnavailable, "the link to %s broke", to)
		}
		return answer, nil
	case <-ctx.Done():
		return nil, &Error{Op: "call", Kind: proto.KindUnavailable, Err: context.Cause(ctx)}
	}
}

// addCall registers a call, unless the other daemon is unreachable.
func (lk *link) addCall(id uint64, call pendingCall) bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.unreachable.Load() {
		return false
	}
	lk.calls[id] = call
	return true
}

func (lk *link) run() {
	l := lk.owner
	defer l.removeLink(lk)
	conn, err := lk.dial()
	if err != nil {
		l.log.Trace("failed to open link", "to", lk.to, "error", err)
		// Messages queued within this time are dropped together with this link, so that not each of them dials.
		lk.failCalls()
		select {
		case <-time.After(redialDelay):
		case <-lk.ctx.Done():
		}
		return
	}
	defer conn.CloseNow()
	go lk.read(conn)
	lk.write(conn)
}

func (lk *link) dial() (*websocket.Conn, error) {
	l := lk.owner
	alive, ok := l.resolve(lk.to)
	if !ok || !alive.Peer.IsValid() {
		return nil, newError("dial", proto.KindNotFound, "%s has no known address", lk.to)
	}
	ctx, cancel := context.WithTimeout(lk.ctx, dialTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, l.peerURL(alive, pathPeer), &websocket.DialOptions{
		HTTPClient: l.client, HTTPHeader: l.peerHeader(), CompressionMode: websocket.CompressionDisabled,
	})
	if resp != nil && resp.StatusCode == http.StatusUnauthorized {
		l.log.Warn("another daemon does not accept this one's key or certificate", "to", lk.to, "address", alive.Peer)
	}
	if err != nil {
		if isCertRefusal(err) {
			l.recordCertRefusal(lk.to, true, err)
		}
		return nil, &Error{Op: "dial", Kind: proto.KindUnavailable, Err: err}
	}
	err = l.verifyPeerName(resp, alive.VM)
	l.recordCertRefusal(lk.to, err != nil, err)
	if err != nil {
		_ = conn.CloseNow() // Nothing was sent over the connection.
		return nil, err
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	conn.SetReadLimit(proto.MaxMessageSize)
	return conn, nil
}

// peerURL returns the URL of a path at another daemon.
func (l *Links) peerURL(peer proto.Alive, path string) string {
	if l.tls != nil {
		return "wss://" + peer.Peer.String() + path
	}
	return "ws://" + peer.Peer.String() + path
}

// peerHeader returns the header with which this daemon authenticates to others.
func (l *Links) peerHeader() http.Header {
	header := http.Header{headerVM: {string(l.self)}}
	if l.sharedKey != "" {
		header.Set("Authorization", "Bearer "+l.sharedKey)
	}
	return header
}

func (lk *link) write(conn *websocket.Conn) {
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case data := <-lk.outbox:
			if lk.owner.isPartitioned(lk.to) {
				return
			}
			ctx, cancel := context.WithTimeout(lk.ctx, writeTimeout)
			err := conn.Write(ctx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				return
			}
			lk.owner.sent.Add(1)
			lk.owner.bytesOut.Add(int64(len(data)))
			idle.Reset(linkIdleTimeout)
		case <-idle.C:
			return
		case <-lk.ctx.Done():
			return
		}
	}
}

func (lk *link) read(conn *websocket.Conn) {
	defer lk.cancel()
	for {
		data, err := lk.readMessage(conn)
		if err != nil {
			return
		}
		lk.owner.received.Add(1)
		lk.owner.bytesIn.Add(int64(len(data)))
		env, m, err := proto.Decode(data)
		if err != nil || !env.Answer || lk.owner.isPartitioned(lk.to) {
			continue
		}
		lk.owner.beforeMessage()
		lk.mu.Lock()
		call, waits := lk.calls[env.Call]
		delete(lk.calls, env.Call)
		lk.mu.Unlock()
		if waits {
			call.reply <- m
		}
	}
}

// readMessage reads a message, and tells the calls that wait for an answer over this link of its progress.
func (lk *link) readMessage(conn *websocket.Conn) ([]byte, error) {
	_, r, err := conn.Reader(lk.ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(&linkReader{r, lk})
}

// linkReader reads a message from a link.
type linkReader struct {
	io.Reader
	link *link
}

// Read reads bytes of the message.
func (r *linkReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.link.reportProgress(n)
	}
	return n, err
}

func (lk *link) reportProgress(bytes int) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	for _, call := range lk.calls {
		if call.progress != nil {
			call.progress.Receive(bytes)
		}
	}
}
