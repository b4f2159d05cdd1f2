package wire

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

const day = 24 * time.Hour

func newTestAuthority(t testing.TB) KeyPair {
	t.Helper()
	a, err := NewAuthority(time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (a KeyPair) issue(t testing.TB, vm proto.VM, valid time.Duration) KeyPair {
	t.Helper()
	pair, err := a.NewCertificate(vm, time.Now(), valid)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// testFiles are the credential files of one daemon, which a test may change.
type testFiles struct {
	t     testing.TB
	files CredentialFiles
}

func writeTestFiles(t testing.TB, pair KeyPair, authorities []byte) *testFiles {
	dir := t.TempDir()
	f := &testFiles{t: t, files: CredentialFiles{
		Certificate: filepath.Join(dir, "daemon.pem"), Key: filepath.Join(dir, "daemon.key"),
		Authority: filepath.Join(dir, "authority.pem"), Revoked: filepath.Join(dir, "revoked.pem"),
	}}
	f.writeKeyPair(pair)
	f.write(f.files.Authority, authorities)
	f.write(f.files.Revoked, nil)
	return f
}

func (f *testFiles) writeKeyPair(pair KeyPair) {
	f.write(f.files.Certificate, pair.Certificate)
	f.write(f.files.Key, pair.Key)
}

func (f *testFiles) write(path string, text []byte) {
	f.t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFiles) load() *Credentials {
	f.t.Helper()
	c, err := LoadCredentials(f.files)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *testFiles) reload(c *Credentials) {
	f.t.Helper()
	if changed, err := c.Reload(); !changed || err != nil {
		f.t.Fatalf("reload: changed %t, error %v", changed, err)
	}
}

// testLinks are the links of one daemon, with a listener.
type testLinks struct {
	*Links
	address netip.AddrPort
}

// serveWithCredentials starts links with certificates; directory holds the addresses of the other daemons.
func serveWithCredentials(t testing.TB, vm proto.VM, c *Credentials, directory map[proto.VM]proto.Alive) *testLinks {
	return serveLinks(t, LinksConfig{Self: vm, Credentials: c}, directory)
}

// serveWithSharedKey starts links with a shared key instead of certificates.
func serveWithSharedKey(t testing.TB, vm proto.VM, directory map[proto.VM]proto.Alive) *testLinks {
	return serveLinks(t, LinksConfig{Self: vm, SharedKey: "key"}, directory)
}

func serveLinks(t testing.TB, config LinksConfig, directory map[proto.VM]proto.Alive) *testLinks {
	config.Log = hclog.NewNullLogger()
	config.Handle = func(context.Context, proto.VM, proto.Message) proto.Message {
		return proto.ChangesAnswer{Generation: 7}
	}
	config.Resolve = func(vm proto.VM) (proto.Alive, bool) {
		alive, ok := directory[vm]
		return alive, ok
	}
	links := NewLinks(config)
	listener := httptest.NewUnstartedServer(links.Handler())
	listener.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	if listener.TLS = links.ServerTLS(); listener.TLS != nil {
		listener.StartTLS()
	} else {
		listener.Start()
	}
	t.Cleanup(func() {
		links.Close()
		links.Reconnect()
		listener.Close()
	})
	address := listener.URL[strings.LastIndex(listener.URL, "/")+1:]
	return &testLinks{links, netip.MustParseAddrPort(address)}
}

// canCall reports whether a call to another daemon is answered.
func (l *testLinks) canCall(to proto.VM) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m, err := l.Call(ctx, to, proto.ChangesAsk{})
	_, ok := m.(proto.ChangesAnswer)
	return err == nil && ok
}

func TestLinksVerifyClientCertificates(t *testing.T) {
	ours, theirs := newTestAuthority(t), newTestAuthority(t)
	b := ours.issue(t, "b", day)
	revokedA := ours.issue(t, "a", day)
	list, err := ours.Revoke(nil, revokedA.Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		name         string
		keyPair      KeyPair
		callee       proto.VM
		registeredAs proto.VM // the name that the address is registered under
		want         bool
	}{
		{"own certificate", ours.issue(t, "a", day), "b", "b", true},
		{"seed known only by its address", ours.issue(t, "a", day), "seed 1", "", true},
		{"certificate of another VM", ours.issue(t, "c", day), "b", "b", false},
		{"certificate of another authority", theirs.issue(t, "a", day), "b", "b", false},
		{"expired", ours.issue(t, "a", -time.Minute), "b", "b", false},
		{"revoked", revokedA, "b", "b", false},
		{"address of another daemon", ours.issue(t, "a", day), "d", "d", false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			files := writeTestFiles(t, b, ours.Certificate)
			files.write(files.files.Revoked, list)
			server := serveWithCredentials(t, "b", files.load(), nil)
			client := serveWithCredentials(t, "a", writeTestFiles(t, s.keyPair, ours.Certificate).load(), map[proto.VM]proto.Alive{
				s.callee: {VM: s.registeredAs, Peer: server.address},
			})
			if got := client.canCall(s.callee); got != s.want {
				t.Errorf("call succeeded: %t, want %t", got, s.want)
			}
		})
	}
}

// TestLinksVerifyServerCertificates lets the server accept the client, so that only the client refuses.
func TestLinksVerifyServerCertificates(t *testing.T) {
	ours, theirs := newTestAuthority(t), newTestAuthority(t)
	revoked := ours.issue(t, "b", day)
	list, err := ours.Revoke(nil, revoked.Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		name    string
		keyPair KeyPair
		want    bool
	}{
		{"own certificate", ours.issue(t, "b", day), true},
		{"certificate of another authority", theirs.issue(t, "b", day), false},
		{"expired", ours.issue(t, "b", -time.Minute), false},
		{"revoked", revoked, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := serveWithCredentials(t, "b", writeTestFiles(t, s.keyPair, ours.Certificate).load(), nil)
			files := writeTestFiles(t, ours.issue(t, "a", day), ours.Certificate)
			files.write(files.files.Revoked, list)
			client := serveWithCredentials(t, "a", files.load(), map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}})
			if got := client.canCall("b"); got != s.want {
				t.Errorf("call succeeded: %t, want %t", got, s.want)
			}
		})
	}
}

// TestAuthorityRotationWithoutRestart replaces an authority, one daemon and one file at a time.
func TestAuthorityRotationWithoutRestart(t *testing.T) {
	first, second := newTestAuthority(t), newTestAuthority(t)
	both := append(append([]byte{}, first.Certificate...), second.Certificate...)
	directory := map[proto.VM]proto.Alive{}
	files := map[proto.VM]*testFiles{}
	links := map[proto.VM]*testLinks{}
	credentials := map[proto.VM]*Credentials{}
	vms := []proto.VM{"a", "b"}
	for _, vm := range vms {
		files[vm] = writeTestFiles(t, first.issue(t, vm, day), first.Certificate)
		credentials[vm] = files[vm].load()
		links[vm] = serveWithCredentials(t, vm, credentials[vm], directory)
		directory[vm] = proto.Alive{VM: vm, Peer: links[vm].address}
	}
	steps := []struct {
		name   string
		change func(vm proto.VM)
	}{
		{"new authority trusted as well", func(vm proto.VM) { files[vm].write(files[vm].files.Authority, both) }},
		{"certificates signed by the new authority", func(vm proto.VM) { files[vm].writeKeyPair(second.issue(t, vm, day)) }},
		{"old authority no longer trusted", func(vm proto.VM) { files[vm].write(files[vm].files.Authority, second.Certificate) }},
	}
	for _, step := range steps {
		for _, vm := range vms {
			step.change(vm)
			files[vm].reload(credentials[vm])
			links[vm].Reconnect()
			for _, from := range vms {
				to := vms[1]
				if from == to {
					to = vms[0]
				}
				waitUntilReachable(t, links[from], to, step.name)
			}
		}
	}
}

// waitUntilReachable calls until a link that was just closed is opened again.
func waitUntilReachable(t *testing.T, l *testLinks, to proto.VM, step string) {
	t.Helper()
	for range 100 {
		if l.canCall(to) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: %s cannot be reached", step, to)
}

func TestRevokedDaemonIsDisconnected(t *testing.T) {
	authority := newTestAuthority(t)
	a, b := authority.issue(t, "a", day), authority.issue(t, "b", day)
	filesB := writeTestFiles(t, b, authority.Certificate)
	credentialsB := filesB.load()
	server := serveWithCredentials(t, "b", credentialsB, nil)
	client := serveWithCredentials(t, "a", writeTestFiles(t, a, authority.Certificate).load(), map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}})
	if !client.canCall("b") {
		t.Fatal("call failed before the revocation")
	}
	list, err := authority.Revoke(nil, a.Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	filesB.write(filesB.files.Revoked, list)
	filesB.reload(credentialsB)
	server.Reconnect()
	for range 3 {
		if client.canCall("b") {
			t.Fatal("call succeeded with a revoked certificate")
		}
		time.Sleep(redialDelay)
	}
}

// TestFailedReloadKeepsCredentials reads files as they are halfway through a replacement.
func TestFailedReloadKeepsCredentials(t *testing.T) {
	authority, other := newTestAuthority(t), newTestAuthority(t)
	own := authority.issue(t, "a", day)
	foreign, err := other.Revoke(nil, other.issue(t, "c", day).Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		name   string
		change func(f *testFiles)
		want   proto.Kind
	}{
		{"key of another certificate", func(f *testFiles) { f.write(f.files.Key, authority.issue(t, "a", day).Key) }, proto.KindInvalid},
		{"empty certificate", func(f *testFiles) { f.write(f.files.Certificate, nil) }, proto.KindInvalid},
		{"no authority", func(f *testFiles) { f.write(f.files.Authority, []byte("none")) }, proto.KindInvalid},
		{"revocation list not signed by an authority", func(f *testFiles) { f.write(f.files.Revoked, foreign) }, proto.KindDenied},
		{"missing file", func(f *testFiles) { _ = os.Remove(f.files.Authority) }, proto.KindInvalid},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := writeTestFiles(t, own, authority.Certificate)
			c := f.load()
			previous := c.current.Load()
			s.change(f)
			if changed, err := c.Reload(); changed || proto.KindOf(err) != s.want {
				t.Errorf("changed %t, error %v, want kind %s", changed, err, s.want)
			}
			if c.current.Load() != previous {
				t.Error("the previous credentials were replaced")
			}
		})
	}
}

func TestRevokeAppendsToList(t *testing.T) {
	authority := newTestAuthority(t)
	var list []byte
	var revoked []KeyPair
	for _, vm := range []proto.VM{"a", "b", "c"} {
		pair := authority.issue(t, vm, day)
		revoked = append(revoked, pair)
		next, err := authority.Revoke(list, pair.Certificate, time.Now(), day)
		if err != nil {
			t.Fatal(err)
		}
		list = next
	}
	own := authority.issue(t, "d", day)
	set, err := newCredentialSet(own.Certificate, own.Key, authority.Certificate, list)
	if err != nil {
		t.Fatal(err)
	}
	for _, pair := range append(revoked, own) {
		certs, err := parseCertificates(pair.Certificate)
		if err != nil {
			t.Fatal(err)
		}
		want := certs[0].Subject.CommonName != "d"
		if got := set.revoked[revokedCert{string(certs[0].RawIssuer), certs[0].SerialNumber.String()}]; got != want {
			t.Errorf("%s is revoked: %t, want %t", certs[0].Subject.CommonName, got, want)
		}
	}
	if _, err := newTestAuthority(t).Revoke(list, own.Certificate, time.Now(), day); proto.KindOf(err) != proto.KindDenied {
		t.Errorf("revoking another authority's certificate: %v", err)
	}
}

// BenchmarkLinkOpened measures opening a link and its first call, both ends together.
func BenchmarkLinkOpened(b *testing.B) {
	measure := func(b *testing.B, client *testLinks) {
		for b.Loop() {
			if !client.canCall("b") {
				b.Fatal("call failed")
			}
			client.mu.Lock()
			lk := client.links["b"]
			client.mu.Unlock()
			client.removeLink(lk)
		}
	}
	b.Run("key", func(b *testing.B) {
		server := serveWithSharedKey(b, "b", nil)
		measure(b, serveWithSharedKey(b, "a", map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}}))
	})
	b.Run("certificates", func(b *testing.B) {
		authority := newTestAuthority(b)
		load := func(vm proto.VM) *Credentials {
			return writeTestFiles(b, authority.issue(b, vm, day), authority.Certificate).load()
		}
		server := serveWithCredentials(b, "b", load("b"), nil)
		measure(b, serveWithCredentials(b, "a", load("a"), map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}}))
	})
}
