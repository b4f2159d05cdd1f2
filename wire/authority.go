package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"emberlead/proto"
)

const (
	// serialBits is the length of a certificate's serial number. Serial numbers are random, so no record of the issued ones is needed.
	serialBits = 120
	// clockSlack backdates new certificates, so that they are valid on a VM whose clock is up to this much behind.
	clockSlack = time.Hour

	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "PRIVATE KEY"
	pemTypeRevocations = "X509 CRL"
)

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Certificate, Key []byte
}

// NewAuthority creates a certificate authority that signs the certificates of a deployment's daemons.
func NewAuthority(now time.Time, validity time.Duration) (KeyPair, error) {
	return newKeyPair(now, validity, func(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
		template.Subject = pkix.Name{CommonName: "emberlead authority " + template.SerialNumber.Text(36)}
		template.IsCA, template.BasicConstraintsValid = true, true
		template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
		return x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	})
}

// NewCertificate issues a certificate for the daemon on a VM.
func (a KeyPair) NewCertificate(vm proto.VM, now time.Time, validity time.Duration) (KeyPair, error) {
	issuer, signer, err := a.parse()
	if err != nil {
		return KeyPair{}, err
	}
	return newKeyPair(now, validity, func(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
		template.Subject = pkix.Name{CommonName: string(vm)}
		template.KeyUsage = x509.KeyUsageDigitalSignature
		template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
		return x509.CreateCertificate(rand.Reader, template, issuer, &key.PublicKey, signer)
	})
}

// Revoke adds a certificate issued by this authority to its revocation list, which may be empty, and returns the new list.
func (a KeyPair) Revoke(list, certificate []byte, now time.Time, validity time.Duration) ([]byte, error) {
	issuer, signer, err := a.parse()
	if err != nil {
		return nil, err
	}
	certs, err := parseCertificates(certificate)
	if err != nil {
		return nil, err
	}
	if err := certs[0].CheckSignatureFrom(issuer); err != nil {
		return nil, &Error{Op: "revoke", Kind: proto.KindDenied, Err: err}
	}
	next := &x509.RevocationList{Number: big.NewInt(1), ThisUpdate: now, NextUpdate: now.Add(validity)}
	if block, _ := pem.Decode(list); block != nil {
		previous, err := x509.ParseRevocationList(block.Bytes)
		if err != nil {
			return nil, &Error{Op: "revoke", Kind: proto.KindInvalid, Err: err}
		}
		next.Number.Add(previous.Number, big.NewInt(1))
		next.RevokedCertificateEntries = previous.RevokedCertificateEntries
	}
	entry := x509.RevocationListEntry{SerialNumber: certs[0].SerialNumber, RevocationTime: now}
	next.RevokedCertificateEntries = append(next.RevokedCertificateEntries, entry)
	der, err := x509.CreateRevocationList(rand.Reader, next, issuer, signer)
	if err != nil {
		return nil, &Error{Op: "revoke", Kind: proto.KindInvalid, Err: err}
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemTypeRevocations, Bytes: der}), nil
}

func (a KeyPair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certs, err := parseCertificates(a.Certificate)
	if err != nil {
		return nil, nil, err
	}
	block, _ := pem.Decode(a.Key)
	if block == nil {
		return nil, nil, newError("read key", proto.KindInvalid, "there is no key in the file")
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, &Error{Op: "read key", Kind: proto.KindInvalid, Err: err}
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, newError("read key", proto.KindInvalid, "the key is not one of an elliptic curve")
	}
	return certs[0], signer, nil
}

// newKeyPair generates a key and has a certificate signed for it.
func newKeyPair(now time.Time, validity time.Duration, sign func(*x509.Certificate, *ecdsa.PrivateKey) ([]byte, error)) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, &Error{Op: "make key", Kind: proto.KindUnavailable, Err: err}
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, &Error{Op: "make key", Kind: proto.KindUnavailable, Err: err}
	}
	der, err := sign(&x509.Certificate{SerialNumber: serial, NotBefore: now.Add(-clockSlack), NotAfter: now.Add(validity)}, key)
	if err != nil {
		return KeyPair{}, &Error{Op: "sign", Kind: proto.KindInvalid, Err: err}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, &Error{Op: "make key", Kind: proto.KindInvalid, Err: err}
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER}),
	}, nil
}
