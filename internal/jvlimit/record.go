package jvlimit

import (
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Prefixes of the keys of records. The name of a router or a target follows.
const (
	routerPrefix = "router/"
	targetPrefix = "target/"
)

// memberRecord is the value of a router's record.
type memberRecord struct {
	// At is when the router registered, in Unix milliseconds of its clock.
	At int64 `cbor:"at"`
}

// limitRecord is the value of a target's record.
type limitRecord struct {
	// Limit is what the target takes from all routers together, in requests a second.
	Limit float64 `cbor:"limit"`
	// Born is the start of the target's process in Unix milliseconds of its clock, or 0.
	Born int64 `cbor:"born,omitempty"`
}

func encodeMember(router string, atMillis int64) jvkeyed.Record {
	return jvkeyed.Record{Key: routerPrefix + router, Value: jvcodec.Encode(memberRecord{At: atMillis})}
}

func encodeLimit(target string, l limitRecord) jvkeyed.Record {
	return jvkeyed.Record{Key: targetPrefix + target, Value: jvcodec.Encode(l)}
}

func decodeLimit(value []byte) (limitRecord, error) {
	const op = "decode limit"
	l, err := jvcodec.Decode[limitRecord](value)
	if err != nil {
		return l, jvfault.New(op, KindMalformed, err)
	}
	if !(l.Limit >= 0) { // Not a number compares false.
		return l, jvfault.Newf(op, KindMalformed, "the limit is %g", l.Limit)
	}
	return l, nil
}

func decodeMember(value []byte) (memberRecord, error) {
	m, err := jvcodec.Decode[memberRecord](value)
	if err != nil {
		return m, jvfault.New("decode member", KindMalformed, err)
	}
	return m, nil
}

// splitKey returns the name in a record's key, and whether it is a router's or a target's.
func splitKey(key string) (name, prefix string) {
	for _, p := range []string{routerPrefix, targetPrefix} {
		if name, ok := strings.CutPrefix(key, p); ok && name != "" {
			return name, p
		}
	}
	return "", ""
}
