package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// TestMain sets a fixed seed, so that every run has the same result. A seed given on the command line takes precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const ttl = 1500 * time.Millisecond

// contender is a process that competes for the lease.
type contender struct {
	name     string
	observer *Observer
	observed uint64
	// validUntil is when the lease ends by the contender's own reckoning, on the test's clock.
	validUntil time.Time
	fence      uint64
}

// inFlightCommand is a command that was sent but not applied yet.
type inFlightCommand struct {
	from  *contender
	asked time.Time
	cmd   *daisyhatchv1.LeaseCommand
}

// Contenders renew, pause and restore snapshots, and their commands are applied late and out of order. No two may
// believe at the same time that they hold the lease, and the fence must never decrease.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		now := time.Unix(1000, 0)
		var contenders []*contender
		for i := range 3 {
			contenders = append(contenders, &contender{name: fmt.Sprint("c", i), observer: NewObserver()})
		}
		var inFlight []inFlightCommand
		highest := uint64(0)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 300, 500, 900}).Draw(t, "pass")) * time.Millisecond)
			if l := table.Get("l"); l != nil {
				for _, c := range contenders {
					c.observed = c.observer.Observe(proto.CloneOf(l), now)
				}
			}
			c := rapid.SampledFrom(contenders).Draw(t, "contender")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				inFlight = append(inFlight, newCommand(c, now))
			case 3, 4, 5:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				s := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				r, err := table.Apply(s.cmd)
				require.NoError(t, err)
				if r.GetHeld() {
					require.GreaterOrEqual(t, r.GetFence(), highest)
					highest = r.GetFence()
					s.from.validUntil, s.from.fence = later(s.from.validUntil, s.asked.Add(ttl)), r.GetFence()
				}
			default:
				table = restoreFromSnapshot(t, table)
			}
			holders := 0
			for _, c := range contenders {
				if now.Before(c.validUntil) {
					holders++
				}
			}
			require.LessOrEqual(t, holders, 1, "two contenders believe that they hold the lease")
		}
	})
}

// newCommand returns a command by which a contender tries to acquire or renew the lease.
func newCommand(c *contender, now time.Time) inFlightCommand {
	return inFlightCommand{from: c, asked: now, cmd: &daisyhatchv1.LeaseCommand{
		Name: "l", Holder: c.name, Incarnation: "1", TtlMs: ttl.Milliseconds(), ObservedRenewal: c.observed,
	}}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func restoreFromSnapshot(t *rapid.T, old *Table) *Table {
	s := &daisyhatchv1.MachineSnapshot{Leases: old.All()}
	n, err := Restore(proto.CloneOf(s).GetLeases())
	require.NoError(t, err)
	return n
}

func TestReleaseFreesLeaseAtOnceAndRestartDoesNot(t *testing.T) {
	table := New()
	c := &daisyhatchv1.LeaseCommand{Name: "l", Holder: "c1", Incarnation: "1", TtlMs: 1500}
	first, err := table.Apply(c)
	require.NoError(t, err)
	require.True(t, first.GetHeld())
	restarted := proto.CloneOf(c)
	restarted.Incarnation = "2"
	r, err := table.Apply(restarted)
	require.NoError(t, err)
	require.False(t, r.GetHeld(), "the earlier process may still be running")
	release := proto.CloneOf(c)
	release.Release = true
	_, err = table.Apply(release)
	require.NoError(t, err)
	r, err = table.Apply(restarted)
	require.NoError(t, err)
	require.True(t, r.GetHeld())
	require.Greater(t, r.GetFence(), first.GetFence())
	for _, bad := range []*daisyhatchv1.LeaseCommand{{}, {Name: "l", Holder: "h", Incarnation: "1"}, {Name: "l", Holder: "h", Incarnation: "1", TtlMs: MaxTTLMs + 1}} {
		_, err = table.Apply(bad)
		require.ErrorIs(t, err, ErrCommand)
	}
}

// A renewal that is applied after the lease was released must not acquire it again: the holder has handed over what the lease
// protects, and would keep the successor out without it.
func TestLateRenewalDoesNotAcquireReleasedLease(t *testing.T) {
	table := New()
	acquire := &daisyhatchv1.LeaseCommand{Name: "l", Holder: "c2", Incarnation: "1", TtlMs: 1500}
	held, err := table.Apply(acquire)
	require.NoError(t, err)
	renewal := &daisyhatchv1.LeaseCommand{Name: "l", Holder: "c2", Incarnation: "1", TtlMs: 1500, RenewFence: held.Fence}
	renewed, err := table.Apply(renewal)
	require.NoError(t, err)
	require.True(t, renewed.Held)
	require.Equal(t, held.Fence, renewed.Fence)
	_, err = table.Apply(&daisyhatchv1.LeaseCommand{Name: "l", Holder: "c2", Incarnation: "1", Release: true})
	require.NoError(t, err)
	late, err := table.Apply(renewal)
	require.NoError(t, err)
	require.False(t, late.Held)
	require.Empty(t, table.Get("l").GetHolder())
	again, err := table.Apply(acquire)
	require.NoError(t, err)
	require.Greater(t, again.Fence, held.Fence)
	late, err = table.Apply(renewal)
	require.NoError(t, err)
	require.False(t, late.Held, "it is not a renewal of the lease that the process holds now")
	require.Equal(t, again.Renewal, late.Renewal)
}
