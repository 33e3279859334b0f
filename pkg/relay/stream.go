package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
)

const (
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// streamBuffer is the size of the buffer behind a stream.
	streamBuffer = 4 << 10
)

// errEvent means that a stream holds what is no event.
var errEvent = errors.New("relay: the stream holds no proper event")

// deliverStream forwards events as they come, whole ones only, so that a stream that breaks off can go on at another
// server behind the last one. It returns false when the request is to be sent again.
func (x *exchange) deliverStream(res *sendResult, c fleet.Candidate) bool {
	events := bufio.NewReaderSize(res.answer.Body, streamBuffer)
	flusher := http.NewResponseController(x.w)
	firstHere := true
	for {
		event, err := readEvent(events)
		if len(event) > 0 {
			if firstHere {
				firstHere = false
				x.answered(c, time.Since(res.begun))
				x.inputs.giveUp()
			}
			if werr := x.forward(res, event, !holdsEvent(events), flusher); werr != nil {
				res.close()
				x.ended(c, false, false)
				x.outcome, x.reason, x.abort = "left", "the caller takes no more: "+werr.Error(), true
				return true
			}
		}
		if errors.Is(err, io.EOF) {
			res.close()
			x.ended(c, false, false)
			if res.answer.Delimited {
				x.relay.opts.Suspects.Served(x.print)
			}
			x.endStream(res)
			return true
		}
		if err != nil {
			return x.broken(res, c, err)
		}
	}
}

// forward writes one event; the head goes before the first one.
func (x *exchange) forward(res *sendResult, event []byte, flush bool, flusher *http.ResponseController) error {
	if !x.started {
		x.startStream(res)
		x.first = time.Since(x.begin)
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	if id := eventID(event); id != "" {
		x.lastEvent = id
	}
	if flush {
		return flusher.Flush()
	}
	return nil
}

func (x *exchange) startStream(res *sendResult) {
	x.started = true
	x.outcome, x.status = "answered", res.answer.Status
	copyHeader(x.w.Header(), res.answer.Header)
	x.w.WriteHeader(res.answer.Status)
}

// endStream ends an answer that the server completed; one without any event is delivered as it is.
func (x *exchange) endStream(res *sendResult) {
	if !x.started {
		x.startStream(res)
	}
}

// broken decides what follows a stream that broke off. It returns true when the exchange is over.
func (x *exchange) broken(res *sendResult, c fleet.Candidate, err error) bool {
	res.close()
	if x.leftByCaller() {
		x.ended(c, false, false)
		return true
	}
	timeUp := x.ctx.Err() != nil
	res.ending, res.err = endedUnknown, err
	x.unanswered(c, res)
	x.ended(c, !timeUp, true)
	switch next(x.situation(res, len(x.tried))) {
	case stepRepeat:
		return false
	case stepFail:
		x.fail(x.failStatus(), err.Error())
	default:
		x.cut(err.Error())
	}
	return true
}

// holdsEvent reports whether another whole event was read already, so that both can go out together.
func holdsEvent(r *bufio.Reader) bool {
	// Peeking at what is buffered doesn't fail.
	b, _ := r.Peek(r.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// readEvent reads one event with the empty line behind it. At the end of a stream it returns io.EOF, and
// io.ErrUnexpectedEOF when the end is within an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEvent:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errEvent
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
