package wire

import (
	"crypto/subtle"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"emberlead/proto"
)

// tlsAlert is how the standard library names an alert of the other end.
const tlsAlert = "remote error"

// ServerTLS returns what the listener of Handler is set up with; nil if other daemons come without certificates.
func (l *Links) ServerTLS() *tls.Config {
	if l.credentials == nil {
		return nil
	}
	return l.credentials.server()
}

// authentic checks the shared key, and with TLS that the certificate is for the VM that the peer says it is.
func (l *Links) authentic(r *http.Request, from proto.VM) bool {
	if from == "" {
		return false
	}
	if l.tls != nil {
		return r.TLS != nil && len(r.TLS.PeerCertificates) > 0 && r.TLS.PeerCertificates[0].Subject.CommonName == string(from)
	}
	given := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+l.key)) == 1
}

// Reconnect ends all connections, so that each is made anew with the credentials of now.
func (l *Links) Reconnect() {
	l.mu.Lock()
	for _, lk := range l.links {
		lk.cancel()
	}
	accepted := slices.Collect(maps.Keys(l.accepted))
	l.mu.Unlock()
	for _, conn := range accepted {
		_ = conn.CloseNow() // It may have ended just now.
	}
}

// keep notes a connection that another daemon has dialled, until it is forgotten.
func (l *Links) keep(conn *websocket.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted[conn] = true
}

func (l *Links) forget(conn *websocket.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accepted, conn)
}

// isRefusal tells whether a connection failed since one end did not accept the other's certificate.
func isRefusal(err error) bool {
	var alert *net.OpError
	return proto.KindOf(err) == proto.KindDenied || errors.As(err, &alert) && alert.Op == tlsAlert
}

// noteRefusal logs when certificates come to be refused on the way to a daemon, once until one is accepted.
func (l *Links) noteRefusal(to proto.VM, refused bool, err error) {
	l.mu.Lock()
	before := l.refused[to]
	l.refused[to] = refused
	l.mu.Unlock()
	if refused && !before {
		l.log.Warn("another daemon's certificate, or this one's by it, was not accepted", "to", to, "error", err)
	}
}

// checkName tells whether the daemon that answered a call is the one that it is for, by its certificate. Of a seed only the
// address is known, so that any daemon of the deployment will do.
func (l *Links) checkName(resp *http.Response, vm proto.VM) error {
	if l.credentials == nil || vm == "" {
		return nil
	}
	if name := resp.TLS.PeerCertificates[0].Subject.CommonName; name != string(vm) {
		return newError("dial", proto.KindDenied, "%s is at the address of %s", name, vm)
	}
	return nil
}
