package jvgrant

// Book is what the topic says of all holdings, by workspace and router.
type Book struct {
	holdings map[string]map[string]Holding
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{holdings: map[string]map[string]Holding{}} }

// Put takes over one holding.
func (b *Book) Put(workspace, origin string, h Holding) {
	m := b.holdings[workspace]
	if m == nil {
		m = map[string]Holding{}
		b.holdings[workspace] = m
	}
	m[origin] = h
}

// Holding returns what a router has of a workspace's budget.
func (b *Book) Holding(workspace, origin string) (Holding, bool) {
	h, ok := b.holdings[workspace][origin]
	return h, ok
}

// Totals are the sums over all routers of one budget.
type Totals struct {
	// Net is what routers may spend in all, Used what they say they have spent.
	Net  int64
	Used int64
	Lost int64
	// Rate is in tokens a second.
	Rate int64
	// Want is what requests at other routers wait for.
	Want int64
}

// Totals sums up a workspace's budget; own is the router whose want is left out.
func (b *Book) Totals(workspace, own string) Totals {
	var t Totals
	for origin, h := range b.holdings[workspace] {
		t.Net += h.Net()
		t.Used += h.Used
		t.Lost += h.Lost
		t.Rate += h.Rate
		if origin != own {
			t.Want += h.Want
		}
	}
	return t
}
