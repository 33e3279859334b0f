package stageclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/relay"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// knowledge is a Knowledge that the test sets.
type knowledge struct {
	mu    sync.Mutex
	owner stageowner.Owner
	wake  chan struct{}
}

func (k *knowledge) StageOwner(string) (stageowner.Owner, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner, k.wake
}

func (k *knowledge) OwnerAt(string) (stageowner.Owner, bool) { return stageowner.Owner{}, false }

func (k *knowledge) LearnOwner(o stageowner.Owner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Term > k.owner.Term {
		k.owner = o
		close(k.wake)
		k.wake = make(chan struct{})
	}
}

// control is a control VM that answers jobs as the test says.
type control struct {
	daisyhatchv1connect.UnimplementedFleetServiceHandler
	jobs atomic.Int32
	run  func(ctx context.Context) (*daisyhatchv1.StageRunResponse, error)
}

func (c *control) StageRun(
	ctx context.Context, _ *connect.Request[daisyhatchv1.StageRunRequest], s *connect.ServerStream[daisyhatchv1.StageRunResponse],
) error {
	c.jobs.Add(1)
	r, err := c.run(ctx)
	if err != nil {
		return err
	}
	return s.Send(r)
}

func (c *control) start(t *testing.T) string {
	path, h := daisyhatchv1connect.NewFleetServiceHandler(c)
	mux := http.NewServeMux()
	mux.Handle(path, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func made(context.Context) (*daisyhatchv1.StageRunResponse, error) {
	return &daisyhatchv1.StageRunResponse{Results: []*daisyhatchv1.StagePieceResult{{Handle: "10.0.0.1:1/x"}}}, nil
}

// limited ends a job that would wait for ever.
func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func hangs(ctx context.Context) (*daisyhatchv1.StageRunResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// noServices knows no service, so that a call made alone fails at once.
type noServices struct{}

func (noServices) Catalog() *catalog.Set                        { return nil }
func (noServices) Serving(string, time.Time) []stagecall.Server { return nil }
func (noServices) Server(string) (directory.Server, bool)       { return directory.Server{}, false }
func (noServices) ServerAt(string) (directory.Server, bool)     { return directory.Server{}, false }
func (noServices) Open(directory.Server, time.Time) bool        { return true }
func (noServices) Noticed(directory.Server, holdoff.Notice, time.Time) bool {
	return false
}

func newClient(k *knowledge, heard bool) *Client {
	local := stagecall.NewRunner(stagecall.Options{View: noServices{}, Log: logr.Discard()})
	c := New(Options{
		Known: k, Heard: func() bool { return heard }, HTTP: http.DefaultClient, Local: local,
		Rate: func(string, time.Time) float64 { return 0 }, Log: logr.Discard(),
	})
	c.start = 0.6 // one job at once
	return c
}

func job() relay.StageRequest {
	return relay.StageRequest{Service: "s", Count: 1, Deadline: time.Now().Add(10 * time.Second)}
}

func known(o stageowner.Owner) *knowledge {
	o.Service = "s"
	return &knowledge{owner: o, wake: make(chan struct{})}
}

// A job whose owner is silent must go to the next owner as soon as the group has named one, and to nobody before: a VM
// that judges for itself makes a second caller of the same servers.
func TestJobFollowsTheOwnerThatTheGroupNames(t *testing.T) {
	first, second := &control{run: hangs}, &control{run: made}
	k := known(stageowner.Owner{Address: first.start(t), Term: 1})
	c := newClient(k, true)
	time.AfterFunc(300*time.Millisecond, func() {
		k.LearnOwner(stageowner.Owner{Service: "s", Address: second.start(t), Term: 2})
	})
	begin := time.Now()
	r, err := c.Run(limited(t), job())
	require.NoError(t, err)
	require.Len(t, r, 1)
	require.GreaterOrEqual(t, time.Since(begin), 300*time.Millisecond)
	require.EqualValues(t, 1, first.jobs.Load())
}

// An owner that hands its service over in order finishes the jobs that it has.
func TestOrderlyHandoverLeavesJobsWhereTheyAre(t *testing.T) {
	second := &control{run: made}
	first := &control{run: func(ctx context.Context) (*daisyhatchv1.StageRunResponse, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(400 * time.Millisecond):
		}
		return made(ctx)
	}}
	k := known(stageowner.Owner{Address: first.start(t), Term: 1})
	c := newClient(k, true)
	time.AfterFunc(100*time.Millisecond, func() {
		k.LearnOwner(stageowner.Owner{Service: "s", Term: 2, Orderly: true})
		k.LearnOwner(stageowner.Owner{Service: "s", Address: second.start(t), Term: 3, Orderly: true})
	})
	_, err := c.Run(limited(t), job())
	require.NoError(t, err)
	require.EqualValues(t, 1, first.jobs.Load())
	require.Zero(t, second.jobs.Load())
}

// A VM that is no owner says who is; the caller goes there though it has not heard of the change itself.
func TestVMThatDoesNotOwnTheServiceNamesTheOwner(t *testing.T) {
	second := &control{run: made}
	address := second.start(t)
	first := &control{run: func(context.Context) (*daisyhatchv1.StageRunResponse, error) {
		return &daisyhatchv1.StageRunResponse{Owner: &daisyhatchv1.StageOwner{Service: "s", Address: address, Term: 5}}, nil
	}}
	c := newClient(known(stageowner.Owner{Address: first.start(t), Term: 1}), true)
	_, err := c.Run(limited(t), job())
	require.NoError(t, err)
	require.EqualValues(t, 1, second.jobs.Load())
}

// While control VMs are heard and no owner can be reached, a job is refused in time rather than made alone: its caller has
// half of the time left to come back.
func TestJobWithoutAnOwnerIsRefusedWhileControlVMsAreHeard(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	for name, o := range map[string]stageowner.Owner{"none": {}, "gone": {Address: gone, Term: 1}} {
		t.Run(name, func(t *testing.T) {
			begin := time.Now()
			q := job()
			q.Deadline = begin.Add(2 * time.Second)
			_, err := newClient(known(o), true).Run(limited(t), q)
			var refused *relay.StageRefusedError
			require.True(t, errors.As(err, &refused), "%v", err)
			require.Less(t, time.Since(begin), 1500*time.Millisecond)
			require.Positive(t, refused.RetryAfter)
		})
	}
}

// A VM that hears no control VM makes its share of calls alone; what goes beyond waits for an owner.
func TestVMThatHearsNoControlVMMakesItsShareAlone(t *testing.T) {
	k := known(stageowner.Owner{})
	c := newClient(k, false)
	_, err := c.Run(limited(t), job())
	require.ErrorIs(t, err, stagecall.ErrUnknownService)
	back := &control{run: made}
	time.AfterFunc(200*time.Millisecond, func() {
		k.LearnOwner(stageowner.Owner{Service: "s", Address: back.start(t), Term: 1})
	})
	_, err = c.Run(limited(t), job())
	require.NoError(t, err)
	require.EqualValues(t, 1, back.jobs.Load())
}
