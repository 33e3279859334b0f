package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/demand"
)

// StageRunner runs the stages of requests. It is safe for concurrent use.
type StageRunner interface {
	// Run runs the pieces of one stage and returns one result per piece. It returns *StageRefusedError when the stage
	// can't be done in time, and other errors when the pieces failed.
	Run(ctx context.Context, q StageRequest) ([]StageResult, error)
	// Free releases results on the servers that hold them. It doesn't block.
	Free(handles []string)
}

// StageRequest is one stage of one request.
type StageRequest struct {
	Request string
	// Fingerprint is the hash that identifies the request by its content.
	Fingerprint uint64
	Service     string
	Stage       int
	// Key is the caller's key for the pieces of its request; see dialect.Call.
	Key string
	// Count is the number of pieces.
	Count int
	// Inputs are the handles of the results that the stage reads.
	Inputs   []string
	Deadline time.Time
	// Target is the time until which the results have their full value; Deadline is when they are too late.
	Target   time.Time
	Priority int
	// Organisation is empty when callers need no key.
	Organisation string
	// WorkAfter and WorkDone are the server time that the request needs behind the stage, and that was spent for it before.
	WorkAfter, WorkDone time.Duration
	ResultBytes         int
	// Domain is the preferred failure domain for the results; empty for none.
	Domain string
	// CrossingBytes is about how many bytes cross failure domains when the stage runs outside Domain.
	CrossingBytes int
	// ReleaseInputs is true when nothing else needs Inputs. They are then released once they were read, unless Run
	// fails.
	ReleaseInputs bool
	// InputsRead, if not nil, is called at most once, before the results are returned, as soon as Inputs are no longer
	// needed unless a call fails.
	InputsRead func()
}

// StageResult is the result of one piece. Domain is the failure domain of the server that holds it.
type StageResult struct {
	// Handle identifies the result on the server that holds it.
	Handle string
	Domain string
}

// StageRefusedError is the error for a stage that can't be done in time. The request itself has not run.
type StageRefusedError struct {
	// RetryAfter is the time until there is expected to be capacity.
	RetryAfter time.Duration
	// Guess and Fixed are as in returning.Room. Otherwise the time is forecast from the queue; InVain is true if by that the stage
	// can't be done before its deadline.
	Guess, Fixed, InVain bool
	Reason               string
	// Lost is true when a piece failed or its inputs are lost. Running the stages again may help.
	Lost bool
}

// Error implements error.
func (e *StageRefusedError) Error() string { return "relay: stage refused: " + e.Reason }

// engineFirstEventP95 is the time that stage deadlines leave for the engine: the 95th percentile of its time to the
// first event.
const engineFirstEventP95 = 400 * time.Millisecond

// minRetryAfter is the shortest Retry-After time for a request whose stages were refused.
const minRetryAfter = 200 * time.Millisecond

// stageEvent reports that a stage ended, or, with inputsRead, that it has read its inputs.
type stageEvent struct {
	stage      int
	inputsRead bool
	results    []StageResult
	err        error
}

// maxStageRuns bounds how often the stages of one request run. Results are lost when their server is lost, which rarely
// happens twice during one request.
const maxStageRuns = 2

// runStages runs all stages of the request, and once more when results were lost and there is time. If that fails, it
// answers the request and returns false.
func (x *exchange) runStages() bool {
	if len(x.route.Stages) == 0 {
		return true
	}
	if x.stageRuns == 0 {
		if !x.startStages() {
			return false
		}
		defer x.endStages()
	}
	x.engineDomain = x.preferredServerDomain()
	for {
		if x.refusedAsSuspect() {
			return false
		}
		x.stageRuns++
		x.failedStage = ""
		err := x.runStagesOnce()
		x.stagesTook = time.Since(x.start)
		var refused *StageRefusedError
		switch {
		case err == nil:
			return true
		case errors.As(err, &refused) && refused.Lost && x.canRerunStages():
			continue
		}
		x.stagesFailed(err)
		return false
	}
}

// canRerunStages reports whether the stages may run again and there is time for it.
func (x *exchange) canRerunStages() bool {
	return x.stageRuns < maxStageRuns && x.ctx.Err() == nil && time.Until(x.deadline) > x.minStageTime()
}

// minStageTime returns how long the request's stages take at least, with the time for the engine.
func (x *exchange) minStageTime() time.Duration { return x.demand.Time(nil) }

// stageWait returns how long the request's stages wait at a service; 0 if that isn't known.
func (x *exchange) stageWait(service string) time.Duration {
	if x.relay.opts.StageWait == nil {
		return 0
	}
	return x.relay.opts.StageWait(service, int(x.priority), time.Now())
}

// runStagesOnce starts each stage as soon as the stages that it depends on are done, and waits for all of them. On an
// error it frees all results.
func (x *exchange) runStagesOnce() error {
	stages := x.route.Stages
	ctx, cancel := x.relay.untilSendsEnd(x.ctx)
	defer cancel()
	// Buffered so that stages never block: each one sends at most two events.
	events := make(chan stageEvent, 2*len(stages))
	results := make([][]StageResult, len(stages))
	started := make([]bool, len(stages))
	finished, read := make([]bool, len(stages)), make([]bool, len(stages))
	x.stageStarts = make([]time.Time, len(stages))
	running := 0
	x.demand.Done = 0
	x.resultExpiry = make([]time.Time, len(stages))
	var failed error
	for {
		if failed == nil {
			running += x.startReadyStages(ctx, started, finished, results, events, false)
		}
		if running == 0 && failed == nil {
			// Waits change meanwhile, so that each of two stages may count as needed later than the other.
			running += x.startReadyStages(ctx, started, finished, results, events, true)
		}
		if running == 0 {
			break
		}
		e, ok := x.nextStageEvent(events, started, finished)
		if !ok {
			continue
		}
		read[e.stage] = true
		if e.inputsRead {
			x.freeConsumed(read, results)
			continue
		}
		running--
		finished[e.stage] = true
		results[e.stage] = e.results
		if e.err == nil {
			x.demand.Done += x.demand.Stages[e.stage].Work
		}
		if e.err == nil && x.isSoleConsumer(e.stage) {
			for _, a := range stages[e.stage].After {
				results[a] = nil
			}
		}
		ttl := x.catalog.Services[x.route.Stages[e.stage].Service].Batch.ResultTTL
		x.resultExpiry[e.stage] = time.Now().Add(ttl - expiryMargin)
		if e.err != nil && failed == nil {
			failed = e.err
			x.failedStage = stages[e.stage].Service
			cancel()
		}
		x.freeConsumed(read, results)
	}
	if failed != nil {
		for _, d := range results {
			x.relay.opts.Stages.Free(handles(d))
		}
		return failed
	}
	x.collectInputs(results)
	return nil
}

// nextStageEvent waits for the next event, or returns false once a stage whose start is delayed may be due.
func (x *exchange) nextStageEvent(events <-chan stageEvent, started, finished []bool) (stageEvent, bool) {
	var due <-chan time.Time
	for i, st := range x.route.Stages {
		if started[i] || !allDone(st.After, finished) {
			continue
		}
		// It may have become due since it was left out.
		t := time.NewTimer(max(min(x.startDelay(i, started, finished), maxDelayCheck), minDelayCheck))
		defer t.Stop()
		due = t.C
		break
	}
	select {
	case e := <-events:
		return e, true
	case <-due:
		return stageEvent{}, false
	}
}

const (
	// minDelayCheck and maxDelayCheck bound the time until it is checked again whether a stage that is delayed has to start.
	minDelayCheck = 10 * time.Millisecond
	maxDelayCheck = 200 * time.Millisecond
)

// startDelay returns for how long the start of a stage can still wait; see demand.Delay.
func (x *exchange) startDelay(stage int, started, finished []bool) time.Duration {
	progress := make([]demand.Progress, len(started))
	now := time.Now()
	for i := range progress {
		progress[i] = demand.Progress{Started: started[i], Finished: finished[i]}
		if started[i] {
			progress[i].Running = now.Sub(x.stageStarts[i])
		}
	}
	return x.demand.Delay(stage, progress, x.stageWait)
}

// startReadyStages starts the stages whose dependencies are done and returns how many it started. Stages without pieces
// count as done at once, and those whose results are needed later are left out unless all is set.
func (x *exchange) startReadyStages(ctx context.Context, started, finished []bool, results [][]StageResult, events chan<- stageEvent, all bool) int {
	n := 0
	for i, st := range x.route.Stages {
		if started[i] || !allDone(st.After, finished) || !all && x.startDelay(i, started, finished) > 0 {
			continue
		}
		started[i], x.stageStarts[i] = true, time.Now()
		count := 0
		if i < len(x.call.Pieces) {
			count = x.call.Pieces[i]
		}
		if count == 0 {
			finished[i] = true
			return n + x.startReadyStages(ctx, started, finished, results, events, all)
		}
		q := x.stageRequest(i, count, results)
		for _, a := range st.After {
			q.Inputs = append(q.Inputs, handles(results[a])...)
			q.Deadline = earlierNonZero(q.Deadline, x.resultExpiry[a])
		}
		if x.isSoleConsumer(i) {
			q.ReleaseInputs = true
		} else {
			q.InputsRead = func() { events <- stageEvent{stage: i, inputsRead: true} }
		}
		n++
		go func() {
			results, err := x.relay.opts.Stages.Run(ctx, q)
			events <- stageEvent{stage: i, results: results, err: err}
		}()
	}
	return n
}

func allDone(stages []int, finished []bool) bool {
	for _, s := range stages {
		if !finished[s] {
			return false
		}
	}
	return true
}

func (x *exchange) stageRequest(i, count int, results [][]StageResult) StageRequest {
	rest := x.demand.TimeAfter(i, x.stageWait)
	q := StageRequest{
		Request: x.call.ID, Fingerprint: x.fingerprint, Service: x.route.Stages[i].Service, Stage: i, Key: x.call.PieceKey, Count: count,
		Deadline: x.deadline.Add(-rest), Target: x.targetTime().Add(-rest), Priority: int(x.priority),
		Organisation: x.organisation, WorkAfter: x.demand.WorkAfter(i), WorkDone: x.demand.Done,
		ResultBytes: x.route.Stages[i].ResultBytes, Domain: x.preferredDomain(i, results),
		CrossingBytes: x.crossDomainBytes(i, count, results),
	}
	return q
}

// crossDomainBytes returns about how many bytes cross failure domains when a stage runs outside its preferred one: the
// results that the engine reads, or the inputs, which each piece reads separately.
func (x *exchange) crossDomainBytes(i, count int, results [][]StageResult) int {
	bytes := 0
	if x.isLeaf(i) {
		bytes = count * x.route.Stages[i].ResultBytes
	}
	for _, a := range x.route.Stages[i].After {
		bytes = max(bytes, count*len(results[a])*x.route.Stages[a].ResultBytes)
	}
	return bytes
}

// preferredDomain returns the failure domain where a stage should run; empty for any. It is the domain of the inputs
// when they are larger than the results, otherwise the engine's domain if the request itself reads the results.
func (x *exchange) preferredDomain(i int, results [][]StageResult) string {
	leaf := x.isLeaf(i)
	for _, a := range x.route.Stages[i].After {
		for _, r := range results[a] {
			if !leaf || len(results[a])*x.route.Stages[a].ResultBytes > x.route.Stages[i].ResultBytes {
				return r.Domain
			}
		}
	}
	if leaf {
		return x.engineDomain
	}
	return ""
}

func pieceCount(counts []int, i int) int {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}

// consumers returns how many stages need the results of stage i.
func (x *exchange) consumers(i int) int {
	n := 0
	for _, st := range x.route.Stages {
		if slices.Contains(st.After, i) {
			n++
		}
	}
	return n
}

// isSoleConsumer reports whether stage i has inputs from other stages and is the only stage that needs them.
func (x *exchange) isSoleConsumer(i int) bool {
	for _, a := range x.route.Stages[i].After {
		if x.consumers(a) > 1 {
			return false
		}
	}
	return len(x.route.Stages[i].After) > 0
}

// earlierNonZero returns the earlier of two times, or a when b is zero.
func earlierNonZero(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// expiryMargin is how long before its inputs expire a stage must have started. It covers the network round trip and the
// time since the call that made the inputs ended.
const expiryMargin = 200 * time.Millisecond

// freeConsumed frees the results that all dependent stages have read. Results that the request itself reads stay.
func (x *exchange) freeConsumed(read []bool, results [][]StageResult) {
	for i := range results {
		needed := len(results[i]) == 0 || x.isLeaf(i)
		for k, st := range x.route.Stages {
			for _, a := range st.After {
				needed = needed || a == i && !read[k] && pieceCount(x.call.Pieces, k) > 0
			}
		}
		if !needed {
			x.relay.opts.Stages.Free(handles(results[i]))
			results[i] = nil
		}
	}
}

// isLeaf reports whether no stage depends on stage i, so that the request itself reads its results.
func (x *exchange) isLeaf(i int) bool { return x.consumers(i) == 0 }

// collectInputs makes the results of the last stages the inputs of the request.
func (x *exchange) collectInputs(results [][]StageResult) {
	x.inputs, x.inputMB = &stageInputs{free: x.relay.opts.Stages.Free}, make(map[string]float64)
	for i, d := range results {
		if !x.isLeaf(i) {
			continue
		}
		for _, r := range d {
			x.inputs.handles = append(x.inputs.handles, r.Handle)
			x.inputMB[r.Domain] += float64(x.route.Stages[i].ResultBytes) / 1e6
		}
	}
}

// handles returns the handles of results, without empty ones.
func handles(results []StageResult) []string {
	out := make([]string, 0, len(results))
	for _, r := range results {
		if r.Handle != "" {
			out = append(out, r.Handle)
		}
	}
	return out
}

// stagesFailed answers a request whose stages failed. The request itself has not run, unless its stages ran again after
// a send that may have run it.
func (x *exchange) stagesFailed(err error) {
	if x.callerLeft() {
		return
	}
	if x.refusedByStop() {
		return
	}
	if x.headSent {
		x.abortAnswer("the stages could not be run again: " + err.Error())
		return
	}
	if x.possibleRuns > 0 {
		x.fail(x.failureStatus(), "the stages could not be run again: "+err.Error())
		return
	}
	var refused *StageRefusedError
	if errors.As(err, &refused) {
		x.refuseStage(refused)
		return
	}
	x.refuseUntil(usually(noServerRetryAfter), "a stage failed: "+err.Error())
}
