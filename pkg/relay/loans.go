package relay

import (
	"context"
	"errors"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// RetryLoans lends retries that other VMs give. It is safe for concurrent use.
type RetryLoans interface {
	// Given returns how many retries of each service this VM does without.
	Given(now time.Time) float64
	// Borrow waits for one retry, at most until ctx ends, and returns until when it may be sent; false when there is none.
	Borrow(ctx context.Context, service string) (time.Time, bool)
}

// borrowTimeout bounds the wait for a lent retry. What is left to the request after it must be enough for a retry.
const borrowTimeout = 200 * time.Millisecond

// errLoanEnded stops a retry whose lent unit has ended before the send.
var errLoanEnded = errors.New("relay: the lent retry has ended")

// takeRetry takes one retry out of this VM's share, or a lent one; false when there is none.
func (x *exchange) takeRetry() bool {
	now, loans := time.Now(), x.relay.opts.Loans
	given := 0.0
	if loans != nil {
		given = loans.Given(now)
	}
	entries := len(x.relay.opts.View.Entries(now))
	if x.relay.opts.Repeats.TakeRetryBut(x.service.Name, entries, given, now) {
		return true
	}
	if loans == nil {
		return false
	}
	wait := min(borrowTimeout, x.deadline.Sub(now)-minRetryTime)
	ctx, cancel := context.WithTimeout(x.ctx, wait)
	defer cancel()
	until, ok := loans.Borrow(ctx, x.service.Name)
	x.loanUntil = until
	return ok
}

// checkLoan returns errLoanEnded if the send counts on a lent retry that has ended.
func (x *exchange) checkLoan(now time.Time) error {
	if !x.loanUntil.IsZero() && !now.Before(x.loanUntil) {
		return errLoanEnded
	}
	return nil
}

// spendLoan drops the lent retry unless nothing was sent and it may still be used.
func (x *exchange) spendLoan(err error) {
	var e *upstream.Error
	if errors.As(err, &e) && !e.Sent && !errors.Is(err, errLoanEnded) {
		return
	}
	x.loanUntil = time.Time{}
}
