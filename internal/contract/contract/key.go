package contract

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/ansel1/merry/v2"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 32

// KeyHash is the SHA-256 of a caller's key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key in the form in which callers send it.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// NewKey returns a new random key in URL-safe base64.
func NewKey() string {
	b := make([]byte, keyBytes)
	rand.Read(b) //nolint:errcheck // crypto/rand.Read never fails.
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseKeyHash parses the hexadecimal form of a key hash. The error matches
// ErrInvalid.
func ParseKeyHash(s string) (KeyHash, error) {
	var h KeyHash
	err := h.UnmarshalText([]byte(s))
	return h, err
}

// String returns the hexadecimal form.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hexadecimal form.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses the hexadecimal form. The error matches ErrInvalid.
func (h *KeyHash) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(h) {
		return merry.Errorf("KeyHash: must be %d hexadecimal digits: %w", 2*len(h), ErrInvalid)
	}
	copy(h[:], b)
	return nil
}
