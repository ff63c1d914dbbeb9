package jvmemory

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

const (
	// RequestBytes is what a request in progress holds beside its body: goroutines, and the connection to its target with
	// its buffers.
	RequestBytes = 32 << 10
	// SmallBody is the largest body that may use the part of an account which large bodies can't take.
	SmallBody = 64 << 10
	// firstBytes is the first step of a body. Each further step doubles the buffer.
	firstBytes = 4 << 10
	// largeShare is the share of an account that large bodies may take.
	largeShare = 0.5
	// progressBytes is the least number of bytes that counts as progress while memory is short. Without it, a sender of one
	// byte at a time would keep its share.
	progressBytes = 1 << 10
	// sweepInterval is the interval at which the progress of senders is checked.
	sweepInterval = 250 * time.Millisecond
	// mostHolders is the number of holders that View names.
	mostHolders = 3
)

// ErrStalled is the error of a body whose sender made no progress.
var ErrStalled = errors.New("the sender of the body made no progress")

// AccountOptions configure an Account.
type AccountOptions struct {
	// Bytes limits what all requests hold.
	Bytes int64
	Timer *jvtimer.Service
	// IdleTime returns how long a sender may send nothing, ShortTime how long it may make no progress while memory or places
	// are short.
	IdleTime  func() time.Duration
	ShortTime func() time.Duration
	// Crowded reports whether places for requests are short.
	Crowded func() bool
}

// Holder is for whom memory is held.
type Holder struct {
	Address   string
	Workspace string
}

// Account counts the memory that requests hold, and limits it. A nil Account has no limit. It is safe for concurrent use.
type Account struct {
	options AccountOptions

	mu sync.Mutex
	// all is what requests hold, large the part of it for large bodies.
	all    pool
	large  pool
	leases map[*Lease]bool
	// full counts requests for which no memory was left, stalled bodies whose senders made no progress.
	full    int64
	stalled int64
}

// NewAccount returns an account whose senders are checked until the timer service ends.
func NewAccount(o AccountOptions) *Account {
	a := &Account{options: o, all: newPool(o.Bytes), large: newPool(int64(largeShare * float64(o.Bytes))), leases: map[*Lease]bool{}}
	o.Timer.Every(sweepInterval, a.sweep)
	return a
}

// Lease is what one request holds of an account. A nil Lease has no limit.
type Lease struct {
	account *Account
	holder  Holder
	// expire ends a read in progress.
	expire func()
	// held is the number of bytes, large is true if they are those of a large body.
	held  int64
	large bool
	// reading is true while the body is read, expired once its sender has made no progress.
	reading bool
	expired bool
	// read is the number of bytes that were read; marked is their number at the last progress, which was at markedAt. lastAt
	// is when the last bytes were read.
	read     int64
	marked   int64
	markedAt time.Time
	lastAt   time.Time
}

// Open takes the memory of a request without its body, or returns ErrFull. expire ends a read of the body that is in
// progress. Close must be called at the end of the request.
func (a *Account) Open(h Holder, expire func()) (*Lease, error) {
	if a == nil {
		return nil, nil //nolint:nilnil // A nil Lease has no limit.
	}
	l := &Lease{account: a, holder: h, expire: expire}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.take(l, RequestBytes) {
		return nil, ErrFull
	}
	a.leases[l] = true
	return l, nil
}

// take takes bytes for a lease, or counts a refusal.
func (a *Account) take(l *Lease, more int64) bool {
	if !a.all.allows(l, l.held, more) || l.large && !a.allowsLarge(l, more) {
		a.full++
		return false
	}
	a.all.add(l.holder, more)
	if l.large {
		a.large.add(l.holder, more)
	}
	l.held += more
	return true
}

// allowsLarge reports whether a large body may take more bytes. A single one is limited by the whole account only.
func (a *Account) allowsLarge(l *Lease, more int64) bool {
	return a.large.used == l.held || a.large.allows(l, l.held, more)
}

// Close returns what the request holds.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all.add(l.holder, -l.held)
	if l.large {
		a.large.add(l.holder, -l.held)
	}
	l.held, l.reading = 0, false
	delete(a.leases, l)
}

// grow takes the bytes for a buffer of a larger size, or returns ErrFull.
func (l *Lease) grow(size, more int) error {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if size > SmallBody && !l.large {
		if a.large.used > 0 && !a.large.allows(l, 0, l.held) {
			a.full++
			return ErrFull
		}
		l.large = true
		a.large.add(l.holder, l.held)
	}
	if !a.take(l, int64(more)) {
		return ErrFull
	}
	return nil
}

// ReadAll reads a body up to its end. Its length is negative if it isn't known. Memory is taken in steps, each before
// the bytes that it is for are read. It returns ErrFull if there is too little, and ErrStalled if the sender made no
// progress; the other errors are those of r.
func (l *Lease) ReadAll(r io.Reader, length int64) ([]byte, error) {
	if l == nil {
		return io.ReadAll(r)
	}
	l.begin()
	defer l.end()
	var data []byte
	for {
		var probe [1]byte // Finds the end of a body that fills the buffer, without a larger one.
		space := probe[:]
		full := len(data) == cap(data)
		if !full {
			space = data[len(data):cap(data)]
		}
		n, err := r.Read(space)
		l.advance(n)
		if full && n > 0 {
			var growErr error
			if data, growErr = l.enlarge(data, length); growErr != nil {
				return nil, growErr
			}
		}
		data = append(data, space[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil && l.hasExpired():
			return nil, ErrStalled
		case err != nil:
			return nil, err
		}
	}
}

// enlarge returns a larger buffer with the same content, or ErrFull.
func (l *Lease) enlarge(data []byte, length int64) ([]byte, error) {
	size := max(firstBytes, 2*cap(data))
	if length > int64(cap(data)) {
		size = int(min(int64(size), length))
	}
	if err := l.grow(size, size-cap(data)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}

func (l *Lease) begin() {
	now := l.account.options.Timer.Now()
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.reading = true
	l.markedAt, l.lastAt = now, now
}

func (l *Lease) end() {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.reading = false
}

func (l *Lease) advance(n int) {
	now := l.account.options.Timer.Now()
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.read += int64(n)
	if n > 0 {
		l.lastAt = now
	}
	if l.read-l.marked >= progressBytes {
		l.marked, l.markedAt = l.read, now
	}
}

func (l *Lease) hasExpired() bool {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.expired
}

// sweep ends the reads of bodies whose senders make no progress.
func (a *Account) sweep() {
	idle, short, crowded := a.options.IdleTime(), a.options.ShortTime(), a.options.Crowded()
	now := a.options.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	crowded = crowded || a.all.short()
	for l := range a.leases {
		late := now.Sub(l.lastAt) > idle || (crowded || l.large && a.large.short()) && now.Sub(l.markedAt) > short
		if l.reading && !l.expired && late {
			l.expired = true
			a.stalled++
			l.expire()
		}
	}
}

// View is the state of an account.
type View struct {
	Limit int64 `json:"limit"`
	// Requests, Small and Large are the bytes that requests hold beside their bodies, and those of bodies.
	Requests int64 `json:"requests"`
	Small    int64 `json:"small"`
	Large    int64 `json:"large"`
	// Full counts bodies that were refused for want of memory, Stalled those whose senders made no progress.
	Full    int64 `json:"full"`
	Stalled int64 `json:"stalled"`
	// Addresses and Workspaces are those that hold most.
	Addresses  []Held `json:"addresses"`
	Workspaces []Held `json:"workspaces"`
}

// Held is what one holder holds.
type Held struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// View returns the state of the account.
func (a *Account) View() View {
	if a == nil {
		return View{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v := View{Limit: a.all.limit, Requests: RequestBytes * int64(len(a.leases)), Full: a.full, Stalled: a.stalled, Addresses: most(a.all.addresses), Workspaces: most(a.all.workspaces)}
	for l := range a.leases {
		if l.large {
			v.Large += l.held - RequestBytes
		}
	}
	v.Small = a.all.used - v.Requests - v.Large
	return v
}

// most returns the holders that hold most.
func most(holders map[string]int64) []Held {
	list := make([]Held, 0, len(holders))
	for name, bytes := range holders {
		list = append(list, Held{Name: name, Bytes: bytes})
	}
	slices.SortFunc(list, func(a, b Held) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), mostHolders)]
}
