// Package ledgerclient is the entry VMs' client of the claim ledger. It implements dispatch.Ledger by calling the
// EntryService of the control VMs.
package ledgerclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
)

// Timeouts and limits of the client.
const (
	// callTimeout is the timeout of one call to a control VM.
	callTimeout = 1500 * time.Millisecond
	// retryDelay is the mean delay between two calls.
	retryDelay = 30 * time.Millisecond
	// backgroundTimeout is how long the client tries in the background to complete a claim.
	backgroundTimeout = 30 * time.Second
	// maxBackground is the largest number of claims being completed in the background.
	maxBackground = 1_024
)

// ErrUnclaimed is returned by Complete, Abandon and Unknown if this client holds no claim on the key.
var ErrUnclaimed = errors.New("ledgerclient: no claim held on this key")

// errNotStored means that the ledger no longer accepts the completion of a claim. Retrying doesn't help.
var errNotStored = errors.New("ledgerclient: ledger did not store the completion of the claim")

// Options configure a Client. VM and Incarnation identify this entry VM as the holder of its claims.
type Options struct {
	VM          string
	Incarnation string
	// ControlAddrs are the peer addresses of the control VMs, as IP:port.
	ControlAddrs []string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP connect.HTTPClient
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	Logr  logr.Logger
}

// Client implements dispatch.Ledger. It is safe for concurrent use.
type Client struct {
	o        Options
	services []daisyhatchv1connect.EntryServiceClient

	mu sync.Mutex
	// current is the index in services of the control VM to call next. It changes when a call fails.
	current int
	// held maps the key of each held claim to the ID of the attempt that claimed it.
	held map[dispatch.ClaimKey]string
	// background is the number of claims being completed in the background.
	background int
}

var _ dispatch.Ledger = (*Client)(nil)

// New returns a Client that starts with a random control VM.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	c := &Client{o: o, held: make(map[dispatch.ClaimKey]string)}
	for _, a := range o.ControlAddrs {
		c.services = append(c.services, daisyhatchv1connect.NewEntryServiceClient(o.HTTP, "http://"+a))
	}
	if len(c.services) > 0 {
		c.current = rand.IntN(len(c.services))
	}
	return c
}

// Claim implements dispatch.Ledger. While another holder runs the request, it waits for the outcome until deadline. The
// error for an unreachable ledger says that the request may have run, since an earlier attempt with the same key may
// have run.
func (c *Client) Claim(ctx context.Context, k dispatch.ClaimKey, bodyHash uint64, deadline time.Time) (dispatch.Claim, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	attempt := uuid.NewString()
	cmd := &daisyhatchv1.ClaimCommand{
		Organisation:   k.Organisation,
		Key:            k.Key,
		BodyHash:       bodyHash,
		Holder:         c.o.VM,
		Incarnation:    c.o.Incarnation,
		DeadlineUnixMs: deadline.UnixMilli(),
		CreatedUnixMs:  createdUnixMs(k),
		Attempt:        attempt,
	}
	for {
		r, err := c.claim(ctx, cmd)
		if err != nil {
			c.withdraw(cmd)
			return dispatch.Claim{}, claimError(err)
		}
		if r.GetState() != daisyhatchv1.ClaimState_CLAIM_STATE_PENDING || !waitRetry(ctx) {
			return c.handleResult(k, attempt, r)
		}
	}
}

// handleResult converts the result of a claim and records the claim as held if it was granted.
func (c *Client) handleResult(k dispatch.ClaimKey, attempt string, r *daisyhatchv1.ClaimResult) (dispatch.Claim, error) {
	switch r.GetState() {
	case daisyhatchv1.ClaimState_CLAIM_STATE_GRANTED:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held[k] = attempt
		return dispatch.Claim{Granted: true}, nil
	case daisyhatchv1.ClaimState_CLAIM_STATE_DONE:
		return dispatch.Claim{Outcome: outcomeFromProto(r.GetOutcome())}, nil
	default:
		return dispatch.Claim{}, stateError(r.GetState())
	}
}

func outcomeFromProto(o *daisyhatchv1.StoredOutcome) *dispatch.Outcome {
	return &dispatch.Outcome{
		Status:      int(o.GetStatus()),
		ContentType: o.GetContentType(),
		Body:        o.GetBody(),
		BodyOmitted: o.GetBodyOmitted(),
	}
}

func (c *Client) claim(ctx context.Context, cmd *daisyhatchv1.ClaimCommand) (*daisyhatchv1.ClaimResult, error) {
	var out *daisyhatchv1.ClaimResult
	err := c.callWithRetry(ctx, func(ctx context.Context, s daisyhatchv1connect.EntryServiceClient) error {
		r, err := s.Claim(ctx, connect.NewRequest(&daisyhatchv1.ClaimRequest{Claim: cmd}))
		if err == nil {
			out = r.Msg.GetResult()
		}
		return err
	})
	return out, err
}

// withdraw removes a claim that the ledger may have recorded although the call failed. Nothing was dispatched under it,
// so it is completed as not run.
func (c *Client) withdraw(cmd *daisyhatchv1.ClaimCommand) {
	c.completeInBackground(&daisyhatchv1.CompleteCommand{
		Organisation: cmd.GetOrganisation(),
		Key:          cmd.GetKey(),
		Holder:       cmd.GetHolder(),
		Incarnation:  cmd.GetIncarnation(),
		Attempt:      cmd.GetAttempt(),
		NotRun:       true,
	})
}

// Complete implements dispatch.Ledger. It returns ErrUnclaimed if this client holds no claim on k.
func (c *Client) Complete(ctx context.Context, k dispatch.ClaimKey, o dispatch.Outcome) error {
	return c.completeHeld(ctx, k, &daisyhatchv1.CompleteCommand{Outcome: &daisyhatchv1.StoredOutcome{
		Status:      int32(o.Status),
		ContentType: o.ContentType,
		Body:        o.Body,
		BodyOmitted: o.BodyOmitted,
	}})
}

// Abandon implements dispatch.Ledger. It returns ErrUnclaimed if this client holds no claim on k.
func (c *Client) Abandon(ctx context.Context, k dispatch.ClaimKey) error {
	return c.completeHeld(ctx, k, &daisyhatchv1.CompleteCommand{NotRun: true})
}

// Unknown implements dispatch.Ledger. It returns ErrUnclaimed if this client holds no claim on k.
func (c *Client) Unknown(ctx context.Context, k dispatch.ClaimKey) error {
	return c.completeHeld(ctx, k, &daisyhatchv1.CompleteCommand{Unknown: true})
}

// completeHeld sends cmd as the completion of the claim on k. If ctx ends before the ledger has confirmed it, the client
// keeps trying in the background.
func (c *Client) completeHeld(ctx context.Context, k dispatch.ClaimKey, cmd *daisyhatchv1.CompleteCommand) error {
	c.mu.Lock()
	attempt, ok := c.held[k]
	delete(c.held, k)
	c.mu.Unlock()
	if !ok {
		return ErrUnclaimed
	}
	cmd.Organisation = k.Organisation
	cmd.Key = k.Key
	cmd.Holder = c.o.VM
	cmd.Incarnation = c.o.Incarnation
	cmd.Attempt = attempt
	err := c.complete(ctx, cmd)
	if err != nil && !errors.Is(err, errNotStored) {
		c.completeInBackground(cmd)
	}
	return err
}

func (c *Client) complete(ctx context.Context, cmd *daisyhatchv1.CompleteCommand) error {
	stored := false
	err := c.callWithRetry(ctx, func(ctx context.Context, s daisyhatchv1connect.EntryServiceClient) error {
		r, err := s.Complete(ctx, connect.NewRequest(&daisyhatchv1.CompleteRequest{Complete: cmd}))
		stored = err == nil && r.Msg.GetResult().GetStored()
		return err
	})
	if err == nil && !stored {
		return errNotStored
	}
	return err
}

// completeInBackground completes a claim in the background, unless maxBackground claims are being completed already. If it
// fails, the outcome of the claim counts as unknown after its deadline.
func (c *Client) completeInBackground(cmd *daisyhatchv1.CompleteCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.background >= maxBackground {
		return
	}
	c.background++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		if err := c.complete(ctx, cmd); err != nil {
			c.o.Logr.V(1).Info("claim not completed", "key", cmd.GetKey(), "reason", err.Error())
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.background--
	}()
}
