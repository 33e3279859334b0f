package promise

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// No status that promises that a request has not run reaches a caller whose request may have run and must not run again; no other
// status is changed.
func TestOnlyUnprovenPromisesAreReplaced(t *testing.T) {
	promises := []int{408, 421, 429, 503}
	for status := 100; status < 1000; status++ {
		for _, k := range []Known{{}, {Repeatable: true}, {MayHaveRun: true}, {MayHaveRun: true, Repeatable: true}} {
			want := status
			if slices.Contains(promises, status) && k == (Known{MayHaveRun: true}) {
				want = http.StatusBadGateway
			}
			require.Equal(t, want, k.Status(status), "status %d, %+v", status, k)
		}
		require.Equal(t, slices.Contains(promises, status), Made(status), "status %d", status)
	}
}
