package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// modelList is the response body of GET /v1/models, in the OpenAI format.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// chatRequest holds the fields of a chat-completions request that the gateway reads.
type chatRequest struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	Messages      json.RawMessage `json:"messages"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// handleModels serves GET /v1/models. It lists the pipelines that the caller's organisation may use.
func (g *Gateway) handleModels(c *callerRequest) error {
	list := modelList{Object: "list", Data: []model{}}
	for name, p := range c.inForce.Set.Pipelines {
		if allowed(p.Organisations, c.organisation) {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "daisyhatch"})
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(c.w, http.StatusOK, list)
	return nil
}

// handleChat serves POST /v1/chat/completions.
func (g *Gateway) handleChat(c *callerRequest) error {
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "the body isn't a chat-completions request: %v", err)
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "the body needs the fields model and messages")
	}
	plan, err := c.pipelinePlan(req.Model)
	if err != nil {
		return err
	}
	r, err := c.executorRequest(plan, body)
	if err != nil {
		return err
	}
	r.ContentType = "application/json"
	if !req.Stream {
		return g.runBuffered(c, r)
	}
	if !plan.CanStream() {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "pipeline %q does not end in one chat stage and can't stream", plan.Name)
	}
	return g.runStreaming(c, r, req.StreamOptions.IncludeUsage)
}

// handlePipeline serves POST /v1/pipelines/{name}.
func (g *Gateway) handlePipeline(c *callerRequest) error {
	plan, err := c.pipelinePlan(chi.URLParam(c.r, "name"))
	if err != nil {
		return err
	}
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	r, err := c.executorRequest(plan, body)
	if err != nil {
		return err
	}
	return g.runBuffered(c, r)
}

// handleService serves any method on /v1/services/{name} and the paths below it.
func (g *Gateway) handleService(c *callerRequest) error {
	name := chi.URLParam(c.r, "name")
	s, ok := c.inForce.Set.Services[name]
	if !ok || !allowed(s.Organisations, c.organisation) {
		return notFoundError("service", name)
	}
	plan, err := executor.PlanService(c.inForce.Set, name)
	if err != nil {
		return apierr.From(err).WithRun(apierr.NotRun)
	}
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	r, err := c.executorRequest(plan, body)
	if err != nil {
		return err
	}
	r.Method = c.r.Method
	if rest := chi.URLParam(c.r, "*"); rest != "" {
		r.Path = "/" + rest
	}
	return g.runBuffered(c, r)
}

// pipelinePlan returns the execution plan of a pipeline, or not_found if the caller's organisation may not use it.
func (c *callerRequest) pipelinePlan(name string) (*executor.Plan, error) {
	p, ok := c.inForce.Set.Pipelines[name]
	if !ok || !allowed(p.Organisations, c.organisation) {
		return nil, notFoundError("pipeline", name)
	}
	plan, err := executor.PlanPipeline(c.inForce.Set, name)
	if err != nil {
		return nil, apierr.From(err).WithRun(apierr.NotRun)
	}
	return plan, nil
}

func notFoundError(kind, name string) error {
	return apierr.New(http.StatusNotFound, apierr.NotFound, "there is no %s %q for this organisation", kind, name)
}

// allowed reports whether o is in organisations; an empty list allows all.
func allowed(organisations []string, o *config.Organisation) bool {
	return len(organisations) == 0 || slices.Contains(organisations, o.Name)
}

// executorRequest builds the request to the executor from the body and the request headers. It returns an *apierr.Error if
// a header is invalid, or if a not-repeatable request has no idempotency key.
func (c *callerRequest) executorRequest(plan *executor.Plan, body []byte) (executor.Request, error) {
	opts, err := readOptions(c.r.Header, plan.Deadline, c.organisation)
	if err != nil {
		return executor.Request{}, err
	}
	notRepeatable := opts.notRepeatable || !plan.Repeatable()
	if notRepeatable && opts.idempotencyKey == "" {
		return executor.Request{}, keyRequiredError()
	}
	return executor.Request{
		ID:             c.id,
		Organisation:   c.organisation.Name,
		Plan:           plan,
		ContentType:    c.r.Header.Get("Content-Type"),
		Body:           body,
		Deadline:       c.receivedAt.Add(opts.deadline),
		Priority:       opts.priority,
		IdempotencyKey: opts.idempotencyKey,
		NotRepeatable:  notRepeatable,
	}, nil
}

// admit waits for admission. The caller calls the returned function when the request has ended.
func (g *Gateway) admit(c *callerRequest, r executor.Request) (func(), error) {
	return g.Admission.Enter(c.r.Context(), admission.Request{
		Organisation: r.Organisation,
		Pipeline:     r.Plan.Name,
		Priority:     r.Priority,
		Deadline:     r.Deadline,
	})
}

// runBuffered runs a request and writes its response at once when it has ended.
func (g *Gateway) runBuffered(c *callerRequest, r executor.Request) error {
	release, err := g.admit(c, r)
	if err != nil {
		g.recordResult(c, r, executor.Result{}, err)
		return err
	}
	defer release()
	res, err := g.Executor.Run(c.r.Context(), r, nil)
	g.recordResult(c, r, res, err)
	c.w.Header().Set(HeaderStages, formatStages(res.Stages))
	if err != nil {
		return err
	}
	if res.OutcomeOmitted {
		return outcomeOmittedError(res)
	}
	h := c.w.Header()
	h.Set("Content-Type", res.ContentType)
	if res.Replayed {
		h.Set("Idempotent-Replayed", "true")
	}
	c.w.WriteHeader(res.Status)
	// The write fails if the caller has disconnected. With an idempotency key it can still fetch the stored response.
	_, _ = c.w.Write(res.Body)
	return nil
}

// outcomeOmittedError is returned if a request has run, but only the status of its response was stored.
func outcomeOmittedError(res executor.Result) error {
	e := apierr.New(http.StatusConflict, apierr.OutcomeNotStored,
		"the request ran with status %d; its answer was too large to store", res.Status)
	return e.WithRun(apierr.MayHaveRun)
}

// runStreaming runs a request and writes its tokens as server-sent events as they arrive. includeUsage adds a final
// event with the token counts.
func (g *Gateway) runStreaming(c *callerRequest, r executor.Request, includeUsage bool) error {
	r.Stream = true
	release, err := g.admit(c, r)
	if err != nil {
		g.recordResult(c, r, executor.Result{}, err)
		return err
	}
	defer release()
	events := newEventWriter(c, r.Plan.Name, includeUsage, g.Limits.WriteTimeout)
	res, err := g.Executor.Run(c.r.Context(), r, events.writeEvent)
	g.recordResult(c, r, res, err)
	switch {
	case err != nil && events.started:
		// The write fails if the caller has disconnected. The missing [DONE] event tells it that the response is
		// incomplete.
		_ = events.writeFailure(apierr.From(err), c.id)
		return nil
	case err != nil:
		return err
	case res.OutcomeOmitted:
		return outcomeOmittedError(res)
	case !res.Streamed:
		return events.replay(res.Body)
	}
	return nil
}

// recordResult logs the result of a request and records it and its cost for the report on the error budget.
func (g *Gateway) recordResult(c *callerRequest, r executor.Request, res executor.Result, err error) {
	now := time.Now()
	good := err == nil && res.Status < http.StatusInternalServerError && !now.After(r.Deadline)
	if !isCallerError(err) {
		g.Observer.Record(r.Plan.Name, r.Organisation, good, now)
	}
	for _, s := range res.Stages {
		g.Observer.RecordCost(r.Plan.Name, r.Organisation, s.Stage, s.Cost, s.Wasted)
	}
	log := g.Log.WithValues("request", r.ID, "organisation", r.Organisation, "pipeline", r.Plan.Name,
		"took_ms", now.Sub(c.receivedAt).Milliseconds(), "stages", formatStages(res.Stages))
	if err != nil {
		e := apierr.From(err)
		log.Info("request failed", "code", e.Code, "run", e.Run, "cause", e.Error())
		return
	}
	log.V(1).Info("request done", "status", res.Status, "replayed", res.Replayed)
}

// isCallerError reports whether err was caused by the caller, so that it doesn't count against the service level.
func isCallerError(err error) bool {
	var e *apierr.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case apierr.BadRequest, apierr.RateLimited, apierr.IdempotencyReused, apierr.IdempotencyExpired, apierr.RequestQuarantined:
		return true
	}
	return false
}

// formatStages formats each stage as "stage;dur=12.3;cost=0.004;waste=0", separated by commas. dur is in milliseconds,
// cost and waste are in units of account.
func formatStages(stages []executor.StageResult) string {
	parts := make([]string, 0, len(stages))
	for _, s := range stages {
		ms := float64(s.Duration.Microseconds()) / 1000
		parts = append(parts, fmt.Sprintf("%s;dur=%.1f;cost=%.6g;waste=%.6g", s.Stage, ms, s.Cost, s.Wasted))
	}
	return strings.Join(parts, ", ")
}
