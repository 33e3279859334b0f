package experiment

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	docs  = flag.String("experiment.docs", "", "folder for EXPERIMENT.md and its plots; empty writes none")
	seeds = flag.Uint64("experiment.seeds", 3, "runs for each policy and load")
	span  = flag.Duration("experiment.time", 30*time.Second, "virtual time of a run")
)

func TestEveryRequestEndsOnce(t *testing.T) {
	for _, p := range Policies() {
		for _, load := range []float64{0.5, 2} {
			r := Run(p, load, 1, 20*time.Second)
			require.Equal(t, r.Offered, r.OnTime+r.Late+r.Refused, "%s at %.1f", p.Name, load)
			require.Greater(t, r.Offered, 300)
			require.LessOrEqual(t, r.Wasted, r.Worked)
			require.Equal(t, r, Run(p, load, 1, 20*time.Second), "a run repeats")
		}
	}
}

// The pairs that were measured on the users' bench must rank the same here.
func TestRanksAsMeasured(t *testing.T) {
	onTime := func(policy int) int { return Run(Policies()[policy], 1.5, 2, 30*time.Second).OnTime }
	untilRead, untilEnd, seven := onTime(0), onTime(1), onTime(2)
	require.Greater(t, untilRead, untilEnd)
	require.Greater(t, untilRead, seven)
}

// make experiment
func TestWrite(t *testing.T) {
	if *docs == "" {
		t.Skip("no folder given")
	}
	require.NoError(t, Write(*docs, Table(*seeds, *span), *seeds, *span))
}
