package jvledger

// ExpiringMap is a map whose entries expire: an entry is kept for at least one window after
// Put and for less than two. It has two generations and drops the older one when a window
// ends, so that expiry costs nothing per entry.
type ExpiringMap[K comparable, V any] struct {
	// Window is in milliseconds of log time.
	Window int64 `cbor:"window"`
	// RotatedAt is the log time at which Current became Previous, in Unix milliseconds.
	RotatedAt int64   `cbor:"turned"`
	Current   map[K]V `cbor:"young"`
	Previous  map[K]V `cbor:"old"`
}

// NewExpiringMap returns an empty map with a window in milliseconds.
func NewExpiringMap[K comparable, V any](window int64) *ExpiringMap[K, V] {
	return &ExpiringMap[K, V]{Window: window, Current: map[K]V{}, Previous: map[K]V{}}
}

// Advance sets the log time, in Unix milliseconds, and drops the entries that have expired.
func (m *ExpiringMap[K, V]) Advance(now int64) {
	if now-m.RotatedAt < m.Window {
		return
	}
	m.Previous = m.Current
	if now-m.RotatedAt >= 2*m.Window {
		m.Previous = map[K]V{}
	}
	m.Current = map[K]V{}
	m.RotatedAt = now
}

// Get returns the entry of a key.
func (m *ExpiringMap[K, V]) Get(k K) (V, bool) {
	if v, ok := m.Current[k]; ok {
		return v, true
	}
	v, ok := m.Previous[k]
	return v, ok
}

// ExpiresAt returns the log time from which a key's entry is no longer kept, in Unix milliseconds; 0 if
// it isn't kept now.
func (m *ExpiringMap[K, V]) ExpiresAt(k K) int64 {
	if _, ok := m.Current[k]; ok {
		return m.RotatedAt + 2*m.Window
	}
	if _, ok := m.Previous[k]; ok {
		return m.RotatedAt + m.Window
	}
	return 0
}

// Put sets the entry of a key and starts its window anew.
func (m *ExpiringMap[K, V]) Put(k K, v V) {
	delete(m.Previous, k)
	m.Current[k] = v
}

// Set changes the entry of a key that is present, without extending its window.
func (m *ExpiringMap[K, V]) Set(k K, v V) {
	if _, ok := m.Current[k]; ok {
		m.Current[k] = v
		return
	}
	if _, ok := m.Previous[k]; ok {
		m.Previous[k] = v
	}
}

// Delete removes a key.
func (m *ExpiringMap[K, V]) Delete(k K) {
	delete(m.Current, k)
	delete(m.Previous, k)
}

// Len returns the number of entries.
func (m *ExpiringMap[K, V]) Len() int { return len(m.Current) + len(m.Previous) }
