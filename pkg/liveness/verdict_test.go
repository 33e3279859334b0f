package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What became of a server is judged by what is announced after the call, not by one connection attempt.
func TestJudge(t *testing.T) {
	const second = time.Second
	ended := time.UnixMilli(1_000_000)
	for name, c := range map[string]struct {
		seen  observation
		after time.Duration
		state State
		final bool
	}{
		"refuses":                                {observation{probe: Ended}, 0, Ended, true},
		"accepts, nothing is announced":          {observation{probe: Reachable}, second, Reachable, false},
		"accepts, for a long time":               {observation{probe: Reachable}, 16 * second, Reachable, true},
		"accepts, replaced at the call's end":    {observation{probe: Reachable, replaced: true, born: ended}, second, Ended, true},
		"accepts, replaced before it":            {observation{probe: Reachable, replaced: true, born: ended.Add(-second)}, second, Ended, true},
		"accepts, replaced, clock is ahead":      {observation{probe: Reachable, replaced: true, born: ended.Add(second / 2)}, second, Ended, true},
		"accepts, answers, replaced later":       {observation{probe: Reachable, aliveAt: ended.Add(second), replaced: true, born: ended.Add(3 * second)}, 4 * second, Reachable, true},
		"accepts, stalls, replaced":              {observation{probe: Reachable, replaced: true, born: ended.Add(3 * second)}, 4 * second, Ended, true},
		"accepts, replaced much later":           {observation{probe: Reachable, replaced: true, born: ended.Add(8 * second)}, 9 * second, Reachable, true},
		"answers on an older connection":         {observation{aliveAt: ended, certain: true}, 0, Reachable, true},
		"the same, replaced right after":         {observation{aliveAt: ended, certain: true, replaced: true, born: ended.Add(second / 10)}, second / 4, Reachable, true},
		"answers, may have been replaced":        {observation{aliveAt: ended}, second / 2, "", false},
		"answers, nothing is announced":          {observation{aliveAt: ended}, second, Reachable, true},
		"answers, replaced at the call's end":    {observation{aliveAt: ended, replaced: true, born: ended}, second / 2, Ended, true},
		"answered before the call's end":         {observation{aliveAt: ended.Add(-second / 10)}, second, "", false},
		"silent, nothing is announced":           {observation{probe: Silent}, second, Silent, false},
		"silent, for a long time":                {observation{probe: Silent}, 16 * second, Silent, true},
		"silent, replaced seconds later":         {observation{probe: Silent, silent: true, replaced: true, born: ended.Add(3 * second)}, 4 * second, Ended, true},
		"silent, then accepts, replaced later":   {observation{probe: Reachable, silent: true, replaced: true, born: ended.Add(9 * second)}, 10 * second, Ended, true},
		"silent, then refuses":                   {observation{probe: Ended, silent: true}, 2 * second, Ended, true},
		"accepts, leaves":                        {observation{probe: Reachable, leaving: true}, second, Leaving, true},
		"silent, leaves":                         {observation{probe: Silent, leaving: true}, second, Leaving, true},
		"accepts, replaced while it was leaving": {observation{probe: Reachable, leaving: true, replaced: true, born: ended}, second, Ended, true},
	} {
		t.Run(name, func(t *testing.T) {
			c.seen.endedAt = ended
			state, final := judge(c.seen, ended.Add(c.after))
			require.Equal(t, c.state, state)
			require.Equal(t, c.final, final)
		})
	}
}

// An answer shows that the server outlived a call that was given up if it comes on a connection from before, and later than the server
// may have gone on with the call.
func TestAnswered(t *testing.T) {
	given := time.UnixMilli(1_000_000)
	for name, c := range map[string]struct {
		since, at        time.Duration
		alive, certainly bool
	}{
		"too early":                 {-time.Second, settleTime / 2, false, false},
		"on an older connection":    {-time.Second, settleTime, true, true},
		"on a connection made then": {time.Millisecond, settleTime, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			o := observation{givenUp: true, givenUpAt: given, endedAt: given.Add(settleTime)}
			o.answered(given.Add(c.since), given.Add(c.at))
			require.Equal(t, c.alive, o.alive())
			require.Equal(t, c.certainly, o.certain)
			broken := observation{endedAt: given}
			broken.answered(given.Add(c.since), given.Add(c.at))
			require.False(t, broken.certain, "the VM may have noticed late that the connection broke")
		})
	}
}
