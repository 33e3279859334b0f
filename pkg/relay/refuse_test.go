package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/promise"
)

// A refusal of this VM's own after a send that may have run the request must not promise that it hasn't.
func TestRefusalAfterAPossibleRunPromisesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := httptest.NewRecorder()
		x := &exchange{
			w: w, start: time.Now(), possibleRuns: rapid.IntRange(0, 2).Draw(t, "runs"),
			route: rapid.SampledFrom([]*catalog.Route{nil, idempotent, atMostOnce, stream, resumable}).Draw(t, "route"),
		}
		status := rapid.SampledFrom([]int{400, 404, 408, 413, 429, 503}).Draw(t, "status")
		x.refuse(status, time.Second, "full")
		if x.possibleRuns > 0 && (x.route == nil || !x.route.Repeatable()) && promise.Made(status) {
			require.Equal(t, http.StatusBadGateway, w.Code)
			require.Empty(t, w.Header().Get("Retry-After"))
			return
		}
		require.Equal(t, status, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	})
}
