package jvversion

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Origin is where a stream began.
type Origin struct {
	// Pool is the pool of the target, or empty if the stream may go on in any pool of its route.
	Pool string `cbor:"pool"`
	// Version is the version of the target's software.
	Version string `cbor:"version"`
}

// key returns the key of an origin's record in the topic. Names of pools and versions may be too long for one.
func (o Origin) key() string {
	sum := sha256.Sum256([]byte(o.Pool + "\x00" + o.Version))
	return hex.EncodeToString(sum[:8])
}

func encodeRecord(o Origin) jvkeyed.Record {
	return jvkeyed.Record{Key: o.key(), Value: jvcodec.Encode(o)}
}

// maxNameBytes limits the names of pools, versions and requests that are decoded.
const maxNameBytes = 256

func decodeRecord(value []byte) (Origin, error) {
	const op = "decode version"
	o, err := jvcodec.Decode[Origin](value)
	if err != nil {
		return o, jvfault.New(op, KindMalformed, err)
	}
	if o.Pool == "" || len(o.Pool) > maxNameBytes || len(o.Version) > maxNameBytes {
		return o, jvfault.Newf(op, KindMalformed, "a pool of %d and a version of %d bytes", len(o.Pool), len(o.Version))
	}
	return o, nil
}
