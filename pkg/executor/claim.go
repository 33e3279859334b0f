package executor

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
)

const (
	// claimMargin is how long before the deadline the wait for the ledger's claim ends.
	claimMargin = 50 * time.Millisecond
	// settleTimeout bounds the retries to settle a claim.
	settleTimeout = 10 * time.Second
	// storeTimeout bounds how long an answer is held back until its outcome is stored.
	storeTimeout = 500 * time.Millisecond
)

// claimKey returns the key under which the ledger holds the request's claim.
func (r *runner) claimKey() dispatch.ClaimKey {
	return dispatch.ClaimKey{Organisation: r.req.Organisation, Key: r.req.IdempotencyKey}
}

// claim claims the request in the ledger. A claim granted after the request has finished is abandoned.
func (r *runner) claim() {
	ledger := r.e.opts.Ledger
	if ledger == nil {
		r.post(func(now time.Time) []action { return r.m.onClaimResult(now, dispatch.Claim{}, errLedgerUnavailable()) })
		return
	}
	ctx, cancel := context.WithDeadline(r.attemptBase, r.req.Deadline.Add(-claimMargin))
	defer cancel()
	hash := suspect.Fingerprint(r.req.Organisation, r.req.Plan.Name, r.req.Body)
	c, err := ledger.Claim(ctx, r.claimKey(), hash, r.req.Deadline)
	if r.post(func(now time.Time) []action { return r.m.onClaimResult(now, c, err) }) {
		return
	}
	if err == nil && c.Granted {
		r.settleLater(settleAbandon)
	}
}

// settle settles the claim of a finished request.
func (r *runner) settle() {
	switch r.m.settle {
	case settleNothing:
	case settleComplete:
		r.storeOutcome()
	default:
		r.settleLater(r.m.settle)
	}
}

// storeOutcome stores the outcome under the claim before the caller gets the answer. If the ledger takes longer than
// storeTimeout, storing continues in the background and the caller gets the answer, which is complete.
func (r *runner) storeOutcome() {
	ctx, cancel := context.WithTimeout(r.attemptBase, storeTimeout)
	defer cancel()
	if err := r.e.opts.Ledger.Complete(ctx, r.claimKey(), r.outcome()); err != nil {
		r.e.opts.Log.Error(err, "storing the outcome failed; retrying in the background", "request", r.req.ID)
		r.settleLater(settleComplete)
	}
}

// settleLater settles the claim in the background, with retries.
func (r *runner) settleLater(s settlement) {
	var out dispatch.Outcome
	if s == settleComplete {
		out = r.outcome()
	}
	ledger, key, id, log := r.e.opts.Ledger, r.claimKey(), r.req.ID, r.e.opts.Log
	r.e.background.Add(1)
	go func() {
		defer r.e.background.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.attemptBase), settleTimeout)
		defer cancel()
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			return struct{}{}, settleOnce(ctx, ledger, key, s, out)
		}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
		if err != nil {
			log.Error(err, "claim not settled; its outcome becomes unknown", "request", id)
		}
	}()
}

// settleOnce makes one attempt to settle a claim.
func settleOnce(ctx context.Context, l dispatch.Ledger, k dispatch.ClaimKey, s settlement, out dispatch.Outcome) error {
	switch s {
	case settleComplete:
		return l.Complete(ctx, k, out)
	case settleAbandon:
		return l.Abandon(ctx, k)
	default:
		return l.Unknown(ctx, k)
	}
}

// outcome returns the outcome that is stored for resent requests.
func (r *runner) outcome() dispatch.Outcome {
	if r.m.streaming {
		return dispatch.Outcome{Status: http.StatusOK, ContentType: contentJSON, Body: r.streamAsCompletion()}
	}
	var res Result
	res.Status = http.StatusOK
	r.lastAnswer(&res)
	return dispatch.Outcome{Status: res.Status, ContentType: res.ContentType, Body: res.Body}
}

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// streamAsCompletion encodes a streamed answer as one chat completion.
func (r *runner) streamAsCompletion() []byte {
	message := chatMessage{Role: "assistant", Content: strings.Join(r.m.tokens, "")}
	return marshalRaw(completionBody{
		ID:      r.req.ID,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   r.req.Plan.Name,
		Choices: []completionChoice{{Message: message, FinishReason: r.m.finishReason}},
	})
}

// replayed answers a resent request with the stored outcome.
func (r *runner) replayed(res Result, o dispatch.Outcome) (Result, error) {
	res.Replayed = true
	res.OutcomeOmitted = o.BodyOmitted
	if o.BodyOmitted {
		e := apierr.New(http.StatusConflict, apierr.OutcomeNotStored, "the request ran with status %d; its answer was too large to keep", o.Status)
		return res, e.WithRun(apierr.MayHaveRun)
	}
	if !r.m.promiseHolds(o.Status) {
		// Builds that took such an answer for the outcome stored it.
		e := apierr.New(http.StatusConflict, apierr.OutcomeUnknown, "the server answered with status %d, and whether the request ran can't be known", o.Status)
		return res, e.WithRun(apierr.MayHaveRun)
	}
	res.Status = o.Status
	res.ContentType = o.ContentType
	res.Body = o.Body
	if !r.m.streaming {
		return res, nil
	}
	return r.replayStream(res, o.Body)
}

// replayStream delivers a stored chat completion as a stream with a single token.
func (r *runner) replayStream(res Result, body []byte) (Result, error) {
	var v completionBody
	if err := json.Unmarshal(body, &v); err != nil || len(v.Choices) == 0 {
		return res, nil
	}
	r.m.finishReason = v.Choices[0].FinishReason
	r.deliver(engine.Event{Text: v.Choices[0].Message.Content})
	r.m.tokens = []string{v.Choices[0].Message.Content}
	res.Body = nil
	return r.endStream(res)
}
