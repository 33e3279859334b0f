package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
)

const (
	// slowCallerTime is how long in sum a caller must have held up a stream for a server that ends the stream not to be blamed.
	slowCallerTime = time.Second
	// blockedTime is the time from which a write counts as held up by the caller.
	blockedTime = 10 * time.Millisecond
)

// cutUnderSlowCallers counts streams that broke off after their callers had held them up for slowCallerTime.
var cutUnderSlowCallers = metrics.NewCounter("daisyhatch_relay_streams_cut_under_slow_callers_total")

// errEventTooLarge means that a stream holds an event longer than maxEventBytes.
var errEventTooLarge = errors.New("relay: the stream holds no proper event")

// deliverStream forwards the events of a stream as they arrive. It forwards only complete events, so that another
// server can continue a broken stream after the last event delivered. It returns false when the request is to be sent
// again.
func (x *exchange) deliverStream(res *sendResult, c fleet.Candidate) bool {
	events := bufio.NewReaderSize(res.answer.Body, streamBufferBytes)
	flusher := http.NewResponseController(x.w)
	firstEvent := true
	x.unread = 0
	for {
		x.room.Release()
		event, err := readEvent(events, func(n int) error { return x.relay.bodies.Take(x.ctx, &x.room, int64(n)) })
		if len(event) > 0 {
			if firstEvent {
				firstEvent = false
				x.recordAnswer(c, res.answer, time.Since(res.start))
				x.serverRun.AnswerBegun()
				x.inputs.release()
				if !x.headSent {
					x.recordOrigin(c)
				}
			}
			began := time.Now()
			werr := x.writeEvent(res, event, !eventBuffered(events), flusher)
			if d := time.Since(began); d >= blockedTime {
				x.unread += d
			}
			if werr != nil {
				res.close()
				x.giveUpSend(c, res)
				x.recordEnd(c, false, false)
				x.outcome, x.reason, x.abort = "left", "writing the stream to the caller failed: "+werr.Error(), true
				return true
			}
		}
		if errors.Is(err, io.EOF) && firstEvent && !res.answer.Delimited {
			err = errNothingAfterHead
		}
		if errors.Is(err, io.EOF) {
			res.close()
			x.recordEnd(c, false, false)
			if res.answer.Delimited {
				x.relay.opts.Suspects.Served(x.fingerprint)
			}
			x.endStream(res)
			return true
		}
		if err != nil {
			return x.handleBrokenStream(res, c, err)
		}
	}
}

// writeEvent writes one event, preceded by the answer's head if that was not written yet.
func (x *exchange) writeEvent(res *sendResult, event []byte, flush bool, flusher *http.ResponseController) error {
	if !x.headSent {
		x.writeHead(res)
		x.firstByte = time.Since(x.start)
	}
	x.limitWrite(len(event))
	defer x.endWrites()
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	if id := eventID(event); id != "" {
		x.lastEventID = id
	}
	if flush {
		return flusher.Flush()
	}
	return nil
}

// writeRate is the rate in bytes a second at which a caller takes what is longer than it can take at once.
const writeRate = 64 << 10

// limitWrite sets when the next n bytes must have been taken by the caller.
func (x *exchange) limitWrite(n int) {
	if d := x.relay.opts.WriteTimeout; d > 0 {
		d += time.Duration(n) * time.Second / writeRate
		// Only writers of tests can't set one.
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(d))
	}
}

// endWrites ends the limit: between writes, and for the connection's next request, there is none.
func (x *exchange) endWrites() {
	if x.relay.opts.WriteTimeout > 0 {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
	}
}

func (x *exchange) writeHead(res *sendResult) {
	x.headSent = true
	x.outlastStop()
	x.outcome, x.status = "answered", res.answer.Status
	copyHeader(x.w.Header(), res.answer.Header)
	x.w.WriteHeader(res.answer.Status)
}

// endStream ends a stream that the server completed. A stream without events still needs its head written.
func (x *exchange) endStream(res *sendResult) {
	if !x.headSent {
		x.writeHead(res)
	}
}

// handleBrokenStream decides what follows a stream that broke off. It returns true when the exchange is over, false
// when the request is to be sent again.
func (x *exchange) handleBrokenStream(res *sendResult, c fleet.Candidate, err error) bool {
	x.drop(res)
	if x.callerLeft() {
		x.giveUpSend(c, res)
		x.recordEnd(c, false, false)
		return true
	}
	// A server may cut off what it can't write because the caller doesn't read.
	slowCaller := x.unread >= slowCallerTime
	excused := x.ctx.Err() != nil || slowCaller
	if slowCaller {
		cutUnderSlowCallers.Inc()
	}
	res.status, res.err = sendOutcomeUnknown, err
	x.logUnanswered(c, res)
	x.recordEnd(c, !excused, true)
	switch nextAction(x.sendState(res, len(x.tried))) {
	case actionRetry:
		return false
	case actionFail:
		x.fail(x.failureStatus(), err.Error())
	default:
		x.abortAnswer(err.Error())
	}
	return true
}

// eventBuffered reports whether the buffer holds another complete event, so that both can be flushed together.
func eventBuffered(r *bufio.Reader) bool {
	// Peek doesn't fail for bytes that are already buffered.
	b, _ := r.Peek(r.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// readEvent reads one event including the empty line that ends it. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF when the stream ends within an event, errEventTooLarge for an event that is too long, and the error of take, which
// is called for each n bytes by which the memory of the event grows.
func readEvent(r *bufio.Reader, take func(n int) error) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		if n := len(event) + len(line); n > cap(event) {
			// Doubled, since append grows large slices in small steps and leaves a multiple of the event as garbage.
			size := max(n, min(2*cap(event), maxEventBytes+streamBufferBytes))
			if terr := take(size - cap(event)); terr != nil {
				return nil, terr
			}
			event = append(make([]byte, 0, size), event...)
		}
		event = append(event, line...)
		switch {
		case len(event) > maxEventBytes:
			return nil, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(event) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// logResume logs a send that continues a stream.
func (x *exchange) logResume(c fleet.Candidate) {
	if x.lastEventID == "" {
		return
	}
	x.relay.opts.Log.Info("stream goes on", "request", x.call.ID, "resumes", x.call.Resumes, "in_answer", x.headSent, "after_event", x.lastEventID,
		"service", x.service.Name, "server", c.ID, "incarnation", c.Incarnation(), "version", c.Version)
}
