package suspect

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

// TestMain sets a fixed seed, so that each run gives the same result. A seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	suspected = daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT
	convicted = daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
)

// oracleRecord is the test's own model of one fingerprint: the crashes counted since it was last clear.
type oracleRecord struct {
	crashes     map[string]bool
	isConvicted bool
	expires     int64
}

// Compares the table with a model made of plain sets, under random crash reports, several reports of one crash, expiry
// and restores from snapshots.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		oracle := make(map[uint64]*oracleRecord)
		now := int64(1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.SampledFrom([]int64{0, 0, 1000, SuspicionMs - 1, SuspicionMs, ConvictionMs}).Draw(t, "pass")
			c := &daisyhatchv1.CrashCommand{
				Server:            fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "server")),
				ServerIncarnation: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "incarnation")),
				Fingerprints:      rapid.SliceOfNDistinct(rapid.Uint64Range(0, 4), 1, 3, rapid.ID[uint64]).Draw(t, "fingerprints"),
				Alone:             rapid.Bool().Draw(t, "alone"),
			}
			r, err := table.Crash(c, now)
			require.NoError(t, err)
			alone := c.GetAlone() && len(c.GetFingerprints()) == 1
			for i, f := range c.GetFingerprints() {
				e := expectedRecord(oracle, f, c.GetServer()+"/"+c.GetServerIncarnation(), alone, now)
				got := r.GetSuspects()[i]
				require.Equal(t, e.isConvicted, got.GetState() == convicted)
				require.Equal(t, !e.isConvicted, got.GetState() == suspected)
				require.EqualValues(t, len(e.crashes), got.GetCrashes())
				require.Equal(t, e.expires, got.GetExpiresUnixMs())
			}
			if rapid.Bool().Draw(t, "reload") {
				s := &daisyhatchv1.MachineSnapshot{Suspects: table.Records()}
				table, err = Restore(proto.CloneOf(s).GetSuspects(), table.PartsSnapshot(), table.Version())
				require.NoError(t, err)
			}
		}
	})
}

// expectedRecord counts a crash in the model and returns the record that the table must have.
func expectedRecord(oracle map[uint64]*oracleRecord, f uint64, crash string, alone bool, now int64) *oracleRecord {
	e := oracle[f]
	if e == nil || e.expires <= now {
		e = &oracleRecord{crashes: make(map[string]bool)}
		oracle[f] = e
	}
	if e.isConvicted || e.crashes[crash] {
		return e
	}
	e.crashes[crash] = true
	e.expires = now + SuspicionMs
	if (alone && len(e.crashes) >= 2) || len(e.crashes) >= 3 {
		e.isConvicted = true
		e.expires = now + ConvictionMs
	}
	return e
}

func TestFullTableKeepsConvictions(t *testing.T) {
	table := New()
	for i := range 2 {
		_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: fmt.Sprint(i), Fingerprints: []uint64{7}, Alone: true}, 1)
		require.NoError(t, err)
	}
	for i := range uint64(5) {
		var list []uint64
		for j := range uint64(MaxFingerprints) {
			list = append(list, 100+i*MaxFingerprints+j)
		}
		_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: "s", Fingerprints: list}, ConvictionMs-1000)
		require.NoError(t, err)
	}
	require.Len(t, table.Records(), MaxSuspects)
	require.Equal(t, convicted, table.records[7].GetSuspect().GetState())
}

// When many servers end under load, thousands of sound requests have one crash each. They must not push out a request that is
// one crash short of its conviction, nor one whose copies ended several servers at once.
func TestFullTableKeepsRequestsWithMoreEndedServers(t *testing.T) {
	table := New()
	crashTogether(t, table, 8, "a", "b")
	for i := range 2 {
		_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: fmt.Sprint(i), Fingerprints: []uint64{7}}, 1)
		require.NoError(t, err)
	}
	for i := range uint64(5) {
		var list []uint64
		for j := range uint64(MaxFingerprints) {
			list = append(list, 100+i*MaxFingerprints+j)
		}
		_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: "s", Fingerprints: list}, int64(2+i))
		require.NoError(t, err)
	}
	require.Len(t, table.Records(), MaxSuspects)
	require.True(t, IsLeased(table.Get(8)))
	_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: "2", Fingerprints: []uint64{7}}, 10)
	require.NoError(t, err)
	require.Equal(t, convicted, table.Get(7).GetState())
}

// A run that began when its VM didn't know of the last counted crash may have crashed by the same cause, so it must not
// count as a further crash of the fingerprint.
func TestRunsThatBeganBeforeTheLastCrashDoNotCount(t *testing.T) {
	for name, c := range map[string]struct {
		run  *daisyhatchv1.CrashRun
		want uint32
	}{
		"VM knows the number of crashes":              {&daisyhatchv1.CrashRun{KnownCrashes: 1}, 2},
		"VM has the list of suspects since the crash": {&daisyhatchv1.CrashRun{KnownVersion: 1}, 2},
		"VM does not know of the crash":               {&daisyhatchv1.CrashRun{}, 1},
		"report without runs":                         {nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: "a", Fingerprints: []uint64{1}, Runs: []*daisyhatchv1.CrashRun{{}}}, 1)
			require.NoError(t, err)
			second := &daisyhatchv1.CrashCommand{Server: "b", Fingerprints: []uint64{1}}
			if c.run != nil {
				second.Runs = []*daisyhatchv1.CrashRun{c.run}
			}
			r, err := table.Crash(second, 2)
			require.NoError(t, err)
			require.Equal(t, c.want, r.GetSuspects()[0].GetCrashes())
		})
	}
	_, err := New().Crash(&daisyhatchv1.CrashCommand{Server: "a", Fingerprints: []uint64{1, 2}, Runs: []*daisyhatchv1.CrashRun{{}}}, 1)
	require.ErrorIs(t, err, ErrCommand)
}

// VMs compare lists of suspects by version, so each change must raise it, also after a restore.
func TestVersionGrowsWithEachChange(t *testing.T) {
	table := New()
	before := table.Version()
	requireGrown := func(what string) {
		require.Greater(t, table.Version(), before, what)
		before = table.Version()
	}
	_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: "a", Fingerprints: []uint64{1}}, 1)
	require.NoError(t, err)
	requireGrown("crash")
	table.Clear([]uint64{1})
	require.Nil(t, table.Get(1))
	requireGrown("clear")
	_, err = table.Crash(&daisyhatchv1.CrashCommand{Server: "a", Fingerprints: []uint64{1}}, 1)
	require.NoError(t, err)
	requireGrown("crash")
	table, err = Restore(table.Records(), table.PartsSnapshot(), table.Version())
	require.NoError(t, err)
	table.Expire(1 + SuspicionMs)
	requireGrown("expiry")
}

// crashTogether reports the ends of servers under one request that ran on all of them at the same moment.
func crashTogether(t *testing.T, table *Table, fingerprint uint64, servers ...string) *daisyhatchv1.Suspect {
	t.Helper()
	for _, s := range servers {
		_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: s, Fingerprints: []uint64{fingerprint}, Runs: []*daisyhatchv1.CrashRun{{}}}, 1)
		require.NoError(t, err)
	}
	return table.Get(fingerprint)
}

// Copies of a request that end their servers at the same moment count as one crash, but from the second ended server on one
// copy runs at a time, for longer each time, also after a restore.
func TestRequestWithEndedServersRunsInOneCopy(t *testing.T) {
	const start = int64(1_000_000)
	lease := &daisyhatchv1.RunLeaseCommand{Fingerprint: 1}
	table := New()
	require.False(t, IsLeased(crashTogether(t, table, 1, "a")))
	require.True(t, table.LeaseRun(lease, start).GetGranted(), "one end is mostly chance")
	require.True(t, table.LeaseRun(lease, start).GetGranted())
	s := crashTogether(t, table, 1, "a", "b", "c")
	require.EqualValues(t, 1, s.GetCrashes())
	require.EqualValues(t, 3, s.GetEndedServers())
	require.True(t, IsLeased(s))
	require.True(t, IsShared(s))
	now := start
	for range 3 {
		length := leaseMs(table.records[1].GetLeases() + 1)
		require.True(t, table.LeaseRun(lease, now).GetGranted())
		table = restored(t, table)
		require.Equal(t, length-1, table.LeaseRun(lease, now+1).GetWaitMs())
		require.False(t, table.LeaseRun(lease, now+length-1).GetGranted())
		now += length
	}
	require.Equal(t, start+7*RunLeaseMs, now)
	require.True(t, table.LeaseRun(lease, start-ConvictionMs).GetGranted(), "a lease far in the future is that of a wrong clock")
	table.Clear([]uint64{1})
	require.True(t, table.LeaseRun(lease, now).GetGranted())
	require.True(t, table.LeaseRun(lease, now).GetGranted())
}

// A convicted request runs in no copy, and a counted crash makes the next lease as short as the first.
func TestLeaseAfterCrashes(t *testing.T) {
	table := New()
	lease := &daisyhatchv1.RunLeaseCommand{Fingerprint: 1}
	crashTogether(t, table, 1, "a", "b")
	require.True(t, table.LeaseRun(lease, 1).GetGranted())
	require.True(t, table.LeaseRun(lease, 1+RunLeaseMs).GetGranted())
	for i, server := range []string{"c", "d"} {
		run := []*daisyhatchv1.CrashRun{{KnownCrashes: uint32(i + 1)}}
		_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: server, Fingerprints: []uint64{1}, Runs: run}, 1)
		require.NoError(t, err)
		require.Zero(t, table.records[1].GetLeases())
	}
	require.Equal(t, convicted, table.Get(1).GetState())
	require.False(t, IsLeased(table.Get(1)))
	r := table.LeaseRun(lease, 1)
	require.False(t, r.GetGranted())
	require.EqualValues(t, ConvictionMs, r.GetWaitMs())
}

// restored returns a table made from a snapshot of another.
func restored(t *testing.T, table *Table) *Table {
	t.Helper()
	s := &daisyhatchv1.MachineSnapshot{Suspects: table.Records()}
	out, err := Restore(proto.CloneOf(s).GetSuspects(), table.PartsSnapshot(), table.Version())
	require.NoError(t, err)
	return out
}

// Two leases of one request overlap: the later one was asked for by a clock a millisecond behind, or an end was counted in between.
func TestOneLeaseAtATime(t *testing.T) {
	const start = int64(1_000_000)
	leased := func(t *testing.T) *Table {
		table := New()
		for i := range 2 {
			_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: fmt.Sprint(i), Fingerprints: []uint64{1}, Runs: []*daisyhatchv1.CrashRun{{}}}, start)
			require.NoError(t, err)
		}
		require.True(t, table.LeaseRun(&daisyhatchv1.RunLeaseCommand{Fingerprint: 1}, start).GetGranted())
		return table
	}
	t.Run("asked for a millisecond earlier", func(t *testing.T) {
		require.False(t, leased(t).LeaseRun(&daisyhatchv1.RunLeaseCommand{Fingerprint: 1}, start-1).GetGranted())
	})
	t.Run("an end is counted during a longer lease", func(t *testing.T) {
		table := leased(t)
		second := start + RunLeaseMs
		require.True(t, table.LeaseRun(&daisyhatchv1.RunLeaseCommand{Fingerprint: 1}, second).GetGranted())
		_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: "2", Fingerprints: []uint64{1}}, second+20)
		require.NoError(t, err)
		require.False(t, table.LeaseRun(&daisyhatchv1.RunLeaseCommand{Fingerprint: 1}, second+30).GetGranted())
	})
}
