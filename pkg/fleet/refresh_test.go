package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
)

// A follower must keep a server that goes on announcing itself, and drop one that fell silent, without hearing of each
// one again and again: at 2,800 servers that would cost more than all else.
func TestFollowerHearsOfServersOnlyWhenTheyChange(t *testing.T) {
	now := time.Now()
	control := NewControl(ControlOptions{State: NewState()}, nil)
	known := NewState()
	f := NewFollower(FollowerOptions{State: known, Log: logr.Discard()})
	s, feed := &follow{}, &feed{control: control, refresh: refreshInterval}
	sequence := uint64(0)
	announce := func(at time.Time, from int) {
		sequence++
		var list []directory.Server
		for i := from; i < 2800; i++ {
			list = append(list, directory.Server{
				ID: fmt.Sprint("i-", i), Born: 1, Sequence: sequence, Service: "s", Address: fmt.Sprint("10.0.0.1:", i),
				State: directory.Ready, Heard: at,
			})
		}
		control.opts.State.Merge(list)
	}
	take := func(at time.Time) int {
		m := &daisyhatchv1.FollowResponse{}
		feed.fillServers(m, at)
		known.Merge(allFromWire(m.GetServers(), at))
		f.refreshAt(s, m, at)
		return proto.Size(m)
	}
	announce(now, 0)
	take(now)
	bytes := 0
	for second := 1; second <= 30; second++ {
		at := now.Add(time.Duration(second) * time.Second)
		announce(at, 1)
		bytes += take(at)
	}
	require.Less(t, bytes/30, 1000, "bytes a second of one stream, 14 KB/s are a VM's share for all")
	end := now.Add(30 * time.Second)
	require.Len(t, known.Expire(end), 1, "the one that fell silent")
	require.Len(t, known.Serving("s", end), 2799)
}

// Control VMs hear each second which servers announced themselves to one another, and every peerRelayInterval of the
// others: with 3,000 servers, telling all of all each second took most of a core.
func TestPeersAreToldOfDirectAnnouncementsMoreOften(t *testing.T) {
	now := time.Now()
	state := NewState()
	f := &feed{control: NewControl(ControlOptions{State: state}, nil), refresh: peerRefreshInterval, peer: true}
	known := NewState()
	server := func(id string, sequence uint64, at time.Time) directory.Server {
		return directory.Server{ID: id, Born: 1, Sequence: sequence, Service: "s", Address: id, State: directory.Ready, Heard: at}
	}
	told, direct := 0, 0
	for second := range 31 {
		at := now.Add(time.Duration(second) * time.Second)
		state.Announced(server("direct", uint64(second+1), at))
		state.Merge([]directory.Server{server("relayed", uint64(second+1), at)})
		m := &daisyhatchv1.FollowResponse{}
		f.fillServers(m, at)
		known.Merge(allFromWire(m.GetServers(), at))
		require.Empty(t, known.Quieten(at), "%d s", second)
		for _, v := range m.GetServers() {
			if v.GetId() == "direct" {
				direct++
			} else {
				told++
			}
		}
	}
	require.Equal(t, 31, direct)
	require.LessOrEqual(t, told, 12)
}

// Whatever one follower takes its first message with, the next ones are told within joinPatience each.
func TestFirstMessagesAreSentAFewAtATime(t *testing.T) {
	c := NewControl(ControlOptions{State: NewState()}, nil)
	var leave []func()
	for range joinsAtOnce {
		l, err := c.admitJoin(t.Context())
		require.NoError(t, err)
		leave = append(leave, l)
	}
	soon, cancel := context.WithTimeout(t.Context(), joinPatience/4)
	defer cancel()
	_, err := c.admitJoin(soon)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	leave[0]()
	_, err = c.admitJoin(t.Context())
	require.NoError(t, err)
	begin := time.Now()
	_, err = c.admitJoin(t.Context())
	require.NoError(t, err, "the others have kept it for too long")
	require.Less(t, time.Since(begin), 2*joinPatience)
}
