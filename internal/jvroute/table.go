package jvroute

import (
	"cmp"
	"slices"
	"strings"
)

// Table is one version of the routing configuration. It is immutable.
type Table struct {
	version uint64
	// hosts are the routes by host in lower case, longest prefix first.
	hosts      map[string][]Route
	workspaces map[string]Workspace
	// keys are the names of workspaces by key.
	keys   map[string]string
	pools  map[string]Pool
	limits Limits
}

// NewTable returns a table without routes, workspaces and pools.
func NewTable(version uint64, limits Limits) *Table {
	return &Table{version: version, limits: limits}
}

// WithRoutes returns a copy of the table with its routes replaced.
func (t *Table) WithRoutes(routes []Route) *Table {
	n := *t
	n.hosts = map[string][]Route{}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		n.hosts[host] = append(n.hosts[host], r)
	}
	for _, list := range n.hosts {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return &n
}

// WithWorkspaces returns a copy of the table with its workspaces replaced.
func (t *Table) WithWorkspaces(list []Workspace) *Table {
	n := *t
	n.workspaces = map[string]Workspace{}
	n.keys = map[string]string{}
	for _, w := range list {
		n.workspaces[w.Name] = w
		for _, k := range w.Keys {
			n.keys[k] = w.Name
		}
	}
	return &n
}

// WithPools returns a copy of the table with its pools replaced.
func (t *Table) WithPools(list []Pool) *Table {
	n := *t
	n.pools = map[string]Pool{}
	for _, p := range list {
		n.pools[p.Name] = p
	}
	return &n
}

// Version returns the configuration's version, which the operator sets.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RequiresKey reports whether requests need a workspace's key.
func (t *Table) RequiresKey() bool { return len(t.workspaces) > 0 }

// WorkspaceByKey returns the workspace that a key belongs to.
func (t *Table) WorkspaceByKey(key string) (Workspace, bool) {
	name, ok := t.keys[key]
	if !ok {
		return Workspace{}, false
	}
	return t.workspaces[name], true
}

// Workspace returns a workspace by name.
func (t *Table) Workspace(name string) (Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// Workspaces returns the sorted names of all workspaces.
func (t *Table) Workspaces() []string {
	names := make([]string, 0, len(t.workspaces))
	for n := range t.workspaces {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Pool returns a pool by name.
func (t *Table) Pool(name string) (Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns the sorted names of all pools.
func (t *Table) Pools() []string {
	names := make([]string, 0, len(t.pools))
	for n := range t.pools {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
