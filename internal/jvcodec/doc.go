// Package jvcodec encodes and decodes the fleet's own records and messages as CBOR.
// Encoding is canonical, so that equal values have equal bytes and hashes.
package jvcodec
