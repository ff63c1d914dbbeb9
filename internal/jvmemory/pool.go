package jvmemory

const (
	// shortShare is the share of a pool from which on each holder has a share.
	shortShare = 0.5
	// holderShare is the share of a pool that one holder has if there is no other. freeFactor is the same bound in terms of
	// what is left: a holder may hold as many times that.
	holderShare = 0.75
	freeFactor  = 3
)

// pool is a number of bytes with several holders. It is not safe for concurrent use.
type pool struct {
	limit int64
	used  int64
	// addresses and workspaces are the bytes by holder.
	addresses  map[string]int64
	workspaces map[string]int64
}

func newPool(limit int64) pool {
	return pool{limit: limit, addresses: map[string]int64{}, workspaces: map[string]int64{}}
}

// short reports whether holders have only a share.
func (p *pool) short() bool { return float64(p.used) > shortShare*float64(p.limit) }

// allows reports whether a lease, which holds some bytes of the pool, may take more.
func (p *pool) allows(l *Lease, held, more int64) bool {
	if p.used+more > p.limit {
		return false
	}
	if float64(p.used+more) <= shortShare*float64(p.limit) || p.used == held {
		return true
	}
	return p.within(p.addresses, l.holder.Address, more) && p.within(p.workspaces, l.holder.Workspace, more)
}

// within reports whether a holder that takes more bytes is within its share: an equal part of the pool, or a multiple of what
// is left then, since other holders may need less than their parts.
func (p *pool) within(holders map[string]int64, name string, more int64) bool {
	held, known := holders[name]
	count := len(holders)
	if !known {
		count++
	}
	part := min(holderShare, 1/float64(count)) * float64(p.limit)
	return float64(held+more) <= max(part, freeFactor*float64(p.limit-p.used-more))
}

// add adds bytes of a holder, or removes them if the number is negative.
func (p *pool) add(h Holder, bytes int64) {
	p.used += bytes
	addTo(p.addresses, h.Address, bytes)
	addTo(p.workspaces, h.Workspace, bytes)
}

func addTo(holders map[string]int64, name string, bytes int64) {
	if holders[name] += bytes; holders[name] == 0 {
		delete(holders, name)
	}
}
