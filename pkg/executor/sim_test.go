package executor_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

var errInjected = errors.New("executor_test: injected fault")

// fault is what goes wrong in one simulated call.
type fault int

const (
	noFault fault = iota
	// refused refuses the connection, so that nothing is sent.
	refused
	// partialWrite breaks the connection after part of the request was sent.
	partialWrite
	// serverError answers with an error.
	serverError
	// silent gives no answer and no progress.
	silent
	// truncated breaks off the answer.
	truncated
	// wrongAttemptID answers with the content and attempt ID of another call.
	wrongAttemptID
	// slow answers 400 ms later than usual.
	slow
	// duplicated repeats one token of a stream.
	duplicated
	// missingToken leaves out one token of a stream.
	missingToken
	// crash takes the server down; see kill.
	crash
	// ignoresCancel keeps running for a second even if the call is cancelled.
	ignoresCancel
	faultCount
)

// simBackends simulates backend servers and their slots. It records what each server was sent, and serves as the
// tests' oracle.
type simBackends struct {
	mu  sync.Mutex
	rng *rand.Rand
	// faultRate is the probability that a call has a fault.
	faultRate float64
	// fixedFault, if it is not noFault, is the fault of all calls.
	fixedFault fault
	// poison, if not empty, crashes the server of each call whose body contains it.
	poison string
	// down holds the servers that are down now; crashes counts the crashes of each server.
	down    map[string]bool
	crashes map[string]int
	// running counts each server's calls; -1 means that a call occupies it alone.
	running map[string]int
	// sent counts the calls of which a byte was sent, by request mark and by request mark and path.
	sent map[string]int
	// slots is the number of slots that have not been released.
	slots int
	// expired counts calls sent under a slot that was no longer valid.
	expired int
	// roles makes half of the servers prefill servers and the other half decode servers.
	roles bool
	// versionByRole makes prefill and decode servers run different software versions.
	versionByRole bool
	// faultFilter, if set, selects the calls that have a fault.
	faultFilter func(t engine.Target, c engine.Call) bool
	// kv holds the mark of the request that each KV cache belongs to, by server and attempt ID.
	kv map[string]string
	// kvCrossed counts KV caches used by another request; kvUsed counts all that were used.
	kvCrossed, kvUsed int
	// kvFaults holds the failures of KV exports and imports; 0 means none.
	kvFaults [2]engine.Kind
}

// padding returns text that makes a prompt long enough for a handover; empty without roles.
func (w *simBackends) padding() string {
	if !w.roles {
		return ""
	}
	return strings.Repeat(" and so on", engine.PrefixBlock/10)
}

// role returns the role of a server, given that roles is set.
func (w *simBackends) role(server string) string {
	if (server[len(server)-1]-'0')%2 == 0 {
		return engine.RolePrefill
	}
	return engine.RoleDecode
}

// noServerFree reports whether no server can grant the slot.
func (w *simBackends) noServerFree(r dispatch.SlotRequest) bool {
	s := w.pick(r)
	if s == nil {
		return true
	}
	s.Done(dispatch.Report{})
	return false
}

// expiredSlot is set as the target's failure domain to mark a slot that is not valid.
const expiredSlot = "expired slot"

func newSimBackends(seed uint64, faultRate float64) *simBackends {
	return &simBackends{
		rng:       rand.New(rand.NewPCG(seed, seed)),
		faultRate: faultRate,
		down:      map[string]bool{},
		crashes:   map[string]int{},
		running:   map[string]int{},
		sent:      map[string]int{},
		kv:        map[string]string{},
	}
}

// simServersPerPool is the number of simulated servers in each pool.
const simServersPerPool = 6

// draw returns a random fault and delay for one call.
func (w *simBackends) draw() (fault, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := time.Duration(1+w.rng.IntN(40)) * time.Millisecond
	if w.fixedFault != noFault {
		return w.fixedFault, d
	}
	if w.rng.Float64() >= w.faultRate {
		return noFault, d
	}
	return fault(1 + w.rng.IntN(int(faultCount)-1)), d
}

// Acquire implements dispatch.Slots. It refuses some requests at random and otherwise waits for a free server.
func (w *simBackends) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	w.mu.Lock()
	wait := time.Duration(w.rng.IntN(5)) * time.Millisecond
	refuse := w.rng.Float64() < w.faultRate/4
	w.mu.Unlock()
	for first := true; ; first = false {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, apierr.New(503, apierr.NoCapacity, "context ended while waiting for a slot")
		}
		if r.SpareOnly && r.Role != "" && (refuse || w.noServerFree(r)) {
			return nil, apierr.New(503, apierr.NoCapacity, "no spare capacity")
		}
		if refuse && first {
			return nil, apierr.New(503, apierr.NoCapacity, "refused")
		}
		if s := w.pick(r); s != nil {
			return s, nil
		}
		wait = 5 * time.Millisecond
	}
}

// pick grants a slot on a random server that fits the request, or returns nil.
func (w *simBackends) pick(r dispatch.SlotRequest) *simSlot {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.rng.IntN(simServersPerPool)
	for i := range simServersPerPool {
		name := fmt.Sprintf("%s-%d", r.Pool, (at+i)%simServersPerPool)
		if r.Role != "" && w.roles && r.Role != w.role(name) {
			continue
		}
		if w.down[name] || contains(r.Avoid, name) || w.running[name] < 0 || (r.Alone && w.running[name] > 0) {
			continue
		}
		s := &simSlot{w: w, name: name, alone: r.Alone, valid: w.rng.Float64() >= w.faultRate/8}
		if r.Alone {
			w.running[name] = -1
		} else {
			w.running[name]++
		}
		w.slots++
		return s
	}
	return nil
}

// simSlot is a slot on a simulated server. Releasing it twice panics.
type simSlot struct {
	w     *simBackends
	name  string
	alone bool
	// valid is false when the slot has expired, which happens at random.
	valid bool
	// done counts how often the slot was released.
	done int
}

func (s *simSlot) Target() engine.Target {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	t := engine.Target{Server: s.name, Incarnation: fmt.Sprint(s.w.crashes[s.name])}
	if !s.valid {
		t.FailureDomain = expiredSlot
	}
	if s.w.roles {
		t.Role = s.w.role(s.name)
		if s.w.versionByRole {
			t.Version = t.Role
		}
		t.Capabilities = []string{engine.CapabilityKV}
	}
	return t
}
func (s *simSlot) Cold() bool  { return false }
func (s *simSlot) Valid() bool { return s.valid }

func (s *simSlot) Done(dispatch.Report) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.done++
	s.w.slots--
	if s.alone {
		s.w.running[s.name] = 0
	} else {
		s.w.running[s.name]--
	}
	if s.done > 1 {
		panic("slot released twice")
	}
}

// recordSent records that a byte of the call was sent.
func (w *simBackends) recordSent(c engine.Call, t engine.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.FailureDomain == expiredSlot {
		w.expired++
	}
	w.sent[requestMark(c.Body)]++
	w.sent[requestMark(c.Body)+" "+c.Path]++
}

// requestMark returns the id of the mark #id# that each test request's body carries.
func requestMark(body []byte) string {
	_, after, _ := strings.Cut(string(body), "#")
	id, _, _ := strings.Cut(after, "#")
	return id
}

// sentOf returns how many calls of the request were sent.
func (w *simBackends) sentOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[id]
}

// sendCall simulates sending the call and the faults that occur before the answer.
func (w *simBackends) sendCall(ctx context.Context, t engine.Target, c engine.Call) (fault, error) {
	f, d := w.draw()
	if w.faultFilter != nil && !w.faultFilter(t, c) {
		f, d = noFault, time.Millisecond
	}
	fail := func(k engine.Kind, sent bool) error {
		return &engine.Error{Kind: k, Server: t.Server, Sent: sent, Err: errInjected}
	}
	if f == refused || w.isDown(t.Server) {
		return f, fail(engine.Refused, false)
	}
	if ctx.Err() != nil {
		return f, fail(engine.Canceled, false)
	}
	w.recordSent(c, t)
	if w.poison != "" && strings.Contains(string(c.Body), w.poison) {
		f = crash
	}
	if f == slow {
		d += 400 * time.Millisecond
	}
	limit := c.ProgressTimeout
	if f == silent {
		d = time.Hour
	}
	if f == ignoresCancel {
		time.Sleep(time.Second)
	}
	kind := engine.Canceled
	if limit > 0 && d > limit {
		d, kind = limit, engine.Silent
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return f, fail(engine.Canceled, true)
	}
	switch {
	case w.isDown(t.Server):
		return f, fail(engine.Crashed, true)
	case kind == engine.Silent:
		return f, fail(engine.Silent, true)
	case f == crash:
		w.kill(t.Server)
		return f, fail(engine.Crashed, true)
	case f == partialWrite:
		return f, fail(engine.Crashed, true)
	case f == serverError:
		return f, fail(engine.Failed, true)
	default:
		return f, nil
	}
}

func (w *simBackends) isDown(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down[server]
}

// kill takes a server down for 700 ms.
func (w *simBackends) kill(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[server] {
		return
	}
	w.down[server] = true
	w.crashes[server]++
	time.AfterFunc(700*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.down[server] = false
	})
}

// Call implements engine.Client.
func (w *simBackends) Call(ctx context.Context, t engine.Target, c engine.Call) (engine.Answer, error) {
	f, err := w.sendCall(ctx, t, c)
	if err != nil {
		return engine.Answer{}, err
	}
	w.useKV(t, c)
	if c.Prefill && f != wrongAttemptID && f != truncated {
		w.keepKV(t, c.AttemptID, requestMark(c.Body))
		return engine.Answer{AttemptID: c.AttemptID, Status: 200, FirstByte: time.Millisecond}, nil
	}
	a := engine.Answer{AttemptID: c.AttemptID, Status: 200, ContentType: "application/json", FirstByte: time.Millisecond}
	switch f {
	case truncated:
		return engine.Answer{}, &engine.Error{Kind: engine.Truncated, Server: t.Server, Sent: true, Err: errInjected}
	case wrongAttemptID:
		a.AttemptID = "other"
		a.Body = simAnswer(c.Operation, "other")
	default:
		a.Body = simAnswer(c.Operation, requestMark(c.Body))
	}
	return a, nil
}

// simAnswer returns the complete answer to the request with the given mark.
func simAnswer(op engine.Operation, id string) []byte {
	switch op {
	case engine.Embed:
		return []byte(`{"data":[{"embedding":[1]}]}`)
	case engine.Retrieve:
		return []byte(`{"documents":["d of #` + id + `#"]}`)
	case engine.Rerank:
		return []byte(`{"results":[{"index":0}]}`)
	case engine.Chat:
		return []byte(`{"choices":[{"message":{"content":"` + strings.Join(simTokens(id), "") + `"}}]}`)
	default:
		return []byte("answer to " + id)
	}
}

// simTokens returns the tokens of the streamed answer to the request with the given mark.
func simTokens(id string) []string {
	out := make([]string, 8)
	for i := range out {
		out[i] = fmt.Sprintf("%s.%d ", id, i)
	}
	return out
}

// Stream implements engine.Client.
func (w *simBackends) Stream(ctx context.Context, t engine.Target, c engine.Call) (engine.Stream, error) {
	f, err := w.sendCall(ctx, t, c)
	if err != nil {
		return nil, err
	}
	w.useKV(t, c)
	s := &simStream{w: w, t: t, c: c, fault: f, next: c.ResumeFrom, tokens: simTokens(requestMark(c.Body))}
	w.mu.Lock()
	s.breakAt = w.rng.IntN(len(s.tokens))
	w.mu.Unlock()
	return s, nil
}

// simStream is a streamed answer whose fault, if any, occurs at token breakAt.
type simStream struct {
	w      *simBackends
	t      engine.Target
	c      engine.Call
	fault  fault
	tokens []string
	next   int
	// breakAt is the index of the token at which the fault occurs.
	breakAt       int
	duplicateSent bool
}

func (s *simStream) Next(ctx context.Context) (engine.Event, error) {
	select {
	case <-time.After(2 * time.Millisecond):
	case <-ctx.Done():
		return engine.Event{}, &engine.Error{Kind: engine.Canceled, Server: s.t.Server, Sent: true, Err: ctx.Err()}
	}
	if s.next >= len(s.tokens) {
		return engine.Event{AttemptID: s.c.AttemptID, Index: s.next, End: true}, nil
	}
	ev := engine.Event{AttemptID: s.c.AttemptID, Index: s.next, Text: s.tokens[s.next]}
	if s.next == s.breakAt {
		switch s.fault {
		case truncated:
			return engine.Event{}, &engine.Error{Kind: engine.Truncated, Server: s.t.Server, Sent: true, Err: errInjected}
		case wrongAttemptID:
			ev.AttemptID = "other"
			ev.Text = "other"
		case missingToken:
			s.next++
			ev.Index = s.next
			ev.Text = "gap"
		case duplicated:
			if !s.duplicateSent {
				s.duplicateSent = true
				return ev, nil
			}
		default:
		}
	}
	s.next++
	return ev, nil
}

func (s *simStream) Close() error { return nil }

// Probe implements engine.Client.
func (w *simBackends) Probe(_ context.Context, t engine.Target) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[t.Server] {
		return &engine.Error{Kind: engine.Refused, Server: t.Server, Err: errInjected}
	}
	return nil
}

func (w *simBackends) Cancel(context.Context, engine.Target, string) error { return nil }
func (w *simBackends) Load(context.Context, engine.Target) (engine.Load, error) {
	return engine.Load{}, errInjected
}
func (w *simBackends) CacheEvents(context.Context, engine.Target, uint64, int) (engine.CachePage, error) {
	return engine.CachePage{}, errInjected
}
func (w *simBackends) Order(context.Context, engine.Target, engine.Order) (engine.OrderState, error) {
	return engine.OrderState{}, errInjected
}
func (w *simBackends) ReadOrder(context.Context, engine.Target, string) (engine.OrderState, error) {
	return engine.OrderState{}, errInjected
}
