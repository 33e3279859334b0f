package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
)

func announced(s *State, id string, born int64, at time.Time) directory.Server {
	v := directory.Server{ID: id, Address: id, Domain: "a", Service: "s", State: directory.Ready, Born: born, Sequence: 1, Heard: at}
	s.MergeDirect(v)
	return v
}

// A holdoff notice in a server's answer must count when servers are chosen and again right before a send, since a request may
// have waited for its connection meanwhile.
func TestServerInHoldoffGetsNoCalls(t *testing.T) {
	now := time.Now()
	s := NewState(StateOptions{})
	leaving, busy := announced(s, "leaving", 1, now), announced(s, "busy", 1, now)
	require.True(t, s.Noticed(leaving, holdoff.Notice{Leaving: true}, now))
	require.False(t, s.Noticed(leaving, holdoff.Notice{Leaving: true}, now), "a repeated notice is not new")
	require.False(t, s.Allowed("leaving"))
	require.Len(t, s.Serving("s", now), 1)
	_, wait := s.Back("s", now)
	require.False(t, wait, "a server accepts calls now")
	require.True(t, s.Noticed(busy, holdoff.Notice{Wait: time.Minute}, now))
	require.False(t, s.Allowed("busy"))
	require.Empty(t, s.Serving("s", now))
	back, wait := s.Back("s", now)
	require.True(t, wait)
	require.Equal(t, time.Minute, back)
	require.Len(t, s.Serving("s", now.Add(time.Minute)), 1)
	announced(s, "leaving", 2, now)
	require.True(t, s.Allowed("leaving"), "the notice concerned an earlier incarnation")
}

// A holdoff notice must outlive the server's record: a late announcement would otherwise bring back a server that is leaving.
func TestHoldoffOutlivesServerRecord(t *testing.T) {
	now := time.Now()
	s := NewState(StateOptions{})
	v := announced(s, "s0", 1, now)
	s.Noticed(v, holdoff.Notice{Leaving: true}, now)
	require.Len(t, s.Expire(now.Add(time.Minute)), 1)
	announced(s, "s0", 1, now.Add(time.Minute))
	require.False(t, s.Allowed("s0"))
}
