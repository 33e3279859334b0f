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
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

const (
	// wholeBody is the largest answer that is read to its end before it is delivered, so that one that ends early can be
	// asked for again.
	wholeBody = 1 << 20
	// inputReadTime is when a server has read the inputs of a request that was sent to it.
	inputReadTime = 100 * time.Millisecond
	// freshFor is how long a connection may have been idle for a request that may not be repeated: a server that closes
	// it meanwhile leaves open whether the request ran.
	freshFor = 800 * time.Millisecond
)

// errNotAllowed keeps a request from a server that began to leave meanwhile.
var errNotAllowed = errors.New("relay: the server takes no new work any more")

// errSuspected keeps a request from being sent under which too many servers ended meanwhile.
var errSuspected = errors.New("relay: servers ended under this request")

// sendResult is how a send ended; answer is open when there is one to deliver.
type sendResult struct {
	ending ending
	answer *upstream.Answer
	whole  []byte
	err    error
	begun  time.Time
}

func (s *sendResult) reason() string {
	if s.err != nil {
		return s.err.Error()
	}
	return "the server failed"
}

func (s *sendResult) close() {
	if s.answer != nil {
		// Closing returns or drops the connection; an error changes nothing.
		_ = s.answer.Body.Close()
	}
}

// send sends the request to a server and reads the answer's head, and its body unless it is a stream.
func (x *exchange) send(c fleet.Candidate) *sendResult {
	r := x.relay
	x.tried = append(x.tried, c.ID)
	begun := time.Now()
	x.began(c, begun)
	call := upstream.Call{
		Address: c.Address, Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Body: x.body,
		HasBody: x.req.ContentLength != 0 || len(x.req.TransferEncoding) > 0,
		Header: r.opts.Dialect.RequestHeader(x.req.Header, dialect.Attempt{
			Server: c.ID, Remaining: x.deadline.Sub(begun), Organisation: x.organisation, Inputs: x.inputs.list(),
			ResumeAfter: x.lastEvent, Priority: urgency(x.priority),
		}),
		Owns: func(h http.Header) bool {
			id := r.opts.Dialect.Answer(0, h).CallID
			return id == "" || id == x.call.ID
		},
		OnSend: func() error {
			if !r.opts.Knowledge.Allowed(c.ID) {
				return errNotAllowed
			}
			if _, refused := r.opts.Suspects.Refused(x.print); refused {
				return errSuspected
			}
			return nil
		},
	}
	if !x.route.Repeatable() {
		call.MaxIdle = freshFor
	}
	reading := time.AfterFunc(inputReadTime, x.inputs.giveUp)
	a, err := r.opts.Pool.Do(x.ctx, call)
	reading.Stop()
	res := &sendResult{begun: begun, err: err}
	if err != nil {
		x.sendFailed(res, c)
		return res
	}
	res.answer = a
	x.classify(res, c)
	return res
}

// urgency is what engines are told: their default is 5, and one step is left on each side for later needs.
func urgency(p catalog.Priority) int { return min(max(int(p), 0)+3, 8) }

func (x *exchange) sendFailed(res *sendResult, c fleet.Candidate) {
	var e *upstream.Error
	res.ending = endedUnknown
	if errors.As(res.err, &e) && !e.Sent {
		res.ending = endedUnsent
	} else {
		x.ran++
	}
	own := errors.Is(res.err, errNotAllowed) || errors.Is(res.err, errSuspected) || x.req.Context().Err() != nil
	if res.ending == endedUnknown && !own {
		x.unanswered(c, res)
	}
	x.ended(c, !own, res.ending == endedUnknown)
}

// classify reads what the answer says.
func (x *exchange) classify(res *sendResult, c fleet.Candidate) {
	a := res.answer
	said := x.relay.opts.Dialect.Answer(a.Status, a.Header)
	x.noticed(c, said.Notice)
	if said.NotRun || said.Misdirected {
		res.ending = endedNotRun
		if a.Status == http.StatusConflict {
			res.ending = endedGone
		}
		res.err = errors.New("the server did not run the request: status " + strconv.Itoa(a.Status))
		// The body says nothing more; reading it keeps the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, wholeBody))
		x.ended(c, said.Misdirected, false)
		return
	}
	x.ran++
	success := a.Status >= 200 && a.Status < 300
	switch {
	case said.Encoded, success && !said.Signed:
		res.ending, res.err = endedUnknown, errors.New("the answer is not the server's own")
		x.ended(c, true, true)
		return
	case x.route.Kind == catalog.Stream && success:
		res.ending = endedWell
		return
	}
	whole, err := io.ReadAll(io.LimitReader(a.Body, wholeBody+1))
	if err != nil || len(whole) > wholeBody {
		if err == nil {
			err = errors.New("the answer is too large")
		}
		res.ending, res.err = endedUnknown, err
		x.unanswered(c, res)
		x.ended(c, true, true)
		return
	}
	res.whole = whole
	x.first = time.Since(x.begin)
	x.answered(c, time.Since(res.begun))
	x.ended(c, false, false)
	res.ending = endedWell
	if a.Status >= http.StatusInternalServerError {
		res.ending = endedFailed
		res.err = errors.New("the server failed: status " + strconv.Itoa(a.Status))
		return
	}
	if a.Delimited {
		x.relay.opts.Suspects.Served(x.print)
	}
}

// noticed takes over what a server said of itself in an answer.
func (x *exchange) noticed(c fleet.Candidate, n holdoff.Notice) {
	if x.relay.opts.Knowledge.Noticed(c.Server, n, time.Now()) {
		x.relay.opts.Log.Info("server wants no more calls", "request", x.call.ID, "service", x.service.Name, "server", c.ID,
			"incarnation", c.Incarnation(), "leaving", n.Leaving, "wait_ms", n.Wait.Milliseconds())
	}
}

// began, answered and ended keep the books on a server.
func (x *exchange) began(c fleet.Candidate, now time.Time) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	x.onServer = true
	x.flight = r.opts.Suspects.Begin(liveness.Target(c.Server), x.print)
	if x.service.Engine != nil {
		x.sent = r.book.Add(x.call.Prompt, c.ID, now)
	} else {
		r.plain[c.ID]++
	}
}

func (x *exchange) answered(c fleet.Candidate, first time.Duration) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.answered(x.service.Name, c.ID, first, time.Now())
	if x.sent != nil {
		r.book.PrefillDone(x.sent)
	}
}

// ended may be called again for one send; only the first call counts.
func (x *exchange) ended(c fleet.Candidate, failed, lost bool) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !x.onServer {
		return
	}
	x.onServer = false
	x.flight.End()
	if failed {
		r.health.failed(c.ID, time.Now())
	}
	if x.sent != nil {
		r.book.Remove(x.sent, lost)
		x.sent = nil
	} else if r.plain[c.ID]--; r.plain[c.ID] <= 0 {
		delete(r.plain, c.ID)
	}
}

// deliver hands an answer to the caller. It returns false when a stream broke off and the request may be sent again.
func (x *exchange) deliver(res *sendResult, c fleet.Candidate) bool {
	if res.whole == nil && x.route.Kind == catalog.Stream && res.ending == endedWell {
		return x.deliverStream(res, c)
	}
	x.outcome, x.status = "answered", res.answer.Status
	copyHeader(x.w.Header(), res.answer.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(res.whole)))
	x.w.WriteHeader(res.answer.Status)
	_, err := x.w.Write(res.whole)
	res.close()
	if err != nil {
		x.outcome, x.reason = "left", "the caller took no answer: "+err.Error()
	}
	return true
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func copyHeader(to, from http.Header) {
	listed := connectionNames(from)
	for name, values := range from {
		if !hopByHop[name] && !listed[name] {
			to[name] = values
		}
	}
}

// connectionNames returns the headers that a Connection header lists.
func connectionNames(h http.Header) map[string]bool {
	out := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// EndToEnd returns a copy of a caller's header without what concerns only its connection.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	copyHeader(out, h)
	return out
}

// eventID returns the id of an event, given as its lines.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
