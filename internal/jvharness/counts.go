package jvharness

import (
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// Counts are the operations that took effect at the stand-ins. A target that is restarted
// counts from zero, so a test that crashes targets reads the counts before and after.
type Counts struct {
	// Tokens are the tokens used at all engines, by profile.
	Tokens   map[string]int64
	Attempts int64
	// CachedBytes counts the prompt bytes found in the engines' prefix caches.
	CachedBytes int64
	// Executions are the calls executed at all services, by Idempotency-Key.
	Executions map[string]int64
	// Lookups counts the GET requests at all services.
	Lookups int64
	Log     jvstandin.PlatformCounts
}

// Counts reads and adds up the counts of all stand-ins.
func (c *Cluster) Counts() (Counts, error) {
	n := Counts{Tokens: map[string]int64{}, Executions: map[string]int64{}}
	if err := getJSON(c.PlatformURL()+"/admin/counts", &n.Log); err != nil {
		return n, err
	}
	for name, address := range c.addresses {
		url := "http://" + address + "/admin/counts"
		switch {
		case strings.HasPrefix(name, "engine-"):
			var e jvstandin.EngineCounts
			if err := getJSON(url, &e); err != nil {
				return n, err
			}
			n.addEngine(e)
		case strings.HasPrefix(name, "desk-"):
			var s jvstandin.ServiceCounts
			if err := getJSON(url, &s); err != nil {
				return n, err
			}
			n.Lookups += s.Lookups
			for k, executions := range s.Executions {
				n.Executions[k] += executions
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

// DuplicateExecutions returns the number of executions beyond the first one of each key.
func (n *Counts) DuplicateExecutions() int64 {
	var duplicates int64
	for _, executions := range n.Executions {
		duplicates += executions - 1
	}
	return duplicates
}

// EngineTokens returns the tokens used at stand-in engines, given by their base URLs, by model.
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
