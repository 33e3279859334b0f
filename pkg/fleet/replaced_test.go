package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
)

// A server that ended and came back leaves a line, under its id or another one at its address; an announcement of the same
// incarnation leaves none.
func TestReplacedServerIsLogged(t *testing.T) {
	known := directory.Server{ID: "a", Born: 10, Sequence: 3, Service: "s", Address: "10.0.0.1:80", Domain: "d", State: directory.Ready, Heard: time.Now()}
	for name, c := range map[string]struct {
		change func(*directory.Server)
		lines  int
	}{
		"next announcement":     {func(v *directory.Server) { v.Sequence++ }, 0},
		"older incarnation":     {func(v *directory.Server) { v.Born = 9 }, 0},
		"newer incarnation":     {func(v *directory.Server) { v.Born = 11 }, 1},
		"another id":            {func(v *directory.Server) { v.ID, v.Born = "b", 11 }, 1},
		"another id elsewhere":  {func(v *directory.Server) { v.ID, v.Born, v.Address = "b", 11, "10.0.0.2:80" }, 0},
		"another id, born then": {func(v *directory.Server) { v.ID = "b" }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var lines []string
			log := funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{})
			f := NewFollower(FollowerOptions{State: NewState(StateOptions{}), Log: log})
			f.opts.State.Merge([]directory.Server{known})
			next := known
			c.change(&next)
			f.logReplaced([]directory.Server{next})
			require.Len(t, lines, c.lines)
			if c.lines > 0 {
				require.True(t, strings.Contains(lines[0], `"server":"a"`) && strings.Contains(lines[0], `"by_incarnation":"11"`), lines[0])
			}
		})
	}
}
