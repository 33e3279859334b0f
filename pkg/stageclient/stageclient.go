// Package stageclient has a request's stage work done on the control VM that forms the calls of a service.
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

// Knowledge is what a Client knows of the system.
type Knowledge interface {
	// StageOwner returns the owner of a service's calls, and a channel that is closed when any owner changes.
	StageOwner(service string) (stageowner.Owner, <-chan struct{})
	Owners
	// LearnOwner takes over an owner with a higher term.
	LearnOwner(o stageowner.Owner)
}

// Client has stage work done on the control VM that owns the calls of a service, as the control group agreed: the pieces
// of all requests meet on one. A job whose owner is lost goes to the next one.
type Client struct {
	known Knowledge
	// heard reports whether any control VM is heard.
	heard func() bool
	http  *http.Client
	local *stagecall.Runner
	// rate is how many jobs of a service this VM may have made alone in a second.
	rate func(service string, now time.Time) float64
	// start is this VM's place among those that begin to call alone together.
	start float64
	// freer gives results up.
	freer *Freer
	log   logr.Logger

	mu sync.Mutex
	// alone admits the jobs of each service that are made alone.
	alone map[string]*stagecall.Pace
}

const (
	// ownerPause is the pause before an owner that could not be reached is asked again: a restart takes a second.
	ownerPause = 100 * time.Millisecond
	// ownerWait is how long a job may wait for an owner: a lost one is replaced within a second; when all control VMs stop
	// at once, they are back within two and have a leader within three. No job waits for more than ownerWaitShare of its
	// time, so that its caller can still come back.
	ownerWait      = 3 * time.Second
	ownerWaitShare = 0.5
	// ownerRetry is when a caller may come back whose job found no owner.
	ownerRetry = 1500 * time.Millisecond
)

// Options are what a Client is made from.
type Options struct {
	Known Knowledge
	// Heard reports whether any control VM is heard.
	Heard func() bool
	HTTP  *http.Client
	// Local makes calls for this VM's requests alone while no control VM is heard: smaller ones, and no more jobs of a
	// service in a second than Rate says.
	Local *stagecall.Runner
	Rate  func(service string, now time.Time) float64
	Log   logr.Logger
}

// New returns a Client.
func New(o Options) *Client {
	return &Client{
		known: o.Known, heard: o.Heard, http: o.HTTP, local: o.Local, rate: o.Rate,
		start: rand.Float64(), alone: make(map[string]*stagecall.Pace), freer: NewFreer(o.Known, "", o.HTTP, o.Local, o.Log), log: o.Log,
	}
}

// Errors that end a call to an owner.
var (
	errOwnerLost = errors.New("stageclient: another control VM owns the service's calls now")
	errNotOwner  = errors.New("stageclient: the control VM does not own the service's calls")
	// errNoResults ends a call whose answer held no results.
	errNoResults = errors.New("stageclient: the answer ended without results")
)

// Run implements relay.StageRunner. A job whose owner can't be reached is tried again, at the owner that the group names by
// then.
func (c *Client) Run(ctx context.Context, q relay.StageRequest) ([]relay.StageResult, error) {
	patience := time.Now().Add(min(ownerWait, time.Duration(ownerWaitShare*float64(time.Until(q.Deadline)))))
	for {
		owner, changed := c.known.StageOwner(q.Service)
		if owner.Address != "" {
			results, err := c.runAt(ctx, owner, q)
			var refused *relay.StageRefusedError
			if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
				return results, err
			}
			c.log.Info("stage is asked for again", "request", q.Request, "service", q.Service, "from", owner.Address,
				"term", owner.Term, "reason", err.Error())
		}
		switch now := time.Now(); {
		case !c.heard() && c.mayRunAlone(q.Service, now):
			res, err := c.local.Run(ctx, request(q, 0), q.InputsRead)
			if err != nil {
				return nil, fmt.Errorf("stageclient: %w", err)
			}
			return c.results(res)
		case now.After(patience):
			return nil, &relay.StageRefusedError{RetryAfter: ownerRetry, Reason: "no control VM forms the calls of the service now"}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-time.After(ownerPause):
		}
	}
}

// mayRunAlone admits a job of a service to be made by this VM itself.
func (c *Client) mayRunAlone(service string, now time.Time) bool {
	rate := c.rate(service, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.alone[service]
	if p == nil {
		p = &stagecall.Pace{}
		c.alone[service] = p
	}
	return p.Take(rate, c.start, now)
}

// runAt has a job done by an owner. A new owner that did not take over in order ends the wait.
func (c *Client) runAt(ctx context.Context, o stageowner.Owner, q relay.StageRequest) ([]relay.StageResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.watch(ctx, o, func() { cancel(errOwnerLost) })
	client := daisyhatchv1connect.NewFleetServiceClient(c.http, "http://"+o.Address)
	stream, err := client.StageRun(ctx, connect.NewRequest(request(q, o.Term)))
	if err != nil {
		return nil, fmt.Errorf("stageclient: stage call: %w", errors.Join(context.Cause(ctx), err))
	}
	defer func() {
		// The stream is over or given up; an error of the close says nothing more.
		_ = stream.Close()
	}()
	for stream.Receive() {
		if other := stream.Msg().GetOwner(); other != nil {
			c.known.LearnOwner(stageowner.FromWire(other))
			return nil, errNotOwner
		}
		if !stream.Msg().GetInputsRead() {
			return c.results(stream.Msg())
		}
		if q.InputsRead != nil {
			q.InputsRead()
		}
	}
	return nil, fmt.Errorf("stageclient: stage call: %w", errors.Join(context.Cause(ctx), stream.Err(), errNoResults))
}

// watch calls lost once a service has another owner that did not take over in order.
func (c *Client) watch(ctx context.Context, o stageowner.Owner, lost func()) {
	for {
		now, changed := c.known.StageOwner(o.Service)
		if now.Term > o.Term && now.Address != o.Address && !now.Orderly {
			lost()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// request describes a stage by the time left, since VMs don't share a clock.
func request(q relay.StageRequest, term uint64) *daisyhatchv1.StageRunRequest {
	now := time.Now()
	req := &daisyhatchv1.StageRunRequest{
		Request: q.Request, Service: q.Service, Stage: uint32(q.Stage), Key: q.Key, RemainingMs: q.Deadline.Sub(now).Milliseconds(),
		TargetRemainingMs: q.Target.Sub(now).Milliseconds(), Priority: uint32(max(q.Priority, 0)),
		ResultBytes: uint64(max(q.ResultBytes, 0)), CallerDomain: q.Domain,
		CrossingBytes: uint64(max(q.CrossingBytes, 0)), OwnerTerm: term, ReleaseInputs: q.ReleaseInputs,
		Fingerprint: q.Fingerprint,
	}
	for i := range q.Count {
		req.Pieces = append(req.Pieces, &daisyhatchv1.StagePiece{Index: uint32(i), Inputs: q.Inputs})
	}
	return req
}

func (c *Client) results(m *daisyhatchv1.StageRunResponse) ([]relay.StageResult, error) {
	if m.GetRefused() {
		wait := time.Duration(m.GetRetryAfterMs()) * time.Millisecond
		return nil, &relay.StageRefusedError{RetryAfter: wait, Reason: cmp.Or(m.GetReason(), "the queue is too long for the deadline")}
	}
	var out []relay.StageResult
	var failed error
	for _, r := range m.GetResults() {
		if r.GetHandle() == "" {
			failed = &relay.StageRefusedError{
				RetryAfter: pieceRetry, Reason: "a piece was not made: " + r.GetReason(),
				Lost: r.GetReason() == dialect.ReasonGone || r.GetReason() == dialect.ReasonError,
			}
			continue
		}
		out = append(out, relay.StageResult{Handle: r.GetHandle(), Domain: r.GetFailureDomain()})
	}
	return out, failed
}

// pieceRetry is when a request may come back of which a piece could not be made: about a call's time.
const pieceRetry = 300 * time.Millisecond

// Free implements relay.StageRunner.
func (c *Client) Free(handles []string) { c.freer.Free(handles) }
