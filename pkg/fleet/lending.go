package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/lend"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
)

const (
	// lendWholeShare is the even share, in units, from which a VM lends nothing: it has enough for itself, and the others have
	// as much.
	lendWholeShare = 8
	// lendTimeout bounds one call to a lender.
	lendTimeout = 500 * time.Millisecond
	// lenderBackoff is how long a lender that didn't answer is passed over.
	lenderBackoff = 10 * time.Second
	// borrowPause is how long no more units of a service are asked for after fewer were lent than wanted.
	borrowPause = 250 * time.Millisecond
	// maxBorrowers bounds the requests that wait for a lent unit of one service.
	maxBorrowers = 64
	// loanLinesPerSecond bounds the log lines about lent units.
	loanLinesPerSecond = 5
)

var (
	errNotLending = errors.New("fleet: this VM lends no retries")
	unitsLent     = metrics.NewCounter("daisyhatch_retry_units_lent_total")
	unitsDenied   = metrics.NewCounter("daisyhatch_retry_units_denied_total")
	badLendCalls  = metrics.NewCounter("daisyhatch_retry_offers_invalid_total")
	unitsBorrowed = metrics.NewCounter("daisyhatch_retries_borrowed_total")
	unitsMissed   = metrics.NewCounter("daisyhatch_retries_not_borrowed_total")
)

// retryLender is a control VM's part in lending retries.
type retryLender struct {
	mu     sync.Mutex
	lender *lend.Lender
	log    *logsink.Budget
}

func newRetryLender(window time.Duration) *retryLender {
	if window <= 0 {
		return nil
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	return &retryLender{lender: lend.NewLender(id, window, time.Now()), log: logsink.NewBudget(loanLinesPerSecond)}
}

// LendRetries implements FleetService.
func (c *Control) LendRetries(
	_ context.Context, req *connect.Request[daisyhatchv1.LendRetriesRequest],
) (*connect.Response[daisyhatchv1.LendRetriesResponse], error) {
	if c.retries == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNotLending)
	}
	m, now := req.Msg, time.Now()
	c.retries.mu.Lock()
	defer c.retries.mu.Unlock()
	stamp, ok := c.retries.lender.Offered(lend.Offer{
		VM: m.GetVm(), Units: m.GetGiven(), Window: time.Duration(m.GetWindowMs()) * time.Millisecond,
		After: lend.Stamp{Lender: m.GetLender(), At: time.Duration(m.GetLenderUs()) * time.Microsecond},
	}, now)
	if !ok {
		badLendCalls.Inc()
		if ok, _ := c.retries.log.Allow(now); ok {
			c.opts.Log.Info("offer of retries counts as none", "from", req.Peer().Addr, "units", m.GetGiven(), "window_ms", m.GetWindowMs())
		}
	}
	res := &daisyhatchv1.LendRetriesResponse{Lender: stamp.Lender, LenderUs: stamp.At.Microseconds()}
	for _, w := range m.GetWants() {
		res.Lent = append(res.Lent, c.lendRetries(m.GetVm(), w, now))
	}
	return connect.NewResponse(res), nil
}

// RetriesPromised returns how many retries of each service this VM may lend now.
func (c *Control) RetriesPromised() int {
	if c.retries == nil {
		return 0
	}
	c.retries.mu.Lock()
	defer c.retries.mu.Unlock()
	return c.retries.lender.Promised(time.Now())
}

// lendRetries lends a VM units of one service; c.retries.mu must be held.
func (c *Control) lendRetries(vm uint64, w *daisyhatchv1.RetryUnits, now time.Time) *daisyhatchv1.RetryUnits {
	set, want := c.opts.State.Catalog(), int(min(w.GetUnits(), maxBorrowers))
	if set == nil || set.Services[w.GetService()] == nil {
		badLendCalls.Inc()
		return &daisyhatchv1.RetryUnits{Service: w.GetService()}
	}
	l := c.retries.lender
	n := l.Lend(w.GetService(), vm, want, now)
	unitsLent.Add(n)
	unitsDenied.Add(want - n)
	if ok, leftOut := c.retries.log.Allow(now); ok {
		c.opts.Log.Info("retries lent", "service", w.GetService(), "vm", fmt.Sprintf("%016x", vm), "wanted", want, "lent", n,
			"promised", l.Promised(now), "lent_in_window", l.Lent(now), "lines_left_out", leftOut)
	}
	return &daisyhatchv1.RetryUnits{Service: w.GetService(), Units: uint32(n)}
}

// LoanOptions configure RetryLoans.
type LoanOptions struct {
	// VM is the entry VM's name.
	VM     string
	Window time.Duration
	// Part is the part of the VM's share that it gives, Share its share of each service's retries in units.
	Part   float64
	Share  func(entries int) float64
	State  *State
	Roster *Roster
	HTTP   connect.HTTPClient
	Log    logr.Logger
}

// RetryLoans gives part of an entry VM's share of retries to a control VM, and borrows retries from it. It is safe for
// concurrent use.
type RetryLoans struct {
	opts LoanOptions
	log  *logsink.Budget

	mu    sync.Mutex
	giver *lend.Giver
	// lender is the address of the control VM that answered last; empty without one.
	lender     string
	avoidUntil map[string]time.Time
	services   map[string]*borrowers
}

// borrowers are the requests that wait for a lent unit of one service.
type borrowers struct {
	waiting []chan time.Time
	// asking is true while a call for the service runs; pausedUntil is until when there is none.
	asking      bool
	pausedUntil time.Time
}

// NewRetryLoans returns the RetryLoans of an entry VM.
func NewRetryLoans(o LoanOptions) *RetryLoans {
	return &RetryLoans{
		opts: o, giver: lend.NewGiver(EntryID(o.VM), o.Window, time.Now()), log: logsink.NewBudget(loanLinesPerSecond),
		avoidUntil: make(map[string]time.Time), services: make(map[string]*borrowers),
	}
}

// Run makes offers until ctx ends.
func (r *RetryLoans) Run(ctx context.Context) { runEvery(ctx, lend.Interval, r.offer) }

// Given implements relay.RetryLoans.
func (r *RetryLoans) Given(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateGiven(now)
	return r.giver.Given(now)
}

// updateGiven sets what the VM gives by the number of VMs known; r.mu must be held.
func (r *RetryLoans) updateGiven(now time.Time) {
	share := r.opts.Share(len(r.opts.State.Entries(now)))
	if share >= lendWholeShare {
		share = 0
	}
	r.giver.Want(share*r.opts.Part, now)
}

// offer makes the next offer to the first lender that answers.
func (r *RetryLoans) offer(ctx context.Context) {
	now := time.Now()
	for _, address := range r.lenders(now) {
		r.mu.Lock()
		r.updateGiven(now)
		o := r.giver.Offer(now)
		r.mu.Unlock()
		req := &daisyhatchv1.LendRetriesRequest{
			Vm: o.VM, Given: o.Units, Lender: o.After.Lender, LenderUs: o.After.At.Microseconds(), WindowMs: o.Window.Milliseconds(),
		}
		if _, err := r.call(ctx, address, req); err == nil || ctx.Err() != nil {
			return
		}
	}
}

// lenders returns the control VMs in an order that is the same on all VMs, without those that didn't answer lately.
func (r *RetryLoans) lenders(now time.Time) []string {
	addresses := r.opts.Roster.Addresses(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return now.Before(r.avoidUntil[a]) })
	slices.SortFunc(addresses, func(a, b string) int {
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	return addresses
}

// call calls a lender and records its stamp, or that it didn't answer.
func (r *RetryLoans) call(ctx context.Context, address string, req *daisyhatchv1.LendRetriesRequest) (*daisyhatchv1.LendRetriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	res, err := daisyhatchv1connect.NewFleetServiceClient(r.opts.HTTP, "http://"+address).LendRetries(ctx, connect.NewRequest(req))
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.avoidUntil[address] = now.Add(lenderBackoff)
		if r.lender == address {
			r.lender = ""
		}
		if ok, _ := r.log.Allow(now); ok {
			r.opts.Log.Info("lender of retries didn't answer", "control", address, "reason", err.Error())
		}
		return nil, err
	}
	delete(r.avoidUntil, address)
	r.lender = address
	m := res.Msg
	r.giver.Answered(lend.Stamp{Lender: m.GetLender(), At: time.Duration(m.GetLenderUs()) * time.Microsecond}, now)
	return m, nil
}

// Borrow implements relay.RetryLoans.
func (r *RetryLoans) Borrow(ctx context.Context, service string) (time.Time, bool) {
	lent := make(chan time.Time, 1)
	if !r.wait(service, lent) {
		unitsMissed.Inc()
		return time.Time{}, false
	}
	select {
	case until := <-lent:
		if !until.IsZero() {
			unitsBorrowed.Inc()
			return until, true
		}
	case <-ctx.Done():
	}
	unitsMissed.Inc()
	return time.Time{}, false
}

// wait makes a request wait for a unit; false if there is no lender or none was to be had a moment ago.
func (r *RetryLoans) wait(service string, lent chan time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.services[service]
	if b == nil {
		b = &borrowers{}
		r.services[service] = b
	}
	if r.lender == "" || time.Now().Before(b.pausedUntil) || len(b.waiting) >= maxBorrowers {
		return false
	}
	b.waiting = append(b.waiting, lent)
	if !b.asking {
		b.asking = true
		go r.borrow(service, b)
	}
	return true
}

// borrow asks for units until no request waits.
func (r *RetryLoans) borrow(service string, b *borrowers) {
	for {
		r.mu.Lock()
		waiting, lender := b.waiting, r.lender
		b.waiting = nil
		if b.asking = len(waiting) > 0; !b.asking {
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		asked, got := time.Now(), 0
		if lender != "" {
			got = r.ask(lender, service, len(waiting))
		}
		for n, w := range waiting {
			if n < got {
				w <- asked.Add(lend.Term)
			} else {
				w <- time.Time{}
			}
		}
		if got < len(waiting) {
			r.mu.Lock()
			b.pausedUntil = time.Now().Add(borrowPause)
			r.mu.Unlock()
		}
	}
}

// ask asks a lender for units of a service and returns how many it lent.
func (r *RetryLoans) ask(lender, service string, want int) int {
	m, err := r.call(context.Background(), lender, &daisyhatchv1.LendRetriesRequest{
		Vm: EntryID(r.opts.VM), WindowMs: r.opts.Window.Milliseconds(),
		Wants: []*daisyhatchv1.RetryUnits{{Service: service, Units: uint32(want)}},
	})
	got := 0
	for _, l := range m.GetLent() {
		if l.GetService() == service {
			got = min(int(l.GetUnits()), want)
		}
	}
	if ok, leftOut := r.log.Allow(time.Now()); ok && err == nil {
		r.opts.Log.Info("retries borrowed", "service", service, "control", lender, "wanted", want, "got", got, "lines_left_out", leftOut)
	}
	return got
}
