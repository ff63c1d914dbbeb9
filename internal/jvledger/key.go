package jvledger

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeySize is the length of a Key in bytes.
const KeySize = 16

// Key is the truncated SHA-256 digest that identifies a request, a body or a publication.
type Key [KeySize]byte

// NewKey returns the key of a sequence of parts; each is hashed with its length before it, so
// that different sequences have different keys.
func NewKey(parts ...string) Key {
	h := sha256.New()
	for _, p := range parts {
		n := len(p)
		h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		h.Write([]byte(p))
	}
	return Key(h.Sum(nil)[:KeySize])
}

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyOf returns the key in a record's bytes; ok is false where their length is not KeySize.
func KeyOf(data []byte) (k Key, ok bool) {
	if len(data) != KeySize {
		return Key{}, false
	}
	return Key(data), true
}
