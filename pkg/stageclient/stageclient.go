// Package stageclient runs a request's stages on the control VM that owns the stage calls of a service.
package stageclient

import (
	"cmp"
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
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/relay"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// OwnerSource provides the owners that this VM knows, and records new ones.
type OwnerSource interface {
	// StageOwner returns the owner of a service's calls, and a channel that is closed when the owner of any service changes.
	StageOwner(service string) (stageowner.Owner, <-chan struct{})
	Owners
	// LearnOwner records an owner if its term is higher than the known one.
	LearnOwner(o stageowner.Owner)
}

// Client runs stages on the control VM that owns the calls of a service, as agreed by the control group, so that the pieces
// of all requests are scheduled in one place. If the owner is lost, the job is sent to the next owner. It is safe for
// concurrent use.
type Client struct {
	owners OwnerSource
	// controlHeard reports whether this VM hears any control VM.
	controlHeard func() bool
	http         *http.Client
	runner       *stagecall.Runner
	// standaloneRate is the number of jobs of a service per second that this VM may run by itself.
	standaloneRate func(service string, now time.Time) float64
	// startOffset, in [0, 1), is this VM's random position among those that start to run jobs by themselves at the same time.
	startOffset float64
	// freer releases results.
	freer *Freer
	log   logr.Logger

	mu sync.Mutex
	// limiters limits, for each service, the jobs that this VM runs by itself.
	limiters map[string]*stagecall.Limiter
	// waits is how long jobs wait at the owners, as these told in their answers.
	waits waits
}

const (
	// ownerRetryInterval is the pause before an owner is tried again that could not be reached; a restart takes a second.
	ownerRetryInterval = 100 * time.Millisecond
	// maxOwnerWait is how long a job may wait for an owner. A lost owner is replaced within a second; if all control VMs
	// stop at once, they are back within two seconds and have a leader within three. A job waits at most for the share
	// maxOwnerWaitShare of its remaining time, so that its caller has time for a retry.
	maxOwnerWait      = 3 * time.Second
	maxOwnerWaitShare = 0.5
	// noOwnerRetryAfter is the time after which the caller of a job that found no owner should retry.
	noOwnerRetryAfter = 1500 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	Owners OwnerSource
	// ControlHeard reports whether this VM hears any control VM.
	ControlHeard func() bool
	HTTP         *http.Client
	// Local makes the calls for this VM's own requests while it hears no control VM. Its calls hold fewer pieces. Rate
	// limits the jobs of a service that it runs, in jobs per second.
	Local *stagecall.Runner
	Rate  func(service string, now time.Time) float64
	Log   logr.Logger
}

// New returns a Client with a random start offset.
func New(o Options) *Client {
	return &Client{
		owners: o.Owners, controlHeard: o.ControlHeard, http: o.HTTP, runner: o.Local, standaloneRate: o.Rate,
		startOffset: rand.Float64(), limiters: make(map[string]*stagecall.Limiter), waits: make(waits), freer: NewFreer(o.Owners, "", o.HTTP, o.Local, o.Log), log: o.Log,
	}
}

// Errors that end a call to an owner.
var (
	errOwnerLost = errors.New("stageclient: another control VM owns the service's calls now")
	errNotOwner  = errors.New("stageclient: the control VM does not own the service's calls")
	// errNoResults means that the response ended without results.
	errNoResults = errors.New("stageclient: the answer ended without results")
)

// Run implements relay.StageRunner. A job whose owner can't be reached is sent again, to the owner known by then. It returns a
// *relay.StageRefusedError if the stage was refused, a piece failed, or no owner was found in time.
func (c *Client) Run(ctx context.Context, q relay.StageRequest) ([]relay.StageResult, error) {
	giveUpAt := time.Now().Add(min(maxOwnerWait, time.Duration(maxOwnerWaitShare*float64(time.Until(q.Deadline)))))
	for {
		owner, changed := c.owners.StageOwner(q.Service)
		if owner.Address != "" {
			results, err := c.runOnOwner(ctx, owner, q)
			var refused *relay.StageRefusedError
			if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
				return results, err
			}
			c.log.Info("stage is asked for again", "request", q.Request, "service", q.Service, "from", owner.Address,
				"term", owner.Term, "reason", err.Error())
		}
		switch now := time.Now(); {
		case !c.controlHeard() && c.allowStandalone(q.Service, now):
			res, err := c.runner.Run(ctx, request(q, 0), q.InputsRead)
			if err != nil {
				return nil, fmt.Errorf("stageclient: %w", err)
			}
			return c.parseResponse(q, res)
		case now.After(giveUpAt):
			return nil, &relay.StageRefusedError{RetryAfter: noOwnerRetryAfter, Guess: true, Reason: "no control VM forms the calls of the service now"}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-time.After(ownerRetryInterval):
		}
	}
}

// allowStandalone reports whether this VM may run one more job of a service by itself, and counts it if so.
func (c *Client) allowStandalone(service string, now time.Time) bool {
	standaloneRate := c.standaloneRate(service, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.limiters[service]
	if p == nil {
		p = &stagecall.Limiter{}
		c.limiters[service] = p
	}
	return p.Allow(standaloneRate, c.startOffset, now)
}

// runOnOwner runs a job on an owner. It gives up if the service gets a new owner without an orderly handover.
func (c *Client) runOnOwner(ctx context.Context, o stageowner.Owner, q relay.StageRequest) ([]relay.StageResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.watchOwner(ctx, o, func() { cancel(errOwnerLost) })
	client := daisyhatchv1connect.NewFleetServiceClient(c.http, "http://"+o.Address)
	stream, err := client.StageRun(ctx, connect.NewRequest(request(q, o.Term)))
	if err != nil {
		return nil, fmt.Errorf("stageclient: stage call: %w", errors.Join(context.Cause(ctx), err))
	}
	defer func() {
		// The stream has ended or was cancelled; an error from Close adds nothing.
		_ = stream.Close()
	}()
	for stream.Receive() {
		if other := stream.Msg().GetOwner(); other != nil {
			c.owners.LearnOwner(stageowner.FromWire(other))
			return nil, errNotOwner
		}
		if !stream.Msg().GetInputsRead() {
			return c.parseResponse(q, stream.Msg())
		}
		if q.InputsRead != nil {
			q.InputsRead()
		}
	}
	return nil, fmt.Errorf("stageclient: stage call: %w", errors.Join(context.Cause(ctx), stream.Err(), errNoResults))
}

// watchOwner calls onLost once a service has a new owner without an orderly handover. It returns when ctx ends.
func (c *Client) watchOwner(ctx context.Context, o stageowner.Owner, onLost func()) {
	for {
		now, changed := c.owners.StageOwner(o.Service)
		if now.Term > o.Term && now.Address != o.Address && !now.Orderly {
			onLost()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// request builds the message for a stage. It gives times as remaining milliseconds, since VMs don't share a clock.
func request(q relay.StageRequest, term uint64) *daisyhatchv1.StageRunRequest {
	now := time.Now()
	req := &daisyhatchv1.StageRunRequest{
		Request: q.Request, Service: q.Service, Stage: uint32(q.Stage), Key: q.Key, RemainingMs: q.Deadline.Sub(now).Milliseconds(),
		TargetRemainingMs: q.Target.Sub(now).Milliseconds(), Priority: uint32(max(q.Priority, 0)),
		ResultBytes: uint64(max(q.ResultBytes, 0)), CallerDomain: q.Domain,
		CrossingBytes: uint64(max(q.CrossingBytes, 0)), OwnerTerm: term, ReleaseInputs: q.ReleaseInputs,
		Fingerprint: q.Fingerprint, Organisation: q.Organisation,
		WorkAfterMs: uint64(max(q.WorkAfter.Milliseconds(), 0)), WorkDoneMs: uint64(max(q.WorkDone.Milliseconds(), 0)),
	}
	for i := range q.Count {
		req.Pieces = append(req.Pieces, &daisyhatchv1.StagePiece{Index: uint32(i), Inputs: q.Inputs})
	}
	return req
}

// Wait returns how long a stage of a request of a priority waits for a server of a service, as far as owners told; 0 if that
// isn't known. See relay.Options.StageWait.
func (c *Client) Wait(service string, priority int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits.left(service, priority, now)
}

func (c *Client) parseResponse(q relay.StageRequest, m *daisyhatchv1.StageRunResponse) ([]relay.StageResult, error) {
	if m.WaitMs != nil {
		c.mu.Lock()
		c.waits.note(q.Service, q.Priority, m.GetWaitMs(), time.Now())
		c.mu.Unlock()
	}
	if m.GetRefused() {
		wait := time.Duration(m.GetRetryAfterMs()) * time.Millisecond
		return nil, &relay.StageRefusedError{
			RetryAfter: wait, InVain: m.GetInVain(),
			// A reason other than the queue holds for a certain time.
			Guess: m.InVain == nil && m.GetReason() == "", Fixed: m.GetReason() != "",
			Reason: cmp.Or(m.GetReason(), "the queue is too long for the deadline"),
		}
	}
	var out []relay.StageResult
	var failed error
	after := time.Duration(m.GetRetryAfterMs()) * time.Millisecond
	if after <= 0 {
		after = pieceRetryAfter
	}
	for _, r := range m.GetResults() {
		if r.GetHandle() == "" {
			failed = &relay.StageRefusedError{
				RetryAfter: after, Guess: m.InVain == nil, InVain: m.GetInVain(), Reason: "a piece was not made: " + r.GetReason(),
				Lost: r.GetReason() == dialect.ReasonGone || r.GetReason() == dialect.ReasonError,
			}
			continue
		}
		out = append(out, relay.StageResult{Handle: r.GetHandle(), Domain: r.GetFailureDomain()})
	}
	return out, failed
}

// pieceRetryAfter is the time after which a request with a failed piece should retry where its owner tells none, about one call.
const pieceRetryAfter = 300 * time.Millisecond

// Free implements relay.StageRunner.
func (c *Client) Free(handles []string) { c.freer.Free(handles) }
