package jvledger

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Kind is the class of a ledger failure.
type Kind string

// Kinds of ledger failures.
const (
	// KindMalformed means that an entry or a snapshot can't be decoded.
	KindMalformed Kind = "malformed"
	// KindGap means that an entry is beyond the next offset.
	KindGap Kind = "gap"
)

// Error is a ledger failure.
type Error = jvfault.Error[Kind]

// snapshotState is the part of a State that a snapshot contains. Times are log times in Unix
// milliseconds.
type snapshotState struct {
	// Offset is the offset of the next entry to apply.
	Offset uint64 `cbor:"offset"`
	// Now is the maximum log time applied so far.
	Now int64 `cbor:"now"`
	// LastExpiryAt is when expired origins and top-ups were last removed.
	LastExpiryAt int64 `cbor:"swept"`
	// Version is the configuration version: the offset after the last publication.
	Version uint64             `cbor:"version"`
	Origins map[string]*Origin `cbor:"origins"`
	// Items holds the configuration items by kind and name.
	Items map[string]map[string]Item `cbor:"items"`
	// Budgets holds the budgets by profile.
	Budgets map[string]*Budget `cbor:"budgets"`
	// BillTotals holds the sums of the bills by workspace and profile.
	BillTotals map[string]map[string]*BillTotals `cbor:"billed"`
	Topups     map[string]Topup                  `cbor:"topups"`
	RunLocks   *ExpiringMap[Key, RunLock]        `cbor:"takes"`
	// AnswerBytes is the total size of the answers kept in RunLocks.
	AnswerBytes int `cbor:"answers"`
	// BilledKeys holds the request keys that have been charged.
	BilledKeys *ExpiringMap[Key, bool] `cbor:"bills"`
	// Crashes holds target crashes by request digest.
	Crashes *ExpiringMap[Key, Crashes] `cbor:"poison"`
	// Publications holds the configuration version by the key of a publication's ID.
	Publications *ExpiringMap[Key, uint64] `cbor:"publish"`
	// Breaches counts reports and loans of more tokens than the account holds.
	Breaches int64 `cbor:"breaches"`
	// CheckpointOffset is the offset after the last checkpoint record.
	CheckpointOffset uint64 `cbor:"checked"`
	CheckpointAt     int64  `cbor:"checkedat"`
}

// State is the result of applying a log up to an offset. It is not safe for concurrent use.
type State struct {
	snapshotState
	rules   Rules
	catalog *jvconfig.Catalog
}

// NewState returns the state before the first record.
func NewState(rules Rules) *State {
	return &State{
		snapshotState: snapshotState{
			Origins:      map[string]*Origin{},
			Items:        map[string]map[string]Item{},
			Budgets:      map[string]*Budget{},
			BillTotals:   map[string]map[string]*BillTotals{},
			Topups:       map[string]Topup{},
			RunLocks:     NewExpiringMap[Key, RunLock](rules.RunLockWindow),
			BilledKeys:   NewExpiringMap[Key, bool](rules.BillWindow),
			Crashes:      NewExpiringMap[Key, Crashes](rules.PoisonWindow),
			Publications: NewExpiringMap[Key, uint64](rules.PublishWindow),
		},
		rules:   rules,
		catalog: jvconfig.NewCatalog(),
	}
}

// Restore returns the state encoded in a snapshot.
func Restore(rules Rules, snapshot []byte) (*State, error) {
	decoded, err := jvcodec.Decode[snapshotState](snapshot)
	if err != nil {
		return nil, jvfault.New("restore snapshot", KindMalformed, err)
	}
	s := NewState(rules)
	if decoded.RunLocks == nil || decoded.BilledKeys == nil || decoded.Crashes == nil || decoded.Publications == nil {
		return nil, jvfault.Newf("restore snapshot", KindMalformed, "a table is missing")
	}
	s.snapshotState = decoded
	s.fillMaps()
	for _, kind := range []jvrecord.ItemKind{jvrecord.ItemWorkspace, jvrecord.ItemPool, jvrecord.ItemProfile, jvrecord.ItemDrain} {
		for name, i := range s.Items[string(kind)] {
			item := jvrecord.Item{Kind: kind, Name: name, Body: i.Body}
			if s.catalog, err = s.catalog.With(s.Version, item); err != nil {
				return nil, jvfault.New("restore snapshot", KindMalformed, err)
			}
		}
	}
	return s, nil
}

// fillMaps creates the maps that CBOR decodes as nil, and the nested values that a damaged
// snapshot may lack.
func (s *State) fillMaps() {
	empty := NewState(s.rules)
	fillMap(&s.Origins, empty.Origins)
	fillMap(&s.Items, empty.Items)
	fillMap(&s.Budgets, empty.Budgets)
	fillMap(&s.BillTotals, empty.BillTotals)
	fillMap(&s.Topups, empty.Topups)
	fillExpiringMap(s.RunLocks)
	fillExpiringMap(s.BilledKeys)
	fillExpiringMap(s.Crashes)
	fillExpiringMap(s.Publications)
	for profile, b := range s.Budgets {
		if b == nil {
			b = newBudget()
			s.Budgets[profile] = b
		}
		fillMap(&b.Accounts, map[string]*Account{})
		fillMap(&b.Loans, map[string]map[string]int64{})
		for origin, a := range b.Accounts {
			if a == nil {
				b.Accounts[origin] = &Account{}
			}
		}
	}
	for name, o := range s.Origins {
		if o == nil {
			s.Origins[name] = &Origin{}
		}
	}
	for workspace, profiles := range s.BillTotals {
		for profile, t := range profiles {
			if t == nil {
				s.BillTotals[workspace][profile] = &BillTotals{}
			}
		}
	}
}

func fillMap[K comparable, V any](m *map[K]V, empty map[K]V) {
	if *m == nil {
		*m = empty
	}
}

func fillExpiringMap[K comparable, V any](m *ExpiringMap[K, V]) {
	fillMap(&m.Current, map[K]V{})
	fillMap(&m.Previous, map[K]V{})
}

// Snapshot returns the state in canonical encoding: equal states have equal bytes.
func (s *State) Snapshot() []byte { return jvcodec.Encode(&s.snapshotState) }

// Hash returns the hex SHA-256 of the snapshot, by which VMs compare their states at an offset.
func (s *State) Hash() string {
	h := sha256.Sum256(s.Snapshot())
	return hex.EncodeToString(h[:])
}

// NextOffset returns the offset of the next entry to apply.
func (s *State) NextOffset() uint64 { return s.Offset }

// Catalog returns the configuration in force.
func (s *State) Catalog() *jvconfig.Catalog { return s.catalog }
