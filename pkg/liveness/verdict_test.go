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
		"answers, may have been replaced":        {observation{aliveAt: ended}, second / 2, "", false},
		"answers, nothing is announced":          {observation{aliveAt: ended}, second, Reachable, true},
		"answers, replaced at the call's end":    {observation{aliveAt: ended, replaced: true, born: ended}, second / 2, Ended, true},
		"answered before the call's end":         {observation{aliveAt: ended.Add(-second / 10)}, second, "", false},
		"silent, nothing is announced":           {observation{probe: Silent}, second, Silent, false},
		"silent, for a long time":                {observation{probe: Silent}, 16 * second, Silent, true},
		"silent, replaced seconds later":         {observation{probe: Silent, replaced: true, born: ended.Add(3 * second)}, 4 * second, Ended, true},
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
