package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
)

// A send is counted once when it starts and once when it ends, however it ends. A caller that leaves between the head
// of a stream and its first event must not leave its run counted against the server.
func TestRecordEndTakesEffectOnce(t *testing.T) {
	r := New(Options{Suspects: quarantine.NewTracker(quarantine.TrackerOptions{})})
	c := fleet.Candidate{Server: directory.Server{ID: "i-1"}}
	for name, service := range map[string]*catalog.Service{"plain": {Name: "s"}, "engine": {Name: "e", Engine: &catalog.Engine{}}} {
		x := &exchange{relay: r, service: service}
		x.recordStart(c, time.Now())
		y := &exchange{relay: r, service: service}
		y.recordStart(c, time.Now())
		x.recordEnd(c, false, false)
		x.recordEnd(c, true, true)
		require.True(t, r.health.usable("i-1", time.Now()), "%s: a second call of recordEnd has no effect", name)
		if name == "plain" {
			require.Equal(t, 1, r.plainInFlight["i-1"])
		}
		y.recordEnd(c, false, false)
		require.Empty(t, r.plainInFlight)
	}
}
