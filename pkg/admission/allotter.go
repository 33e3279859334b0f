package admission

import (
	"math"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Allotter distributes organisations' limits among the entry VMs. It runs on the grantor: the control VM that holds the
// organisation's shard. Rate tokens come from a single token bucket per organisation, so that all entry VMs together
// never exceed the rate; concurrency units are lent for unitsTTL. Only organisations with recent requests take memory.
// It does no I/O, takes the time as an argument, and is not safe for concurrent use.
type Allotter struct {
	organisations map[string]*account
	lastDraws     map[holderKey]lastDraw
}

// holderKey identifies one process of an entry VM.
type holderKey struct {
	vm          string
	incarnation string
}

// lastDraw is the sequence number and time of a holder's last draw request.
type lastDraw struct {
	sequence uint64
	at       time.Time
}

// account is the token bucket and the lent units of one organisation.
type account struct {
	fence      uint64
	tokens     float64
	refilledAt time.Time
	// fullAt is when the bucket will be full if no more tokens are drawn.
	fullAt  time.Time
	holders []loan
	// unserved is the shortest time without a grantor that a holder reported while this one was learning; compensated is
	// the number of tokens added for it.
	unserved    time.Duration
	compensated float64
}

// loan is the concurrency units lent to one holder.
type loan struct {
	holder holderKey
	// units is the number of requests that the holder may have in flight.
	units int
	// want is the number of units that the holder last asked for.
	want int
	// at is when the holder's last draw arrived.
	at time.Time
}

// NewAllotter returns an Allotter without any organisations.
func NewAllotter() *Allotter {
	return &Allotter{organisations: make(map[string]*account), lastDraws: make(map[holderKey]lastDraw)}
}

// Len returns the number of organisations that take memory.
func (a *Allotter) Len() int { return len(a.organisations) }

// Authority says whether and how this VM grants the limits of one organisation.
type Authority struct {
	Limits Limits
	// Fence is the fencing number of the organisation's shard; 0 when another VM is its grantor. State from a different
	// fencing number is discarded.
	Fence uint64
	// Learning is true for a short time after the shard moved to this VM: no new units are lent until the holders have
	// reported the units that they have.
	Learning bool
}

// Draw answers a draw request of an entry VM. authorityOf returns the authority over an organisation; those without a fence
// are left out of the response. It returns nil for a request that is not newer than the holder's last one.
func (a *Allotter) Draw(r *daisyhatchv1.DrawRequest, authorityOf func(organisation string) Authority, now time.Time) *daisyhatchv1.DrawResponse {
	key := holderKey{r.Vm, r.Incarnation}
	if r.Sequence <= a.lastDraws[key].sequence {
		return nil
	}
	a.lastDraws[key] = lastDraw{r.Sequence, now}
	out := &daisyhatchv1.DrawResponse{Sequence: r.Sequence, Drawers: uint32(len(a.lastDraws))}
	for _, d := range r.Demands {
		if k := authorityOf(d.Organisation); k.Fence != 0 {
			out.Quotas = append(out.Quotas, a.draw(key, d, k, now))
		}
	}
	return out
}

// draw answers the demand for one organisation.
func (a *Allotter) draw(key holderKey, d *daisyhatchv1.QuotaDemand, k Authority, now time.Time) *daisyhatchv1.Quota {
	l := k.Limits
	o := a.organisations[d.Organisation]
	if o == nil || o.fence != k.Fence {
		o = &account{fence: k.Fence, refilledAt: now}
		if !k.Learning {
			o.tokens = l.burst()
		}
		a.organisations[d.Organisation] = o
	}
	q := &daisyhatchv1.Quota{Organisation: d.Organisation}
	if l.Rate > 0 {
		o.refill(l, now)
		o.tokens = min(l.burst(), o.tokens+float64(d.Returned))
		if k.Learning {
			o.compensate(l, d)
		}
		q.Tokens = uint32(min(float64(d.Tokens), math.Floor(max(o.tokens, 0))))
		o.tokens -= float64(q.Tokens)
		q.Learning = k.Learning
		if q.Tokens < d.Tokens {
			wait := (1 - o.tokens) / l.Rate * float64(time.Second)
			q.RetryMs = max(1, time.Duration(wait).Milliseconds())
		}
		o.fullAt = now.Add(time.Duration((l.burst() - o.tokens) / l.Rate * float64(time.Second)))
	}
	if l.Concurrency > 0 {
		q.Units, q.TtlMs = uint32(o.lend(key, d, k, now)), unitsTTL.Milliseconds()
	}
	return q
}

// compensate adds the tokens that accrued while the organisation had no grantor, as far as the demand needs them. The
// time is the shortest one that a holder reported, and maxUnserved at most.
func (o *account) compensate(l Limits, d *daisyhatchv1.QuotaDemand) {
	if reported := time.Duration(d.UnservedMs) * time.Millisecond; reported > 0 && (o.unserved == 0 || reported < o.unserved) {
		o.unserved = reported
	}
	maxTokens := l.Rate * min(o.unserved, maxUnserved).Seconds()
	n := max(0, min(float64(d.Tokens)-o.tokens, maxTokens-o.compensated))
	o.compensated += n
	o.tokens += n
}

// refill adds the tokens accrued since the last refill, up to the burst.
func (o *account) refill(l Limits, now time.Time) {
	o.tokens = min(l.burst(), o.tokens+l.Rate*now.Sub(o.refilledAt).Seconds())
	o.refilledAt = now
}

// lend returns how many requests the holder may have in flight: its max-min fair share, but no more than the units that
// no other holder has or may still have.
func (o *account) lend(key holderKey, d *daisyhatchv1.QuotaDemand, k Authority, now time.Time) int {
	limit := k.Limits.Concurrency
	i := slices.IndexFunc(o.holders, func(h loan) bool { return h.holder == key })
	if i < 0 {
		o.holders = append(o.holders, loan{holder: key})
		i = len(o.holders) - 1
	}
	h := &o.holders[i]
	h.at, h.want = now, int(d.Want)
	h.units = int(max(d.Units, d.InFlight))
	if k.Learning {
		return min(h.want, h.units)
	}
	others, wants := 0, make([]int, len(o.holders))
	for j := range o.holders {
		wants[j] = o.holders[j].want
		if j != i {
			others += o.holders[j].units
		}
	}
	n := max(0, min(h.want, fairShare(wants, h.want, limit), limit-others))
	h.units = max(h.units, n)
	return n
}

// fairShare returns the max-min fair share of a holder that wants want units, where wants lists the demands of all
// holders, its own included. Shares are rounded up, so the remainder goes to the holders that ask first. It sorts wants.
func fairShare(wants []int, want, limit int) int {
	slices.Sort(wants)
	left := limit
	for i, w := range wants {
		n := len(wants) - i
		level := (left + n - 1) / n
		if w > level {
			return min(want, level)
		}
		left -= w
	}
	return want
}

// Tick removes the loans of holders that have been silent for silentHolderTTL, and the organisations that have neither
// loans nor recent draws and whose buckets are full again.
func (a *Allotter) Tick(now time.Time) {
	for key, s := range a.lastDraws {
		if now.Sub(s.at) > silentHolderTTL {
			delete(a.lastDraws, key)
		}
	}
	for name, o := range a.organisations {
		o.holders = slices.DeleteFunc(o.holders, func(h loan) bool {
			return h.units == 0 && now.Sub(h.at) > idleTTL || now.Sub(h.at) > silentHolderTTL
		})
		if len(o.holders) == 0 && now.Sub(o.refilledAt) > silentHolderTTL && !now.Before(o.fullAt) {
			delete(a.organisations, name)
		}
	}
}
