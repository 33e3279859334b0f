package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/serverload"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

const (
	// maxBufferedBody bounds, in bytes, the body of an answer that is not a stream. Such a body is read to its end
	// before it is delivered, so that the request can be sent again when the body ends early.
	maxBufferedBody = 1 << 20
	// inputReadTime is how long after the start of a send the server is taken to have read the request's inputs.
	inputReadTime = 100 * time.Millisecond
	// maxIdleNotRepeatable bounds the idle time of a connection that is reused for a request that may not be repeated.
	// If the server closes an idle connection just then, it is unknown whether the request ran.
	maxIdleNotRepeatable = 800 * time.Millisecond
)

// errServerLeaving stops a send to a server that stopped accepting requests after it was chosen.
var errServerLeaving = errors.New("relay: the server takes no new work any more")

// errRequestSuspect stops a send of a request that became suspected of crashing servers after its server was chosen.
var errRequestSuspect = errors.New("relay: servers ended under this request")

// errNothingAfterHead means that a server closed the connection right after the head of an answer that has no length, so that it may
// have stopped in the middle.
var errNothingAfterHead = errors.New("relay: the answer has neither a length nor a body")

// errRepeatedRefusal means that a refusal may be that of an earlier request, so that this one may run.
var errRepeatedRefusal = errors.New("relay: the refusal may be that of an earlier request on the connection")

// sendResult is the result of one send. answer is open when there is one to deliver; body is its body unless it is a
// stream.
type sendResult struct {
	status sendStatus
	answer *upstream.Answer
	body   []byte
	err    error
	start  time.Time
}

func (s *sendResult) reason() string {
	if s.err != nil {
		return s.err.Error()
	}
	return "the server failed"
}

// answerStatus returns the status of the server's answer; 0 if there is none that can be delivered.
func (s *sendResult) answerStatus() int {
	if s.status == sendAnswered || s.status == sendServerFailed {
		return s.answer.Status
	}
	return 0
}

func (s *sendResult) close() {
	if s.answer != nil {
		// Close returns the connection to the pool or drops it; the caller can't act on an error.
		_ = s.answer.Body.Close()
	}
}

// drop closes an answer that isn't delivered and gives up its memory, without which others may have to wait.
func (x *exchange) drop(res *sendResult) {
	res.close()
	res.body = nil
	x.room.Release()
}

// send sends the request to a server and reads the head of the answer, and the body unless it is a stream.
func (x *exchange) send(c fleet.Candidate) *sendResult {
	r := x.relay
	x.tried, x.versions = append(x.tried, c.ID), append(x.versions, c.Version)
	x.logResume(c)
	start := time.Now()
	x.recordStart(c, start)
	call := upstream.Call{
		Address: c.Address, Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Body: x.body,
		HasBody: x.req.ContentLength != 0 || len(x.req.TransferEncoding) > 0,
		Header: r.opts.Dialect.RequestHeader(x.req.Header, dialect.Attempt{
			Server: c.ID, Remaining: x.deadline.Sub(start), Organisation: x.organisation, Inputs: x.inputs.list(),
			ResumeAfter: x.lastEventID, Priority: enginePriority(x.priority),
		}),
		IsAnswer: func(h http.Header) bool {
			id := r.opts.Dialect.Answer(0, h).CallID
			return id == "" || id == x.call.ID
		},
		BeforeSend: func() error {
			if !r.opts.View.Allowed(c.ID) || r.replaced(c) {
				return errServerLeaving
			}
			if err := r.limiter.Check(c.Server); err != nil {
				return err
			}
			if _, refused := r.opts.Suspects.Refused(x.fingerprint, x.parts...); refused || !r.opts.Suspects.MayRun(x.fingerprint, x.runLease) {
				return errRequestSuspect
			}
			if err := x.checkLoan(time.Now()); err != nil {
				return err
			}
			// The last check, since it counts the request as one that the server gets.
			if !x.pass.MaySend(rolloutServer(c), time.Now()) {
				return errServerLeaving
			}
			return nil
		},
	}
	if !x.route.Repeatable() {
		call.MaxIdle = maxIdleNotRepeatable
	}
	releaseTimer := time.AfterFunc(inputReadTime, x.inputs.release)
	a, err := r.opts.Pool.Do(x.ctx, call)
	releaseTimer.Stop()
	res := &sendResult{start: start, err: err}
	x.spendLoan(err)
	if err != nil {
		x.handleSendError(res, c)
		return res
	}
	res.answer = a
	x.classifyAnswer(res, c)
	return res
}

// replaced reports whether another incarnation with another software version now has the server's id.
func (r *Relay) replaced(c fleet.Candidate) bool {
	now, known := r.opts.View.Server(c.ID)
	return known && now.Version != c.Version
}

// enginePriority maps a request's priority to the value sent to engines, in 3 to 8. The engines' default is 5; values
// outside this range are left for later use.
func enginePriority(p catalog.Priority) int { return min(max(int(p), 0)+3, 8) }

// handleSendError sets the status of a send that got no answer.
func (x *exchange) handleSendError(res *sendResult, c fleet.Candidate) {
	var e *upstream.Error
	res.status = sendOutcomeUnknown
	if errors.As(res.err, &e) && !e.Sent {
		res.status = sendNotSent
		if errors.Is(res.err, errLoanEnded) {
			res.status = sendNotRun
		}
	} else {
		x.possibleRuns++
	}
	notServerFault := errors.Is(res.err, errServerLeaving) || errors.Is(res.err, limiter.ErrExceeded) ||
		errors.Is(res.err, errRequestSuspect) || errors.Is(res.err, errLoanEnded) || x.req.Context().Err() != nil
	switch {
	case x.req.Context().Err() != nil:
		x.giveUpSend(c, res)
	case notServerFault:
	case res.status == sendOutcomeUnknown:
		x.logUnanswered(c, res)
	default:
		x.logNotSent(c, res)
	}
	x.recordEnd(c, !notServerFault && !x.relay.pathLost(c), res.status == sendOutcomeUnknown)
}

// pathLost reports whether a send may have failed because this VM's own path to the server is lost.
func (r *Relay) pathLost(c fleet.Candidate) bool {
	return r.opts.PathLost != nil && r.opts.PathLost(c.Address)
}

// classifyAnswer sets the status of a send from the server's answer. It reads the body unless the answer is a stream.
func (x *exchange) classifyAnswer(res *sendResult, c fleet.Candidate) {
	a := res.answer
	parsed := x.relay.opts.Dialect.Answer(a.Status, a.Header)
	x.recordNotice(c, parsed.Notice)
	x.recordLoad(c, a.Status, &parsed)
	x.relay.limiter.Record(c.Server, x.service.Name, &parsed, parsed.Signed, res.start)
	if (parsed.NotRun || parsed.Misdirected) && !a.CertainRefusal(parsed.CallID) {
		x.possibleRuns++
		res.status, res.err = sendOutcomeUnknown, errRepeatedRefusal
		a.Discard()
		x.logUnanswered(c, res)
		x.recordEnd(c, true, true)
		return
	}
	if parsed.NotRun || parsed.Misdirected {
		res.status = sendNotRun
		if a.Status == http.StatusConflict {
			res.status = sendInputsGone
		}
		res.err = errors.New("the server did not run the request: status " + strconv.Itoa(a.Status))
		// The body is not needed; it is read so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxBufferedBody))
		x.recordEnd(c, parsed.Misdirected, false)
		return
	}
	x.possibleRuns++
	success := a.Status >= 200 && a.Status < 300
	switch {
	case parsed.Encoded, success && !parsed.Signed:
		res.status, res.err = sendOutcomeUnknown, errors.New("the answer is not the server's own")
		x.recordEnd(c, true, true)
		return
	case x.route.Kind == catalog.Stream && success:
		res.status = sendAnswered
		return
	}
	body, err := x.readWhole(a, success)
	if err != nil {
		res.status, res.err = sendOutcomeUnknown, err
		x.logUnanswered(c, res)
		x.recordEnd(c, true, true)
		return
	}
	res.body = body
	x.firstByte = time.Since(x.start)
	x.recordAnswer(c, a, time.Since(res.start))
	if a.Delimited {
		x.serverRun.AnswerBegun()
	}
	x.recordEnd(c, false, false)
	res.status = sendAnswered
	// Within a stream that has begun, any answer but its continuation is a failure: its head and body can't be delivered.
	if a.Status >= http.StatusInternalServerError || x.headSent {
		res.status = sendServerFailed
		res.err = errors.New("the server failed: status " + strconv.Itoa(a.Status))
		return
	}
	if a.Delimited {
		x.relay.opts.Suspects.Served(x.fingerprint)
	}
}

// readWhole reads the body of an answer that is not a stream. It returns an error if the answer is too large, or not whole as far as
// can be known.
func (x *exchange) readWhole(a *upstream.Answer, success bool) ([]byte, error) {
	body, err := x.relay.bodies.ReadAll(x.ctx, a.Body, a.Length, maxBufferedBody, &x.room)
	switch {
	case err != nil:
		x.room.Release()
		return nil, err
	case len(body) == 0 && !a.Delimited && success:
		return nil, errNothingAfterHead
	}
	return body, nil
}

// recordNotice records what the server reported about itself in an answer: that it is leaving, or wants no calls for
// some time.
func (x *exchange) recordNotice(c fleet.Candidate, n holdoff.Notice) {
	if x.relay.opts.View.Noticed(c.Server, n, time.Now()) {
		x.relay.opts.Log.Info("server wants no more calls", "request", x.call.ID, "service", x.service.Name, "server", c.ID,
			"incarnation", c.Incarnation(), "leaving", n.Leaving, "wait_ms", n.Wait.Milliseconds())
	}
}

// recordLoad records what an answer tells of a server's load, or that it has no place free.
func (x *exchange) recordLoad(c fleet.Candidate, status int, a *dialect.Answer) {
	r, now := x.relay, time.Now()
	if a.Misdirected {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := a.Load; l != nil {
		f := serverload.Figures{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace, At: now}
		if x.service.Engine != nil {
			r.loads.Told(c.ID, c.Born, f)
		} else {
			r.places.Told(c.ID, c.Born, f)
		}
	}
	if x.service.Engine == nil && a.NotRun && status == http.StatusServiceUnavailable {
		r.places.Refused(c.ID, now)
		placesFull.Inc()
	}
}

// recordStart counts a new send against the server. recordAnswer and recordEnd complete the record.
func (x *exchange) recordStart(c fleet.Candidate, now time.Time) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	x.inFlight, x.begun = true, false
	x.pass.Begin(rolloutServer(c), now)
	x.serverRun = r.opts.Suspects.Begin(liveness.Target(c.Server), x.fingerprint, x.parts...)
	if x.service.Engine != nil {
		x.placed = r.placements.Add(x.call.Prompt, c.ID, now)
		r.loads.Sent(c.ID, now)
	} else {
		r.plainInFlight[c.ID]++
		x.place = r.places.Begin(x.service.Name, c.ID, now)
	}
}

func (x *exchange) recordAnswer(c fleet.Candidate, a *upstream.Answer, first time.Duration) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	x.begun = true
	x.pass.Answered(first, a.Status >= http.StatusInternalServerError)
	r.liveness.Answered(c.Server, a.ConnectedAt)
	if x.placed == nil {
		r.health.recordAnswer(x.service.Name, c.ID, first, time.Now())
	} else {
		r.health.recordEngineAnswer(x.service.Name, c.ID, first, x.placed.PrefillTokens(), time.Now())
		r.placements.PrefillDone(x.placed)
	}
	if x.place != nil {
		r.places.Answered(x.place, time.Now(), a.Status < http.StatusBadRequest)
	}
}

// recordEnd ends the record of a send. Calls after the first for one send do nothing. failed counts against the
// server's health; lost is true when the request may have run without a complete answer.
func (x *exchange) recordEnd(c fleet.Candidate, failed, lost bool) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !x.inFlight {
		return
	}
	x.inFlight = false
	x.serverRun.End()
	x.endPass(failed, lost)
	if failed {
		r.health.recordFailure(c.ID, time.Now())
	}
	if x.place != nil {
		r.places.End(x.place)
		x.place = nil
	}
	if x.placed != nil {
		r.placements.Remove(x.placed, lost)
		r.loads.Ended(c.ID)
		x.placed = nil
	} else if r.plainInFlight[c.ID]--; r.plainInFlight[c.ID] <= 0 {
		delete(r.plainInFlight, c.ID)
	}
}

// deliver passes an answer to the caller. It returns false when a stream broke off and the request is to be sent again.
func (x *exchange) deliver(res *sendResult, c fleet.Candidate) bool {
	if res.body == nil && x.route.Kind == catalog.Stream && res.status == sendAnswered {
		return x.deliverStream(res, c)
	}
	x.outcome, x.status = "answered", res.answer.Status
	copyHeader(x.w.Header(), res.answer.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
	x.w.WriteHeader(res.answer.Status)
	x.limitWrite(len(res.body))
	defer x.endWrites()
	_, err := x.w.Write(res.body)
	res.close()
	if err != nil {
		x.outcome, x.reason = "left", "writing the answer to the caller failed: "+err.Error()
	}
	return true
}

// hopByHopHeaders are headers that apply to a single connection and are not forwarded. Content-Length is among them
// because it is set anew.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func copyHeader(to, from http.Header) {
	listed := connectionHeaders(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !listed[name] {
			to[name] = values
		}
	}
}

// connectionHeaders returns the canonical names of the headers that the Connection header lists.
func connectionHeaders(h http.Header) map[string]bool {
	out := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// EndToEndHeader returns a copy of a header without the hop-by-hop headers and those that its Connection header lists.
func EndToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	copyHeader(out, h)
	return out
}

// eventID returns the id field of a server-sent event; empty when it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
