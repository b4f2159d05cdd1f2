package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

// authority signs certificates for the VMs of a test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{key: key, pool: x509.NewCertPool()}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.pool.AddCert(a.cert)
	return a
}

// config returns the TLS configuration of the daemon on a VM.
func (a *authority) config(t *testing.T, vm proto.VM) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: string(vm)}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS12,
	}
}

// TestPeersByCertificate checks that with TLS a peer is identified by its certificate, signed by the common authority.
func TestPeersByCertificate(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	answer := func(context.Context, proto.VM, proto.Message) proto.Message {
		return proto.ChangesAnswer{Generation: 7}
	}
	server := NewLinks(LinksConfig{Self: "b", TLS: ours.config(t, "b"), Log: hclog.NewNullLogger(), Handle: answer})
	listener := httptest.NewUnstartedServer(server.Handler())
	listener.TLS = ours.config(t, "b")
	listener.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	listener.StartTLS()
	defer listener.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(listener.URL, "https://"))
	resolve := func(proto.VM) (proto.Alive, bool) { return proto.Alive{Peer: address}, true }
	scenarios := []struct {
		name string
		self proto.VM
		tls  *tls.Config
		want bool
	}{
		{"own certificate", "a", ours.config(t, "a"), true},
		{"certificate of another VM", "a", ours.config(t, "c"), false},
		{"certificate of another authority", "a", theirs.config(t, "a"), false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			client := NewLinks(LinksConfig{Self: scenario.self, TLS: scenario.tls, Log: hclog.NewNullLogger(), Resolve: resolve, Handle: answer})
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			m, err := client.Call(ctx, "b", proto.ChangesAsk{})
			if _, ok := m.(proto.ChangesAnswer); ok != scenario.want {
				t.Fatalf("%+v %v", m, err)
			}
		})
	}
}
