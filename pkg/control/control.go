// Package control answers operators and entry VMs on a control VM, over the replicated log and state machine.
package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/membership"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// OutcomeHeader is the metadata key of errors that tells whether the call may have taken effect.
const OutcomeHeader = "Daisyhatch-Outcome"

// Values of OutcomeHeader.
const (
	// OutcomeNotTaken means that the call had no effect.
	OutcomeNotTaken = "not-taken"
	// OutcomeUnknown means that the call may take effect yet.
	OutcomeUnknown = "unknown"
)

// noCompression is a size in bytes that no answer reaches. Answers to entry VMs are small and many, and a whole
// configuration is compressed once for all of them.
const noCompression = 1 << 30

// barrierTimeout is how long a read waits for the leader's confirmation.
const barrierTimeout = 2 * time.Second

// Options are the parts that a Server stands on.
type Options struct {
	// VM is this VM's name.
	VM      string
	Log     replica.Log
	Machine *fsm.Machine
	// Check parses and checks a configuration text: the set, or all problems as one line each.
	Check func(text []byte) (*config.Set, []string)
	// Servers lists the backend servers whose grantor this VM is; nil for none.
	Servers func() []*daisyhatchv1.ServerStatus
	// ObserveHeartbeat is told of each new heartbeat, once per sequence number; nil for none.
	ObserveHeartbeat func(*daisyhatchv1.HeartbeatRequest)
	// Burn returns what this VM's received heartbeats add up to; nil for none.
	Burn func() *daisyhatchv1.BurnResponse
	// MergeBurn adds up the reports of several control VMs; nil takes the first.
	MergeBurn func([]*daisyhatchv1.BurnResponse) *daisyhatchv1.BurnResponse
	// Peers reaches other control VMs' peer addresses; nil answers Status and Burn from this VM alone.
	Peers connect.HTTPClient
	// Clock tells the time; nil means time.Now.
	Clock func() time.Time
	Logr  logr.Logger
}

// Server implements OperatorService and EntryService.
type Server struct {
	daisyhatchv1connect.UnimplementedOperatorServiceHandler
	daisyhatchv1connect.UnimplementedEntryServiceHandler

	o       Options
	members *members
	batch   *batcher
	fresh   *freshness
	deltas  *deltas
	// process tells lists of suspects of this process from those of others.
	process uint64
}

// New returns a Server.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	s := &Server{o: o, members: newMembers(membership.New()), process: rand.Uint64()}
	s.batch = newBatcher(s.propose)
	s.deltas = &deltas{machine: o.Machine}
	s.fresh = &freshness{barrier: o.Log.ReadBarrier, clock: o.Clock}
	return s
}

// Handler is one service's route.
type Handler struct {
	Path string
	http.Handler
}

// OperatorHandler returns the route of OperatorService. The caller puts authentication before it; see WithOperator.
func (s *Server) OperatorHandler(opts ...connect.HandlerOption) Handler {
	path, h := daisyhatchv1connect.NewOperatorServiceHandler(s, opts...)
	return Handler{Path: path, Handler: h}
}

// EntryHandler returns the route of EntryService, for the listener of the system's own VMs.
func (s *Server) EntryHandler(opts ...connect.HandlerOption) Handler {
	opts = append([]connect.HandlerOption{connect.WithCompressMinBytes(noCompression)}, opts...)
	path, h := daisyhatchv1connect.NewEntryServiceHandler(s, opts...)
	return Handler{Path: path, Handler: h}
}

// Handlers returns the routes of both services.
func (s *Server) Handlers() []Handler {
	return []Handler{s.OperatorHandler(), s.EntryHandler()}
}

// tickInterval is how often a control VM reports its clock through the log.
const tickInterval = 10 * time.Second

// Run reports this VM's clock through the log until ctx ends, so that replicated time goes on in quiet hours.
func (s *Server) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		if _, err := s.propose(ctx, &daisyhatchv1.Command{}); err != nil {
			s.o.Logr.V(1).Info("clock not reported", "reason", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// propose stamps a command, puts it through the log and returns the state machine's result. Errors carry a connect
// code and OutcomeHeader.
func (s *Server) propose(ctx context.Context, c *daisyhatchv1.Command) (*daisyhatchv1.Result, error) {
	c.TimeUnixMs = s.o.Clock().UnixMilli()
	c.Proposer = s.o.VM
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("control: encode command: %w", err))
	}
	applied, err := s.o.Log.Propose(ctx, data)
	if err != nil {
		return nil, logError(err)
	}
	r, err := fsm.DecodeResult(applied.Result)
	if errors.Is(err, fsm.ErrCommand) {
		return nil, outcomeError(connect.CodeInvalidArgument, OutcomeNotTaken, err)
	}
	if err != nil {
		return nil, outcomeError(connect.CodeInternal, OutcomeUnknown, err)
	}
	return r, nil
}

// barrier makes this VM's state current, or says that it can't be.
func (s *Server) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := s.o.Log.ReadBarrier(ctx); err != nil {
		err = fmt.Errorf("control: this VM can't tell what is in force now: %w", err)
		return outcomeError(connect.CodeUnavailable, OutcomeNotTaken, err)
	}
	return nil
}

func logError(err error) error {
	switch {
	case errors.Is(err, replica.ErrUnknownOutcome), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		err = fmt.Errorf("control: the outcome is unknown; send the same request again, with the same ID: %w", err)
		return outcomeError(connect.CodeUnknown, OutcomeUnknown, err)
	case errors.Is(err, replica.ErrMembership):
		return outcomeError(connect.CodeFailedPrecondition, OutcomeNotTaken, err)
	case errors.Is(err, replica.ErrNoLeader), errors.Is(err, replica.ErrStopped), errors.Is(err, replica.ErrStorage):
		err = fmt.Errorf("control: nothing was changed; try another control VM: %w", err)
		return outcomeError(connect.CodeUnavailable, OutcomeNotTaken, err)
	default:
		return outcomeError(connect.CodeUnknown, OutcomeUnknown, err)
	}
}

func outcomeError(code connect.Code, outcome string, err error) error {
	e := connect.NewError(code, err)
	e.Meta().Set(OutcomeHeader, outcome)
	return e
}
