// Package jvcodec encodes and decodes the fleet's records and messages as CBOR. The encoding is
// canonical, so that equal values have equal bytes and hashes.
package jvcodec
