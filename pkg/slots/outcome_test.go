package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Only a call that was really made tells of a server's death: one given up before sending, because its slot had
// expired, would otherwise keep a healthy server without work for seconds.
func TestOnlyMadeCallsTellOfADeath(t *testing.T) {
	for name, c := range map[string]struct {
		report dispatch.Report
		broken bool
	}{
		"answered":      {dispatch.Report{}, false},
		"refused":       {dispatch.Report{Err: &engine.Error{Kind: engine.Refused}}, true},
		"crashed":       {dispatch.Report{Err: &engine.Error{Kind: engine.Crashed, Sent: true}}, true},
		"failed":        {dispatch.Report{Err: &engine.Error{Kind: engine.Failed, Sent: true}}, false},
		"never made":    {dispatch.Report{Abandoned: true}, false},
		"slot expired":  {dispatch.Report{Err: &engine.Error{Kind: engine.Refused}, Abandoned: true}, false},
		"caller's gone": {dispatch.Report{Err: &engine.Error{Kind: engine.Canceled, Sent: true}, Abandoned: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.broken, outcome(c.report).Broken)
		})
	}
}

// TestPartOfACallTellsNothingOfSpeed keeps the halves of a hand-over out of the comparison within the pool.
func TestPartOfACallTellsNothingOfSpeed(t *testing.T) {
	r := dispatch.Report{FirstToken: time.Second, Total: time.Minute, Partial: true}
	require.Zero(t, latency(r))
	require.Zero(t, outcome(r).FirstToken)
	require.True(t, outcome(r).OK)
}
