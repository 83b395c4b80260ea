// Package memory accounts for the bytes that a process holds for its peers: requests of clients
// while they arrive and run, calls of other nodes, and answers until they are written. One
// budget covers all of them.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/membudget"
)

// Parts of a process's memory. The rest is for the program itself, for the reserves of
// connections and for garbage that is not collected yet.
const (
	// budgetDivisor is the divisor of the process's memory that gives the budget.
	budgetDivisor = 3
	// budgetWeight lets a single holder have three quarters of the budget, a quarter of the
	// process's memory.
	budgetWeight = 3
	// reservesDivisor is the divisor that gives the memory for the reserves of connections.
	reservesDivisor = 6
	// reserveBytes is what each connection of a client may hold outside the budget, enough for
	// an ordinary request and its answer.
	reserveBytes = 32 << 10
)

// releaseTimeout limits the wait for the memory of peers that were disconnected. It is well
// above the time that this takes.
const releaseTimeout = 200 * time.Millisecond

// Budget is the memory that a process may hold for its peers.
type Budget struct {
	max            int // bytes
	connectionsMax int

	mu       sync.Mutex
	budget   *membudget.Budget
	released chan struct{} // closed when bytes are released; nil if nobody waits
	evict    func(bytes int) bool
}

// NewBudget returns the budget of a process that may use processBytes.
func NewBudget(processBytes int) *Budget {
	return &Budget{
		max:            processBytes / budgetDivisor,
		connectionsMax: processBytes / reservesDivisor / reserveBytes,
		budget:         membudget.NewWeighted(processBytes/budgetDivisor, reserveBytes, budgetWeight),
	}
}

// ConnectionsMax returns the number of connections for whose reserves the process has memory.
func (b *Budget) ConnectionsMax() int {
	return b.connectionsMax
}

// Max returns the size of the budget in bytes.
func (b *Budget) Max() int {
	return b.max
}

// SetEvict sets the function that disconnects peers without progress to free memory. It reports
// whether it has disconnected any. It must be called before the budget is used.
func (b *Budget) SetEvict(evict func(bytes int) bool) {
	b.evict = evict
}

// Used returns the bytes held in the budget.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Used()
}

// NewConnection returns the holder for what a connection of a client holds.
func (b *Budget) NewConnection() *Holder {
	return &Holder{budget: b}
}

// NewCall returns a lease for a call of another node. It has no reserve, since the number of such
// calls has no limit.
func (b *Budget) NewCall() *Lease {
	return (&Holder{budget: b, held: reserveBytes}).NewLease()
}

// Holder is one peer among which the budget is divided. Its methods are safe for concurrent use.
type Holder struct {
	budget *Budget
	held   int // bytes, guarded by budget.mu
}

// Held returns the bytes of all leases.
func (h *Holder) Held() int {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.held
}

// NewLease returns a lease without memory.
func (h *Holder) NewLease() *Lease {
	return &Lease{holder: h, references: 1}
}

// Lease is the memory held for one request and its answer. It is returned to the budget when the
// last reference is released. A nil lease grants everything and counts nothing.
type Lease struct {
	holder     *Holder
	held       int // bytes; this and references are guarded by the budget's mutex
	references int
}

// TryGrow reports whether n more bytes may be held, and counts them if they may. After the last
// release it is false.
func (l *Lease) TryGrow(n int) bool {
	if l == nil {
		return true
	}
	b := l.holder.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.references == 0 || !b.budget.TryGrow(l.holder.held, n) {
		return false
	}
	l.holder.held += n
	l.held += n
	return true
}

// Grow is like TryGrow, but if memory is short it disconnects peers that make no progress and
// waits until their memory is released.
func (l *Lease) Grow(n int) bool {
	if l.TryGrow(n) {
		return true
	}
	b := l.holder.budget
	released := b.awaitRelease()
	if b.evict == nil || !b.evict(n) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for {
		select {
		case <-released:
			released = b.awaitRelease()
			if l.TryGrow(n) {
				return true
			}
		case <-ctx.Done():
			return l.TryGrow(n)
		}
	}
}

// awaitRelease returns a channel that is closed when bytes are released.
func (b *Budget) awaitRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// Retain adds a reference and returns the lease.
func (l *Lease) Retain() *Lease {
	if l == nil {
		return nil
	}
	b := l.holder.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	l.references++
	return l
}

// Release removes a reference.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	b := l.holder.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	l.references--
	if l.references > 0 || l.held == 0 {
		return
	}
	b.budget.Shrink(l.holder.held, l.held)
	l.holder.held -= l.held
	l.held = 0
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}
