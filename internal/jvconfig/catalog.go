package jvconfig

import (
	"maps"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Catalog is the whole configuration in force at one version. It is immutable.
type Catalog struct {
	version    uint64
	profiles   map[string]Profile
	workspaces map[string]Workspace
	pools      map[string]Pool
	drains     map[string]Drain
	// keys maps the digest of a bearer key to the name of its workspace.
	keys map[string]string
}

// NewCatalog returns an empty catalog at version 0.
func NewCatalog() *Catalog { return &Catalog{} }

// Version returns the configuration version: the log offset after the last publication, or 0.
func (c *Catalog) Version() uint64 { return c.version }

// Profile returns the profile with a name.
func (c *Catalog) Profile(name string) (Profile, bool) {
	v, ok := c.profiles[name]
	return v, ok
}

// Pool returns the pool with a name.
func (c *Catalog) Pool(name string) (Pool, bool) {
	v, ok := c.pools[name]
	return v, ok
}

// Pools returns all pools by name. The caller must not modify the map.
func (c *Catalog) Pools() map[string]Pool { return c.pools }

// Profiles returns all profiles by name. The caller must not modify the map.
func (c *Catalog) Profiles() map[string]Profile { return c.profiles }

// Drained reports whether an operator has taken a target out of service.
func (c *Catalog) Drained(target string) bool {
	_, ok := c.drains[target]
	return ok
}

// Workspace returns the workspace that a bearer key belongs to.
func (c *Catalog) Workspace(key string) (Workspace, bool) {
	name, ok := c.keys[KeyDigest(key)]
	if !ok {
		return Workspace{}, false
	}
	return c.workspaces[name], true
}

// HasWorkspace reports whether there is a workspace with a name.
func (c *Catalog) HasWorkspace(name string) bool {
	_, ok := c.workspaces[name]
	return ok
}

// HasTarget reports whether any pool has a target with a name.
func (c *Catalog) HasTarget(name string) bool {
	for _, p := range c.pools {
		for _, t := range p.Targets {
			if t.Name == name {
				return true
			}
		}
	}
	return false
}

// MayCall reports whether a workspace may call a service.
func (c *Catalog) MayCall(workspace, service string) bool {
	return c.workspaces[workspace].AllowsService(service)
}

// With returns the catalog with one item added, replaced or removed at a version. On an error it
// returns the catalog unchanged.
func (c *Catalog) With(version uint64, item jvrecord.Item) (*Catalog, error) {
	n := *c
	n.version = version
	var err error
	switch item.Kind {
	case jvrecord.ItemProfile:
		n.profiles, err = withItem(c.profiles, item, ParseProfile)
	case jvrecord.ItemWorkspace:
		n.workspaces, err = withItem(c.workspaces, item, ParseWorkspace)
		n.keys = keyIndex(n.workspaces)
	case jvrecord.ItemPool:
		n.pools, err = withItem(c.pools, item, ParsePool)
	case jvrecord.ItemDrain:
		n.drains, err = withItem(c.drains, item, ParseDrain)
	default:
		err = jvfault.Newf("change configuration", KindInvalid, "%q is not a kind of configuration item", item.Kind)
	}
	if err != nil {
		return c, err
	}
	return &n, nil
}

// namedItem is a configuration value that holds the name that it is published under.
type namedItem interface{ ItemName() string }

// withItem returns a copy of m with an item parsed and stored, or removed if its body is empty.
func withItem[T namedItem](m map[string]T, item jvrecord.Item, parse func([]byte) (T, error)) (map[string]T, error) {
	n := maps.Clone(m)
	if n == nil {
		n = map[string]T{}
	}
	if len(item.Body) == 0 {
		delete(n, item.Name)
		return n, nil
	}
	v, err := parse(item.Body)
	if err != nil {
		return m, err
	}
	if v.ItemName() != item.Name {
		return m, jvfault.Newf("change configuration", KindInvalid, "%s %q is published under the name %q", item.Kind, v.ItemName(), item.Name)
	}
	n[item.Name] = v
	return n, nil
}

// keyIndex maps the digests of all keys to workspaces. A key that several workspaces list belongs
// to the one whose name sorts first, so that every router decides the same.
func keyIndex(workspaces map[string]Workspace) map[string]string {
	keys := map[string]string{}
	for name, w := range workspaces {
		for _, k := range w.Keys {
			if other, taken := keys[k]; !taken || name < other {
				keys[k] = name
			}
		}
	}
	return keys
}
