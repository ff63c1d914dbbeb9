package jvconfig

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// PoolKind is the kind of the targets of a pool.
type PoolKind string

// Kinds of pools.
const (
	// PoolEngine is a pool of model engines.
	PoolEngine PoolKind = "engine"
	// PoolService is a pool of servers of a plain service.
	PoolService PoolKind = "service"
)

// Target is one server of a pool.
type Target struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address has the form host:port.
	Address string `json:"address"`
	// Slots is the number of requests that the target runs at once.
	Slots int64 `json:"slots"`
	// Version is the version of the target's software, or empty if it isn't known. Targets of the
	// configuration have none.
	Version string `json:"-"`
}

// CallRule allows the calls of a plain service with a method and a path that begins with Prefix.
type CallRule struct {
	Method string `json:"method"`
	Prefix string `json:"prefix"`
	// Once marks calls that must run at most once: they need an Idempotency-Key.
	Once bool `json:"once"`
}

// Pool is a group of interchangeable targets.
type Pool struct {
	Name    string   `json:"name"`
	Kind    PoolKind `json:"kind"`
	Targets []Target `json:"targets"`
	// Calls are the rules of a service pool. The first rule that matches a call applies, and a
	// call that none matches is refused.
	Calls []CallRule `json:"calls,omitempty"`
	// TimeoutMillis is the time allowed for one call of a service pool, in milliseconds.
	TimeoutMillis int64 `json:"deadline,omitempty"`
	// MaxAttempts is the maximum number of attempts of an idempotent call of a service pool.
	MaxAttempts int `json:"attempts,omitempty"`
}

// ParsePool decodes and validates a pool.
func ParsePool(body []byte) (Pool, error) {
	v, err := Parse[Pool]("read pool", body)
	if err != nil {
		return v, err
	}
	return v, v.Check()
}

// Check returns all errors in the pool as one, or nil.
func (v Pool) Check() error {
	var p Problems
	p.CheckName("name", v.Name)
	if len(v.Targets) == 0 {
		p.Add("targets", "is empty: list at least one target")
	}
	seen := map[string]bool{}
	for i, t := range v.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		p.CheckName(path+".name", t.Name)
		p.CheckName(path+".zone", t.Zone)
		p.CheckRange(path+".slots", t.Slots, 1, 1<<16)
		if !strings.Contains(t.Address, ":") {
			p.Add(path+".address", "%q is not host:port", t.Address)
		}
		if seen[t.Name] {
			p.Add(path+".name", "%q appears twice in the pool", t.Name)
		}
		seen[t.Name] = true
	}
	v.checkKind(&p)
	return p.Err("check pool")
}

func (v Pool) checkKind(p *Problems) {
	switch v.Kind {
	case PoolEngine:
		if len(v.Calls) > 0 {
			p.Add("calls", "are allowed in pools of kind service only")
		}
	case PoolService:
		p.CheckRange("deadline", v.TimeoutMillis, 1, maxTimeoutMillis)
		p.CheckRange("attempts", int64(v.MaxAttempts), 1, maxAttempts)
		for i, c := range v.Calls {
			if !strings.HasPrefix(c.Prefix, "/") {
				p.Add(fmt.Sprintf("calls[%d].prefix", i), "%q does not begin with '/'", c.Prefix)
			}
			switch c.Method {
			case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete:
			default:
				p.Add(fmt.Sprintf("calls[%d].method", i), "%q is not GET, POST, PUT or DELETE", c.Method)
			}
		}
	default:
		p.Add("kind", "%q is not a kind of pool: use engine or service", v.Kind)
	}
}

// Timeout returns the time allowed for one call of a service pool.
func (v Pool) Timeout() time.Duration { return time.Duration(v.TimeoutMillis) * time.Millisecond }

// Rule returns the first rule that matches a call.
func (v Pool) Rule(method, path string) (CallRule, bool) {
	for _, c := range v.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Prefix) {
			return c, true
		}
	}
	return CallRule{}, false
}

// WithTargets returns the pool with its targets replaced.
func (v Pool) WithTargets(targets ...Target) Pool {
	v.Targets = append([]Target(nil), targets...)
	return v
}

// ItemName returns the name that the pool is published under.
func (v Pool) ItemName() string { return v.Name }
