package jvoperator

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Bundle is a configuration file that an operator publishes.
type Bundle struct {
	Workspaces []jvconfig.Workspace `json:"workspaces,omitempty"`
	Pools      []jvconfig.Pool      `json:"pools,omitempty"`
	Profiles   []jvconfig.Profile   `json:"profiles,omitempty"`
}

// ParseBundle decodes a file and validates each item by itself; CheckAgainst validates references.
func ParseBundle(data []byte) (Bundle, error) {
	b, err := jvconfig.Parse[Bundle]("read configuration", data)
	if err != nil {
		return b, err
	}
	return b, b.check()
}

// check returns all errors in the items, and names that two items of one kind share, as one error.
func (b Bundle) check() error {
	var p jvconfig.Problems
	seen := map[string]bool{}
	// The first three letters of path distinguish the kinds of items.
	addItem := func(path, name string, err error) {
		if err != nil {
			p.Add(path, "%v", err)
		}
		if seen[path[:3]+name] {
			p.Add(path, "%q appears twice in the file", name)
		}
		seen[path[:3]+name] = true
	}
	for i, v := range b.Workspaces {
		addItem(fmt.Sprintf("workspaces[%d]", i), v.Name, v.Check())
	}
	for i, v := range b.Pools {
		addItem(fmt.Sprintf("pools[%d]", i), v.Name, v.Check())
	}
	for i, v := range b.Profiles {
		addItem(fmt.Sprintf("profiles[%d]", i), v.Name, v.Check())
	}
	return p.Err("check configuration")
}

// CheckAgainst returns an error for the references of the bundle to items that are neither in it nor
// in a catalog.
func (b Bundle) CheckAgainst(c *jvconfig.Catalog) error {
	var p jvconfig.Problems
	kinds := map[string]jvconfig.PoolKind{}
	for name, v := range c.Pools() {
		kinds[name] = v.Kind
	}
	for _, v := range b.Pools {
		kinds[v.Name] = v.Kind
	}
	known := map[string]bool{}
	for _, v := range b.Workspaces {
		known[v.Name] = true
		for _, s := range v.Services {
			if kinds[s] != jvconfig.PoolService {
				p.Add("workspace "+v.Name+".services", "there is no pool %q of kind service", s)
			}
		}
	}
	for _, v := range b.Profiles {
		if kinds[v.Pool] != jvconfig.PoolEngine {
			p.Add("profile "+v.Name+".pool", "there is no pool %q of kind engine", v.Pool)
		}
		if !known[v.Workspace] && !c.HasWorkspace(v.Workspace) {
			p.Add("profile "+v.Name+".workspace", "there is no workspace %q", v.Workspace)
		}
	}
	return p.Err("check configuration")
}

// Changes returns the items that differ from those in force, each with the version that it replaces.
func (b Bundle) Changes(s *jvledger.State) ([]jvrecord.Item, error) {
	var items []jvrecord.Item
	add := func(kind jvrecord.ItemKind, name string, v any) error {
		body, err := json.Marshal(v)
		if err != nil {
			return jvfault.New("encode item", KindInvalid, err)
		}
		current := s.Items[string(kind)][name]
		if !bytes.Equal(current.Body, body) {
			items = append(items, jvrecord.Item{Kind: kind, Name: name, Base: current.Version, Body: body})
		}
		return nil
	}
	for _, v := range b.Workspaces {
		if err := add(jvrecord.ItemWorkspace, v.Name, v); err != nil {
			return nil, err
		}
	}
	for _, v := range b.Pools {
		if err := add(jvrecord.ItemPool, v.Name, v); err != nil {
			return nil, err
		}
	}
	for _, v := range b.Profiles {
		if err := add(jvrecord.ItemProfile, v.Name, v); err != nil {
			return nil, err
		}
	}
	return items, nil
}
