package quarantine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
)

const (
	// claimOrganisation is the organisation under which suspects are claimed in the ledger. It can't clash with a
	// configured organisation, whose name never contains parentheses.
	claimOrganisation = "(quarantine)"
	// claimRetryAfter is the Retry-After time sent to the caller of a suspect that runs on another VM.
	claimRetryAfter = time.Second
	// maxLostHolders is how many VMs may be lost while they run one suspect before it is refused.
	maxLostHolders = 4
	// releaseTimeout bounds the release of a claim on a suspect.
	releaseTimeout = 5 * time.Second
)

// crashedOutcome is stored in the ledger for a suspect that crashed its server while it ran alone.
var crashedOutcome = dispatch.Outcome{Status: http.StatusUnprocessableEntity}

// AcquireExclusive claims the exclusive right to run a suspect, which one VM holds at a time. The release func must be
// called once, with true when the run crashed its server: this is stored in the ledger, so that a VM that has not heard
// of the conviction yet can't run the suspect either. Errors are *apierr.Error with NotRun.
func (q *Quarantine) AcquireExclusive(ctx context.Context, fingerprint uint64, deadline time.Time) (release func(crashed bool), err error) {
	if q.Check(fingerprint) == dispatch.Convicted {
		return nil, errConvicted()
	}
	if q.opts.Ledger == nil {
		return func(bool) {}, nil
	}
	for holder := range maxLostHolders {
		k := q.claimKey(fingerprint, holder)
		c, err := q.opts.Ledger.Claim(ctx, k, fingerprint, deadline)
		switch {
		case err == nil && c.Granted:
			return func(crashed bool) { q.release(context.WithoutCancel(ctx), k, crashed) }, nil
		case err == nil && c.Outcome != nil:
			return nil, errConvicted()
		case !holderLost(err):
			return nil, errRunsElsewhere().Wrap(err)
		}
	}
	return nil, errRunsElsewhere()
}

// holderLost reports whether the VM that ran the suspect is lost. It had recorded no crash in the ledger then.
func holderLost(err error) bool {
	var e *apierr.Error
	return errors.As(err, &e) && e.Code == apierr.OutcomeUnknown
}

// claimKey returns the ledger key of one suspicion; holder is how many VMs were lost while they ran the suspect. A later
// suspicion of the same request has another expiry time and so another key.
func (q *Quarantine) claimKey(fingerprint uint64, holder int) dispatch.ClaimKey {
	q.mu.Lock()
	defer q.mu.Unlock()
	expires := q.state.suspects[fingerprint].expires.UnixMilli()
	key := strconv.FormatUint(fingerprint, 16) + "/" + strconv.FormatInt(expires, 10) + "/" + strconv.Itoa(holder)
	return dispatch.ClaimKey{Organisation: claimOrganisation, Key: key}
}

func (q *Quarantine) release(ctx context.Context, k dispatch.ClaimKey, crashed bool) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var err error
	if crashed {
		err = q.opts.Ledger.Complete(ctx, k, crashedOutcome)
	} else {
		err = q.opts.Ledger.Abandon(ctx, k)
	}
	if err != nil {
		q.opts.Log.Error(err, "claim on a suspect not released", "key", k.Key)
	}
}

func errConvicted() *apierr.Error {
	return apierr.New(http.StatusUnprocessableEntity, apierr.RequestQuarantined, "the request crashed backend servers and is refused")
}

func errRunsElsewhere() *apierr.Error {
	e := apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "the request is under suspicion and runs elsewhere")
	return e.After(claimRetryAfter)
}
