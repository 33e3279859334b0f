package grant

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// ErrStale means that a request has a sequence number that is not higher than the last one answered for its holder.
var ErrStale = errors.New("grant: request out of order")

// Periods and initial values of the grantor.
const (
	// crashColdPeriod is how long a server counts as cold after a holder reported a refused connection or a crash.
	crashColdPeriod = 2 * time.Second
	// avoidPeriod is how long a holder that reported such a failure gets no units of the server.
	avoidPeriod = 2 * time.Second
	// reservePeriod is how long a server stays reserved for an exclusive grant after the holder's last request for one.
	reservePeriod = 5 * time.Second
	// defaultDeadline is the least value of Grantor.maxDeadline, also used before there is a configuration.
	defaultDeadline = 5 * time.Second
	// unreportedLoad is the number of calls assumed on a server that has not reported its load: more than any budget.
	unreportedLoad = 1 << 30
	// maxAnnounceDelay is the longest time that an announcement takes to arrive.
	maxAnnounceDelay = time.Second
)

// Grantor divides the concurrency budgets of backend servers between holders, for the shards whose leases its VM holds.
// It is not safe for concurrent use.
type Grantor struct {
	invariants *invariant.Recorder
	version    uint64
	cfg        *config.Set
	// maxDeadline is the longest deadline of any pipeline or service, and so the longest time that a call may run.
	maxDeadline time.Duration
	shards      [Shards]shardState
	servers     map[string]*server
	pools       map[string]*pool
	holders     map[holderKey]*holder
	// imported is the state that other VMs handed over, for shards whose leases this VM has not acquired yet.
	imported [Shards]*importedState
	// takenOver holds the imported states that were put into use since the last call of TakenOver.
	takenOver []*daisyhatchv1.ShardState
	rng       *rand.Rand
	startedAt time.Time
	numbers   *numbers
	scratch   scratch
}

// shardState is the state of one shard's lease.
type shardState struct {
	fence      uint64
	leaseUntil time.Time
	// exported is true once the state was handed over; nothing is granted under this fence after that.
	exported bool
	// takenOverAt is when the lease was taken over from another VM. It is zero when the lease had no former holder, or
	// when the imported state includes the organisations' limits (KeepsLimits).
	takenOverAt time.Time
	// quietUntil is when the last grant of a former grantor has expired; nothing is granted before.
	quietUntil time.Time
	// recoveredAt is when every call that started under a former grantor has ended.
	recoveredAt time.Time
}

// pool is the grantor's state of one pool.
type pool struct {
	// number replaces the pool's name in messages of a session.
	number  uint32
	servers []*server
	wants   map[*holder]int
	// shares is the last division of the budget; nil before the first.
	shares *shares
}

type holderKey struct {
	vm          string
	incarnation string
}

// holder is the grantor's state of one process of an entry VM.
type holder struct {
	key           holderKey
	domain        string
	sequence      uint64
	lastRequestAt time.Time
	servers       map[*server]struct{}
	// session is the ID that replaces the holder's name in its requests; 0 before its first request.
	session uint64
}

// NewGrantor returns a Grantor that holds no lease. rng breaks ties between servers and provides session IDs.
func NewGrantor(invariants *invariant.Recorder, rng *rand.Rand, now time.Time) *Grantor {
	return &Grantor{
		startedAt:   now,
		invariants:  invariants,
		maxDeadline: defaultDeadline,
		servers:     make(map[string]*server),
		pools:       make(map[string]*pool),
		holders:     make(map[holderKey]*holder),
		rng:         rng,
		numbers:     newNumbers(),
	}
}

// Configure applies a configuration. It ignores nil and any version that is not higher than the current one.
func (g *Grantor) Configure(version uint64, set *config.Set) {
	if set == nil || g.cfg != nil && version <= g.version {
		return
	}
	g.version, g.cfg = version, set
	g.maxDeadline = longestDeadline(set)
	for _, s := range g.servers {
		g.updateDomainState(s)
	}
}

func longestDeadline(set *config.Set) time.Duration {
	longest := defaultDeadline
	for _, p := range set.Pipelines {
		longest = max(longest, p.Deadline)
	}
	for _, s := range set.Services {
		longest = max(longest, s.Deadline)
	}
	return longest
}

// updateDomainState records whether the server's failure domain is taken out of service. When that happens, the server
// becomes cold at once, so that a VM that acquires its lease only after the domain is back also treats it as cold.
func (g *Grantor) updateDomainState(s *server) {
	if g.cfg == nil || s.ann == nil {
		return
	}
	d := g.cfg.FailureDomains[s.ann.FailureDomain]
	out := d == nil || d.Out
	if !s.domainOut && out {
		s.warmth.turnCold()
	}
	s.domainOut = out
}

// LeaseRenewed records that the lease of a shard was acquired or renewed with the fence, by a request sent at asked.
// With a higher fence than the last one, another VM may have made grants in between, so that the shard starts with a
// quiet period unless an imported state matches the fence. first is true when the lease never had a holder before. A
// late answer with a lower fence is ignored.
func (g *Grantor) LeaseRenewed(shard uint32, fence uint64, first bool, asked, now time.Time) {
	st := &g.shards[shard]
	if fence < st.fence {
		return
	}
	if fence > st.fence {
		g.resetShard(shard)
		st.fence, st.exported = fence, false
		st.quietUntil = now
		st.recoveredAt = now
		st.takenOverAt = time.Time{}
		if !first {
			st.takenOverAt = now
		}
		if !g.takeOver(shard, fence, now) && !first {
			st.quietUntil = now.Add(QuietPeriod)
			st.recoveredAt = st.quietUntil.Add(g.maxDeadline)
		}
	}
	if until := asked.Add(LeaseTTL); until.After(st.leaseUntil) && !st.exported {
		st.leaseUntil = until
	}
}

// LeaseLost records that the lease of a shard is no longer held.
func (g *Grantor) LeaseLost(shard uint32) {
	g.shards[shard].leaseUntil = time.Time{}
}

// resetShard clears the charges and warm-up state of a shard's servers, since another grantor may have changed them.
func (g *Grantor) resetShard(shard uint32) {
	for _, s := range g.servers {
		if s.shard != shard {
			continue
		}
		for _, c := range s.charges {
			delete(c.holder.servers, s)
		}
		s.charges, s.charged, s.reported = nil, 0, 0
		s.formerCalls = unreportedLoad
		s.warmth = warmth{}
		s.reservedFor = nil
		g.numbers.renumber(s)
	}
}

// Holds reports whether the VM holds the lease of the shard and has not handed the shard over.
func (g *Grantor) Holds(shard uint32, now time.Time) bool {
	return now.Before(g.shards[shard].leaseUntil)
}

// Tenure returns the fence of the shard's lease, and whether the lease was taken over from another VM less than TTL
// ago, so that some holders may not have sent a request since.
func (g *Grantor) Tenure(shard uint32, now time.Time) (fence uint64, recent bool) {
	st := &g.shards[shard]
	return st.fence, now.Before(st.takenOverAt.Add(TTL))
}

// mayGrant reports whether the VM may make grants in the shard: it holds the lease and the quiet period is over.
func (g *Grantor) mayGrant(shard uint32, now time.Time) bool {
	st := &g.shards[shard]
	return now.Before(st.leaseUntil) && !now.Before(st.quietUntil)
}

func (g *Grantor) pool(name string) *pool {
	p := g.pools[name]
	if p == nil {
		p = &pool{number: g.numbers.addPool(name), wants: make(map[*holder]int)}
		g.pools[name] = p
	}
	return p
}

// Tick removes holders and servers that have been silent for so long that none of their calls can be in flight. It is
// called periodically.
func (g *Grantor) Tick(now time.Time) {
	for key, h := range g.holders {
		if now.Sub(h.lastRequestAt) <= TTL+g.maxDeadline {
			continue
		}
		for s := range h.servers {
			s.removeCharge(h)
		}
		for _, p := range g.pools {
			delete(p.wants, h)
		}
		delete(g.holders, key)
		g.numbers.close(h)
	}
	for name, s := range g.servers {
		if now.Sub(s.heard) > AnnounceTTL+g.maxDeadline && len(s.charges) == 0 {
			g.drop(s, s.ann.Pool)
			delete(g.servers, name)
			g.numbers.drop(s)
		}
	}
}

// Acquire answers a holder's request. It modifies r: numbers are replaced by the names that they stand for. It returns
// ErrStale for a request that is older than one already answered, and ErrUnknownNumber for one whose session or numbers
// are unknown; in both cases the state is unchanged.
func (g *Grantor) Acquire(r *daisyhatchv1.AcquireRequest, now time.Time) (*daisyhatchv1.AcquireResponse, error) {
	if err := g.numbers.resolve(r); err != nil {
		return nil, err
	}
	h := g.holder(r)
	if r.Sequence <= h.sequence {
		return nil, fmt.Errorf("%w: sequence %d after %d from %s", ErrStale, r.Sequence, h.sequence, r.Vm)
	}
	h.sequence, h.lastRequestAt = r.Sequence, now
	if r.Session == 0 {
		h.domain = r.FailureDomain
	}
	g.applyReport(h, r, now)
	out := &daisyhatchv1.AcquireResponse{
		Sequence:             r.Sequence,
		ConfigurationVersion: g.version,
		RenewMs:              RenewInterval.Milliseconds(),
		TtlMs:                TTL.Milliseconds(),
	}
	if r.Session == 0 {
		out.Session = g.numbers.open(h, g.rng)
	}
	out.KeptShards = g.keptShards(h, now)
	if r.Release {
		for _, p := range g.pools {
			delete(p.wants, h)
		}
		return out, nil
	}
	for _, d := range r.Demands {
		g.allocate(h, r, d, out, now)
	}
	return out, nil
}

// keptShards returns, in ascending order, the shards where the holder has units that this VM can't renew because it
// does not hold the lease. The holder keeps these units until they expire.
func (g *Grantor) keptShards(h *holder, now time.Time) []uint32 {
	var out []uint32
	for s := range h.servers {
		if !g.Holds(s.shard, now) && !slices.Contains(out, s.shard) {
			out = append(out, s.shard)
		}
	}
	slices.Sort(out)
	return out
}

func (g *Grantor) holder(r *daisyhatchv1.AcquireRequest) *holder {
	if h := g.numbers.sessions[r.Session]; h != nil {
		return h
	}
	key := holderKey{r.Vm, r.Incarnation}
	h := g.holders[key]
	if h == nil {
		h = &holder{key: key, servers: make(map[*server]struct{})}
		g.holders[key] = h
	}
	return h
}

// applyReport replaces the holder's charges by what it reports in the request. The report is complete: the holder drops
// answers to earlier requests that it has not applied by now. Units from a hand-over stay charged until minUnitsUntil.
func (g *Grantor) applyReport(h *holder, r *daisyhatchv1.AcquireRequest, now time.Time) {
	for s := range h.servers {
		c := s.chargeOf(h)
		s.setUnits(c, 0, 0)
		c.mentioned, c.revision, c.number = false, 0, 0
	}
	for _, d := range r.Demands {
		for _, u := range d.Uses {
			s := g.servers[u.Server]
			if s == nil {
				continue
			}
			h.servers[s] = struct{}{}
			c := s.chargeOf(h)
			s.setUnits(c, int(max(u.Units, u.InFlight)), int(u.InFlight))
			c.mentioned = true
			if p := g.poolConfig(d.Pool); p != nil {
				s.applyUse(p, c, u, g.inQuietPeriod(s.shard, now), now)
			}
			c.revision, c.number = u.Revision, u.Number
			if u.Broken {
				c.avoidUntil = now.Add(avoidPeriod)
			}
		}
	}
	for s := range h.servers {
		c := s.chargeOf(h)
		if !c.mentioned {
			// The holder has dropped the server, and its announcement with it.
			c.revision = 0
		}
		if now.Before(c.minUnitsUntil) {
			s.setUnits(c, max(c.units, c.minUnits), c.inFlight)
			continue
		}
		if !c.mentioned && !now.Before(c.avoidUntil) && s.reservedFor != h {
			s.removeCharge(h)
			delete(h.servers, s)
		}
	}
}

// inQuietPeriod reports whether a shard is in its quiet period, in which holders report their grants of the former
// grantor.
func (g *Grantor) inQuietPeriod(shard uint32, now time.Time) bool {
	return now.Before(g.shards[shard].quietUntil)
}

func (g *Grantor) poolConfig(name string) *config.Pool {
	if g.cfg == nil {
		return nil
	}
	return g.cfg.Pools[name]
}
