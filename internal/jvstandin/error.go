package jvstandin

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a stand-in failure.
type Kind string

// KindInvalid means that a fault or an order can't be decoded.
const KindInvalid Kind = "invalid"

// Error is a stand-in failure.
type Error = jvfault.Error[Kind]
