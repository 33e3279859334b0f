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

var errWorld = errors.New("world: fault")

// fault is what goes wrong in one call of the world.
type fault int

const (
	good fault = iota
	refused
	partialWrite
	serverError
	silent
	truncated
	crossed
	late
	duplicated
	gap
	crash
	// stubborn runs on for long though its call was cancelled.
	stubborn
	faultCount
)

// world holds fake backend servers, and knows what each of them really ran: it is the oracle.
type world struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faulty float64
	// always is the fault of all calls, when it is not good.
	always  fault
	poison  string
	down    map[string]bool
	lost    map[string]int
	running map[string]int
	// sent counts the calls of which a byte left, by caller's body and path.
	sent  map[string]int
	slots int
	// expired counts calls sent under a slot that was not valid any more.
	expired int
	// roles makes half of the servers prefill servers and half decode servers.
	roles bool
	// only is the only call on which faults fall, when set.
	only func(t engine.Target, c engine.Call) bool
	// kv holds the KV caches by server and attempt, as the caller's mark.
	kv map[string]string
	// kvCrossed counts KV caches that met another caller's call; kvUsed those that were used.
	kvCrossed, kvUsed int
	kvFaults          [2]engine.Kind
}

// padding makes a prompt long enough for a hand-over when there are roles.
func (w *world) padding() string {
	if !w.roles {
		return ""
	}
	return strings.Repeat(" and so on", engine.PrefixBlock/10)
}

// role is the role of a server when there are roles.
func (w *world) role(server string) string {
	if (server[len(server)-1]-'0')%2 == 0 {
		return engine.RolePrefill
	}
	return engine.RoleDecode
}

// full reports whether no server of the role is up.
func (w *world) full(r dispatch.SlotRequest) bool {
	s := w.pick(r)
	if s == nil {
		return true
	}
	s.Done(dispatch.Report{})
	return false
}

// expiredSlot marks the target of a slot that is not valid.
const expiredSlot = "expired slot"

func newWorld(seed uint64, faulty float64) *world {
	return &world{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		faulty:  faulty,
		down:    map[string]bool{},
		lost:    map[string]int{},
		running: map[string]int{},
		sent:    map[string]int{},
		kv:      map[string]string{},
	}
}

const worldServers = 6

func (w *world) draw() (fault, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := time.Duration(1+w.rng.IntN(40)) * time.Millisecond
	if w.always != good {
		return w.always, d
	}
	if w.rng.Float64() >= w.faulty {
		return good, d
	}
	return fault(1 + w.rng.IntN(int(faultCount)-1)), d
}

// Acquire implements dispatch.Slots.
func (w *world) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	w.mu.Lock()
	wait := time.Duration(w.rng.IntN(5)) * time.Millisecond
	refuse := w.rng.Float64() < w.faulty/4
	w.mu.Unlock()
	for first := true; ; first = false {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, apierr.New(503, apierr.NoCapacity, "gave up waiting")
		}
		if r.SpareOnly && r.Role != "" && (refuse || w.full(r)) {
			return nil, apierr.New(503, apierr.NoCapacity, "nothing to spare")
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

func (w *world) pick(r dispatch.SlotRequest) *worldSlot {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.rng.IntN(worldServers)
	for i := range worldServers {
		name := fmt.Sprintf("%s-%d", r.Pool, (at+i)%worldServers)
		if r.Role != "" && w.roles && r.Role != w.role(name) {
			continue
		}
		if w.down[name] || contains(r.Avoid, name) || w.running[name] < 0 || (r.Alone && w.running[name] > 0) {
			continue
		}
		s := &worldSlot{w: w, name: name, alone: r.Alone, valid: w.rng.Float64() >= w.faulty/8}
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

type worldSlot struct {
	w     *world
	name  string
	alone bool
	valid bool
	done  int
}

func (s *worldSlot) Target() engine.Target {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	t := engine.Target{Server: s.name, Incarnation: fmt.Sprint(s.w.lost[s.name])}
	if !s.valid {
		t.FailureDomain = expiredSlot
	}
	if s.w.roles {
		t.Role = s.w.role(s.name)
		t.Capabilities = []string{engine.CapabilityKV}
	}
	return t
}
func (s *worldSlot) Cold() bool  { return false }
func (s *worldSlot) Valid() bool { return s.valid }

func (s *worldSlot) Done(dispatch.Report) {
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
		panic("slot given back twice")
	}
}

// note records that a byte of the call left.
func (w *world) note(c engine.Call, t engine.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.FailureDomain == expiredSlot {
		w.expired++
	}
	w.sent[callerOf(c.Body)]++
	w.sent[callerOf(c.Body)+" "+c.Path]++
}

// callerOf finds the mark #id# that each test request carries.
func callerOf(body []byte) string {
	_, after, _ := strings.Cut(string(body), "#")
	id, _, _ := strings.Cut(after, "#")
	return id
}

func (w *world) sentOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[id]
}

// enter sends the call: it applies the faults that come before the answer.
func (w *world) enter(ctx context.Context, t engine.Target, c engine.Call) (fault, error) {
	f, d := w.draw()
	if w.only != nil && !w.only(t, c) {
		f, d = good, time.Millisecond
	}
	fail := func(k engine.Kind, sent bool) error {
		return &engine.Error{Kind: k, Server: t.Server, Sent: sent, Err: errWorld}
	}
	if f == refused || w.isDown(t.Server) {
		return f, fail(engine.Refused, false)
	}
	if ctx.Err() != nil {
		return f, fail(engine.Canceled, false)
	}
	w.note(c, t)
	if w.poison != "" && strings.Contains(string(c.Body), w.poison) {
		f = crash
	}
	if f == late {
		d += 400 * time.Millisecond
	}
	limit := c.ProgressTimeout
	if f == silent {
		d = time.Hour
	}
	if f == stubborn {
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

func (w *world) isDown(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down[server]
}

// kill takes a server down for a while.
func (w *world) kill(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[server] {
		return
	}
	w.down[server] = true
	w.lost[server]++
	time.AfterFunc(700*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.down[server] = false
	})
}

// Call implements engine.Client.
func (w *world) Call(ctx context.Context, t engine.Target, c engine.Call) (engine.Answer, error) {
	f, err := w.enter(ctx, t, c)
	if err != nil {
		return engine.Answer{}, err
	}
	w.useKV(t, c)
	if c.Prefill && f != crossed && f != truncated {
		w.keepKV(t, c.AttemptID, callerOf(c.Body))
		return engine.Answer{AttemptID: c.AttemptID, Status: 200, FirstByte: time.Millisecond}, nil
	}
	a := engine.Answer{AttemptID: c.AttemptID, Status: 200, ContentType: "application/json", FirstByte: time.Millisecond}
	switch f {
	case truncated:
		return engine.Answer{}, &engine.Error{Kind: engine.Truncated, Server: t.Server, Sent: true, Err: errWorld}
	case crossed:
		a.AttemptID = "other"
		a.Body = worldAnswer(c.Operation, "other")
	default:
		a.Body = worldAnswer(c.Operation, callerOf(c.Body))
	}
	return a, nil
}

// worldAnswer is a whole answer to the request marked id.
func worldAnswer(op engine.Operation, id string) []byte {
	switch op {
	case engine.Embed:
		return []byte(`{"data":[{"embedding":[1]}]}`)
	case engine.Retrieve:
		return []byte(`{"documents":["d of #` + id + `#"]}`)
	case engine.Rerank:
		return []byte(`{"results":[{"index":0}]}`)
	case engine.Chat:
		return []byte(`{"choices":[{"message":{"content":"` + strings.Join(worldTokens(id), "") + `"}}]}`)
	default:
		return []byte("answer to " + id)
	}
}

func worldTokens(id string) []string {
	out := make([]string, 8)
	for i := range out {
		out[i] = fmt.Sprintf("%s.%d ", id, i)
	}
	return out
}

// Stream implements engine.Client.
func (w *world) Stream(ctx context.Context, t engine.Target, c engine.Call) (engine.Stream, error) {
	f, err := w.enter(ctx, t, c)
	if err != nil {
		return nil, err
	}
	w.useKV(t, c)
	s := &worldStream{w: w, t: t, c: c, fault: f, next: c.ResumeFrom, tokens: worldTokens(callerOf(c.Body))}
	w.mu.Lock()
	s.breakAt = w.rng.IntN(len(s.tokens))
	w.mu.Unlock()
	return s, nil
}

type worldStream struct {
	w       *world
	t       engine.Target
	c       engine.Call
	fault   fault
	tokens  []string
	next    int
	breakAt int
	twice   bool
}

func (s *worldStream) Next(ctx context.Context) (engine.Event, error) {
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
			return engine.Event{}, &engine.Error{Kind: engine.Truncated, Server: s.t.Server, Sent: true, Err: errWorld}
		case crossed:
			ev.AttemptID = "other"
			ev.Text = "other"
		case gap:
			s.next++
			ev.Index = s.next
			ev.Text = "gap"
		case duplicated:
			if !s.twice {
				s.twice = true
				return ev, nil
			}
		default:
		}
	}
	s.next++
	return ev, nil
}

func (s *worldStream) Close() error { return nil }

// Probe implements engine.Client.
func (w *world) Probe(_ context.Context, t engine.Target) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[t.Server] {
		return &engine.Error{Kind: engine.Refused, Server: t.Server, Err: errWorld}
	}
	return nil
}

func (w *world) Cancel(context.Context, engine.Target, string) error { return nil }
func (w *world) Load(context.Context, engine.Target) (engine.Load, error) {
	return engine.Load{}, errWorld
}
func (w *world) CacheEvents(context.Context, engine.Target, uint64, int) (engine.CachePage, error) {
	return engine.CachePage{}, errWorld
}
func (w *world) Order(context.Context, engine.Target, engine.Order) (engine.OrderState, error) {
	return engine.OrderState{}, errWorld
}
func (w *world) ReadOrder(context.Context, engine.Target, string) (engine.OrderState, error) {
	return engine.OrderState{}, errWorld
}
