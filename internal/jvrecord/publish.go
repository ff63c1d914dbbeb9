package jvrecord

// ItemKind is the kind of a configuration item.
type ItemKind string

// Kinds of configuration items.
const (
	ItemProfile   ItemKind = "profile"
	ItemWorkspace ItemKind = "workspace"
	ItemPool      ItemKind = "pool"
	ItemDrain     ItemKind = "drain"
)

// Item is one named configuration item.
type Item struct {
	Kind ItemKind `cbor:"kind"`
	Name string   `cbor:"name"`
	// Base is the version that the change was made from, 0 for a new item.
	Base uint64 `cbor:"base"`
	// Body is JSON; an empty one removes the item.
	Body []byte `cbor:"body,omitempty"`
}

// Publish changes configuration items, all of them or none.
type Publish struct {
	// ID identifies the publication, so that a repeated record is applied once.
	ID       string `cbor:"id"`
	Operator string `cbor:"operator"`
	Items    []Item `cbor:"items"`
}

// Topup adds tokens to a profile's prepaid budget.
type Topup struct {
	ID       string `cbor:"id"`
	Operator string `cbor:"operator"`
	Profile  string `cbor:"profile"`
	Tokens   int64  `cbor:"tokens"`
	// Expiry is the log time, in Unix milliseconds, after which the record is refused; the
	// state machine keeps ID until then.
	Expiry int64 `cbor:"expiry"`
}
