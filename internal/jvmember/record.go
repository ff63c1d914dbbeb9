package jvmember

import (
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

const (
	// routerPrefix is the prefix of the keys of routers' records; the router's name follows.
	routerPrefix = "router/"
	// secretKey is the key of the fleet's secret, whose record is its bytes.
	secretKey = "secret"
	// maxWeight is more processors than any machine has.
	maxWeight = 1 << 16
)

// memberRecord is the value of a router's record.
type memberRecord struct {
	// At is when the router registered, in Unix milliseconds of its clock.
	At   int64  `cbor:"at"`
	Zone string `cbor:"zone"`
	// Address is the host:port for other routers.
	Address string `cbor:"address"`
	// Weight is missing in records of routers that hold no budgets for others, and of earlier builds.
	Weight float64 `cbor:"weight,omitempty"`
	// Deliveries is missing in records of earlier builds.
	Deliveries bool `cbor:"deliveries,omitempty"`
}

func encodeMember(m Member, atMillis int64) jvkeyed.Record {
	return jvkeyed.Record{Key: routerPrefix + m.Name, Value: jvcodec.Encode(memberRecord{At: atMillis, Zone: m.Zone, Address: m.Address, Weight: m.Weight, Deliveries: m.Deliveries})}
}

// decodeMember decodes a router's record.
func decodeMember(name string, value []byte) (m Member, atMillis int64, err error) {
	const op = "decode member"
	r, err := jvcodec.Decode[memberRecord](value)
	if err != nil {
		return m, 0, jvfault.New(op, KindMalformed, err)
	}
	if name == "" || !strings.Contains(r.Address, ":") {
		return m, 0, jvfault.Newf(op, KindMalformed, "the router %q has the address %q", name, r.Address)
	}
	if !(r.Weight >= 0 && r.Weight <= maxWeight) { // Also false for NaN.
		return m, 0, jvfault.Newf(op, KindMalformed, "the router %q has the weight %v", name, r.Weight)
	}
	return Member{Name: name, Zone: r.Zone, Address: r.Address, Weight: r.Weight, Deliveries: r.Deliveries}, r.At, nil
}
