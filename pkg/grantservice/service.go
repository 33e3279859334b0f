// Package grantservice runs the grantor of a control VM: it keeps the leases of its share of the shards through the
// replicated log and answers entry VMs.
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

// Options are what a Service needs.
type Options struct {
	VM          string
	Incarnation string
	Log         replica.Log
	// Config returns the configuration that this VM's state machine has applied; the set is nil while there is none.
	Config func() (version uint64, set *config.Set)
	// Lease returns a lease as this VM's state machine has applied it, nil when there is none (fsm.Machine.Lease).
	// Without it no shard of a VM that died is ever taken over.
	Lease func(name string) *daisyhatchv1.Lease
	// HTTP is the client for calls to other control VMs; without it shards are not handed over.
	HTTP connect.HTTPClient
	// Invariants may be nil.
	Invariants *invariant.Recorder
	Logger     logr.Logger
}

// Service answers GrantService and keeps leases. It is safe for concurrent use.
type Service struct {
	opts Options

	mu      sync.Mutex
	grantor *grant.Grantor
	// given is what other VMs asked for last in each shard, in case that one of them takes the lease without it.
	given [grant.Shards]*daisyhatchv1.ShardState
	// allotter keeps the limits of the organisations in this VM's shards.
	allotter *admission.Allotter
	// leases is used by one goroutine at a time: the one that renews, then the one that stops it.
	leases *leases
	kick   chan struct{}

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Service that is not started.
func New(o Options) *Service {
	now := time.Now()
	return &Service{
		opts:     o,
		grantor:  grant.NewGrantor(o.Invariants, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		allotter: admission.NewAllotter(),
		leases:   newLeases(o.VM, o.Incarnation, now),
		kick:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Handler returns the path and the HTTP handler of GrantService.
func (s *Service) Handler(opts ...connect.HandlerOption) (string, http.Handler) {
	return daisyhatchv1connect.NewGrantServiceHandler(s, opts...)
}

// Start begins to keep leases.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.run(ctx)
	return nil
}

// Stop gives the leases up and returns when that is done or ctx ends.
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

// Announce implements GrantService.
func (s *Service) Announce(_ context.Context, r *connect.Request[daisyhatchv1.AnnounceRequest]) (*connect.Response[daisyhatchv1.AnnounceResponse], error) {
	a := r.Msg.Announcement
	if a.GetServer() == "" || a.GetPool() == "" || a.GetIncarnation() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errAnnouncement)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure()
	s.grantor.Announce(a, time.Now())
	return connect.NewResponse(&daisyhatchv1.AnnounceResponse{RenewMs: grant.BaseAnnounceInterval.Milliseconds()}), nil
}

// Acquire implements GrantService.
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

// Servers returns what the grantor knows of its backend servers.
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

// configure follows the configuration that the state machine has applied.
func (s *Service) configure() {
	if version, set := s.opts.Config(); set != nil {
		s.grantor.Configure(version, set)
	}
}

// Abort ends the renewal of leases without giving them up, as when the VM dies.
func (s *Service) Abort() {
	if s.cancel != nil {
		s.cancel()
		<-s.done
	}
}
