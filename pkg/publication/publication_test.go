package publication

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// TestMain sets a fixed seed for rapid, so that every run tests the same cases. A seed on the command line overrides it.
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
	accepted = daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED
	conflict = daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT
	reused   = daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CHANGE_ID_REUSED
	expired  = daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CHANGE_ID_EXPIRED
)

var smallLimits = limits{changes: 6, history: 5, deltas: 3, deltaBytes: 40}

// oracle is a reference model of Publication that never drops anything.
type oracle struct {
	versions []*daisyhatchv1.ConfigurationVersion
	results  map[string]*daisyhatchv1.PublishResult
	commands map[string]*daisyhatchv1.PublishCommand
}

func (o *oracle) current() uint64 { return uint64(len(o.versions)) }

// expect returns the result that a change must get while its change ID is stored.
func (o *oracle) expect(c *daisyhatchv1.PublishCommand) *daisyhatchv1.PublishResult {
	refusal := &daisyhatchv1.PublishResult{Outcome: conflict, Version: o.current()}
	if o.current() > 0 {
		refusal.Operator = o.versions[o.current()-1].GetOperator()
		refusal.ChangeId = o.versions[o.current()-1].GetChangeId()
	}
	if first, ok := o.results[c.GetChangeId()]; ok {
		if !proto.Equal(o.commands[c.GetChangeId()], c) {
			refusal.Outcome = reused
			return refusal
		}
		again := proto.CloneOf(first)
		again.Resent = true
		return again
	}
	if c.GetBaseVersion() != o.current() {
		return refusal
	}
	return &daisyhatchv1.PublishResult{
		Outcome: accepted, Version: o.current() + 1, Operator: c.GetOperator(), ChangeId: c.GetChangeId(),
	}
}

func (o *oracle) record(c *daisyhatchv1.PublishCommand, r *daisyhatchv1.PublishResult) {
	if r.GetResent() || (r.GetOutcome() != accepted && r.GetOutcome() != conflict) {
		return
	}
	o.results[c.GetChangeId()] = r
	o.commands[c.GetChangeId()] = c
	if r.GetOutcome() == accepted {
		o.versions = append(o.versions, &daisyhatchv1.ConfigurationVersion{
			Version: r.GetVersion(), ChangeId: c.GetChangeId(), Operator: c.GetOperator(), Reason: c.GetReason(),
			Configuration: c.GetConfiguration(),
		})
	}
}

func drawChange(t *rapid.T, o *oracle) *daisyhatchv1.PublishCommand {
	var ids []string
	for i := range 40 {
		if id := fmt.Sprint("id", i); o.commands[id] != nil {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 && rapid.IntRange(0, 2).Draw(t, "resend") == 0 {
		c := proto.CloneOf(o.commands[rapid.SampledFrom(ids).Draw(t, "id")])
		if rapid.IntRange(0, 3).Draw(t, "other content") == 0 {
			c.Reason += "x"
		}
		return c
	}
	back := rapid.SampledFrom([]uint64{0, 0, 0, 1, 4}).Draw(t, "back")
	return &daisyhatchv1.PublishCommand{
		ChangeId:      fmt.Sprint("id", rapid.IntRange(0, 39).Draw(t, "new id")),
		BaseVersion:   o.current() - min(back, o.current()),
		Operator:      rapid.SampledFrom([]string{"ada", "bob"}).Draw(t, "operator"),
		Configuration: []byte(rapid.StringMatching(`a[ab]{0,12}z`).Draw(t, "text")),
	}
}

// Operators send competing changes and send them again, while the Publication restarts from snapshots and drops old
// records. Its answers must be those of a model that never drops anything, or say that the change ID is too old, and no
// change may be accepted twice.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		p.limits = smallLimits
		o := &oracle{results: make(map[string]*daisyhatchv1.PublishResult), commands: make(map[string]*daisyhatchv1.PublishCommand)}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			c := drawChange(t, o)
			_, known := p.byID[c.GetChangeId()]
			got, err := p.Publish(c, 0)
			require.NoError(t, err)
			if !known && proto.Equal(o.commands[c.GetChangeId()], c) {
				require.Equal(t, o.current(), p.InForce().GetVersion(), "a change whose record was dropped was accepted again")
				require.Contains(t, []daisyhatchv1.PublishOutcome{expired, conflict}, got.GetOutcome())
			} else if got.GetOutcome() != expired {
				if !known {
					delete(o.results, c.GetChangeId())
				}
				want := o.expect(c)
				require.True(t, proto.Equal(want, got), "want %v\n got %v", want, got)
				o.record(c, got)
			} else {
				require.Greater(t, o.current(), c.GetBaseVersion())
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				p = restartFromSnapshot(t, p)
			}
			checkVersions(t, p, o)
		}
	})
}

func restartFromSnapshot(t *rapid.T, p *Publication) *Publication {
	data, err := proto.Marshal(p.Snapshot())
	require.NoError(t, err)
	s := &daisyhatchv1.PublicationSnapshot{}
	require.NoError(t, proto.Unmarshal(data, s))
	n, err := Restore(s)
	require.NoError(t, err)
	n.limits = smallLimits
	return n
}

func checkVersions(t *rapid.T, p *Publication, o *oracle) {
	require.Equal(t, o.current(), p.InForce().GetVersion())
	require.LessOrEqual(t, len(p.changes), smallLimits.changes)
	history := p.History(100)
	require.Len(t, history, min(len(o.versions), smallLimits.history))
	kept := 0
	for i := range o.versions {
		want := o.versions[o.current()-1-uint64(i)]
		if i < len(history) {
			require.True(t, proto.Equal(WithoutText(want), history[i]))
		}
		v, err := p.Version(want.GetVersion())
		if err != nil {
			require.ErrorIs(t, err, ErrNoVersion)
			break
		}
		kept++
		require.True(t, proto.Equal(want, v), "want %v got %v", want, v)
	}
	require.GreaterOrEqual(t, kept, min(len(o.versions), 1+len(p.deltas)))
	require.True(t, kept == len(o.versions) || kept > smallLimits.deltas || p.deltaBytes > smallLimits.deltaBytes-14, "text stored for %d of %d versions", kept, len(o.versions))
}

func TestPatchReversesDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOf(rapid.SampledFrom([]byte("ab"))).Draw(t, "base")
		text := rapid.SliceOf(rapid.SampledFrom([]byte("ab"))).Draw(t, "text")
		got, err := Patch(base, Diff(1, base, text))
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, got))
	})
	_, err := Patch([]byte("abc"), &daisyhatchv1.ConfigurationDelta{Prefix: 2, Suffix: 2})
	require.ErrorIs(t, err, ErrDelta)
	_, err = Patch([]byte("abc"), &daisyhatchv1.ConfigurationDelta{Prefix: ^uint64(0), Suffix: 2})
	require.ErrorIs(t, err, ErrDelta)
}

func TestPublishByDelta(t *testing.T) {
	p := New()
	_, err := p.Publish(&daisyhatchv1.PublishCommand{ChangeId: "1", Configuration: []byte("a long text")}, 1)
	require.NoError(t, err)
	text := []byte("a longer text")
	sum := sha256.Sum256(text)
	c := &daisyhatchv1.PublishCommand{ChangeId: "2", BaseVersion: 1, Delta: Diff(1, []byte("a long text"), text), ConfigurationSha256: sum[:]}
	r, err := p.Publish(c, 1)
	require.NoError(t, err)
	require.Equal(t, accepted, r.GetOutcome())
	require.Equal(t, text, p.InForce().GetConfiguration())
	whole := &daisyhatchv1.PublishCommand{ChangeId: "2", BaseVersion: 1, Configuration: text}
	r, err = p.Publish(whole, 1)
	require.NoError(t, err)
	require.True(t, r.GetResent(), "a change resent with its full text instead of a delta must be recognised")
	_, err = p.Publish(&daisyhatchv1.PublishCommand{ChangeId: "3", BaseVersion: 2, Configuration: []byte("A longer text")}, 1)
	require.NoError(t, err)
	c = proto.CloneOf(c)
	c.ChangeId, c.BaseVersion = "4", 3
	_, err = p.Publish(c, 1)
	require.ErrorIs(t, err, ErrCommand, "a delta for another base text must be refused")
	require.EqualValues(t, 3, p.InForce().GetVersion())
}
