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

// TestMain fixes the seed, so that each run gives the same verdict. A seed on the command line stands.
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

// entry is what an oracle knows of one fingerprint: the crashes since it was last clear.
type entry struct {
	crashes map[string]bool
	guilty  bool
	expires int64
}

// Crash reports, several for one crash, with expiry and reloads, against an oracle of plain sets.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		oracle := make(map[uint64]*entry)
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
				e := expect(oracle, f, c.GetServer()+"/"+c.GetServerIncarnation(), alone, now)
				got := r.GetSuspects()[i]
				require.Equal(t, e.guilty, got.GetState() == convicted)
				require.Equal(t, !e.guilty, got.GetState() == suspected)
				require.EqualValues(t, len(e.crashes), got.GetCrashes())
				require.Equal(t, e.expires, got.GetExpiresUnixMs())
			}
			if rapid.Bool().Draw(t, "reload") {
				s := &daisyhatchv1.MachineSnapshot{Suspects: table.Records()}
				table, err = Restore(proto.CloneOf(s).GetSuspects(), table.Version())
				require.NoError(t, err)
			}
		}
	})
}

func expect(oracle map[uint64]*entry, f uint64, crash string, alone bool, now int64) *entry {
	e := oracle[f]
	if e == nil || e.expires <= now {
		e = &entry{crashes: make(map[string]bool)}
		oracle[f] = e
	}
	if e.guilty || e.crashes[crash] {
		return e
	}
	e.crashes[crash] = true
	e.expires = now + SuspicionMs
	if (alone && len(e.crashes) >= 2) || len(e.crashes) >= 3 {
		e.guilty = true
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

// Crashes of a fingerprint count one after the other: a run that began when its VM did not know of the last one may have ended
// by the same cause.
func TestRunsThatBeganBeforeTheLastCrashDoNotCount(t *testing.T) {
	for name, c := range map[string]struct {
		run  *daisyhatchv1.CrashRun
		want uint32
	}{
		"same VM, after its own crash":           {&daisyhatchv1.CrashRun{KnownCrashes: 1}, 2},
		"VM that has the list since the crash":   {&daisyhatchv1.CrashRun{KnownVersion: 1}, 2},
		"VM that had not heard of the crash":     {&daisyhatchv1.CrashRun{}, 1},
		"reported by a VM that does not tell it": {nil, 2},
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

// Each change has a version of its own, also after a reload: lists are compared by it.
func TestVersionGrowsWithEachChange(t *testing.T) {
	table := New()
	before := table.Version()
	grown := func(what string) {
		require.Greater(t, table.Version(), before, what)
		before = table.Version()
	}
	_, err := table.Crash(&daisyhatchv1.CrashCommand{Server: "a", Fingerprints: []uint64{1}}, 1)
	require.NoError(t, err)
	grown("crash")
	table.Clear([]uint64{1})
	require.Nil(t, table.Get(1))
	grown("clear")
	_, err = table.Crash(&daisyhatchv1.CrashCommand{Server: "a", Fingerprints: []uint64{1}}, 1)
	require.NoError(t, err)
	grown("crash")
	table, err = Restore(table.Records(), table.Version())
	require.NoError(t, err)
	table.Expire(1 + SuspicionMs)
	grown("expiry")
}
