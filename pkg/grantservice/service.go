// Package grantservice runs the grantor of a control VM. It holds the leases of some of the shards through the
// replicated log and answers the requests of entry VMs for grants in these shards.
package grantservice

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// Options configures a Service.
type Options struct {
	VM          string
	Incarnation string
	Log         replica.Log
	// Config returns the configuration that this VM's state machine has applied; set is nil while there is none.
	Config func() (version uint64, set *config.Set)
	// Lease returns a lease as this VM's state machine has applied it, nil when there is none (fsm.Machine.Lease). If
	// Lease is nil, the shards of a VM that died are never taken over.
	Lease func(name string) *daisyhatchv1.Lease
	// HTTP is the client for calls to other control VMs; if it is nil, no shards are handed over.
	HTTP connect.HTTPClient
	// Invariants records violated invariants; it may be nil.
	Invariants *invariant.Recorder
	Logger     logr.Logger
}

// Service implements GrantService and holds the leases. It is safe for concurrent use.
type Service struct {
	opts Options

	mu      sync.Mutex
	grantor *grant.Grantor
	// yieldedStates holds, by shard, the state that was last yielded to another VM. It is kept for Recall, in case the
	// lease is acquired by a VM that did not receive the state.
	yieldedStates [grant.Shards]*daisyhatchv1.ShardState
	// allotter enforces the limits of the organisations in this VM's shards.
	allotter *admission.Allotter
	// leases is used by one goroutine at a time: first by run, and by Stop once run has ended.
	leases *leaseTracker
	wakeup chan struct{}

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Service that acquires no leases until Start is called.
func New(o Options) *Service {
	now := time.Now()
	return &Service{
		opts:     o,
		grantor:  grant.NewGrantor(o.Invariants, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		allotter: admission.NewAllotter(),
		leases:   newLeaseTracker(o.VM, o.Incarnation, now),
		wakeup:   make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Handler returns the path and the HTTP handler of GrantService.
func (s *Service) Handler(opts ...connect.HandlerOption) (string, http.Handler) {
	return daisyhatchv1connect.NewGrantServiceHandler(s, opts...)
}

// Start begins to acquire and renew leases in the background. The context is not used; call Stop or Abort to end it.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.run(ctx)
	return nil
}

// Stop hands over the shards and releases their leases. It returns an error when ctx ends first or the leases can't be
// released.
func (s *Service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	select {
	case <-s.done:
	case <-ctx.Done():
		return fmt.Errorf("grantservice: stop: %w", ctx.Err())
	}
	return s.handOver(ctx)
}

// Announce implements GrantService. It refuses an announcement without server, pool or incarnation as an invalid
// argument.
func (s *Service) Announce(_ context.Context, r *connect.Request[daisyhatchv1.AnnounceRequest]) (*connect.Response[daisyhatchv1.AnnounceResponse], error) {
	a := r.Msg.Announcement
	if a.GetServer() == "" || a.GetPool() == "" || a.GetIncarnation() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errIncompleteAnnouncement)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure()
	s.grantor.Announce(a, time.Now())
	return connect.NewResponse(&daisyhatchv1.AnnounceResponse{RenewMs: grant.BaseAnnounceInterval.Milliseconds()}), nil
}

// Acquire implements GrantService. It returns FailedPrecondition when the request contains a number that is unknown in
// its session, and Aborted on other errors.
func (s *Service) Acquire(_ context.Context, r *connect.Request[daisyhatchv1.AcquireRequest]) (*connect.Response[daisyhatchv1.AcquireResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure()
	out, err := s.grantor.Acquire(r.Msg, time.Now())
	if errors.Is(err, grant.ErrUnknownNumber) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewResponse(out), nil
}

// Servers returns the status of the backend servers known to the grantor.
func (s *Service) Servers() []*daisyhatchv1.ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantor.Servers(time.Now())
}

// Held returns the backend servers of the shards whose leases this VM holds.
func (s *Service) Held() []grant.HeldServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantor.HeldServers(time.Now())
}

// configure passes the configuration that the state machine has applied to the grantor.
func (s *Service) configure() {
	if version, set := s.opts.Config(); set != nil {
		s.grantor.Configure(version, set)
	}
}

// Abort stops renewing leases without releasing them, as if the VM had died.
func (s *Service) Abort() {
	if s.cancel != nil {
		s.cancel()
		<-s.done
	}
}
