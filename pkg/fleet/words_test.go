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
	s.Announced(v)
	return v
}

// What a server says in an answer counts where servers are chosen and right before a send: a request may have waited for its
// connection meanwhile.
func TestServerThatWantsNoCallsIsNeitherChosenNorSentTo(t *testing.T) {
	now := time.Now()
	s := NewState()
	leaving, busy := announced(s, "leaving", 1, now), announced(s, "busy", 1, now)
	require.True(t, s.Noticed(leaving, holdoff.Notice{Leaving: true}, now))
	require.False(t, s.Noticed(leaving, holdoff.Notice{Leaving: true}, now), "no news")
	require.False(t, s.Allowed("leaving"))
	require.Len(t, s.Serving("s", now), 1)
	_, wait := s.Back("s", now)
	require.False(t, wait, "one takes calls")
	require.True(t, s.Noticed(busy, holdoff.Notice{Wait: time.Minute}, now))
	require.False(t, s.Allowed("busy"))
	require.Empty(t, s.Serving("s", now))
	back, wait := s.Back("s", now)
	require.True(t, wait)
	require.Equal(t, time.Minute, back)
	require.Len(t, s.Serving("s", now.Add(time.Minute)), 1)
	announced(s, "leaving", 2, now)
	require.True(t, s.Allowed("leaving"), "another incarnation")
}

// The word of a server that its VM has forgotten is kept for a while: a late announcement would bring the server back.
func TestWordOutlastsTheServersRecord(t *testing.T) {
	now := time.Now()
	s := NewState()
	v := announced(s, "s0", 1, now)
	s.Noticed(v, holdoff.Notice{Leaving: true}, now)
	require.Len(t, s.Expire(now.Add(time.Minute)), 1)
	announced(s, "s0", 1, now.Add(time.Minute))
	require.False(t, s.Allowed("s0"))
}
