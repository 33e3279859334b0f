package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

// Callers press beyond the limits that all servers of a service named: what no server will take isn't started.
func TestStagesThatLeadToNoServerAreNotStarted(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := func(share, sent int, roomIn time.Duration) fleet.Candidate {
		return fleet.Candidate{Limit: &serverlimit.Use{Limit: serverlimit.Limit{Rate: 1}, Share: share, Sent: sent, RoomAt: now.Add(roomIn)}}
	}
	for name, c := range map[string]struct {
		servers  []fleet.Candidate
		inStages int
		inVain   bool
		noRoom   bool
	}{
		"no server":                           {nil, 5, false, false},
		"one without a limit":                 {[]fleet.Candidate{limited(1, 1, time.Hour), {}}, 50, false, false},
		"room":                                {[]fleet.Candidate{limited(4, 1, 0)}, 2, false, false},
		"room for those before it only":       {[]fleet.Candidate{limited(4, 1, 0)}, 3, true, false},
		"room of two servers":                 {[]fleet.Candidate{limited(4, 1, 0), limited(2, 1, 0)}, 3, false, false},
		"room when the stages are done":       {[]fleet.Candidate{limited(1, 1, 900*time.Millisecond)}, 0, false, true},
		"no room until the stages are done":   {[]fleet.Candidate{limited(1, 1, 1100*time.Millisecond)}, 0, true, true},
		"other VMs have the share":            {[]fleet.Candidate{limited(0, 0, 0)}, 0, true, true},
		"a VM that has just started":          {[]fleet.Candidate{limited(4, 0, 3*time.Second)}, 0, true, true},
		"more sent than the share since then": {[]fleet.Candidate{limited(1, 30, 4*time.Second)}, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.inVain, stagesInVain(c.servers, c.inStages, time.Second, now))
			require.Equal(t, c.noRoom, noRoomNow(c.servers, now))
		})
	}
}
