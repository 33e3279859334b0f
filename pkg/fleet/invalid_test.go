package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
)

// One odd entry among the announcements costs that entry alone: the list of servers can still be sent to the VMs that follow
// it, and each of a thousand such entries leaves no line of its own.
func TestOddEntryCostsItselfAlone(t *testing.T) {
	var lines []string
	log := funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{})
	c := NewControl(ControlOptions{State: NewState(StateOptions{}), Roster: NewRoster("", nil), Log: log}, nil)
	now := time.Now()
	sound := directory.Server{ID: "i-1", Born: now.UnixMilli(), Service: "s", Address: "10.0.0.1:80", Domain: "a", State: directory.Ready, Heard: now}
	require.NoError(t, c.Announce(t.Context(), sound))
	for range 1000 {
		odd := sound
		odd.ID = "i-\xff" + strings.Repeat("x", 200)
		require.ErrorIs(t, c.Announce(t.Context(), odd), ErrInvalid)
		require.ErrorIs(t, c.Leave(t.Context(), "\xff"), ErrInvalid)
		odd = sound
		odd.ID, odd.Born = "i-2", 1<<62
		require.ErrorIs(t, c.Announce(t.Context(), odd), ErrInvalid)
	}
	servers, _ := c.opts.State.changedSince(0, stampChanged)
	_, err := proto.Marshal(&daisyhatchv1.RelayRequest{Servers: serversToWire(servers, now)})
	require.NoError(t, err, "the list must stay one that can be sent")
	require.Equal(t, []directory.Server{sound}, servers)
	require.Less(t, len(lines), 20)
	require.True(t, c.opts.State.IsServer("10.0.0.1:80"))
}

// Entries that another VM passes on are checked as well, since it may run an earlier version.
func TestOddEntryFromAnotherVMIsDropped(t *testing.T) {
	now := time.Now()
	list := serversFromWire([]*daisyhatchv1.AnnouncedServer{
		{Id: "i-1", Service: "s", Address: "10.0.0.1:80", FailureDomain: "a", State: daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_READY},
		{Id: "i-2", Service: "s", Address: "10.0.0.1:0", FailureDomain: "a", State: daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_READY},
		{Id: "i-3", Service: "s", Address: "10.0.0.3:80", FailureDomain: "a", BornUnixMs: 1 << 62, State: daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_READY},
		{Id: "i-4", State: daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_GONE},
	}, now)
	require.Len(t, list, 2)
	require.Equal(t, "i-1", list[0].ID)
	require.Equal(t, "i-4", list[1].ID)
}
