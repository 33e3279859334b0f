package quarantine_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
)

const (
	suspect   = daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT
	convicted = daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
)

var server = engine.Target{Server: "s", Incarnation: "1"}

// fakeReporter records reports and makes every reported fingerprint a suspect. Its first calls fail, as many as failures
// says.
type fakeReporter struct {
	mu       sync.Mutex
	reports  []*daisyhatchv1.CrashCommand
	failures int
}

var errReport = errors.New("no leader")

func (r *fakeReporter) ReportCrash(_ context.Context, c *daisyhatchv1.CrashCommand) (*daisyhatchv1.CrashResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		r.failures--
		return nil, errReport
	}
	r.reports = append(r.reports, c)
	res := &daisyhatchv1.CrashResult{}
	for _, f := range c.GetFingerprints() {
		res.Suspects = append(res.Suspects, newSuspect(f, suspect, time.Minute))
	}
	return res, nil
}

func (r *fakeReporter) stopFailing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
}

func (r *fakeReporter) sentReports() []*daisyhatchv1.CrashCommand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports
}

// newSuspect returns a suspect that expires after ttl.
func newSuspect(f uint64, s daisyhatchv1.SuspectState, ttl time.Duration) *daisyhatchv1.Suspect {
	return &daisyhatchv1.Suspect{Fingerprint: f, State: s, ExpiresUnixMs: time.Now().Add(ttl).UnixMilli()}
}

func newQuarantine(r *fakeReporter) *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Reporter: r, Log: logr.Discard()})
}

func TestOneReportListsAllRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReporter{}
		q := newQuarantine(r)
		for _, f := range []uint64{1, 2, 3} {
			defer q.Begin(server, f, false)()
		}
		q.Begin(server, 4, false)()
		defer q.Begin(engine.Target{Server: "other"}, 5, false)()
		var wg sync.WaitGroup
		for _, f := range []uint64{1, 2, 3} {
			wg.Go(func() {
				v, err := q.Crashed(t.Context(), server, f)
				require.NoError(t, err)
				require.Equal(t, dispatch.Suspect, v)
			})
		}
		wg.Wait()
		require.Len(t, r.reports, 1)
		fingerprints := r.reports[0].GetFingerprints()
		slices.Sort(fingerprints)
		require.Equal(t, []uint64{1, 2, 3}, fingerprints)
		require.False(t, r.reports[0].GetAlone())
		require.Equal(t, dispatch.Clear, q.Check(4))
		require.Equal(t, dispatch.Clear, q.Check(5))
	})
}

func TestReportIsAloneOnlyWithoutOtherRequests(t *testing.T) {
	for _, tc := range []struct {
		name      string
		alone     bool
		neighbour bool
		want      bool
	}{
		{"alone", true, false, true},
		{"beside another request", true, true, false},
		{"not a suspect yet", false, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &fakeReporter{}
				q := newQuarantine(r)
				defer q.Begin(server, 1, tc.alone)()
				if tc.neighbour {
					defer q.Begin(server, 2, true)()
				}
				_, err := q.Crashed(t.Context(), server, 1)
				require.NoError(t, err)
				require.Equal(t, tc.want, r.reports[0].GetAlone())
			})
		})
	}
}

func TestCrashedReturnsAfterReportIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReporter{failures: 3}
		q := newQuarantine(r)
		defer q.Begin(server, 1, false)()
		_, err := q.Crashed(t.Context(), server, 1)
		require.NoError(t, err)
		require.Len(t, r.reports, 1)
	})
}

func TestCrashedFailsWithoutCommittedReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReporter{failures: 1 << 20}
		q := newQuarantine(r)
		defer q.Begin(server, 1, false)()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := q.Crashed(ctx, server, 1)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Empty(t, r.sentReports())
		r.stopFailing()
		time.Sleep(time.Second)
		require.Len(t, r.sentReports(), 1, "the report must be retried after its request has ended")
		require.Equal(t, dispatch.Suspect, q.Check(1))
	})
}

func TestFailedReportIsSentAgainByNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReporter{failures: 1 << 20}
		q := newQuarantine(r)
		defer q.Begin(server, 1, false)()
		_, err := q.Crashed(t.Context(), server, 1)
		require.ErrorIs(t, err, errReport)
		r.stopFailing()
		_, err = q.Crashed(t.Context(), server, 1)
		require.NoError(t, err, "the next request must send the report again")
	})
}

func TestSuspicionExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine(&fakeReporter{})
		q.Update([]*daisyhatchv1.Suspect{newSuspect(1, suspect, time.Minute), newSuspect(2, convicted, time.Hour)})
		require.Equal(t, dispatch.Suspect, q.Check(1))
		require.Equal(t, dispatch.Convicted, q.Check(2))
		q.Update(nil)
		require.Equal(t, dispatch.Suspect, q.Check(1), "a suspect missing from a list must stay until it expires")
		time.Sleep(time.Minute)
		require.Equal(t, dispatch.Clear, q.Check(1))
		require.Equal(t, dispatch.Convicted, q.Check(2))
		time.Sleep(time.Hour)
		require.Equal(t, dispatch.Clear, q.Check(2))
	})
}

func TestListedSuspectIgnoresLocalExpiry(t *testing.T) {
	q := quarantine.New(quarantine.Options{
		Reporter: &fakeReporter{},
		Log:      logr.Discard(),
		Now:      func() time.Time { return time.Now().Add(24 * time.Hour) },
	})
	q.Update([]*daisyhatchv1.Suspect{newSuspect(1, suspect, time.Minute)})
	require.Equal(t, dispatch.Suspect, q.Check(1))
	q.Update(nil)
	require.Equal(t, dispatch.Clear, q.Check(1))
}

func TestLateReportKeepsConviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine(&fakeReporter{})
		q.Update([]*daisyhatchv1.Suspect{newSuspect(1, convicted, time.Hour)})
		defer q.Begin(server, 1, false)()
		v, err := q.Crashed(t.Context(), server, 1)
		require.NoError(t, err)
		require.Equal(t, dispatch.Convicted, v)
	})
}

// fakeLedger is a claim ledger in memory.
type fakeLedger struct {
	claims map[string]string
}

func (l *fakeLedger) Claim(_ context.Context, k dispatch.ClaimKey, _ uint64, _ time.Time) (dispatch.Claim, error) {
	switch l.claims[k.Key] {
	case "":
		l.claims[k.Key] = "pending"
		return dispatch.Claim{Granted: true}, nil
	case "crashed":
		return dispatch.Claim{Outcome: &dispatch.Outcome{}}, nil
	case "lost":
		return dispatch.Claim{}, apierr.New(409, apierr.OutcomeUnknown, "lost")
	default:
		return dispatch.Claim{}, apierr.New(409, apierr.OutcomePending, "pending")
	}
}

func (l *fakeLedger) Complete(_ context.Context, k dispatch.ClaimKey, _ dispatch.Outcome) error {
	l.claims[k.Key] = "crashed"
	return nil
}

func (l *fakeLedger) Abandon(_ context.Context, k dispatch.ClaimKey) error {
	delete(l.claims, k.Key)
	return nil
}

func (l *fakeLedger) Unknown(context.Context, dispatch.ClaimKey) error { return nil }

func TestClaimSuspectIsExclusive(t *testing.T) {
	l := &fakeLedger{claims: map[string]string{}}
	a, b := newQuarantineWithLedger(l), newQuarantineWithLedger(l)
	deadline := time.Now().Add(time.Second)
	release, err := a.AcquireExclusive(t.Context(), 1, deadline)
	require.NoError(t, err)
	_, err = b.AcquireExclusive(t.Context(), 1, deadline)
	require.Equal(t, apierr.NoCapacity, apierr.From(err).Code)
	require.Equal(t, apierr.NotRun, apierr.From(err).Run)
	release(false)
	release, err = b.AcquireExclusive(t.Context(), 1, deadline)
	require.NoError(t, err, "a suspect that crashed no server may run again")
	release(true)
	_, err = a.AcquireExclusive(t.Context(), 1, deadline)
	require.Equal(t, apierr.RequestQuarantined, apierr.From(err).Code, "the ledger must refuse a suspect that crashed its server, without a list")
}

func TestSuspectIsClaimableAfterHolderLost(t *testing.T) {
	l := &fakeLedger{claims: map[string]string{}}
	q := newQuarantineWithLedger(l)
	_, err := q.AcquireExclusive(t.Context(), 1, time.Now().Add(time.Second))
	require.NoError(t, err)
	for k := range l.claims {
		l.claims[k] = "lost"
	}
	_, err = q.AcquireExclusive(t.Context(), 1, time.Now().Add(time.Second))
	require.NoError(t, err, "a suspect must not be refused because a VM was lost")
}

func newQuarantineWithLedger(l *fakeLedger) *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Reporter: &fakeReporter{}, Ledger: l, Log: logr.Discard()})
}
