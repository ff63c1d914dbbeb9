package jvledger

import (
	"fmt"

	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// applyPublish applies all items of a publication or none: each must be based on the version
// of that item in force.
func (s *State) applyPublish(offset uint64, p *jvrecord.Publish) Verdict {
	id := NewKey("publish", p.ID)
	if version, ok := s.Publications.Get(id); ok {
		return Verdict{Reason: ReasonDuplicate, Version: version}
	}
	version := offset + 1
	catalog := s.catalog
	for _, i := range p.Items {
		current := s.Items[string(i.Kind)][i.Name]
		if current.Version != i.Base {
			return Verdict{
				Reason:  ReasonConflict,
				Version: current.Version,
				Detail:  fmt.Sprintf("%s %s is at version %d by %s, the change was made from version %d", i.Kind, i.Name, current.Version, current.Operator, i.Base),
			}
		}
		next, err := catalog.With(version, i)
		if err != nil {
			return Verdict{Reason: ReasonInvalid, Detail: err.Error()}
		}
		catalog = next
	}
	s.catalog = catalog
	s.Version = version
	for _, i := range p.Items {
		if s.Items[string(i.Kind)] == nil {
			s.Items[string(i.Kind)] = map[string]Item{}
		}
		s.Items[string(i.Kind)][i.Name] = Item{Version: version, Operator: p.Operator, Body: i.Body}
	}
	s.Publications.Put(id, version)
	return Verdict{Reason: ReasonAccepted, Version: version}
}

func (s *State) applyTopup(t *jvrecord.Topup) Verdict {
	if applied, ok := s.Topups[t.ID]; ok {
		if applied.Profile != t.Profile || applied.Tokens != t.Tokens {
			return Verdict{Reason: ReasonMismatch, Detail: fmt.Sprintf("id %q has topped up %s by %d", t.ID, applied.Profile, applied.Tokens)}
		}
		return Verdict{Reason: ReasonDuplicate, Tokens: applied.Tokens}
	}
	switch {
	case t.Tokens <= 0 || t.ID == "":
		return Verdict{Reason: ReasonInvalid, Detail: "a top-up needs an id and more than 0 tokens"}
	case t.Expiry <= s.Now || t.Expiry > s.Now+s.rules.MaxTopupExpiry:
		return Verdict{Reason: ReasonExpired, Detail: "the record's expiry has passed or is too far in the future"}
	case len(s.Topups) >= s.rules.MaxTopups:
		return Verdict{Reason: ReasonFull, Detail: "too many top-ups have not expired yet; retry when older ones have expired"}
	}
	if _, ok := s.catalog.Profile(t.Profile); !ok {
		return Verdict{Reason: ReasonMissing, Detail: fmt.Sprintf("there is no profile %q", t.Profile)}
	}
	b := s.Budgets[t.Profile]
	if b == nil {
		b = newBudget()
		s.Budgets[t.Profile] = b
	}
	if b.Prepaid+t.Tokens < b.Prepaid {
		return Verdict{Reason: ReasonInvalid, Detail: "the budget would overflow"}
	}
	b.Prepaid += t.Tokens
	b.Free += t.Tokens
	s.Topups[t.ID] = Topup{Profile: t.Profile, Tokens: t.Tokens, Expiry: t.Expiry}
	return Verdict{Reason: ReasonAccepted, Tokens: t.Tokens}
}
