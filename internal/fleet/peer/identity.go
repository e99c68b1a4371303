package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/ansel1/merry/v2"
)

// MinSecretBytes is the minimum length of the fleet secret, in bytes.
const MinSecretBytes = 16

// certificateValidity only has to exceed the lifetime of a process; both sides
// compare the public key and nothing else.
const certificateValidity = 10 * 365 * 24 * time.Hour

// tlsConfig returns a configuration for TLS 1.3 in which both sides prove that
// they know the fleet secret: the key pair is derived from it, so all nodes have
// the same one, and no certificate has to be distributed or renewed.
func tlsConfig(secret []byte) (*tls.Config, error) {
	if len(secret) < MinSecretBytes {
		return nil, merry.Errorf("the fleet secret has %d bytes, it needs at least %d", len(secret), MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, "chestnutbay peer identity", ed25519.SeedSize)
	if err != nil {
		return nil, merry.Prepend(err, "peer.tlsConfig")
	}
	key := ed25519.NewKeyFromSeed(seed)
	publicKey, _ := key.Public().(ed25519.PublicKey)
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "chestnutbay"},
		NotBefore:    now.Add(-certificateValidity),
		NotAfter:     now.Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, key)
	if err != nil {
		return nil, merry.Prepend(err, "peer.tlsConfig")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		// The chain and the host name prove nothing here: verify compares the
		// key.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, publicKey) },
	}, nil
}

func verify(s tls.ConnectionState, expected ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return merry.Wrap(ErrUnauthenticated)
	}
	actual, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !actual.Equal(expected) {
		return merry.Wrap(ErrUnauthenticated)
	}
	return nil
}
