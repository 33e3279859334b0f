package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"
)

// Stages runs stage work for this VM.
type Stages interface {
	// Run runs the pieces of one stage. Errors: *StageRefused, or any other when they could not be made.
	Run(ctx context.Context, q StageRequest) ([]StageResult, error)
	// Free gives results up; it doesn't wait.
	Free(handles []string)
}

// StageRequest is one stage of one request.
type StageRequest struct {
	Request string
	// Fingerprint names the request by its content.
	Fingerprint uint64
	Service     string
	Stage       int
	Key         string
	Count       int
	Inputs      []string
	Deadline    time.Time
	// Target is until when the results are worth most.
	Target      time.Time
	Priority    int
	ResultBytes int
	// Domain is where the results are wanted.
	Domain string
	// CrossingBytes is about what crosses failure domains when the pieces are made elsewhere.
	CrossingBytes int
	// ReleaseInputs is true when nothing else needs Inputs: they are given up once they were read, unless Run fails.
	ReleaseInputs bool
	// InputsRead, unless nil, is called at most once before the results come, when nothing reads Inputs any more unless a
	// call fails.
	InputsRead func()
}

// StageResult is one piece's result.
type StageResult struct {
	Handle string
	Domain string
}

// StageRefused means that a stage can't be done in time; the request has not run.
type StageRefused struct {
	// RetryAfter is when there is room.
	RetryAfter time.Duration
	Reason     string
	// Lost is true when a piece could not be made or its inputs are gone: running the stages anew may help.
	Lost bool
}

// Error implements error.
func (e *StageRefused) Error() string { return "relay: stage refused: " + e.Reason }

// engineTime is what the plan of a chain leaves for the engine: the 95th percentile up to the first event.
const engineTime = 400 * time.Millisecond

// leastRetry is the shortest time after which a refused caller may come back.
const leastRetry = 200 * time.Millisecond

// stageEnd is how a stage ended, or the news that it has read its inputs.
type stageEnd struct {
	stage      int
	inputsRead bool
	results    []StageResult
	err        error
}

// maxChains is how often the stages of one request are run: results are lost with their server, which is seldom lost
// twice within a request's time.
const maxChains = 2

// runStages runs all stages of the request, and once more when results were lost and there is time. It answers the request
// when that fails; false then.
func (x *exchange) runStages() bool {
	if len(x.route.Stages) == 0 {
		return true
	}
	x.home = x.homeDomain()
	for {
		if x.suspected() {
			return false
		}
		x.chains++
		x.failedStage = ""
		err := x.runChain()
		x.staged = time.Since(x.begin)
		var refused *StageRefused
		switch {
		case err == nil:
			return true
		case errors.As(err, &refused) && refused.Lost && x.mayRunChain():
			continue
		}
		x.stagesFailed(err)
		return false
	}
}

// mayRunChain reports whether there is time to run the stages anew.
func (x *exchange) mayRunChain() bool {
	longest := time.Duration(0)
	for i, st := range x.route.Stages {
		if len(st.After) == 0 {
			b := x.set.Services[st.Service].Batch
			longest = max(longest, b.CallTime(pieces(x.call.Pieces, i))+x.timeBehind(i))
		}
	}
	return x.chains < maxChains && x.ctx.Err() == nil && time.Until(x.deadline) > longest
}

// runChain runs each stage as soon as those that it needs are done.
func (x *exchange) runChain() error {
	stages := x.route.Stages
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	// Each stage sends at most two messages.
	ends := make(chan stageEnd, 2*len(stages))
	done := make([][]StageResult, len(stages))
	begun := make([]bool, len(stages))
	finished, read := make([]bool, len(stages)), make([]bool, len(stages))
	running := 0
	x.expires = make([]time.Time, len(stages))
	var failed error
	for {
		if failed == nil {
			running += x.beginStages(ctx, begun, finished, done, ends)
		}
		if running == 0 {
			break
		}
		e := <-ends
		read[e.stage] = true
		if e.inputsRead {
			x.freeUsed(read, done)
			continue
		}
		running--
		finished[e.stage] = true
		done[e.stage] = e.results
		if e.err == nil && x.ownsInputs(e.stage) {
			for _, a := range stages[e.stage].After {
				done[a] = nil
			}
		}
		ttl := x.set.Services[x.route.Stages[e.stage].Service].Batch.ResultTTL
		x.expires[e.stage] = time.Now().Add(ttl - expiryMargin)
		if e.err != nil && failed == nil {
			failed = e.err
			x.failedStage = stages[e.stage].Service
			cancel()
		}
		x.freeUsed(read, done)
	}
	if failed != nil {
		for _, d := range done {
			x.relay.opts.Stages.Free(handles(d))
		}
		return failed
	}
	x.collectInputs(done)
	return nil
}

// beginStages starts what can be started and returns how many.
func (x *exchange) beginStages(ctx context.Context, begun, finished []bool, done [][]StageResult, ends chan<- stageEnd) int {
	n := 0
	for i, st := range x.route.Stages {
		if begun[i] || !allDone(st.After, finished) {
			continue
		}
		begun[i] = true
		count := 0
		if i < len(x.call.Pieces) {
			count = x.call.Pieces[i]
		}
		if count == 0 {
			finished[i] = true
			return n + x.beginStages(ctx, begun, finished, done, ends)
		}
		q := x.stageRequest(i, count, done)
		for _, a := range st.After {
			q.Inputs = append(q.Inputs, handles(done[a])...)
			q.Deadline = earlier(q.Deadline, x.expires[a])
		}
		if x.ownsInputs(i) {
			q.ReleaseInputs = true
		} else {
			q.InputsRead = func() { ends <- stageEnd{stage: i, inputsRead: true} }
		}
		n++
		go func() {
			results, err := x.relay.opts.Stages.Run(ctx, q)
			ends <- stageEnd{stage: i, results: results, err: err}
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

func (x *exchange) stageRequest(i, count int, done [][]StageResult) StageRequest {
	rest := x.timeBehind(i)
	q := StageRequest{
		Request: x.call.ID, Fingerprint: x.print, Service: x.route.Stages[i].Service, Stage: i, Key: x.call.PieceKey, Count: count,
		Deadline: x.deadline.Add(-rest), Target: x.target().Add(-rest), Priority: int(x.priority),
		ResultBytes: x.route.Stages[i].ResultBytes, Domain: x.wantedIn(i, done),
		CrossingBytes: x.crossing(i, count, done),
	}
	return q
}

// crossing is about what crosses failure domains when a stage is made elsewhere than it is wanted: the results that the
// engine reads, or the inputs, which every piece reads for itself.
func (x *exchange) crossing(i, count int, done [][]StageResult) int {
	bytes := 0
	if x.isLeaf(i) {
		bytes = count * x.route.Stages[i].ResultBytes
	}
	for _, a := range x.route.Stages[i].After {
		bytes = max(bytes, count*len(done[a])*x.route.Stages[a].ResultBytes)
	}
	return bytes
}

// wantedIn returns the failure domain where a stage should run: where its inputs lie when they are larger than its
// results, the engine's for results that the request itself needs.
func (x *exchange) wantedIn(i int, done [][]StageResult) string {
	leaf := x.isLeaf(i)
	for _, a := range x.route.Stages[i].After {
		for _, r := range done[a] {
			if !leaf || len(done[a])*x.route.Stages[a].ResultBytes > x.route.Stages[i].ResultBytes {
				return r.Domain
			}
		}
	}
	if leaf {
		return x.home
	}
	return ""
}

// timeBehind is what the chain behind a stage takes at least: the longest way through the stages that need it, and the
// engine.
func (x *exchange) timeBehind(stage int) time.Duration {
	longest := time.Duration(0)
	for i, st := range x.route.Stages {
		for _, a := range st.After {
			if a != stage {
				continue
			}
			b := x.set.Services[st.Service].Batch
			longest = max(longest, b.CallTime(pieces(x.call.Pieces, i))+x.timeBehind(i)-engineTime)
		}
	}
	return longest + engineTime
}

func pieces(counts []int, i int) int {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}

// users returns how many stages need the results of stage i.
func (x *exchange) users(i int) int {
	n := 0
	for _, st := range x.route.Stages {
		if slices.Contains(st.After, i) {
			n++
		}
	}
	return n
}

// ownsInputs reports whether stage i needs the results of others and no other stage needs the same.
func (x *exchange) ownsInputs(i int) bool {
	for _, a := range x.route.Stages[i].After {
		if x.users(a) > 1 {
			return false
		}
	}
	return len(x.route.Stages[i].After) > 0
}

// earlier returns the earlier of two times; a zero one doesn't count.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// expiryMargin is how long before its results expire a stage's successor must be begun: the way there and back, and the
// time since the call that made them ended.
const expiryMargin = 200 * time.Millisecond

// freeUsed gives up the results of stages that every stage behind them has read; those that the request itself needs
// stay.
func (x *exchange) freeUsed(read []bool, done [][]StageResult) {
	for i := range done {
		needed := len(done[i]) == 0 || x.isLeaf(i)
		for k, st := range x.route.Stages {
			for _, a := range st.After {
				needed = needed || a == i && !read[k] && pieces(x.call.Pieces, k) > 0
			}
		}
		if !needed {
			x.relay.opts.Stages.Free(handles(done[i]))
			done[i] = nil
		}
	}
}

// isLeaf reports whether no stage needs the results of stage i.
func (x *exchange) isLeaf(i int) bool { return x.users(i) == 0 }

func (x *exchange) collectInputs(done [][]StageResult) {
	x.inputs, x.inputMB = &stageInputs{free: x.relay.opts.Stages.Free}, make(map[string]float64)
	for i, d := range done {
		if !x.isLeaf(i) {
			continue
		}
		for _, r := range d {
			x.inputs.handles = append(x.inputs.handles, r.Handle)
			x.inputMB[r.Domain] += float64(x.route.Stages[i].ResultBytes) / 1e6
		}
	}
}

func handles(results []StageResult) []string {
	out := make([]string, 0, len(results))
	for _, r := range results {
		if r.Handle != "" {
			out = append(out, r.Handle)
		}
	}
	return out
}

// stagesFailed answers a request whose stages were not done. The request itself has not run, unless its stages were run
// anew after a send that may have.
func (x *exchange) stagesFailed(err error) {
	if x.leftByCaller() {
		return
	}
	if x.started {
		x.cut("the stages could not be run again: " + err.Error())
		return
	}
	if x.ran > 0 {
		x.fail(x.failStatus(), "the stages could not be run again: "+err.Error())
		return
	}
	var refused *StageRefused
	if errors.As(err, &refused) {
		x.refuse(http.StatusServiceUnavailable, max(refused.RetryAfter, leastRetry), refused.Error())
		return
	}
	x.refuse(http.StatusServiceUnavailable, noServerRetry, "a stage failed: "+err.Error())
}
