package wire

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"emberlead/proto"
)

// Handler returns the handler of the route that other daemons connect to.
func (l *Links) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathPeer, l.accept)
	mux.HandleFunc(pathTunnel, l.acceptTunnel)
	return mux
}

func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	from := proto.VM(r.Header.Get(headerVM))
	if !l.authenticated(r, from) {
		http.Error(w, "a peer must authenticate", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	defer conn.CloseNow()
	l.addAccepted(conn)
	defer l.removeAccepted(conn)
	conn.SetReadLimit(proto.MaxMessageSize)
	l.serve(r.Context(), conn, from)
}

func (l *Links) serve(ctx context.Context, conn *websocket.Conn, from proto.VM) {
	var writeMu sync.Mutex
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		l.received.Add(1)
		l.bytesIn.Add(int64(len(data)))
		env, m, err := proto.Decode(data)
		if err != nil {
			l.log.Warn("failed to decode message", "from", from, "error", err)
			return
		}
		if l.isPartitioned(from) {
			return
		}
		l.beforeMessage()
		if closed, ok := m.(proto.TunnelClose); ok {
			l.handleTunnelClose(closed)
			continue
		}
		if env.Call == 0 {
			l.handle(ctx, from, m)
			continue
		}
		go l.handleCall(ctx, conn, &writeMu, from, env, m)
	}
}

func (l *Links) handleCall(ctx context.Context, conn *websocket.Conn, writeMu *sync.Mutex, from proto.VM, env proto.Envelope, m proto.Message) {
	ctx = propagator.Extract(ctx, propagation.MapCarrier{"traceparent": env.Trace})
	ctx, s := startSpan(ctx, "peer call", trace.SpanKindServer, attribute.String("emberlead.peer", string(from)))
	defer s.End()
	answer := l.handle(ctx, from, m)
	data, err := proto.Encode(answer, env.Call, true, "")
	if err != nil {
		l.log.Error("failed to encode answer", "error", err)
		return
	}
	writeMu.Lock()
	defer writeMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if conn.Write(ctx, websocket.MessageBinary, data) == nil {
		l.sent.Add(1)
		l.bytesOut.Add(int64(len(data)))
		l.kinds.add(answer, len(data))
	}
}
