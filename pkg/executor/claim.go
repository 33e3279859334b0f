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

// Timeouts of the claim ledger.
const (
	// claimMargin is the time before the deadline at which the ledger is waited for no longer.
	claimMargin = 50 * time.Millisecond
	// settleTimeout bounds the tries to settle a claim.
	settleTimeout = 10 * time.Second
	// storeTimeout bounds how long an answer waits for its outcome to be stored.
	storeTimeout = 500 * time.Millisecond
)

func (r *run) claimKey() dispatch.ClaimKey {
	return dispatch.ClaimKey{Organisation: r.req.Organisation, Key: r.req.IdempotencyKey}
}

// claim claims the request in the ledger.
func (r *run) claim() {
	ledger := r.e.opts.Ledger
	if ledger == nil {
		r.post(func(now time.Time) []action { return r.m.claimed(now, dispatch.Claim{}, errLedger()) })
		return
	}
	ctx, cancel := context.WithDeadline(r.base, r.req.Deadline.Add(-claimMargin))
	defer cancel()
	hash := suspect.Fingerprint(r.req.Organisation, r.req.Plan.Name, r.req.Body)
	c, err := ledger.Claim(ctx, r.claimKey(), hash, r.req.Deadline)
	if r.post(func(now time.Time) []action { return r.m.claimed(now, c, err) }) {
		return
	}
	if err == nil && c.Granted {
		r.settleLater(settleAbandon)
	}
}

// settle settles the claim of a finished request.
func (r *run) settle() {
	switch r.m.settle {
	case settleNothing:
	case settleComplete:
		r.store()
	default:
		r.settleLater(r.m.settle)
	}
}

// store keeps the outcome under the claim before the caller gets the answer. When the ledger takes too long, storing goes
// on in the background: the answer is whole all the same.
func (r *run) store() {
	ctx, cancel := context.WithTimeout(r.base, storeTimeout)
	defer cancel()
	if err := r.e.opts.Ledger.Complete(ctx, r.claimKey(), r.outcome()); err != nil {
		r.e.opts.Log.Error(err, "outcome not stored yet", "request", r.req.ID)
		r.settleLater(settleComplete)
	}
}

// settleLater settles the claim in the background, with retries.
func (r *run) settleLater(s settlement) {
	var out dispatch.Outcome
	if s == settleComplete {
		out = r.outcome()
	}
	ledger, key, id, log := r.e.opts.Ledger, r.claimKey(), r.req.ID, r.e.opts.Log
	r.e.background.Add(1)
	go func() {
		defer r.e.background.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.base), settleTimeout)
		defer cancel()
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			return struct{}{}, settleOnce(ctx, ledger, key, s, out)
		}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
		if err != nil {
			log.Error(err, "claim not settled; it becomes unknown", "request", id)
		}
	}()
}

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

// outcome is what is stored for resends.
func (r *run) outcome() dispatch.Outcome {
	if r.m.streaming {
		return dispatch.Outcome{Status: http.StatusOK, ContentType: contentJSON, Body: r.streamedBody()}
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

// streamedBody is a streamed answer as a whole chat completion.
func (r *run) streamedBody() []byte {
	message := chatMessage{Role: "assistant", Content: strings.Join(r.m.tokens, "")}
	return mustRaw(completionBody{
		ID:      r.req.ID,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   r.req.Plan.Name,
		Choices: []completionChoice{{Message: message, FinishReason: r.m.finish}},
	})
}

// replayed answers a resend with the stored outcome.
func (r *run) replayed(res Result, o dispatch.Outcome) (Result, error) {
	res.Replayed = true
	res.OutcomeOmitted = o.BodyOmitted
	if o.BodyOmitted {
		e := apierr.New(http.StatusConflict, apierr.OutcomeNotStored, "the request ran with status %d; its answer was too large to keep", o.Status)
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

// replayStream gives a stored chat completion as a stream of one token.
func (r *run) replayStream(res Result, body []byte) (Result, error) {
	var v completionBody
	if err := json.Unmarshal(body, &v); err != nil || len(v.Choices) == 0 {
		return res, nil
	}
	r.m.finish = v.Choices[0].FinishReason
	r.deliver(engine.Event{Text: v.Choices[0].Message.Content})
	r.m.tokens = []string{v.Choices[0].Message.Content}
	res.Body = nil
	return r.endStream(res)
}
