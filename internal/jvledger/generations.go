package jvledger

// ExpiringMap is a map that forgets: an entry is kept for at least one window after it was
// put and for less than two. It holds two maps and drops the older one when a window ends,
// so that forgetting costs nothing per entry.
type ExpiringMap[K comparable, V any] struct {
	// Window is in milliseconds of log time.
	Window int64   `cbor:"window"`
	RotatedAt int64   `cbor:"turned"`
	Current  map[K]V `cbor:"young"`
	Previous    map[K]V `cbor:"old"`
}

// NewExpiringMap returns an empty container with a window in milliseconds.
func NewExpiringMap[K comparable, V any](window int64) *ExpiringMap[K, V] {
	return &ExpiringMap[K, V]{Window: window, Current: map[K]V{}, Previous: map[K]V{}}
}

// Advance forgets what is older than the window at log time now.
func (g *ExpiringMap[K, V]) Advance(now int64) {
	if now-g.RotatedAt < g.Window {
		return
	}
	g.Previous = g.Current
	if now-g.RotatedAt >= 2*g.Window {
		g.Previous = map[K]V{}
	}
	g.Current = map[K]V{}
	g.RotatedAt = now
}

// Get returns the entry of a key.
func (g *ExpiringMap[K, V]) Get(k K) (V, bool) {
	if v, ok := g.Current[k]; ok {
		return v, true
	}
	v, ok := g.Previous[k]
	return v, ok
}

// Put sets the entry of a key and keeps it for a window from now.
func (g *ExpiringMap[K, V]) Put(k K, v V) {
	delete(g.Previous, k)
	g.Current[k] = v
}

// Set changes the entry of a key that is held without keeping it longer.
func (g *ExpiringMap[K, V]) Set(k K, v V) {
	if _, ok := g.Current[k]; ok {
		g.Current[k] = v
		return
	}
	if _, ok := g.Previous[k]; ok {
		g.Previous[k] = v
	}
}

// Delete forgets a key.
func (g *ExpiringMap[K, V]) Delete(k K) {
	delete(g.Current, k)
	delete(g.Previous, k)
}

// Len returns the number of entries held.
func (g *ExpiringMap[K, V]) Len() int { return len(g.Current) + len(g.Previous) }
