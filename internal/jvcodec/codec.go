package jvcodec

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Kind is the class of a codec failure.
type Kind string

// KindMalformed means that the input is not one well-formed value of the expected type.
const KindMalformed Kind = "malformed"

// Error is a codec failure.
type Error = jvfault.Error[Kind]

// Limits of a value to decode: levels of nesting, and elements of an array or pairs of a map.
const (
	maxNesting  = 16
	maxElements = 4 << 20
)

var encoder, decoder = mustModes()

func mustModes() (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

// Encode returns v in canonical CBOR; it panics if v's type can't be encoded.
func Encode(v any) []byte {
	data, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // A type that CBOR can't encode is a bug in the calling code.
	}
	return data
}

// Decode decodes one value of type T and rejects trailing bytes. It ignores fields that this
// version does not know, so that a fleet can be upgraded one VM at a time.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := decoder.Unmarshal(data, &v); err != nil {
		return v, jvfault.New("decode", KindMalformed, err)
	}
	return v, nil
}
