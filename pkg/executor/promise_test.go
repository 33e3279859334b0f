package executor_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// answerWith replaces the fixture's servers by one that answers each call with a status, and returns the number of calls.
func (f *fixture) answerWith(t *testing.T, status int) *atomic.Int32 {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set(openai.HeaderAttempt, r.Header.Get(openai.HeaderAttempt))
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(status)
		_, _ = w.Write([]byte("sorry"))
	}))
	t.Cleanup(server.Close)
	f.slots.targets = []engine.Target{{Server: "s", Address: server.Listener.Addr().String()}}
	return &calls
}

// A server runs a booking and answers with a status that promises the opposite. Neither the caller nor one that sends the
// booking again with its key may be told so.
func TestServersPromiseAfterARunIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			f := newFixture(t, standin.Options{})
			calls := f.answerWith(t, status)
			req := executor.Request{Body: []byte("book"), IdempotencyKey: "k"}
			_, err := f.run(t, f.booking(), req, nil)
			e := apierr.From(err)
			require.Equal(t, http.StatusBadGateway, e.Status)
			require.Equal(t, apierr.OutcomeUnknown, e.Code)
			require.Equal(t, apierr.MayHaveRun, e.Run)
			require.Zero(t, e.RetryAfter)
			require.ErrorContains(t, err, strconv.Itoa(status))
			require.NoError(t, f.exec.Wait(t.Context()))
			require.Equal(t, "unknown", f.ledger.state("k"))
			_, err = f.run(t, f.booking(), req, nil)
			require.Equal(t, http.StatusConflict, apierr.From(err).Status)
			require.EqualValues(t, 1, calls.Load())
		})
	}
}

// An older build stored such an answer as the outcome of the request. It isn't told to a caller that sends the request again.
func TestStoredPromiseIsNotReplayed(t *testing.T) {
	f := newFixture(t, standin.Options{})
	require.NoError(t, f.ledger.Complete(t.Context(), dispatch.ClaimKey{Key: "k"}, dispatch.Outcome{Status: http.StatusTooManyRequests}))
	_, err := f.run(t, f.booking(), executor.Request{Body: []byte("book"), IdempotencyKey: "k"}, nil)
	require.Equal(t, http.StatusConflict, apierr.From(err).Status)
	require.Equal(t, apierr.OutcomeUnknown, apierr.From(err).Code)
	require.Equal(t, apierr.MayHaveRun, apierr.From(err).Run)
}

// Answers of a plain service that promise nothing are the outcome of the request, with their bodies.
func TestOtherErrorsOfServicesPassUnchanged(t *testing.T) {
	for _, status := range []int{400, 404, 409, 413, 422} {
		f := newFixture(t, standin.Options{})
		f.answerWith(t, status)
		res, err := f.run(t, f.booking(), executor.Request{Body: []byte("book"), IdempotencyKey: "k"}, nil)
		require.NoError(t, err)
		require.Equal(t, status, res.Status)
		require.Equal(t, "sorry", string(res.Body))
	}
}
