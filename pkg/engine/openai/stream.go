package openai

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// maxEventLine is the maximum size in bytes of a line, and of an event's data, in a stream.
const maxEventLine = 1 << 20

// Stream implements engine.Client.
func (c *Client) Stream(ctx context.Context, t engine.Target, call engine.Call) (engine.Stream, error) {
	x, err := c.start(ctx, t, call, true)
	if err != nil {
		return nil, err
	}
	s := &stream{x: x, lines: bufio.NewScanner(x)}
	s.lines.Buffer(make([]byte, 0, 4<<10), maxEventLine)
	if h := x.resp.Header.Get(HeaderResumedFrom); h != "" {
		from, err := strconv.Atoi(h)
		if err != nil || from < 0 || from > call.ResumeFrom {
			x.finish()
			return nil, x.responseError(engine.WrongAttempt, fmt.Errorf("server resumed from token %q, expected at most %d", h, call.ResumeFrom))
		}
		s.next = from
	}
	return s, nil
}

// stream implements engine.Stream over server-sent events.
type stream struct {
	x     *exchange
	lines *bufio.Scanner
	// id is the completion ID of the first chunk that has one; later chunks must have the same.
	id string
	// next is the index of the next token if the server sends no index.
	next  int
	ended bool
	err   error
}

// Next implements engine.Stream. A token that the server sends twice is returned twice, each time with the
// index that the server sent.
func (s *stream) Next(ctx context.Context) (engine.Event, error) {
	if s.ended {
		return engine.Event{}, io.EOF
	}
	if s.err != nil {
		return engine.Event{}, s.err
	}
	if ctx != s.x.parent {
		stop := context.AfterFunc(ctx, func() { s.x.cancel(context.Canceled) })
		defer stop()
	}
	ev, err := s.readEvent()
	if err != nil {
		s.err = err
		return engine.Event{}, err
	}
	s.ended = ev.End
	return ev, nil
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.x.finish()
	return nil
}

// readEvent returns the next event that has text, a finish reason, usage or the end marker.
func (s *stream) readEvent() (engine.Event, error) {
	for {
		data, err := s.readData()
		if err != nil {
			return engine.Event{}, err
		}
		c, end, err := decodeChunk(data)
		if err != nil {
			return engine.Event{}, s.x.responseError(engine.Failed, err)
		}
		if end {
			return engine.Event{AttemptID: s.x.call.AttemptID, Index: s.next, End: true}, nil
		}
		if err := s.checkID(c); err != nil {
			return engine.Event{}, err
		}
		if c.Daisyhatch != nil && c.Daisyhatch.Index != nil && *c.Daisyhatch.Index < 0 {
			return engine.Event{}, s.x.responseError(engine.Failed, errors.New("negative token index"))
		}
		if ev, ok := s.toEvent(c); ok {
			return ev, nil
		}
	}
}

func (s *stream) checkID(c chunk) error {
	if c.Daisyhatch != nil && c.Daisyhatch.Attempt != "" && c.Daisyhatch.Attempt != s.x.call.AttemptID {
		return s.x.responseError(engine.WrongAttempt, fmt.Errorf("event belongs to attempt %q", c.Daisyhatch.Attempt))
	}
	if c.ID == "" {
		return nil
	}
	if s.id == "" {
		s.id = c.ID
	}
	if c.ID != s.id {
		return s.x.responseError(engine.WrongAttempt, fmt.Errorf("event belongs to completion %q, expected %q", c.ID, s.id))
	}
	return nil
}

// toEvent converts a chunk to an event; ok is false when the chunk has no text, finish reason or usage.
func (s *stream) toEvent(c chunk) (ev engine.Event, ok bool) {
	ev = engine.Event{AttemptID: s.x.call.AttemptID, Index: s.next}
	if c.Usage != nil {
		ev.Usage = c.Usage.usage()
		ok = true
	}
	if len(c.Choices) == 0 || c.Choices[0].Index != 0 {
		return ev, ok
	}
	ev.Text = c.Choices[0].Delta.Content
	ev.FinishReason = c.Choices[0].FinishReason
	if c.Daisyhatch != nil && c.Daisyhatch.Index != nil {
		ev.Index = *c.Daisyhatch.Index
	}
	if ev.Text != "" {
		s.next = max(s.next, ev.Index+1)
	}
	return ev, ok || ev.Text != "" || ev.FinishReason != ""
}

// readData returns the data of the next server-sent event.
func (s *stream) readData() ([]byte, error) {
	var data []byte
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if len(line) == 0 {
			if data != nil {
				return data, nil
			}
			continue
		}
		value, found := bytes.CutPrefix(line, []byte("data:"))
		if !found {
			continue
		}
		if data != nil {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxEventLine {
			return nil, s.x.responseError(engine.Failed, errors.New("event too large"))
		}
	}
	err := s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return nil, s.x.transportError(fmt.Errorf("read stream: %w", err))
}
