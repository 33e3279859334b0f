package departure

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	draining = daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_DRAINING
	gone     = daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_GONE
)

func command(id string, born int64, state daisyhatchv1.AnnouncedState) *daisyhatchv1.DepartureCommand {
	return &daisyhatchv1.DepartureCommand{Server: &daisyhatchv1.AnnouncedServer{Id: id, BornUnixMs: born, State: state}}
}

func TestDepartureIsRecordedOnce(t *testing.T) {
	cases := map[string]struct {
		first, then *daisyhatchv1.DepartureCommand
		known       bool
	}{
		"the same":                         {command("a", 1, gone), command("a", 1, gone), true},
		"draining, then gone":              {command("a", 1, draining), command("a", 1, gone), false},
		"gone, then draining":              {command("a", 1, gone), command("a", 1, draining), true},
		"a later incarnation":              {command("a", 1, gone), command("a", 2, draining), false},
		"an earlier incarnation":           {command("a", 2, draining), command("a", 1, gone), true},
		"an unknown incarnation":           {command("a", 1, gone), command("a", 0, gone), false},
		"an unknown one, then a known one": {command("a", 0, gone), command("a", 1, gone), false},
		"twice an unknown one":             {command("a", 0, gone), command("a", 0, gone), true},
		"another server":                   {command("a", 1, gone), command("b", 1, gone), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			r, err := table.Apply(c.first, 1000)
			require.NoError(t, err)
			require.False(t, r.GetKnown())
			require.Equal(t, c.known, table.Known(c.then.GetServer()))
			r, err = table.Apply(c.then, 1000)
			require.NoError(t, err)
			require.Equal(t, c.known, r.GetKnown())
			require.True(t, table.Known(c.then.GetServer()))
		})
	}
}

func TestMalformedDepartureChangesNothing(t *testing.T) {
	table := New()
	for _, c := range []*daisyhatchv1.DepartureCommand{
		nil, command("", 1, gone), command(string(make([]byte, maxID+1)), 1, gone), command("a", 1, daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_READY),
	} {
		_, err := table.Apply(c, 1000)
		require.ErrorIs(t, err, ErrCommand)
	}
	require.Zero(t, table.Number())
}

func TestDepartureIsDroppedAfterItsRetention(t *testing.T) {
	table := New()
	_, err := table.Apply(command("a", 1, gone), 1000)
	require.NoError(t, err)
	_, err = table.Apply(command("b", 1, gone), 1000+Retention.Milliseconds())
	require.NoError(t, err)
	require.True(t, table.Known(command("a", 1, gone).GetServer()))
	_, err = table.Apply(command("c", 1, gone), 1001+Retention.Milliseconds())
	require.NoError(t, err)
	require.False(t, table.Known(command("a", 1, gone).GetServer()))
	require.Len(t, table.Since(0), 2)
	require.Len(t, table.Since(2), 1)
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for n := range maxRecords + 10 {
		_, err := table.Apply(command(fmt.Sprint("i-", n), 1, gone), 1000)
		require.NoError(t, err)
	}
	require.Len(t, table.Since(0), maxRecords)
	require.False(t, table.Known(command("i-9", 1, gone).GetServer()))
	require.True(t, table.Known(command("i-10", 1, gone).GetServer()))
}

// A restored table does what the original does.
func TestRestoredTableIsAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		now := int64(1000)
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			now += rapid.Int64Range(0, Retention.Milliseconds()/3).Draw(t, "later")
			c := command(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), rapid.Int64Range(0, 3).Draw(t, "born"),
				rapid.SampledFrom([]daisyhatchv1.AnnouncedState{draining, gone}).Draw(t, "state"))
			b = Restore(b.Since(0))
			ra, errA := a.Apply(c, now)
			rb, errB := b.Apply(c, now)
			if errA != nil || errB != nil || !proto.Equal(ra, rb) || a.Number() != b.Number() || len(a.Since(0)) != len(b.Since(0)) {
				t.Fatalf("%v and %v, %v and %v, numbers %d and %d", ra, rb, errA, errB, a.Number(), b.Number())
			}
		}
	})
}

// Draining and departure of a server with long names take less than 256 bytes each in the log and in a snapshot.
func TestRecordIsSmall(t *testing.T) {
	c := command("backend-0123456789abcdef", 1764956133123, gone)
	s := c.GetServer()
	s.Service, s.Address, s.FailureDomain, s.Version = "caretaker-summaries-large", "10.123.234.12:18080", "tas-south-region-1-a", "2026.12.5-rc1"
	s.Sequence, s.Slots = 100000, 32
	table := New()
	_, err := table.Apply(c, 1764956133123)
	require.NoError(t, err)
	log := proto.Size(&daisyhatchv1.Command{TimeUnixMs: 1764956133123, Proposer: "10.123.234.99", Body: &daisyhatchv1.Command_Departure{Departure: c}})
	snapshot := proto.Size(table.Since(0)[0])
	t.Log(log, "bytes in the log,", snapshot, "in a snapshot")
	require.Less(t, log, 256)
	require.Less(t, snapshot, 256)
}
