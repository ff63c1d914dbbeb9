package jvharness

import (
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// Counts are what the stand-ins truly did. A target that crashed and was started again has
// counted anew, so tests that crash targets read before and after.
type Counts struct {
	// Tokens are by profile, over all engines.
	Tokens      map[string]int64
	Attempts    int64
	CachedBytes int64
	// Executions are by Idempotency-Key, over all services.
	Executions map[string]int64
	Lookups    int64
	Log        jvstandin.PlatformCounts
}

// Counts reads all stand-ins.
func (c *Cluster) Counts() (Counts, error) {
	n := Counts{Tokens: map[string]int64{}, Executions: map[string]int64{}}
	if err := getJSON(c.PlatformURL()+"/admin/counts", &n.Log); err != nil {
		return n, err
	}
	for name, address := range c.addresses {
		target := "http://" + address + "/admin/counts"
		switch {
		case strings.HasPrefix(name, "engine-"):
			var e jvstandin.EngineCounts
			if err := getJSON(target, &e); err != nil {
				return n, err
			}
			n.addEngine(e)
		case strings.HasPrefix(name, "desk-"):
			var s jvstandin.ServiceCounts
			if err := getJSON(target, &s); err != nil {
				return n, err
			}
			n.Lookups += s.Lookups
			for k, runs := range s.Executions {
				n.Executions[k] += runs
			}
		}
	}
	return n, nil
}

func (n *Counts) addEngine(e jvstandin.EngineCounts) {
	n.Attempts += e.Attempts
	n.CachedBytes += e.CachedBytes
	for m, t := range e.Tokens {
		n.Tokens[m] += t
	}
}

// DuplicateExecutions returns how many calls ran beyond the first run of their key.
func (n *Counts) DuplicateExecutions() int64 {
	var doubled int64
	for _, runs := range n.Executions {
		doubled += runs - 1
	}
	return doubled
}

// EngineTokens returns the tokens that stand-in engines truly used, by model.
func EngineTokens(engines []string) (map[string]int64, error) {
	n := Counts{Tokens: map[string]int64{}}
	for _, base := range engines {
		var e jvstandin.EngineCounts
		if err := getJSON(base+"/admin/counts", &e); err != nil {
			return nil, err
		}
		n.addEngine(e)
	}
	return n.Tokens, nil
}
