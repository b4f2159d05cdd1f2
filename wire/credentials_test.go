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

func makeAuthority(t testing.TB) KeyPair {
	t.Helper()
	a, err := NewAuthority(time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (a KeyPair) make(t testing.TB, vm proto.VM, valid time.Duration) KeyPair {
	t.Helper()
	pair, err := a.NewCertificate(vm, time.Now(), valid)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// keptFiles are the credential files of one daemon, which a test may change.
type keptFiles struct {
	t     testing.TB
	files CredentialFiles
}

func keepFiles(t testing.TB, own KeyPair, authorities []byte) *keptFiles {
	dir := t.TempDir()
	k := &keptFiles{t: t, files: CredentialFiles{
		Certificate: filepath.Join(dir, "daemon.pem"), Key: filepath.Join(dir, "daemon.key"),
		Authority: filepath.Join(dir, "authority.pem"), Revoked: filepath.Join(dir, "revoked.pem"),
	}}
	k.own(own)
	k.write(k.files.Authority, authorities)
	k.write(k.files.Revoked, nil)
	return k
}

func (k *keptFiles) own(pair KeyPair) {
	k.write(k.files.Certificate, pair.Certificate)
	k.write(k.files.Key, pair.Key)
}

func (k *keptFiles) write(path string, text []byte) {
	k.t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		k.t.Fatal(err)
	}
}

func (k *keptFiles) load() *Credentials {
	k.t.Helper()
	c, err := LoadCredentials(k.files)
	if err != nil {
		k.t.Fatal(err)
	}
	return c
}

func (k *keptFiles) reload(c *Credentials) {
	k.t.Helper()
	if changed, err := c.Reload(); !changed || err != nil {
		k.t.Fatalf("read again: changed %t, error %v", changed, err)
	}
}

// certifiedLinks are the links of one daemon, with a listener.
type certifiedLinks struct {
	*Links
	address netip.AddrPort
}

// serveCertified starts links with certificates; directory holds the addresses of the other daemons.
func serveCertified(t testing.TB, vm proto.VM, c *Credentials, directory map[proto.VM]proto.Alive) *certifiedLinks {
	return serveLinks(t, LinksConfig{Self: vm, Credentials: c}, directory)
}

// servePlain starts links with a shared key instead of certificates.
func servePlain(t testing.TB, vm proto.VM, directory map[proto.VM]proto.Alive) *certifiedLinks {
	return serveLinks(t, LinksConfig{Self: vm, SharedKey: "key"}, directory)
}

func serveLinks(t testing.TB, config LinksConfig, directory map[proto.VM]proto.Alive) *certifiedLinks {
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
	return &certifiedLinks{links, netip.MustParseAddrPort(address)}
}

// asks reports whether a call to another daemon is answered.
func (l *certifiedLinks) asks(to proto.VM) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m, err := l.Call(ctx, to, proto.ChangesAsk{})
	_, ok := m.(proto.ChangesAnswer)
	return err == nil && ok
}

func TestDaemonsAreKnownByTheirCertificates(t *testing.T) {
	ours, theirs := makeAuthority(t), makeAuthority(t)
	b := ours.make(t, "b", day)
	revokedA := ours.make(t, "a", day)
	list, err := ours.Revoke(nil, revokedA.Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		testName string
		own      KeyPair
		dialled  proto.VM
		known    proto.VM // the name that the address is registered under
		want     bool
	}{
		{"its own", ours.make(t, "a", day), "b", "b", true},
		{"a seed, of which only the address is known", ours.make(t, "a", day), "seed 1", "", true},
		{"another VM's", ours.make(t, "c", day), "b", "b", false},
		{"another authority's", theirs.make(t, "a", day), "b", "b", false},
		{"expired", ours.make(t, "a", -time.Minute), "b", "b", false},
		{"revoked", revokedA, "b", "b", false},
		{"another daemon at the address", ours.make(t, "a", day), "d", "d", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			files := keepFiles(t, b, ours.Certificate)
			files.write(files.files.Revoked, list)
			server := serveCertified(t, "b", files.load(), nil)
			client := serveCertified(t, "a", keepFiles(t, s.own, ours.Certificate).load(), map[proto.VM]proto.Alive{
				s.dialled: {VM: s.known, Peer: server.address},
			})
			if got := client.asks(s.dialled); got != s.want {
				t.Errorf("answered: %t, want %t", got, s.want)
			}
		})
	}
}

// TestTheDialledDaemonIsKnownByItsCertificate lets the server accept the client, so that only the client refuses.
func TestTheDialledDaemonIsKnownByItsCertificate(t *testing.T) {
	ours, theirs := makeAuthority(t), makeAuthority(t)
	revoked := ours.make(t, "b", day)
	list, err := ours.Revoke(nil, revoked.Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		testName string
		server   KeyPair
		want     bool
	}{
		{"its own", ours.make(t, "b", day), true},
		{"another authority's", theirs.make(t, "b", day), false},
		{"expired", ours.make(t, "b", -time.Minute), false},
		{"revoked", revoked, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			server := serveCertified(t, "b", keepFiles(t, s.server, ours.Certificate).load(), nil)
			files := keepFiles(t, ours.make(t, "a", day), ours.Certificate)
			files.write(files.files.Revoked, list)
			client := serveCertified(t, "a", files.load(), map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}})
			if got := client.asks("b"); got != s.want {
				t.Errorf("answered: %t, want %t", got, s.want)
			}
		})
	}
}

// TestCertificatesAreReplacedWithoutAStop replaces an authority, one daemon and one file at a time.
func TestCertificatesAreReplacedWithoutAStop(t *testing.T) {
	first, second := makeAuthority(t), makeAuthority(t)
	both := append(append([]byte{}, first.Certificate...), second.Certificate...)
	directory := map[proto.VM]proto.Alive{}
	files := map[proto.VM]*keptFiles{}
	links := map[proto.VM]*certifiedLinks{}
	credentials := map[proto.VM]*Credentials{}
	vms := []proto.VM{"a", "b"}
	for _, vm := range vms {
		files[vm] = keepFiles(t, first.make(t, vm, day), first.Certificate)
		credentials[vm] = files[vm].load()
		links[vm] = serveCertified(t, vm, credentials[vm], directory)
		directory[vm] = proto.Alive{VM: vm, Peer: links[vm].address}
	}
	steps := []struct {
		name   string
		change func(vm proto.VM)
	}{
		{"the new authority is accepted too", func(vm proto.VM) { files[vm].write(files[vm].files.Authority, both) }},
		{"it signs the certificates", func(vm proto.VM) { files[vm].own(second.make(t, vm, day)) }},
		{"the old one is not accepted any more", func(vm proto.VM) { files[vm].write(files[vm].files.Authority, second.Certificate) }},
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
				waitUntilAsked(t, links[from], to, step.name)
			}
		}
	}
}

// waitUntilAsked calls until a link that was just closed is opened again.
func waitUntilAsked(t *testing.T, l *certifiedLinks, to proto.VM, step string) {
	t.Helper()
	for range 100 {
		if l.asks(to) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: %s cannot be asked", step, to)
}

func TestARevokedDaemonIsCutOff(t *testing.T) {
	authority := makeAuthority(t)
	a, b := authority.make(t, "a", day), authority.make(t, "b", day)
	filesB := keepFiles(t, b, authority.Certificate)
	credentialsB := filesB.load()
	server := serveCertified(t, "b", credentialsB, nil)
	client := serveCertified(t, "a", keepFiles(t, a, authority.Certificate).load(), map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}})
	if !client.asks("b") {
		t.Fatal("not answered before")
	}
	list, err := authority.Revoke(nil, a.Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	filesB.write(filesB.files.Revoked, list)
	filesB.reload(credentialsB)
	server.Reconnect()
	for range 3 {
		if client.asks("b") {
			t.Fatal("answered although it is revoked")
		}
		time.Sleep(redialAfter)
	}
}

// TestFilesThatCannotBeReadLeaveWhatWasRead reads files as they are halfway through a replacement.
func TestFilesThatCannotBeReadLeaveWhatWasRead(t *testing.T) {
	authority, other := makeAuthority(t), makeAuthority(t)
	own := authority.make(t, "a", day)
	foreign, err := other.Revoke(nil, other.make(t, "c", day).Certificate, time.Now(), day)
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		testName string
		change   func(k *keptFiles)
		want     proto.Kind
	}{
		{"the key of another certificate", func(k *keptFiles) { k.write(k.files.Key, authority.make(t, "a", day).Key) }, proto.KindInvalid},
		{"an empty certificate", func(k *keptFiles) { k.write(k.files.Certificate, nil) }, proto.KindInvalid},
		{"no authority", func(k *keptFiles) { k.write(k.files.Authority, []byte("none")) }, proto.KindInvalid},
		{"a list that no authority signed", func(k *keptFiles) { k.write(k.files.Revoked, foreign) }, proto.KindDenied},
		{"a file that is gone", func(k *keptFiles) { _ = os.Remove(k.files.Authority) }, proto.KindInvalid},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			k := keepFiles(t, own, authority.Certificate)
			c := k.load()
			before := c.current.Load()
			s.change(k)
			if changed, err := c.Reload(); changed || proto.KindOf(err) != s.want {
				t.Errorf("changed %t, error %v, want kind %s", changed, err, s.want)
			}
			if c.current.Load() != before {
				t.Error("what was read before is gone")
			}
		})
	}
}

func TestAListOfRevokedCertificatesGrows(t *testing.T) {
	authority := makeAuthority(t)
	var list []byte
	var revoked []KeyPair
	for _, vm := range []proto.VM{"a", "b", "c"} {
		pair := authority.make(t, vm, day)
		revoked = append(revoked, pair)
		next, err := authority.Revoke(list, pair.Certificate, time.Now(), day)
		if err != nil {
			t.Fatal(err)
		}
		list = next
	}
	own := authority.make(t, "d", day)
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
		if got := set.revoked[revocation{string(certs[0].RawIssuer), certs[0].SerialNumber.String()}]; got != want {
			t.Errorf("%s is revoked: %t, want %t", certs[0].Subject.CommonName, got, want)
		}
	}
	if _, err := makeAuthority(t).Revoke(list, own.Certificate, time.Now(), day); proto.KindOf(err) != proto.KindDenied {
		t.Errorf("another authority's certificate: %v", err)
	}
}

// BenchmarkLinkOpened measures opening a link and its first call, both ends together.
func BenchmarkLinkOpened(b *testing.B) {
	open := func(b *testing.B, client *certifiedLinks) {
		for b.Loop() {
			if !client.asks("b") {
				b.Fatal("not answered")
			}
			client.mu.Lock()
			lk := client.links["b"]
			client.mu.Unlock()
			client.drop(lk)
		}
	}
	b.Run("key", func(b *testing.B) {
		server := servePlain(b, "b", nil)
		open(b, servePlain(b, "a", map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}}))
	})
	b.Run("certificates", func(b *testing.B) {
		authority := makeAuthority(b)
		load := func(vm proto.VM) *Credentials {
			return keepFiles(b, authority.make(b, vm, day), authority.Certificate).load()
		}
		server := serveCertified(b, "b", load("b"), nil)
		open(b, serveCertified(b, "a", load("a"), map[proto.VM]proto.Alive{"b": {VM: "b", Peer: server.address}}))
	})
}
