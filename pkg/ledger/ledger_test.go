package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// TestMain sets a fixed default seed for rapid, so that runs are reproducible. A seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	granted   = daisyhatchv1.ClaimState_CLAIM_STATE_GRANTED
	pending   = daisyhatchv1.ClaimState_CLAIM_STATE_PENDING
	done      = daisyhatchv1.ClaimState_CLAIM_STATE_DONE
	unknown   = daisyhatchv1.ClaimState_CLAIM_STATE_UNKNOWN
	reused    = daisyhatchv1.ClaimState_CLAIM_STATE_KEY_REUSED
	expired   = daisyhatchv1.ClaimState_CLAIM_STATE_EXPIRED
	full      = daisyhatchv1.ClaimState_CLAIM_STATE_FULL
	maxClaims = 5
	maxBodies = 30
)

// grantedClaim is the oracle's record of one granted claim.
type grantedClaim struct {
	claim    *daisyhatchv1.ClaimCommand
	accepted int64
	timed    bool
	state    daisyhatchv1.ClaimState
	outcome  []byte
	// superseded is true once another incarnation of the holder has made a claim.
	superseded bool
}

// oracle is a reference model of the ledger that never drops a claim.
type oracle struct {
	claims map[Key]*grantedClaim
	// incarnation is the latest incarnation of each holder.
	incarnation map[string]string
	now         int64
}

// expect returns the state that the ledger must return for claim c of a recorded key.
func (o *oracle) expect(r *grantedClaim, c *daisyhatchv1.ClaimCommand) daisyhatchv1.ClaimState {
	if r.claim.GetBodyHash() != c.GetBodyHash() {
		return reused
	}
	if r.state != pending {
		return r.state
	}
	runLimit := min(max(r.claim.GetDeadlineUnixMs()-r.accepted, MinRunMs), MaxRunMs)
	if o.now > r.accepted+runLimit+DeadlineMarginMs || o.incarnation[r.claim.GetHolder()] != r.claim.GetIncarnation() {
		return unknown
	}
	if r.claim.GetHolder() == c.GetHolder() && r.claim.GetAttempt() == c.GetAttempt() {
		return granted
	}
	return pending
}

// running reports whether the holder of a granted claim may still be running the request.
func (o *oracle) running(r *grantedClaim) bool {
	return !r.superseded && o.expect(r, r.claim) == granted
}

func (o *oracle) noteIncarnation(holder, incarnation string) {
	o.incarnation[holder] = incarnation
	for _, r := range o.claims {
		if r.claim.GetHolder() == holder && r.claim.GetIncarnation() != incarnation {
			r.superseded = true
		}
	}
}

func (o *oracle) checkClaim(t *rapid.T, l *Ledger, c *daisyhatchv1.ClaimCommand) {
	o.noteIncarnation(c.GetHolder(), c.GetIncarnation())
	k := Key{c.GetOrganisation(), c.GetKey()}
	old := o.claims[k]
	before := l.Len()
	got, err := l.Claim(c, o.now)
	require.NoError(t, err)
	age := int64(0)
	if old != nil {
		age = o.now - old.accepted
	}
	kept := old != nil && age < RetentionMs && (!old.timed || age < MinRetentionMs || o.running(old))
	_, recorded := l.claims[k.id()]
	switch {
	case kept || (old != nil && recorded && got.GetState() != granted):
		require.Equal(t, o.expect(old, c), got.GetState(), "key %v", k)
		if got.GetState() == done && !got.GetOutcome().GetBodyOmitted() {
			require.Equal(t, string(old.outcome), string(got.GetOutcome().GetBody()))
		}
	case got.GetState() == granted && old != nil && o.expect(old, c) == granted && recorded && l.claims[k.id()].accepted == old.accepted:
	case got.GetState() == granted:
		require.False(t, old != nil && (old.timed || age < RetentionMs), "key %v was granted twice", k)
		created := c.GetCreatedUnixMs()
		o.claims[k] = &grantedClaim{claim: c, accepted: o.now, timed: created > 0 && created <= o.now+ClockSlackMs, state: pending}
	case got.GetState() == full:
		require.GreaterOrEqual(t, before, maxClaims)
	case got.GetState() == expired:
		require.Positive(t, c.GetCreatedUnixMs())
		require.LessOrEqual(t, c.GetCreatedUnixMs(), o.now-MinRetentionMs+ClockSlackMs)
	default:
		require.Fail(t, "unexpected state", "state %v for key %v", got.GetState(), k)
	}
}

func (o *oracle) checkComplete(t *rapid.T, l *Ledger, c *daisyhatchv1.CompleteCommand) {
	k := Key{c.GetOrganisation(), c.GetKey()}
	r := o.claims[k]
	got, err := l.Complete(c, o.now)
	require.NoError(t, err)
	byHolder := r != nil && r.claim.GetHolder() == c.GetHolder() && r.claim.GetIncarnation() == c.GetIncarnation() &&
		r.claim.GetAttempt() == c.GetAttempt()
	if !byHolder {
		require.False(t, got.GetStored(), "claim was completed by another holder")
	}
	if !got.GetStored() {
		require.False(t, byHolder && r.state == pending && o.now-r.accepted < MinRetentionMs, "completion by the holder was not stored")
		return
	}
	switch {
	case c.GetNotRun():
		require.Equal(t, pending, r.state, "a completed claim was removed")
		delete(o.claims, k)
	case r.state == done:
	case c.GetUnknown():
		r.state = unknown
	default:
		r.state = done
		r.outcome = c.GetOutcome().GetBody()
	}
}

func drawClaim(t *rapid.T, o *oracle) *daisyhatchv1.ClaimCommand {
	k := rapid.IntRange(0, 13).Draw(t, "key")
	c := &daisyhatchv1.ClaimCommand{
		Organisation:   "org",
		Key:            fmt.Sprint(k),
		BodyHash:       uint64(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "body")),
		Holder:         rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder"),
		Incarnation:    rapid.SampledFrom([]string{"1", "1", "1", "1", "1", "1", "1", "1", "1", "2"}).Draw(t, "incarnation"),
		Attempt:        fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "attempt")),
		DeadlineUnixMs: o.now + rapid.SampledFrom([]int64{-9000, 0, 5000, 10 * MaxRunMs}).Draw(t, "deadline"),
	}
	// Odd keys have a creation time, which stays the same when the claim is repeated.
	if k%2 == 1 {
		c.CreatedUnixMs = max(1, o.now-rapid.SampledFrom([]int64{0, 1000, MinRetentionMs, -MinRunMs}).Draw(t, "age"))
		if old := o.claims[Key{"org", c.GetKey()}]; old != nil {
			c.CreatedUnixMs = old.claim.GetCreatedUnixMs()
		}
	}
	return c
}

func drawComplete(t *rapid.T, o *oracle) *daisyhatchv1.CompleteCommand {
	c := &daisyhatchv1.CompleteCommand{Organisation: "org", Key: fmt.Sprint(rapid.IntRange(0, 13).Draw(t, "key"))}
	if r := o.claims[Key{"org", c.GetKey()}]; r != nil {
		c.Holder, c.Incarnation, c.Attempt = r.claim.GetHolder(), r.claim.GetIncarnation(), r.claim.GetAttempt()
	}
	switch rapid.IntRange(0, 9).Draw(t, "stranger") {
	case 0:
		c.Holder = "e9"
	case 1:
		c.Incarnation = "9"
	case 2:
		c.Attempt = "99"
	}
	switch rapid.IntRange(0, 4).Draw(t, "end") {
	case 0:
		c.NotRun = true
	case 1:
		c.Unknown = true
	default:
		c.Outcome = &daisyhatchv1.StoredOutcome{Status: 200, Body: []byte(rapid.SampledFrom([]string{"", "twelve bytes", "sixteen bytes ok"}).Draw(t, "answer"))}
	}
	return c
}

// TestAgainstOracle compares the ledger with a reference model under random claims and completions from several VMs,
// restarts of holders, snapshot restores and dropped claims. No key may be granted twice within its retention, or ever
// if its creation time is known, and recorded keys must have the state that the model expects.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := withSmallLimits(New())
		o := &oracle{claims: make(map[Key]*grantedClaim), incarnation: make(map[string]string), now: 10 * RetentionMs}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			o.now += rapid.SampledFrom([]int64{0, 0, 500, 3000, MinRetentionMs / 2, MinRetentionMs}).Draw(t, "pass")
			if rapid.IntRange(0, 30).Draw(t, "long pass") == 30 {
				o.now += RetentionMs / 2
			}
			if rapid.Bool().Draw(t, "claim") {
				o.checkClaim(t, l, drawClaim(t, o))
			} else {
				o.checkComplete(t, l, drawComplete(t, o))
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				l = restoreFromSnapshot(t, l)
			}
			require.LessOrEqual(t, l.Len(), maxClaims)
			require.LessOrEqual(t, l.BodyBytes(), maxBodies)
		}
	})
}

func withSmallLimits(l *Ledger) *Ledger {
	l.maxClaims = maxClaims
	l.maxBodies = maxBodies
	return l
}

func restoreFromSnapshot(t *rapid.T, l *Ledger) *Ledger {
	data, err := proto.Marshal(l.Snapshot())
	require.NoError(t, err)
	s := &daisyhatchv1.LedgerSnapshot{}
	require.NoError(t, proto.Unmarshal(data, s))
	n, err := Restore(s)
	require.NoError(t, err)
	require.Equal(t, l.bodyBytes, n.bodyBytes)
	require.Equal(t, l.timed.Len(), n.timed.Len())
	return withSmallLimits(n)
}

func TestLargeBodyIsOmitted(t *testing.T) {
	l := New()
	c := &daisyhatchv1.ClaimCommand{Organisation: "o", Key: "k", Holder: "e", Incarnation: "1", Attempt: "a"}
	_, err := l.Claim(c, 1)
	require.NoError(t, err)
	large := &daisyhatchv1.StoredOutcome{Status: 201, Body: make([]byte, MaxBody+1)}
	_, err = l.Complete(&daisyhatchv1.CompleteCommand{Organisation: "o", Key: "k", Holder: "e", Incarnation: "1", Attempt: "a", Outcome: large}, 2)
	require.NoError(t, err)
	r := l.Lookup(Key{"o", "k"}, 3)
	require.Equal(t, done, r.GetState())
	require.True(t, r.GetOutcome().GetBodyOmitted())
	require.EqualValues(t, 201, r.GetOutcome().GetStatus())
	require.Zero(t, l.BodyBytes())
}
