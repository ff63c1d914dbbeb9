package jvledger

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeySize is the length of a Key in bytes.
const KeySize = 16

// Key is a digest by which the fold remembers a request, a body or a publication.
type Key [KeySize]byte

// NewKey returns the key of a sequence of parts; parts are kept apart by their lengths.
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

// KeyOf returns the key that a record carries; ok is false for a wrong length.
func KeyOf(data []byte) (k Key, ok bool) {
	if len(data) != KeySize {
		return Key{}, false
	}
	return Key(data), true
}
