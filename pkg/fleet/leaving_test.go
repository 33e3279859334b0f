package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
)

// Guards against a departure that ends the incarnation which announced itself while the departure was on its way.
func TestDepartureEndsTheIncarnationThatWasKnown(t *testing.T) {
	for name, c := range map[string]struct {
		// known and now are the births that the VM knew when the departure came and when it is applied; 0 for none.
		known, now int64
		left       bool
	}{
		"the same incarnation": {1, 1, true},
		"a later one":          {1, 2, false},
		"the first one":        {0, 1, false},
		"nothing is known":     {0, 0, true},
		"forgotten in between": {1, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(StateOptions{})
			if c.now != 0 {
				s.MergeDirect(directory.Server{ID: "i", Born: c.now, Service: "s", Address: "10.0.0.1:80", State: directory.Ready, Heard: time.Now()})
			}
			v, left := s.Leave("i", c.known, time.Now())
			require.Equal(t, c.left, left)
			require.Equal(t, c.left, v.State == directory.Gone)
			known, _ := s.Server("i")
			require.Equal(t, v, known)
		})
	}
}
