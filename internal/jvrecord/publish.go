package jvrecord

// ItemKind is what a configuration item describes.
type ItemKind string

// Kinds of configuration items.
const (
	ItemProfile   ItemKind = "profile"
	ItemWorkspace ItemKind = "workspace"
	ItemPool      ItemKind = "pool"
	ItemDrain     ItemKind = "drain"
)

// Item is one named piece of configuration.
type Item struct {
	Kind ItemKind `cbor:"kind"`
	Name string   `cbor:"name"`
	// Base is the version that the change was made from, 0 for a new item.
	Base uint64 `cbor:"base"`
	// Body is JSON; empty removes the item.
	Body []byte `cbor:"body,omitempty"`
}

// Publish changes configuration items, all of them or none.
type Publish struct {
	ID       string `cbor:"id"`
	Operator string `cbor:"operator"`
	Items    []Item `cbor:"items"`
}

// Topup adds to a profile's prepaid budget.
type Topup struct {
	ID       string `cbor:"id"`
	Operator string `cbor:"operator"`
	Profile  string `cbor:"profile"`
	Tokens   int64  `cbor:"tokens"`
	// Expiry is the log time, in Unix milliseconds, after which the record no longer counts;
	// the fold remembers ID until then.
	Expiry int64 `cbor:"expiry"`
}
