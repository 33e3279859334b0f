// Package orders keeps backend servers at what operators ordered: models, adapters, versions and roles. It runs on the
// one control VM that holds the lease for a server, and decides when to send an order and when to read back.
//
// Every order carries its fencing number, the log index at which the intent was accepted, so that servers that check it
// refuse an older intent. For servers that ignore the number: only the lease holder sends, one order at a time for each
// server, and a new holder waits until an order of the previous one can't arrive any more. What the server says when read
// back counts, never the answer to the order alone.
package orders

import (
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// Times of the reconciler.
const (
	// RequestTimeout bounds one call to a server; after it, an order can't arrive any more.
	RequestTimeout = 5 * time.Second
	// ReadEvery is how often an intent in force is read back.
	ReadEvery = 30 * time.Second
	// RetryAfter is the wait after a failed call.
	RetryAfter = 2 * time.Second
)

// Lease is this VM's hold on a server's lease.
type Lease struct {
	Held bool
	// Fence changes with each holder.
	Fence uint64
	// Until is when the lease ends unless renewed, on the holder's own clock.
	Until time.Time
}

// Step is what to do next for one server: at most one call is outstanding.
type Step struct {
	Target engine.Target
	// Send is set when an order is to be sent, else Kind is to be read back.
	Send *engine.Order
	Kind string
	// ID matches the step with its result.
	ID uint64
}

// Result is what came of a step.
type Result struct {
	ID    uint64
	State engine.OrderState
	// Err is nil, or the call's error.
	Err *engine.Error
}

// Server reconciles one server. It is pure and not safe for concurrent use.
type Server struct {
	target engine.Target
	inv    *invariant.Recorder

	lease Lease
	// quietUntil is when no order of a previous holder, and none that was lost, can arrive any more.
	quietUntil time.Time
	intents    map[string]*intent
	next       uint64
	open       uint64
	openKind   string
	openUntil  time.Time
	openSend   bool
}

// intent is what a server is to have of one kind.
type intent struct {
	order   engine.Order
	inForce bool
	// dueAt is when to act next; mustRead is true when the server has to be read before anything is sent.
	dueAt    time.Time
	mustRead bool
	// tried is true when an order was sent since the last read.
	tried    bool
	detail   string
	reported bool
}

// NewServer returns a reconciler of the server t without intents.
func NewServer(t engine.Target, inv *invariant.Recorder) *Server {
	return &Server{target: t, inv: inv, intents: make(map[string]*intent)}
}

// KindName is the name of an order's subject in the engine protocol.
func KindName(k daisyhatchv1.OrderKind) string {
	switch k {
	case daisyhatchv1.OrderKind_ORDER_KIND_LOAD_MODEL:
		return "model"
	case daisyhatchv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		return "adapter"
	case daisyhatchv1.OrderKind_ORDER_KIND_SET_VERSION:
		return "version"
	case daisyhatchv1.OrderKind_ORDER_KIND_SET_ROLE:
		return "role"
	default:
		return ""
	}
}

// SetLease tells the state of the lease. With a new fence, orders of the previous holder may still be under way.
func (s *Server) SetLease(now time.Time, l Lease) {
	if l.Held && (!s.lease.Held || l.Fence != s.lease.Fence) {
		s.quietUntil = later(s.quietUntil, now.Add(RequestTimeout))
		for _, i := range s.intents {
			i.mustRead = true
			i.dueAt = now
		}
	}
	s.lease = l
}

// SetTarget takes a new announcement. A new incarnation has lost what it was ordered.
func (s *Server) SetTarget(now time.Time, t engine.Target) {
	if t.Incarnation != s.target.Incarnation {
		for _, i := range s.intents {
			i.inForce = false
			i.mustRead = true
			i.dueAt = now
		}
	}
	s.target = t
}

// SetIntents takes all accepted orders that concern the server. The one with the highest fence of each kind counts.
func (s *Server) SetIntents(now time.Time, orders []*daisyhatchv1.Order) {
	newest := make(map[string]engine.Order)
	for _, o := range orders {
		k := KindName(o.GetKind())
		if k == "" || o.GetFence() < newest[k].Fence {
			continue
		}
		newest[k] = engine.Order{ID: o.GetOrderId(), Kind: k, Value: o.GetValue(), Fence: o.GetFence()}
	}
	for k, o := range newest {
		had, ok := s.intents[k]
		if ok && had.order.Fence >= o.Fence {
			continue
		}
		s.intents[k] = &intent{order: o, dueAt: now, mustRead: ok && had.mustRead}
	}
	for k := range s.intents {
		if _, ok := newest[k]; !ok {
			delete(s.intents, k)
		}
	}
}

// Idle reports whether no call is outstanding.
func (s *Server) Idle() bool { return s.open == 0 }

// Next returns the next step that is due, if any.
func (s *Server) Next(now time.Time) (Step, bool) {
	if s.open != 0 {
		if now.Before(s.openUntil) {
			return Step{}, false
		}
		s.lost(now)
	}
	if !s.lease.Held || !now.Before(s.lease.Until) {
		return Step{}, false
	}
	for _, k := range s.kinds() {
		i := s.intents[k]
		if now.Before(i.dueAt) {
			continue
		}
		if i.inForce || i.mustRead {
			return s.begin(now, k, nil), true
		}
		if !s.target.ChecksFence && now.Before(s.quietUntil) {
			continue
		}
		o := i.order
		return s.begin(now, k, &o), true
	}
	return Step{}, false
}

// kinds returns the kinds in a fixed order.
func (s *Server) kinds() []string {
	kinds := make([]string, 0, len(s.intents))
	for k := range s.intents {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

func (s *Server) begin(now time.Time, kind string, send *engine.Order) Step {
	s.inv.Assert(s.open == 0, "one-order-outstanding", "server %s", s.target.Server)
	s.next++
	s.open = s.next
	s.openKind = kind
	s.openSend = send != nil
	s.openUntil = now.Add(RequestTimeout)
	return Step{Target: s.target, Send: send, Kind: kind, ID: s.open}
}

// lost ends a step without a result: what it did is not known.
func (s *Server) lost(now time.Time) {
	if i, ok := s.intents[s.openKind]; ok {
		i.mustRead = true
		i.dueAt = now
	}
	s.open = 0
}

// Done takes the result of a step. It returns a record for the replicated log when the intent's state changed.
func (s *Server) Done(now time.Time, r Result) (*daisyhatchv1.OrderResultCommand, bool) {
	if r.ID != s.open {
		return nil, false
	}
	kind, sent := s.openKind, s.openSend
	s.open = 0
	i, ok := s.intents[kind]
	if !ok {
		return nil, false
	}
	switch {
	case r.Err != nil && r.Err.Kind == engine.Stale:
		return s.stale(now, i)
	case r.Err != nil:
		s.failed(now, i, sent && r.Err.Sent)
		return nil, false
	case sent:
		i.tried = true
		i.mustRead = true
		i.dueAt = now
		return nil, false
	default:
		return s.read(now, i, r.State)
	}
}

// failed handles a call that failed. An order that may be under way still must not meet a newer one at a server that
// ignores fencing numbers, whatever intent comes meanwhile.
func (s *Server) failed(now time.Time, i *intent, underWay bool) {
	i.mustRead = i.mustRead || underWay
	i.dueAt = now.Add(RetryAfter)
	if underWay {
		s.quietUntil = later(s.quietUntil, now.Add(RequestTimeout))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stale handles a server that has seen a higher fencing number: a newer intent is in the log and will come.
func (s *Server) stale(now time.Time, i *intent) (*daisyhatchv1.OrderResultCommand, bool) {
	i.mustRead = true
	i.dueAt = now.Add(RetryAfter)
	return s.record(i, false, "the server has seen a higher fencing number")
}

// read compares what the server has with the intent.
func (s *Server) read(now time.Time, i *intent, got engine.OrderState) (*daisyhatchv1.OrderResultCommand, bool) {
	i.mustRead = false
	if got.Value == i.order.Value {
		i.dueAt = now.Add(ReadEvery)
		i.tried = false
		return s.record(i, true, "")
	}
	i.dueAt = now
	if i.tried {
		i.dueAt = now.Add(RetryAfter)
	}
	i.tried = false
	return s.record(i, false, "the server has "+got.Value)
}

func (s *Server) record(i *intent, inForce bool, detail string) (*daisyhatchv1.OrderResultCommand, bool) {
	if i.reported && i.inForce == inForce && i.detail == detail {
		return nil, false
	}
	i.reported = true
	i.inForce = inForce
	i.detail = detail
	return &daisyhatchv1.OrderResultCommand{
		OrderId: i.order.ID,
		Server:  s.target.Server,
		Fence:   i.order.Fence,
		InForce: inForce,
		Detail:  detail,
	}, true
}
