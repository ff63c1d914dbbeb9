package jvstandin

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind classifies the errors of a stand-in.
type Kind string

// KindInvalid means that a fault or an order can't be decoded.
const KindInvalid Kind = "invalid"

// Error is the error type of a stand-in.
type Error = jvfault.Error[Kind]
