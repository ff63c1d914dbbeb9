package jvgrant

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Kind is the class of a refused reservation.
type Kind string

// Kinds of refusals.
const (
	// KindSpent means that the whole budget has less left than the request may use.
	KindSpent Kind = "spent"
	// KindShort means that this router holds too little and could not get more in time.
	KindShort Kind = "short"
	// KindEmpty means that no router has spendable tokens left, although some of the budget may not
	// have been spent: what an earlier process may have spent counts as spent.
	KindEmpty Kind = "empty"
	// KindWait means that this router holds too little, and may get more if the request waits.
	KindWait Kind = "wait"
	// KindMalformed means that a message of another router can't be decoded.
	KindMalformed Kind = "malformed"
	// KindUnready means that the router has not yet read what it held before its start.
	KindUnready Kind = "unready"
)

// Error is a refused reservation.
type Error = jvfault.Error[Kind]

// errBound refuses a reservation that exceeds the published bound on spending.
var errBound = jvfault.Newf("reserve", KindShort, "the stated bound on spending is reached")
