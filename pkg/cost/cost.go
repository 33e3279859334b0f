// Package cost accumulates the cost of stage calls by pipeline, organisation and stage, and separately the part of it
// that was wasted.
package cost

import (
	"sync"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// MaxAccounts is the maximum number of accounts between two calls of Take. Once it is reached, calls on a new account are
// added to the account of the same pipeline and stage with the organisation Other.
const MaxAccounts = 65536

// Other is the organisation to which calls beyond MaxAccounts are charged.
const Other = "(other)"

// Account is the key under which costs are summed.
type Account struct {
	Pipeline     string
	Organisation string
	Stage        string
}

// Entry is the sum of the calls on an account.
type Entry struct {
	// Cost is in the users' unit of account and includes Wasted.
	Cost float64
	// Wasted is the cost of the calls that were marked as wasted.
	Wasted float64
	Calls  uint64
}

// Of returns the cost of a call that occupied a server for d, at a price of perSecond.
func Of(d time.Duration, perSecond float64) float64 {
	return d.Seconds() * perSecond
}

// Book accumulates costs until the next Take. Its methods are safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	accounts map[Account]Entry
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{accounts: make(map[Account]Entry)}
}

// Add adds one call's cost to an account. It does nothing on a nil Book.
func (b *Book) Add(a Account, amount float64, wasted bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.accounts[a]
	if !ok && len(b.accounts) >= MaxAccounts {
		a.Organisation = Other
		e = b.accounts[a]
	}
	e.Cost += amount
	e.Calls++
	if wasted {
		e.Wasted += amount
	}
	b.accounts[a] = e
}

// Take returns the costs since the last Take, in no particular order, and resets the Book.
func (b *Book) Take() []*daisyhatchv1.StageCost {
	b.mu.Lock()
	accounts := b.accounts
	b.accounts = make(map[Account]Entry, len(accounts))
	b.mu.Unlock()
	costs := make([]*daisyhatchv1.StageCost, 0, len(accounts))
	for a, e := range accounts {
		costs = append(costs, &daisyhatchv1.StageCost{
			Pipeline:     a.Pipeline,
			Organisation: a.Organisation,
			Stage:        a.Stage,
			Cost:         e.Cost,
			Wasted:       e.Wasted,
			Calls:        e.Calls,
		})
	}
	return costs
}
