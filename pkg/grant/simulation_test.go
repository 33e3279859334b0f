package grant

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/lease"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60", "rapid.checks": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const (
	simTick     = 20 * time.Millisecond
	simGrantors = 3
	simHolders  = 5
	simServers  = 4
	maxCallTime = 5 * time.Second
	poolName    = "gen"
)

// simulation is a small system of real Grantors and Holders over a faulty network in virtual time, with a record of the
// calls that run on each backend server.
type simulation struct {
	t            *rapid.T
	rng          *rand.Rand
	now          time.Time
	invariants   *invariant.Recorder
	versions     []version
	leases       *lease.Table
	grantors     []*simGrantor
	holders      []*simHolder
	servers      []*simServer
	messages     []message
	startedCalls int
}

type version struct {
	at  time.Time
	set *config.Set
}

type simGrantor struct {
	*Grantor
	name        string
	incarnation int
	observer    *lease.Observer
	renewAt     time.Time
	cutUntil    time.Time
	// logCutUntil is the end of the period in which the VM reaches holders but not the replicated log with the leases.
	logCutUntil time.Time
	pausedUntil time.Time
}

type simHolder struct {
	*Holder
	name        string
	incarnation int
	askAt       time.Time
	cutUntil    time.Time
	pausedUntil time.Time
	want        int
	unsent      []*call
}

type call struct {
	server      *simServer
	holder      *simHolder
	process     *Holder
	incarnation string
	sendAt      time.Time
	endAt       time.Time
}

type simServer struct {
	name        string
	domain      string
	incarnation int
	announceAt  time.Time
	running     map[*call]bool
	completed   int
	// coldKnown is when the VM that grants in the server's shard learnt of the current incarnation; zero before that.
	coldKnown time.Time
	leaving   time.Time
	limits    []limitChange
}

type limitChange struct {
	at    time.Time
	limit int
}

type message struct {
	at      time.Time
	deliver func()
}

func newSimulation(t *rapid.T) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		invariants: invariant.NewRecorder(logr.Discard()), leases: lease.New(),
	}
	w.versions = []version{{at: w.now, set: simConfig(4, "")}}
	for i := range simGrantors {
		g := &simGrantor{name: fmt.Sprintf("c%d", i)}
		w.restart(g)
		w.grantors = append(w.grantors, g)
	}
	for i := range simHolders {
		h := &simHolder{name: fmt.Sprintf("e%d", i)}
		h.Holder = NewHolder(Identity{VM: h.name, Incarnation: "0", FailureDomain: "a"}, w.invariants)
		w.holders = append(w.holders, h)
	}
	for i := range simServers {
		w.servers = append(w.servers, &simServer{
			name: fmt.Sprintf("s%d", i), domain: []string{"a", "b"}[i%2], running: make(map[*call]bool),
			limits: []limitChange{{at: w.now, limit: 4}},
		})
	}
	return w
}

func simConfig(concurrency int, out string) *config.Set {
	return &config.Set{
		FailureDomains: map[string]*config.FailureDomain{"a": {Out: out == "a"}, "b": {Out: out == "b"}},
		Pools:          map[string]*config.Pool{poolName: {Concurrency: concurrency, ColdConcurrency: 1, WarmAfter: 4, ReportsLoad: true}},
	}
}

// version returns the newest configuration and its number.
func (w *simulation) version() (uint64, version) {
	return uint64(len(w.versions)), w.versions[len(w.versions)-1]
}

func (w *simulation) restart(g *simGrantor) {
	g.incarnation++
	g.Grantor = NewGrantor(w.invariants, w.rng, w.now)
	g.observer = lease.NewObserver()
	g.renewAt = w.now
}

// send delivers a message after a random delay, never or twice. With cut set, it is never delivered.
func (w *simulation) send(cut bool, deliver func()) {
	if cut || w.rng.IntN(10) == 0 {
		return
	}
	delay := time.Duration(w.rng.IntN(30)) * time.Millisecond
	if w.rng.IntN(8) == 0 {
		delay = time.Duration(w.rng.IntN(3000)) * time.Millisecond
	}
	w.messages = append(w.messages, message{w.now.Add(delay), deliver})
	if w.rng.IntN(20) == 0 {
		w.messages = append(w.messages, message{w.now.Add(2 * delay), deliver})
	}
}

// tick advances the time by simTick, delivers the messages that are due and runs all processes.
func (w *simulation) tick() {
	w.now = w.now.Add(simTick)
	kept := w.messages[:0]
	var due []message
	for _, m := range w.messages {
		if m.at.After(w.now) {
			kept = append(kept, m)
		} else {
			due = append(due, m)
		}
	}
	w.messages = kept
	for _, m := range due {
		m.deliver()
	}
	for _, g := range w.grantors {
		w.runGrantor(g)
	}
	for _, s := range w.servers {
		w.runServer(s)
	}
	for _, h := range w.holders {
		w.runHolder(h)
	}
}

// runGrantor renews leases through a log whose answers come late, twice or not at all.
func (w *simulation) runGrantor(g *simGrantor) {
	if w.now.Before(g.pausedUntil) || w.now.Before(g.renewAt) {
		return
	}
	g.renewAt = w.now.Add(RenewInterval)
	g.Tick(w.now)
	asked, of := w.now, g.Grantor
	cut := w.now.Before(g.cutUntil) || w.now.Before(g.logCutUntil)
	for _, s := range w.servers {
		shard := ShardOf(s.name)
		c := g.command(shard)
		if l := w.leases.Get(c.Name); l != nil && !cut {
			c.ObservedRenewal = g.observer.Observe(l, w.now)
			c.Release = l.Holder == g.name && g.Exported(shard)
		}
		w.send(cut, func() {
			r, err := w.leases.Apply(c)
			require.NoError(w.t, err)
			version, v := w.version()
			w.send(cut, func() {
				if g.Grantor != of || w.now.Before(g.pausedUntil) {
					return
				}
				if !r.Held {
					g.LeaseLost(shard)
					return
				}
				g.Configure(version, v.set)
				g.LeaseRenewed(shard, r.Fence, r.Fence == 1, asked, w.now)
			})
		})
	}
}

func (g *simGrantor) command(shard uint32) *daisyhatchv1.LeaseCommand {
	return &daisyhatchv1.LeaseCommand{
		Name: LeaseName(shard), Holder: g.name, Incarnation: fmt.Sprint(g.incarnation), TtlMs: LeaseTTL.Milliseconds(),
	}
}

// handOver hands a server's shard over to another VM and releases the lease.
func (w *simulation) handOver(s *simServer, to *simGrantor) {
	shard := ShardOf(s.name)
	from := w.owner(shard)
	if from == to || w.now.Before(from.pausedUntil) {
		return
	}
	if state := from.Export(shard, w.now); state != nil {
		cut := w.now.Before(from.cutUntil) || w.now.Before(to.cutUntil)
		w.send(cut, func() { to.Import(state, w.now) })
	}
	c := from.command(shard)
	c.Release = true
	w.send(w.now.Before(from.logCutUntil), func() {
		_, err := w.leases.Apply(c)
		require.NoError(w.t, err)
	})
}

func (w *simulation) owner(shard uint32) *simGrantor {
	l := w.leases.Get(LeaseName(shard))
	for _, g := range w.grantors {
		if l.GetHolder() == g.name {
			return g
		}
	}
	return w.grantors[0]
}

func (w *simulation) runServer(s *simServer) {
	for c := range s.running {
		if w.now.Before(c.endAt) {
			continue
		}
		delete(s.running, c)
		s.completed++
		w.finish(c, Outcome{OK: true, FirstToken: time.Millisecond})
	}
	if w.now.Before(s.announceAt) {
		return
	}
	s.announceAt = w.now.Add(BaseAnnounceInterval)
	a := &daisyhatchv1.Announcement{
		Server: s.name, Incarnation: fmt.Sprint(s.incarnation), Pool: poolName, FailureDomain: s.domain, Leaving: !s.leaving.IsZero(),
		Load: &daisyhatchv1.Load{Running: uint32(len(s.running)), Cold: false},
	}
	g := w.owner(ShardOf(s.name))
	sent := w.now
	w.send(w.now.Before(g.cutUntil), func() {
		if w.now.Before(g.pausedUntil) || w.now.Sub(sent) > maxAnnounceDelay {
			return
		}
		g.Announce(a, w.now)
		if a.Incarnation == fmt.Sprint(s.incarnation) {
			w.recordKnown(s, g)
		}
	})
}

// recordKnown sets coldKnown once the VM that holds the lease knows the server's incarnation.
func (w *simulation) recordKnown(s *simServer, g *simGrantor) {
	if s.coldKnown.IsZero() && g.Holds(ShardOf(s.name), w.now) {
		s.coldKnown = w.now
	}
}

func (w *simulation) finish(c *call, o Outcome) {
	if c.holder.Holder == c.process {
		c.process.Done(c.server.name, c.incarnation, o, w.now)
	}
}

func (w *simulation) runHolder(h *simHolder) {
	if w.now.Before(h.pausedUntil) {
		return
	}
	w.sendCalls(h)
	w.startCalls(h)
	if w.now.Before(h.askAt) {
		return
	}
	h.askAt = w.now.Add(RenewInterval)
	h.Tick(w.now)
	for _, g := range w.grantors {
		w.ask(h, g)
	}
}

func (w *simulation) ask(h *simHolder, g *simGrantor) {
	of, to := h.Holder, g.Grantor
	owns := func(shard uint32) bool { return w.owner(shard) == g }
	r := of.Ask(g.name, owns, []Demand{{Pool: poolName, Units: h.want}}, w.now)
	cut := func() bool { return w.now.Before(h.cutUntil) || w.now.Before(g.cutUntil) }
	w.send(cut(), func() {
		if g.Grantor != to || w.now.Before(g.pausedUntil) {
			return
		}
		out, err := to.Acquire(r, w.now)
		if errors.Is(err, ErrUnknownNumber) {
			w.send(cut(), func() { of.EndSession(g.name) })
		}
		if err != nil {
			return
		}
		w.send(cut(), func() {
			if h.Holder == of && !w.now.Before(h.pausedUntil) {
				of.Apply(g.name, out, w.now)
			}
		})
	})
}

func (w *simulation) startCalls(h *simHolder) {
	if w.rng.IntN(3) > 0 {
		return
	}
	var usable []*HeldGrant
	h.Usable(poolName, false, w.now, func(g *HeldGrant) { usable = append(usable, g) })
	for _, g := range usable {
		if w.rng.IntN(2) == 0 || !h.Start(g.Server.Server, w.now) {
			continue
		}
		c := &call{holder: h, process: h.Holder, incarnation: g.Server.Incarnation, sendAt: w.now}
		for _, s := range w.servers {
			if s.name == g.Server.Server {
				c.server = s
			}
		}
		if w.rng.IntN(4) == 0 {
			c.sendAt = w.now.Add(time.Duration(w.rng.IntN(400)) * time.Millisecond)
		}
		c.endAt = w.now.Add(time.Duration(w.rng.Int64N(int64(maxCallTime))))
		if w.rng.IntN(2) == 0 {
			c.endAt = w.now.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond)
		}
		h.unsent = append(h.unsent, c)
	}
}

func (w *simulation) sendCalls(h *simHolder) {
	kept := h.unsent[:0]
	for _, c := range h.unsent {
		switch {
		case c.sendAt.After(w.now):
			kept = append(kept, c)
		case !h.Valid(c.server.name, c.incarnation, w.now):
			w.finish(c, Outcome{Neutral: true})
		default:
			c.server.running[c] = true
			w.startedCalls++
			w.checkStart(c.server)
		}
	}
	h.unsent = kept
}

// checkStart fails the test when a call that has reached s exceeds the server's concurrency or cold ramp, or comes too
// late after the server or its failure domain was taken out of service.
func (w *simulation) checkStart(s *simServer) {
	running := len(s.running)
	require.LessOrEqual(w.t, running, s.maxConcurrency(w.now), "server %s runs more than its concurrency", s.name)
	if !s.coldKnown.IsZero() && w.now.After(s.coldKnown.Add(TTL)) && s.incarnation > 0 {
		require.LessOrEqual(w.t, running, s.ramp(w.now), "server %s is cold, %d completed", s.name, s.completed)
	}
	_, v := w.version()
	if v.set.FailureDomains[s.domain].Out {
		require.False(w.t, w.now.After(v.at.Add(LeaseTTL+TTL)), "server %s got work although its failure domain is taken out", s.name)
	}
	if !s.leaving.IsZero() {
		require.False(w.t, w.now.After(s.leaving.Add(TTL)), "server %s got work although it is leaving", s.name)
	}
}

// maxConcurrency returns the highest concurrency under which a call that still runs may have been granted.
func (s *simServer) maxConcurrency(now time.Time) int {
	most := 0
	for i, c := range s.limits {
		ended := i+1 < len(s.limits) && s.limits[i+1].at.Add(LeaseTTL+TTL+maxCallTime).Before(now)
		if !ended {
			most = max(most, c.limit)
		}
	}
	return most
}

func (s *simServer) ramp(now time.Time) int {
	return 1 + (s.maxConcurrency(now)-1)*max(0, min(s.completed, 8)-4)/4
}
