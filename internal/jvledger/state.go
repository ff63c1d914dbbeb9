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
	KindMalformed Kind = "malformed"
	KindGap       Kind = "gap"
)

// Error is a ledger failure.
type Error = jvfault.Error[Kind]

// body is the part of a State that a snapshot carries.
type body struct {
	Offset uint64 `cbor:"offset"`
	// Now is the largest log time seen, in Unix milliseconds.
	Now      int64                         `cbor:"now"`
	LastExpiryAt    int64                         `cbor:"swept"`
	Version  uint64                        `cbor:"version"`
	Origins  map[string]*Origin            `cbor:"origins"`
	Items    map[string]map[string]Item    `cbor:"items"`
	Budgets  map[string]*Budget            `cbor:"budgets"`
	BillTotals   map[string]map[string]*BillTotals `cbor:"billed"`
	Topups   map[string]Topup             `cbor:"topups"`
	RunLocks    *ExpiringMap[Key, RunLock]      `cbor:"takes"`
	AnswerBytes  int                           `cbor:"answers"`
	BilledKeys    *ExpiringMap[Key, bool]       `cbor:"bills"`
	Crashes   *ExpiringMap[Key, Crashes]    `cbor:"poison"`
	Publications  *ExpiringMap[Key, uint64]     `cbor:"publish"`
	Breaches int64                         `cbor:"breaches"`
	// CheckpointOffset is the offset, and CheckedAt the log time, of the last check record.
	CheckpointOffset   uint64 `cbor:"checked"`
	CheckpointAt int64  `cbor:"checkedat"`
}

// State is the fold of a log up to an offset. It is not safe for concurrent use.
type State struct {
	body
	rules   Rules
	catalog *jvconfig.Catalog
}

// NewState returns the state before the first record.
func NewState(rules Rules) *State {
	return &State{
		body: body{
			Origins: map[string]*Origin{},
			Items:   map[string]map[string]Item{},
			Budgets: map[string]*Budget{},
			BillTotals:  map[string]map[string]*BillTotals{},
			Topups:  map[string]Topup{},
			RunLocks:   NewExpiringMap[Key, RunLock](rules.RunLockWindow),
			BilledKeys:   NewExpiringMap[Key, bool](rules.BillWindow),
			Crashes:  NewExpiringMap[Key, Crashes](rules.PoisonWindow),
			Publications: NewExpiringMap[Key, uint64](rules.PublishWindow),
		},
		rules:   rules,
		catalog: jvconfig.NewCatalog(),
	}
}

// Restore returns the state that a snapshot holds.
func Restore(rules Rules, snapshot []byte) (*State, error) {
	b, err := jvcodec.Decode[body](snapshot)
	if err != nil {
		return nil, jvfault.New("restore snapshot", KindMalformed, err)
	}
	s := NewState(rules)
	if b.RunLocks == nil || b.BilledKeys == nil || b.Crashes == nil || b.Publications == nil {
		return nil, jvfault.Newf("restore snapshot", KindMalformed, "a table is missing")
	}
	s.body = b
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

// fillMaps makes the maps that CBOR leaves nil, and the nested values that a damaged
// snapshot may leave out.
func (s *State) fillMaps() {
	fresh := NewState(s.rules)
	fillMap(&s.Origins, fresh.Origins)
	fillMap(&s.Items, fresh.Items)
	fillMap(&s.Budgets, fresh.Budgets)
	fillMap(&s.BillTotals, fresh.BillTotals)
	fillMap(&s.Topups, fresh.Topups)
	fillGenerations(s.RunLocks)
	fillGenerations(s.BilledKeys)
	fillGenerations(s.Crashes)
	fillGenerations(s.Publications)
	for name, b := range s.Budgets {
		if b == nil {
			b = newBudget()
			s.Budgets[name] = b
		}
		fillMap(&b.Accounts, map[string]*Account{})
		fillMap(&b.Loans, map[string]map[string]int64{})
		for o, a := range b.Accounts {
			if a == nil {
				b.Accounts[o] = &Account{}
			}
		}
	}
	for name, o := range s.Origins {
		if o == nil {
			s.Origins[name] = &Origin{}
		}
	}
	for w, profiles := range s.BillTotals {
		for name, t := range profiles {
			if t == nil {
				s.BillTotals[w][name] = &BillTotals{}
			}
		}
	}
}

func fillMap[K comparable, V any](m *map[K]V, empty map[K]V) {
	if *m == nil {
		*m = empty
	}
}

func fillGenerations[K comparable, V any](g *ExpiringMap[K, V]) {
	fillMap(&g.Current, map[K]V{})
	fillMap(&g.Previous, map[K]V{})
}

// Snapshot returns the state as canonical bytes; equal states have equal bytes.
func (s *State) Snapshot() []byte { return jvcodec.Encode(&s.body) }

// Hash returns the hex digest by which two VMs compare their states at one offset.
func (s *State) Hash() string {
	h := sha256.Sum256(s.Snapshot())
	return hex.EncodeToString(h[:])
}

// NextOffset returns the offset of the first record that the state does not hold yet.
func (s *State) NextOffset() uint64 { return s.Offset }

// Catalog returns the configuration in force.
func (s *State) Catalog() *jvconfig.Catalog { return s.catalog }
