package jvmember

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

const (
	// SecretBytes is the length of the fleet's secret.
	SecretBytes = 32
	// tagBytes is the length of the authentication tag that begins a packet, an HMAC-SHA-256 cut to 128 bits.
	tagBytes = 16
)

// tag returns the authentication tag of a payload under a secret. purpose keeps the tags of different uses of
// the secret apart.
func tag(secret []byte, purpose string, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write([]byte(purpose))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(payload)
	return h.Sum(nil)[:tagBytes]
}

// Purposes of tags.
const (
	purposePacket  = "packet"
	purposeMessage = "message"
)

// Sign returns the tag of a message, and false if this router does not know the secret yet.
func (m *Members) Sign(message []byte) (string, bool) {
	secret := m.currentSecret()
	if secret == nil {
		return "", false
	}
	return hex.EncodeToString(tag(secret, purposeMessage, message)), true
}

// Verify reports whether a router of this fleet has signed a message with a tag.
func (m *Members) Verify(message []byte, given string) bool {
	secret := m.currentSecret()
	decoded, err := hex.DecodeString(given)
	return err == nil && secret != nil && hmac.Equal(decoded, tag(secret, purposeMessage, message))
}

// Seal returns a payload as an authenticated packet, or false if this router does not know the secret yet.
func (m *Members) Seal(payload []byte) ([]byte, bool) {
	secret := m.currentSecret()
	if secret == nil {
		return nil, false
	}
	return append(tag(secret, purposePacket, payload), payload...), true
}

// Open returns the payload of a packet that a router of this fleet has sealed.
func (m *Members) Open(packet []byte) ([]byte, error) {
	const op = "open packet"
	secret := m.currentSecret()
	if secret == nil || len(packet) < tagBytes {
		return nil, jvfault.Newf(op, KindMalformed, "a packet of %d bytes", len(packet))
	}
	payload := packet[tagBytes:]
	if !hmac.Equal(packet[:tagBytes], tag(secret, purposePacket, payload)) {
		return nil, jvfault.Newf(op, KindForged, "a packet of %d bytes", len(packet))
	}
	return payload, nil
}
