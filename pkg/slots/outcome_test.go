package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Only a call that was sent may mark a server as broken. A call that was given up before sending, because its slot had
// expired, would otherwise keep a healthy server without calls for seconds.
func TestOnlySentCallsMarkServerBroken(t *testing.T) {
	for name, c := range map[string]struct {
		report dispatch.Report
		broken bool
	}{
		"answered":     {dispatch.Report{}, false},
		"refused":      {dispatch.Report{Err: &engine.Error{Kind: engine.Refused}}, true},
		"crashed":      {dispatch.Report{Err: &engine.Error{Kind: engine.Crashed, Sent: true}}, true},
		"failed":       {dispatch.Report{Err: &engine.Error{Kind: engine.Failed, Sent: true}}, false},
		"not sent":     {dispatch.Report{Abandoned: true}, false},
		"slot expired": {dispatch.Report{Err: &engine.Error{Kind: engine.Refused}, Abandoned: true}, false},
		"caller gone":  {dispatch.Report{Err: &engine.Error{Kind: engine.Canceled, Sent: true}, Abandoned: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.broken, outcome(c.report).Broken)
		})
	}
}

// TestPartialCallReportsNoLatency keeps the two parts of a handed-over call out of the latency comparison within the
// pool.
func TestPartialCallReportsNoLatency(t *testing.T) {
	r := dispatch.Report{FirstToken: time.Second, Total: time.Minute, Partial: true}
	require.Zero(t, latency(r))
	require.Zero(t, outcome(r).FirstToken)
	require.True(t, outcome(r).OK)
}
