package wire

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"sync/atomic"
	"time"

	"emberlead/proto"
)

// CredentialFiles names the PEM files that daemons authenticate each other with.
type CredentialFiles struct {
	// Certificate and Key are the daemon's own; the common name of the certificate is the name of its VM.
	Certificate, Key string
	// Authority holds the certificates of all trusted certificate authorities.
	Authority string
	// Revoked holds revocation lists, each signed by an authority; empty if there are none.
	Revoked string
}

// Credentials are the certificate that a daemon presents to other daemons and the authorities that it trusts. Changed
// files take effect while the daemon runs.
type Credentials struct {
	files   CredentialFiles
	current atomic.Pointer[credentialSet]
}

// credentialSet is the content of the files at one point in time.
type credentialSet struct {
	digest  [sha256.Size]byte
	pair    tls.Certificate
	roots   *x509.CertPool
	revoked map[revokedCert]bool
}

// revokedCert identifies a revoked certificate; the issuer is needed since each authority assigns its own serial numbers.
type revokedCert struct {
	issuer, serial string
}

// LoadCredentials reads the files; it fails with KindInvalid, or with KindDenied if no authority signed a revocation list.
func LoadCredentials(files CredentialFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again and reports whether they changed. If it fails, as LoadCredentials does, the credentials
// that were read before stay in use.
func (c *Credentials) Reload() (bool, error) {
	set, err := c.files.read()
	if err != nil {
		return false, err
	}
	previous := c.current.Load()
	if previous != nil && previous.digest == set.digest {
		return false, nil
	}
	c.current.Store(set)
	return true, nil
}

// Expiry returns when the daemon's own certificate expires.
func (c *Credentials) Expiry() time.Time { return c.current.Load().pair.Leaf.NotAfter }

func (f *CredentialFiles) read() (*credentialSet, error) {
	var contents [4][]byte
	for i, path := range []string{f.Certificate, f.Key, f.Authority, f.Revoked} {
		if path == "" {
			continue
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, &Error{Op: "read credentials", Kind: proto.KindInvalid, Err: err}
		}
		contents[i] = content
	}
	return newCredentialSet(contents[0], contents[1], contents[2], contents[3])
}

func newCredentialSet(certificate, key, authority, revoked []byte) (*credentialSet, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, &Error{Op: "read credentials", Kind: proto.KindInvalid, Err: err}
	}
	set := &credentialSet{pair: pair, roots: x509.NewCertPool(), revoked: map[revokedCert]bool{}}
	authorities, err := parseCertificates(authority)
	if err != nil {
		return nil, err
	}
	for _, a := range authorities {
		set.roots.AddCert(a)
	}
	if err := set.addRevocations(revoked, authorities); err != nil {
		return nil, err
	}
	set.digest = sha256.Sum256(bytes.Join([][]byte{certificate, key, authority, revoked}, []byte{0}))
	return set, nil
}

func parseCertificates(pemData []byte) ([]*x509.Certificate, error) {
	var all []*x509.Certificate
	for block, rest := pem.Decode(pemData); block != nil; block, rest = pem.Decode(rest) {
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, &Error{Op: "read authorities", Kind: proto.KindInvalid, Err: err}
		}
		all = append(all, cert)
	}
	if len(all) == 0 {
		return nil, newError("read authorities", proto.KindInvalid, "there is no certificate in the file")
	}
	return all, nil
}

// addRevocations adds the entries of revocation lists, each of which must be signed by an authority. A list that is
// past its next update still counts, since accepting the certificates that it revokes would be worse.
func (s *credentialSet) addRevocations(pemData []byte, authorities []*x509.Certificate) error {
	for block, rest := pem.Decode(pemData); block != nil; block, rest = pem.Decode(rest) {
		list, err := x509.ParseRevocationList(block.Bytes)
		if err != nil {
			return &Error{Op: "read revocations", Kind: proto.KindInvalid, Err: err}
		}
		if !signedByAny(list, authorities) {
			return newError("read revocations", proto.KindDenied, "no authority has signed the list of %s", list.Issuer)
		}
		for _, entry := range list.RevokedCertificateEntries {
			s.revoked[revokedCert{string(list.RawIssuer), entry.SerialNumber.String()}] = true
		}
	}
	return nil
}

func signedByAny(list *x509.RevocationList, authorities []*x509.Certificate) bool {
	for _, a := range authorities {
		if list.CheckSignatureFrom(a) == nil {
			return true
		}
	}
	return false
}

// serverTLS returns the TLS configuration of a listener, which uses the current credentials for each handshake.
func (c *Credentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			set := c.current.Load()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{set.pair},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: set.roots,
				// With session tickets, a daemon could resume a session without its certificate being checked again.
				SessionTicketsDisabled: true,
				VerifyConnection:       set.verifyNotRevoked,
			}, nil
		},
	}
}

// clientTLS returns the TLS configuration of connections to other daemons, which uses the current credentials for each
// handshake. Daemons are identified by the names of their VMs and not by addresses, since VMs are replaced: the
// certificate chain is verified here, and the name by the link.
func (c *Credentials) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain, without the address.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error { return c.current.Load().verifyServer(state) },
	}
}

func (s *credentialSet) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return newError("verify", proto.KindDenied, "the other daemon shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: s.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &Error{Op: "verify", Kind: proto.KindDenied, Err: err}
	}
	return s.verifyNotRevoked(state)
}

func (s *credentialSet) verifyNotRevoked(state tls.ConnectionState) error {
	for _, cert := range state.PeerCertificates {
		if s.revoked[revokedCert{string(cert.RawIssuer), cert.SerialNumber.String()}] {
			return newError("verify", proto.KindDenied, "the certificate of %s is revoked", cert.Subject.CommonName)
		}
	}
	return nil
}
