package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM has missed nothing only if the control group confirmed its state all the while, by both of its clocks.
func TestContactHeldFor(t *testing.T) {
	const second = time.Second
	begin := time.UnixMilli(1_000_000)
	type step struct{ now, wall time.Duration }
	for name, c := range map[string]struct {
		confirmed []step
		asked     step
		held      bool
	}{
		"never confirmed":           {nil, step{9 * second, 9 * second}, false},
		"each second":               {[]step{{0, 0}, {second, second}, {2 * second, 2 * second}, {3 * second, 3 * second}}, step{3 * second, 3 * second}, true},
		"for too short a time":      {[]step{{0, 0}, {second, second}}, step{2 * second, 2 * second}, false},
		"cut off now":               {[]step{{0, 0}, {second, second}, {2 * second, 2 * second}}, step{5 * second, 5 * second}, false},
		"cut off in between":        {[]step{{0, 0}, {4 * second, 4 * second}, {5 * second, 5 * second}}, step{5 * second, 5 * second}, false},
		"suspended in between":      {[]step{{0, 0}, {second, 9 * second}, {2 * second, 10 * second}}, step{3 * second, 11 * second}, false},
		"suspended right before":    {[]step{{0, 0}, {second, second}, {2 * second, 2 * second}, {3 * second, 3 * second}}, step{3 * second, 9 * second}, false},
		"time of day stepped back":  {[]step{{0, 0}, {second, second}, {2 * second, -9 * second}, {3 * second, -8 * second}}, step{3 * second, -8 * second}, true},
		"long after it was cut off": {[]step{{0, 0}, {9 * second, 9 * second}, {10 * second, 10 * second}, {11 * second, 11 * second}, {12 * second, 12 * second}}, step{12 * second, 12 * second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var k contact
			for _, s := range c.confirmed {
				k.confirmed(begin.Add(s.now), begin.Add(s.wall))
			}
			require.Equal(t, c.held, k.heldFor(3*second, begin.Add(c.asked.now), begin.Add(c.asked.wall)))
		})
	}
}
