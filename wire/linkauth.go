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

// tlsAlertOp is the operation that the standard library's errors state for a TLS alert from the other end.
const tlsAlertOp = "remote error"

// ServerTLS returns the TLS configuration for the listener of Handler; nil if Credentials are not used.
func (l *Links) ServerTLS() *tls.Config {
	if l.credentials == nil {
		return nil
	}
	return l.credentials.serverTLS()
}

// authenticated checks the shared key or, with TLS, that the certificate is for the VM that the peer claims to be.
func (l *Links) authenticated(r *http.Request, from proto.VM) bool {
	if from == "" {
		return false
	}
	if l.tls != nil {
		return r.TLS != nil && len(r.TLS.PeerCertificates) > 0 && r.TLS.PeerCertificates[0].Subject.CommonName == string(from)
	}
	header := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+l.sharedKey)) == 1
}

// Reconnect closes all connections, so that they are opened again with the current credentials.
func (l *Links) Reconnect() {
	l.mu.Lock()
	for _, lk := range l.links {
		lk.cancel()
	}
	accepted := slices.Collect(maps.Keys(l.accepted))
	l.mu.Unlock()
	for _, conn := range accepted {
		_ = conn.CloseNow() // It may have just been closed.
	}
}

// addAccepted registers a connection opened by another daemon, until removeAccepted removes it.
func (l *Links) addAccepted(conn *websocket.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted[conn] = true
}

func (l *Links) removeAccepted(conn *websocket.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accepted, conn)
}

// isCertRefusal reports whether a connection failed because one end did not accept the other's certificate.
func isCertRefusal(err error) bool {
	var alert *net.OpError
	return proto.KindOf(err) == proto.KindDenied || errors.As(err, &alert) && alert.Op == tlsAlertOp
}

// recordCertRefusal logs a refused certificate on connections to a daemon, once until a certificate is accepted again.
func (l *Links) recordCertRefusal(to proto.VM, refused bool, err error) {
	l.mu.Lock()
	wasRefused := l.certRefused[to]
	l.certRefused[to] = refused
	l.mu.Unlock()
	if refused && !wasRefused {
		l.log.Warn("another daemon's certificate, or this one's by it, was not accepted", "to", to, "error", err)
	}
}

// verifyPeerName checks by its certificate that the daemon that answered is the intended one. Of a seed only the
// address is known, so any daemon of the deployment is accepted.
func (l *Links) verifyPeerName(resp *http.Response, vm proto.VM) error {
	if l.credentials == nil || vm == "" {
		return nil
	}
	if name := resp.TLS.PeerCertificates[0].Subject.CommonName; name != string(vm) {
		return newError("dial", proto.KindDenied, "%s is at the address of %s", name, vm)
	}
	return nil
}
