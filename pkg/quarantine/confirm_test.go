package quarantine_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
)

// fakeSource returns a fixed list, and blocks and fails while it is disconnected.
type fakeSource struct {
	list         []*daisyhatchv1.Suspect
	disconnected bool
	calls        int
}

func (s *fakeSource) Suspects(ctx context.Context) ([]*daisyhatchv1.Suspect, error) {
	s.calls++
	if s.disconnected {
		<-ctx.Done()
		return nil, quarantine.ErrUnconfirmed
	}
	time.Sleep(time.Millisecond)
	return s.list, nil
}

// A VM that can't refresh its list of suspects must start no request, since another VM may be running a suspect that it
// doesn't know of. It starts requests again once it has the list.
func TestDisconnectedVMStartsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{}
		q := quarantine.New(quarantine.Options{Reporter: &fakeReporter{}, Source: s, Log: logr.Discard()})
		require.NoError(t, q.Confirm(t.Context()))
		s.disconnected = true
		s.list = []*daisyhatchv1.Suspect{newSuspect(1, suspect, time.Minute)}
		time.Sleep(quarantine.DefaultPropagationDelay)
		err := apierr.From(q.Confirm(t.Context()))
		require.Equal(t, apierr.NoCapacity, err.Code)
		require.Equal(t, apierr.NotRun, err.Run)
		require.Positive(t, err.RetryAfter)
		s.disconnected = false
		require.NoError(t, q.Confirm(t.Context()))
		require.Equal(t, dispatch.Suspect, q.Check(1))
	})
}

// A request waits for the list only when none was started for a while. While requests keep starting, the list is
// refreshed in the background, a few times a second.
func TestSuspectListIsRefreshedInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{}
		q := quarantine.New(quarantine.Options{Reporter: &fakeReporter{}, Source: s, Log: logr.Discard()})
		require.NoError(t, q.Confirm(t.Context()))
		startTime := time.Now()
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			require.NoError(t, q.Confirm(t.Context()))
		}
		require.Equal(t, 10*time.Second, time.Since(startTime), "no request may wait for the list")
		require.LessOrEqual(t, s.calls, int(10*time.Second/quarantine.ListRefreshAge)+1)
	})
}

// fakeControlVM answers with a fixed list.
type fakeControlVM struct {
	daisyhatchv1connect.UnimplementedEntryServiceHandler
	answer *daisyhatchv1.SuspectsResponse
}

func (c *fakeControlVM) Suspects(
	context.Context, *connect.Request[daisyhatchv1.SuspectsRequest],
) (*connect.Response[daisyhatchv1.SuspectsResponse], error) {
	return connect.NewResponse(c.answer), nil
}

func TestControlSourceConfirmation(t *testing.T) {
	confirmed := &daisyhatchv1.SuspectsResponse{Confirmed: true, Suspects: []*daisyhatchv1.Suspect{newSuspect(1, suspect, time.Minute)}}
	leaderless := &daisyhatchv1.SuspectsResponse{QuietMs: 300, Voter: true, Voters: 3}
	following := &daisyhatchv1.SuspectsResponse{QuietMs: 90, Voter: true, Voters: 3}
	learner := &daisyhatchv1.SuspectsResponse{QuietMs: 300, Voters: 3}
	for _, tc := range []struct {
		name    string
		answers []*daisyhatchv1.SuspectsResponse
		ok      bool
	}{
		{"confirmed by the first control VM", []*daisyhatchv1.SuspectsResponse{confirmed, following, following}, true},
		{"confirmed by the last control VM", []*daisyhatchv1.SuspectsResponse{following, leaderless, confirmed}, true},
		{"most voters without a leader", []*daisyhatchv1.SuspectsResponse{leaderless, leaderless, following}, true},
		{"one voter without a leader", []*daisyhatchv1.SuspectsResponse{leaderless, following, following}, false},
		{"learner does not count as a voter", []*daisyhatchv1.SuspectsResponse{leaderless, learner, following}, false},
		{"one of three control VMs reached", []*daisyhatchv1.SuspectsResponse{leaderless}, false},
		{"no control VM reached", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := handlerTransport{}
				addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
				for i, a := range tc.answers {
					_, transport[addresses[i]] = daisyhatchv1connect.NewEntryServiceHandler(&fakeControlVM{answer: a})
				}
				_, err := quarantine.NewSource(transport, addresses).Suspects(t.Context())
				if tc.ok {
					require.NoError(t, err)
					return
				}
				require.ErrorIs(t, err, quarantine.ErrUnconfirmed)
			})
		})
	}
}

// handlerTransport passes requests to the handler of their host without a network.
type handlerTransport map[string]http.Handler

func (d handlerTransport) Do(r *http.Request) (*http.Response, error) {
	h, ok := d[r.URL.Host]
	if !ok {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}
