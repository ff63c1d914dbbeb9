package jvcodec

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Kind is the class of a codec failure.
type Kind string

// KindMalformed is input that is not one well-formed value of the wanted type.
const KindMalformed Kind = "malformed"

// Error is a codec failure.
type Error = jvfault.Error[Kind]

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

// Encode returns v as canonical CBOR; v must be a type that CBOR can hold.
func Encode(v any) []byte {
	data, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // Only a type that CBOR can't hold gets here, which is a fault in the program.
	}
	return data
}

// Decode reads one value of type T; trailing bytes are malformed. Fields that this
// version does not know are passed over, so that a fleet can be upgraded one VM at a time.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := decoder.Unmarshal(data, &v); err != nil {
		return v, jvfault.New("decode", KindMalformed, err)
	}
	return v, nil
}
