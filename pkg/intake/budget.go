package intake

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/logsink"
)

var (
	// ErrNoRoom means that a request gave way because the budget was short.
	ErrNoRoom = errors.New("intake: no memory is left for this request")
	// ErrTooSlow means that a body arrived too slowly.
	ErrTooSlow = errors.New("intake: the body arrived too slowly")
)

const (
	// share is the part of a VM's memory that the budget is; the garbage collector may need as much again.
	share = 4
	// waitForRoom is the longest wait for those who give way.
	waitForRoom = time.Second
	// lineCost is what a header line costs in bytes beside its text: its entry as read, and that of its copy which is sent on.
	lineCost = 128
	// maxLogged bounds the clients that are logged in a second.
	maxLogged = 64
)

// answersWaited counts how often answers waited for memory.
var answersWaited = metrics.NewCounter("daisyhatch_intake_answers_waited_total")

// Budget is the memory for what callers of a process have sent and not yet been answered, and for their answers. A nil Budget bounds nothing. It is safe for
// concurrent use.
type Budget struct {
	log logr.Logger

	mu     sync.Mutex
	ledger *ledger
	told   map[*entry]*Account
	// released is closed when bytes are released.
	released chan struct{}

	logMu  sync.Mutex
	second time.Time
	logged map[string]*logsink.Budget
}

// New returns the Budget of a VM with so many bytes of memory.
func New(memory int64, log logr.Logger) *Budget {
	b := &Budget{log: log, ledger: newLedger(memory / share), told: make(map[*entry]*Account), released: make(chan struct{})}
	metrics.GetOrCreateGauge("daisyhatch_intake_bytes", func() float64 { return float64(b.Used()) })
	metrics.GetOrCreateGauge("daisyhatch_intake_answer_bytes", func() float64 { return float64(b.Answers()) })
	metrics.GetOrCreateGauge("daisyhatch_intake_limit_bytes", func() float64 { return float64(memory / share) })
	return b
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.used
}

// Answers returns the bytes of Used that answers hold.
func (b *Budget) Answers() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.answers
}

// Account is what one request, or one answer, holds. A nil Account is bounded by nothing. It is safe for concurrent use.
type Account struct {
	budget *Budget
	entry  *entry
	// bodyRead is true once the body was read to its end.
	bodyRead atomic.Bool

	mu sync.Mutex
	// interrupt ends a blocked read of the request; it is nil while none reads.
	interrupt func()
}

// Open begins the account of a request from an address; nil for a nil Budget. interrupt ends a blocked read of the request; it may be
// nil, and is called without locks held.
func (b *Budget) Open(address string, interrupt func()) *Account {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, entry: b.ledger.openRequest(address, time.Now()), interrupt: interrupt}
	b.told[a.entry] = a
	return a
}

// OpenAnswer begins the account of an answer, or of one event of a stream; nil for a nil Budget. It never gives way. A caller of Take
// may hold at most one such account, which it closes without waiting for the memory of others.
func (b *Budget) OpenAnswer() *Account {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, entry: b.ledger.openAnswer(time.Now())}
	b.told[a.entry] = a
	return a
}

// reserve makes the request one that may take the reserve.
func (a *Account) reserve() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.entry.reserved = true
}

// Take takes n bytes. A request waits a short while for those that give way, an answer for older answers until ctx ends. It returns
// ErrNoRoom if the request gives way itself, or ctx ends.
func (a *Account) Take(ctx context.Context, n int64) error {
	if a == nil || n <= 0 {
		return nil
	}
	var timeout <-chan time.Time
	waited := false
	for {
		v, others, released := a.try(n)
		for _, o := range others {
			o.giveWay()
		}
		switch v {
		case taken:
			return nil
		case giveWay:
			return a.refused(n)
		}
		switch {
		case timeout != nil:
		case a.entry.place == nil:
			timeout = time.After(waitForRoom)
		case !waited:
			waited = true
			answersWaited.Inc()
		}
		select {
		case <-released:
		case <-timeout:
			return a.refused(n)
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoRoom, context.Cause(ctx))
		}
	}
}

// try asks the ledger once.
func (a *Account) try(n int64) (verdict, []*Account, chan struct{}) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	v, entries := b.ledger.take(a.entry, n, time.Now())
	others := make([]*Account, 0, len(entries))
	for _, e := range entries {
		if o := b.told[e]; o != nil {
			others = append(others, o)
		}
	}
	return v, others, b.released
}

// refused notes that this request gives way, unless it has ended.
func (a *Account) refused(n int64) error {
	b := a.budget
	b.mu.Lock()
	_, open := b.told[a.entry]
	if open {
		b.ledger.tell(a.entry)
	}
	used := b.ledger.used
	b.mu.Unlock()
	if open {
		a.report("no_room")
	}
	return fmt.Errorf("%w: %d bytes more, %d are taken", ErrNoRoom, n, used)
}

// giveWay makes a request that others need the bytes of end.
func (a *Account) giveWay() {
	a.report("no_room")
	a.mu.Lock()
	interrupt := a.interrupt
	a.mu.Unlock()
	if interrupt != nil {
		interrupt()
	}
}

// BelongsTo makes the request count as one of an organisation instead of its address.
func (a *Account) BelongsTo(organisation string) {
	if a == nil || organisation == "" {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.move(a.entry, "organisation "+organisation)
}

// affordable returns how many copies of a body of most bytes count, so that the largest body is served while nothing else is held.
func (a *Account) affordable(copies, most int64) int64 {
	if a == nil || most == 0 {
		return copies
	}
	return max(1, min(copies, a.budget.ledger.limit/(2*most)))
}

// GivesWay reports whether the request was told to give way.
func (a *Account) GivesWay() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.entry.leaving
}

// guard runs set, which lets a read go on until later, unless the request gives way; interrupt ends such a read.
func (a *Account) guard(set func() error, interrupt func()) error {
	if a == nil {
		return set()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupt = interrupt
	if a.GivesWay() {
		return ErrNoRoom
	}
	return set()
}

// Arrived marks the request as whole: it doesn't give way any more. It reports whether it was not told to before.
func (a *Account) Arrived() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.entry.whole = !a.entry.leaving
	return a.entry.whole
}

// wasRead notes that the body was read to its end.
func (a *Account) wasRead() {
	if a != nil {
		a.bodyRead.Store(true)
	}
}

// arriving marks the request as one whose body is read.
func (a *Account) arriving() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.entry.whole = false
}

// Close gives back all that the request holds. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.close(a.entry)
	delete(a.budget.told, a.entry)
	a.budget.wake()
}

// wake lets those who wait ask again; mu is held.
func (b *Budget) wake() {
	close(b.released)
	b.released = make(chan struct{})
}

// report counts and logs that a request ends early, one line a client and second.
func (a *Account) report(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_intake_gave_way_total{reason=%q}`, reason)).Inc()
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	owner, held, age, used := a.entry.owner, a.entry.held, time.Since(a.entry.begin), b.ledger.used
	b.mu.Unlock()
	ok, suppressed := b.mayLog(owner, time.Now())
	if ok {
		b.log.Info("request gives way", "reason", reason, "client", owner, "bytes", held, "age_ms", age.Milliseconds(), "taken", used, "lines_left_out", suppressed)
	}
}

// mayLog reports whether a line about a client may be written now, and how many were left out before.
func (b *Budget) mayLog(owner string, now time.Time) (bool, uint64) {
	b.logMu.Lock()
	defer b.logMu.Unlock()
	if b.logged == nil || len(b.logged) >= maxLogged && now.Sub(b.second) >= time.Second {
		b.logged, b.second = make(map[string]*logsink.Budget), now
	}
	l := b.logged[owner]
	if l == nil {
		if len(b.logged) >= maxLogged {
			return false, 0
		}
		l = logsink.NewBudget(1)
		b.logged[owner] = l
	}
	return l.Allow(now)
}

type contextKey struct{}

// Of returns the account of a request; nil without one.
func Of(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}

// headCost returns what a head costs in bytes.
func headCost(h http.Header) int64 {
	var n int64
	for name, values := range h {
		for _, v := range values {
			n += int64(len(name)+len(v)) + lineCost
		}
	}
	return n
}
