package quarantine

import (
	"context"
	"net/http"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
)

const (
	// maxListAge is how long after the list of suspects was requested requests may still start on its basis. A Source
	// may miss what was committed in the 100 ms before the request; the sum is DefaultPropagationDelay, so that no VM
	// starts a suspect unknowingly once its retry begins.
	maxListAge = DefaultPropagationDelay - 100*time.Millisecond
	// ListRefreshAge is the age at which the list is refreshed in the background while requests keep starting.
	ListRefreshAge = maxListAge * 3 / 4
	// refreshTimeout bounds one request for the list.
	refreshTimeout = 600 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After time sent to a caller whose request was refused for lack of a fresh list.
	unconfirmedRetryAfter = time.Second
)

// listRefresh is one request for the list of suspects.
type listRefresh struct {
	// done is closed when the request is answered, or has failed with err.
	done chan struct{}
	err  error
}

// Confirm returns once this VM's list of suspects holds all crashes that other VMs may act on. That is at once while the
// last confirmed list is fresh. Call it before a request starts on a server. Errors are *apierr.Error with NotRun.
func (q *Quarantine) Confirm(ctx context.Context) error {
	if q.opts.Source == nil {
		return nil
	}
	for {
		c := q.refreshIfStale()
		if c == nil {
			return nil
		}
		select {
		case <-c.done:
		case <-ctx.Done():
			return errUnconfirmed().Wrap(ctx.Err())
		}
		if c.err != nil {
			return errUnconfirmed().Wrap(c.err)
		}
	}
}

// refreshIfStale returns the list request to wait for; nil while the list is fresh. It starts a refresh in the
// background once the list is older than ListRefreshAge, before requests have to wait for it.
func (q *Quarantine) refreshIfStale() *listRefresh {
	q.mu.Lock()
	defer q.mu.Unlock()
	age := time.Since(q.confirmedAt)
	if age > ListRefreshAge && q.refreshing == nil {
		q.refreshing = &listRefresh{done: make(chan struct{})}
		go q.refresh(q.refreshing)
	}
	if age <= maxListAge {
		return nil
	}
	return q.refreshing
}

// refresh requests the list once and wakes the callers that wait for it.
func (q *Quarantine) refresh(c *listRefresh) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	requestedAt := time.Now()
	list, err := q.opts.Source.Suspects(ctx)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.merge(list, false)
	if err == nil {
		q.confirmedAt = requestedAt
	} else {
		refreshesFailed.Inc()
	}
	c.err = err
	q.refreshing = nil
	close(c.done)
}

func errUnconfirmed() *apierr.Error {
	e := apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "this VM is cut off and can't tell which requests crash servers")
	return e.After(unconfirmedRetryAfter)
}
