package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEndsIn(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		left, deadline, usual time.Duration
		want                  bool
	}{
		"deadline before the stop":           {3 * second, 2 * second, 0, true},
		"deadline at the stop":               {3 * second, 3 * second, 0, true},
		"deadline after it, nothing known":   {3 * second, 4 * second, 0, false},
		"usually ends before it":             {3 * second, 9 * second, 2 * second, true},
		"usually ends after it":              {3 * second, 9 * second, 4 * second, false},
		"should have ended by now":           {3 * second, 9 * second, -second, false},
		"the stop has come":                  {0, second, second / 2, false},
		"the stop has come, so has the time": {-second, -2 * second, 0, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, endsIn(c.left, c.deadline, c.usual)) })
	}
}

// The usual time follows requests that get slower, and lies above nearly all of them.
func TestRouteTime(t *testing.T) {
	var e routeTime
	require.Zero(t, e.usual())
	above := 0
	for i := range 1000 {
		took := 300*time.Millisecond + time.Duration(i%10)*40*time.Millisecond
		if i >= 500 {
			took += 2 * time.Second
		}
		if took > e.usual() {
			above++
		}
		e.add(took)
	}
	require.Less(t, above, 20)
	require.Greater(t, e.usual(), 2500*time.Millisecond)
	require.Less(t, e.usual(), 4*time.Second)
}
