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

// A send is booked once and ended once, however it ends: a caller that leaves between the head of a stream and its first
// event must not leave its run on the server's account.
func TestASendIsEndedOnce(t *testing.T) {
	r := New(Options{Suspects: quarantine.NewTracker(quarantine.TrackerOptions{})})
	c := fleet.Candidate{Server: directory.Server{ID: "i-1"}}
	for name, service := range map[string]*catalog.Service{"plain": {Name: "s"}, "engine": {Name: "e", Engine: &catalog.Engine{}}} {
		x := &exchange{relay: r, service: service}
		x.began(c, time.Now())
		y := &exchange{relay: r, service: service}
		y.began(c, time.Now())
		x.ended(c, false, false)
		x.ended(c, true, true)
		require.True(t, r.health.usable("i-1", time.Now()), "%s: the second end doesn't count", name)
		if name == "plain" {
			require.Equal(t, 1, r.plain["i-1"])
		}
		y.ended(c, false, false)
		require.Empty(t, r.plain)
	}
}
