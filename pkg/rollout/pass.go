package rollout

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Pass is the way of one request through the roll-outs of its service. It isn't safe for concurrent use.
type Pass struct {
	holder  *Holder
	service string
	key     uint64
	// number is the order for which the request was drawn, 0 before; held is true while it holds a unit of a grant.
	number uint64
	held   bool
	// asks is true for a Pass that only tells where a request would go; it counts nothing.
	asks bool
	// counted is the order for which the current send was counted.
	counted *order
	// sentTo is the server of the current or latest send, and sentAt when it began; at is its place in the counts.
	sentTo   Server
	sentAt   time.Time
	order    *order
	running  bool
	failed   bool
	answered time.Duration
	// onTrial is true once the request was sent to a version on trial.
	onTrial bool
	// noTrial keeps it from versions on trial.
	noTrial bool
	// waits is true while the request is held back from versions that appeared without an order, and waited once it isn't any more.
	waits, waited bool
	// switches is true while the request is kept from the other versions by a switch, and stays once it isn't any more.
	switches, stays bool
}

// NewPass returns the Pass of a request of a service. Requests with the same key, such as those of a session, go to the same
// version as far as grants allow.
func (h *Holder) NewPass(service, key string) *Pass {
	return &Pass{holder: h, service: service, key: xxhash.Sum64String(key)}
}

// Ask returns a Pass for Select that tells where a request would go, and counts nothing.
func (h *Holder) Ask(service, key string) *Pass {
	p := h.NewPass(service, key)
	p.asks = true
	return p
}

// NewPassWithoutTrial returns the Pass of calls of a service that go to no version on trial, and need no Release.
func (h *Holder) NewPassWithoutTrial(service string) *Pass {
	return &Pass{holder: h, service: service, noTrial: true}
}

// Service returns the service that the Pass is for.
func (p *Pass) Service() string { return p.service }

// OnTrial reports whether the request was sent to a version on trial.
func (p *Pass) OnTrial() bool { return p != nil && p.onTrial }

// Release gives back what the request held.
func (p *Pass) Release() {
	if p == nil {
		return
	}
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	p.release()
}

func (p *Pass) release() {
	if !p.held {
		return
	}
	p.held = false
	if o := p.holder.orders[p.service]; !p.asks && o != nil && o.GetNumber() == p.number {
		o.held--
	}
}

// Abandon gives up the place of a request at the version on trial, since no server of it takes the request now. It returns
// false if the request had none.
func (p *Pass) Abandon() bool {
	if p == nil {
		return false
	}
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	had := p.held
	p.release()
	return had
}

// EndHold lets the request go to versions that appeared without an order, or during a switch to the versions that are left,
// since no other server can take it now. It returns false if it wasn't held back from any.
func (p *Pass) EndHold() bool {
	switch {
	case p == nil:
		return false
	case p.waits:
		p.waits, p.waited = false, true
	case p.switches:
		p.switches, p.stays = false, true
	default:
		return false
	}
	return true
}

// draw decides whether the request goes to the version on trial, once for each order. h.mu must be held.
func (p *Pass) draw(o *order, pinned bool, now time.Time) {
	if p.noTrial || p.number == o.GetNumber() && !pinned {
		return
	}
	p.release()
	p.number = o.GetNumber()
	if !pinned && float64(p.key) >= o.fraction*math.MaxUint64 {
		return
	}
	p.held = o.exposed+o.held < o.granted && now.Before(o.validUntil)
	if p.asks {
		return
	}
	o.wanted++
	if p.held {
		o.held++
	}
}

// Select returns the servers that the request may go to. pinned is the version that began its stream; nil if none did.
func Select[T any](p *Pass, list []T, of func(T) Server, pinned *string, now time.Time) []T {
	servers := make([]Server, 0, len(list))
	for _, v := range list {
		servers = append(servers, of(v))
	}
	h := p.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	allowed := p.allowed(servers, pinned, now)
	if allowed == nil {
		return list
	}
	var out []T
	for i, v := range list {
		if allowed(servers[i]) {
			out = append(out, v)
		}
	}
	return out
}

// allowed returns which servers the request may go to; nil stands for all. h.mu must be held, also when the function is called.
func (p *Pass) allowed(servers []Server, pinned *string, now time.Time) func(Server) bool {
	h := p.holder
	held := h.unordered(p.service, servers, now)
	o := h.orders[p.service]
	if o == nil || Ended(o.GetPhase()) {
		p.release()
	}
	var allowed func(Server) bool
	p.switches = false
	if o != nil {
		o.note(servers, now)
		allowed = p.inOrder(o, servers, pinned, now)
		held = slices.DeleteFunc(held, func(v string) bool { return v == o.GetVersion() })
	}
	if p.waited || pinned != nil {
		held = nil
	}
	p.waits = len(held) > 0
	takenOut := func(s Server) bool { return o != nil && o.takenOutBefore(s, now) }
	if len(held) == 0 && !slices.ContainsFunc(servers, takenOut) {
		return allowed
	}
	return func(s Server) bool {
		return !slices.Contains(held, s.Version) && !takenOut(s) && (allowed == nil || allowed(s))
	}
}

// inOrder is allowed for a service with a roll-out. h.mu must be held.
func (p *Pass) inOrder(o *order, servers []Server, pinned *string, now time.Time) func(Server) bool {
	version := o.GetVersion()
	isNew := func(s Server) bool { return s.Version == version }
	isOld := func(s Server) bool { return s.Version != version }
	switch o.GetPhase() {
	case Trial:
		if pinned == nil || *pinned == version && !p.held {
			p.draw(o, pinned != nil, now)
		}
		focus := focused(servers, version, o.focus, o.round)
		if pinned != nil {
			held := p.held
			return func(s Server) bool { return s.Version == *pinned && (held || isOld(s)) }
		}
		if p.held && len(focus) > 0 {
			return func(s Server) bool { return isNew(s) && slices.Contains(focus, s.ID) }
		}
		return isOld
	case Switching:
		if pinned != nil || p.stays || !slices.ContainsFunc(servers, isNew) {
			return nil
		}
		p.switches = slices.ContainsFunc(servers, isOld)
		return isNew
	}
	return func(s Server) bool { return !o.leftOut(s, now) }
}

// focused returns the ids of the servers of a version that get the requests of a round: as many as make their load like
// that of the others.
func focused(servers []Server, version string, focus int, round uint64) []string {
	type place struct {
		id   string
		hash uint64
	}
	var list []place
	for _, s := range servers {
		if s.Version == version && s.Cold {
			focus = len(servers)
		}
		if s.Version == version {
			list = append(list, place{s.ID, xxhash.Sum64String(s.ID + "/" + strconv.FormatUint(round, 10))})
		}
	}
	slices.SortFunc(list, func(a, b place) int { return cmp.Compare(a.hash, b.hash) })
	var out []string
	for _, v := range list[:min(max(focus, 1), len(list))] {
		out = append(out, v.id)
	}
	return out
}

// MaySend reports whether the request may be sent to a server now, and counts the send once. It is called right before the
// request's first byte goes out, each time when that is tried again.
func (p *Pass) MaySend(s Server, now time.Time) bool {
	if p == nil {
		return true
	}
	h := p.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.orders[p.service]
	if o == nil {
		return true
	}
	counted := p.counted == o
	if !p.maySend(o, s, counted, now) {
		p.release()
		if counted {
			o.sent--
		}
		p.counted = nil
		return false
	}
	if !counted {
		o.sent++
		p.counted = o
	}
	return true
}

// maySend is MaySend for a service with a roll-out; counted is true if this send was counted for it. h.mu must be held.
func (p *Pass) maySend(o *order, s Server, counted bool, now time.Time) bool {
	if o.leftOut(s, now) || o.takenOutBefore(s, now) {
		return false
	}
	if s.Version != o.GetVersion() || o.GetPhase() != Trial {
		return true
	}
	if !counted && !p.held || p.number != o.GetNumber() || !now.Before(o.validUntil) {
		return false
	}
	if !counted {
		p.held = false
		o.held--
		o.exposed++
		p.onTrial = true
	}
	return true
}

// Begin records that a send to a server begins.
func (p *Pass) Begin(s Server, now time.Time) {
	if p == nil {
		return
	}
	h := p.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	p.sentTo, p.sentAt, p.counted, p.failed, p.answered = s, now, nil, false, 0
	if p.order = h.orders[p.service]; p.order != nil && s.Version != p.order.GetVersion() {
		p.order.runningElsewhere++
		p.running = true
	}
}

// Answered records that the server's answer has begun after a time. failed is true for an answer that states a failure of the
// server.
func (p *Pass) Answered(after time.Duration, failed bool) {
	if p == nil || p.answered > 0 {
		return
	}
	p.answered, p.failed = max(after, 1), failed
}

// Left records that the caller has left. A request without an answer counts by the time that it has waited.
func (p *Pass) Left(now time.Time) {
	if p != nil && p.counted != nil {
		p.Answered(now.Sub(p.sentAt), false)
	}
}

// End records that the send has ended. failed is true when the server didn't serve the request although it ran it, or could
// not be reached. An end without an answer that isn't the server's fault counts for nothing.
func (p *Pass) End(route string, failed bool, now time.Time) {
	if p == nil {
		return
	}
	h := p.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	o := p.order
	if o == nil {
		return
	}
	p.order = nil
	if p.running {
		p.running = false
		o.runningElsewhere--
	}
	if failed = failed || p.failed; !failed && p.answered == 0 {
		return
	}
	k := answerKey{route: route, candidate: p.sentTo.Version == o.GetVersion()}
	if k.candidate && len(o.answers) < maxServerKeys {
		k.server = p.sentTo.ID
	}
	a := o.answers[k]
	if a == nil {
		if len(o.answers) >= maxAnswerKeys {
			return
		}
		a = &counted{RolloutAnswers: &daisyhatchv1.RolloutAnswers{
			Route: route, Candidate: k.candidate, Server: k.server, First: make(map[uint32]uint64), Whole: make(map[uint32]uint64),
		}}
		o.answers[k] = a
	}
	a.changed = o.sequence + 1
	if failed {
		a.Failed++
		return
	}
	a.Good++
	a.First[Bucket(p.answered)]++
	a.Whole[Bucket(now.Sub(p.sentAt))]++
}
