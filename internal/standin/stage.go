package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// maxBody bounds a request body in bytes.
const maxBody = 8 << 20

// call is one stage call in the server.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	attempt string
	body    []byte
	fault   Fault
	record  int
	cold    bool
}

// stage wraps the answer of one operation with the queue, the delays and the faults.
func (s *Server) stage(answer func(c *call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "body not whole", http.StatusBadRequest)
			return
		}
		c := &call{s: s, w: w, r: r, attempt: r.Header.Get(openai.HeaderAttempt), body: body}
		if !s.admit(c) {
			return
		}
		defer s.leave(c)
		if c.before() {
			answer(c)
		}
	}
}

// admit waits for a free place and notes the call. It returns false when the call was refused.
func (s *Server) admit(c *call) bool {
	s.mu.Lock()
	c.fault = s.takeFault()
	if c.fault == FaultRefuse || s.full() {
		s.mu.Unlock()
		c.w.Header().Set("Retry-After", "1")
		http.Error(c.w, `{"error":{"message":"busy"}}`, http.StatusServiceUnavailable)
		return false
	}
	down := s.down
	s.queued++
	for s.opts.Capacity > 0 && s.running >= s.opts.Capacity {
		s.mu.Unlock()
		if !pause(c.r.Context(), down, time.Millisecond) {
			s.mu.Lock()
			s.queued--
			s.mu.Unlock()
			return false
		}
		s.mu.Lock()
	}
	s.queued--
	s.running++
	s.most = max(s.most, s.running)
	s.started++
	c.cold = s.started <= s.opts.ColdCalls
	fell := c.cold && s.opts.ColdCapacity > 0 && s.running > s.opts.ColdCapacity && time.Now().After(s.bearsUntil)
	c.record = len(s.records)
	s.records = append(s.records, Record{At: time.Now(), Attempt: c.attempt, Path: c.r.URL.Path, Body: string(c.body)})
	ctx, cancel := context.WithCancel(c.r.Context())
	c.ctx = ctx
	s.cancels[c.attempt] = cancel
	s.note()
	poisoned := s.poisoned(c.body)
	if fell {
		s.falls++
	}
	s.mu.Unlock()
	if fell || poisoned {
		s.Crash()
	}
	return true
}

func (s *Server) full() bool {
	return s.opts.MaxQueue > 0 && s.queued >= s.opts.MaxQueue && s.running >= s.opts.Capacity
}

func (s *Server) poisoned(body []byte) bool {
	for _, p := range s.poison {
		if bytes.Contains(body, []byte(p)) {
			return true
		}
	}
	return false
}

func (s *Server) leave(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if cancel, ok := s.cancels[c.attempt]; ok {
		cancel()
		delete(s.cancels, c.attempt)
	}
	s.note()
}

// before waits for the first byte and applies the faults that come before it. It returns false when
// the call gets no answer.
func (c *call) before() bool {
	if !c.prompt() {
		return false
	}
	switch c.fault {
	case FaultSilent:
		c.hang()
		return false
	case FaultCrash:
		c.s.Crash()
		return false
	case FaultError:
		http.Error(c.w, `{"error":{"message":"failed"}}`, http.StatusInternalServerError)
		return false
	default:
	}
	if !c.s.opts.Stock {
		c.w.Header().Set(openai.HeaderAttempt, c.answerID())
	}
	return true
}

// answerID is the correlation ID that the answer carries.
func (c *call) answerID() string {
	if c.fault == FaultCross {
		return "other-" + c.attempt
	}
	return c.attempt
}

// wait lets d pass, longer when cold. It returns false when the call is to end without an answer.
func (c *call) wait(d time.Duration) bool {
	if c.cold && c.s.opts.ColdFactor > 0 {
		d = time.Duration(float64(d) * c.s.opts.ColdFactor)
	}
	c.s.mu.Lock()
	down := c.s.down
	c.s.mu.Unlock()
	return pause(c.ctx, down, d)
}

// hang keeps the connection open and silent until the client leaves it or the server ends.
func (c *call) hang() {
	c.s.mu.Lock()
	down := c.s.down
	c.s.mu.Unlock()
	select {
	case <-c.r.Context().Done():
	case <-down:
	}
}

// pause returns true after d, and false when ctx ended or the server went down before.
func pause(ctx context.Context, down <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-ctx.Done():
			return false
		case <-down:
			return false
		default:
			return true
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-down:
		return false
	}
}

// finish writes a whole answer, or less when the fault says so.
func (c *call) finish(contentType string, body []byte) {
	c.w.Header().Set("Content-Type", contentType)
	if c.fault == FaultTruncate {
		c.truncate(body)
		return
	}
	if c.fault == FaultLate && !c.wait(lateBy) {
		return
	}
	if _, err := c.w.Write(body); err != nil {
		return
	}
	c.done()
}

func (c *call) done() {
	c.s.mu.Lock()
	c.s.records[c.record].Finished = true
	c.s.mu.Unlock()
}

// truncate writes half of the body and breaks the connection.
func (c *call) truncate(body []byte) {
	c.w.Header().Set("Content-Length", itoa(len(body)))
	_, _ = c.w.Write(body[:len(body)/2])
	flush(c.w)
	panic(http.ErrAbortHandler)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// service answers calls of a plain service: the body comes back under "echo".
func (c *call) echo() []byte {
	return mustJSON(ServiceAnswer{Server: c.s.opts.Name, Path: c.r.URL.Path, Echo: strings.ToValidUTF8(string(c.body), "?")})
}

func (s *Server) service(c *call) {
	c.finish("application/json", c.echo())
}
