package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/demand"
	"github.com/daisyhatch/daisyhatch/pkg/precedence"
	"github.com/daisyhatch/daisyhatch/pkg/returning"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
)

// sim is one run.
type sim struct {
	policy Policy
	site   *site
	order  precedence.Order
	// rng is for the servers, callersRng for the returns of refused callers.
	rng, callersRng *rand.Rand
	now             time.Time
	n               int
	events          events
	begun           time.Time
	pools           []*pool
	jobs            map[*stagecall.Job]*work
	// queued are the jobs in the order of their arrival, for an owner that takes over.
	queued []*stagecall.Job
	// ownersLost is true while nobody forms calls; waiting are the stages that begin once somebody does.
	ownersLost bool
	waiting    []func()
	results    []Result
	byOrg      []Result
	waits      map[waitOf]told
}

// pool is the servers of a service and the schedulers that send to them, one for each owner.
type pool struct {
	batch   catalog.Batch
	known   []stagecall.Server
	servers map[string]*server
	owners  []*stagecall.Scheduler
}

// server works on one call at a time.
type server struct {
	running bool
	lost    bool
	queue   []func()
	held    int64
}

// request is one caller's request.
type request struct {
	kind  int
	org   int
	at    time.Time
	vm    int
	owner int
	over  bool
	// returns is how often the caller still comes back after a refusal; returned is true once it has.
	returns  int
	returned bool
	// done is the number of its stages that are done; spent is the servers' time for it.
	done  int
	spent time.Duration
	// results are those of the latest stage.
	results []made
}

// made is one result.
type made struct {
	pool   int
	server string
	handle string
	bytes  int64
	owner  int
}

// work is a stage of a request that waits or runs.
type work struct {
	job          *stagecall.Job
	request      *request
	stage        int
	left, unread int
	results      []made
}

func newSim(p Policy, at *site, order precedence.Order, seed uint64) *sim {
	s := &sim{
		policy: p, site: at, order: order, rng: rand.New(rand.NewPCG(seed, arrivalSeeds)), callersRng: rand.New(rand.NewPCG(seed, arrivalSeeds+1)), now: time.Unix(1000, 0),
		jobs: make(map[*stagecall.Job]*work), results: make([]Result, len(at.kinds)), byOrg: make([]Result, organisations), waits: make(map[waitOf]told),
	}
	for i, b := range at.batches {
		q := &pool{batch: b, servers: make(map[string]*server)}
		for k := range at.servers[i] {
			id := fmt.Sprintf("%d-%d", i, k)
			q.known = append(q.known, stagecall.Server{ID: id, Address: id})
			q.servers[id] = &server{}
		}
		s.pools = append(s.pools, q)
	}
	s.begun = s.now
	s.newOwners()
	return s
}

// newOwners starts owners that know nothing.
func (s *sim) newOwners() {
	for _, q := range s.pools {
		q.owners = nil
		for range s.policy.Owners {
			o := stagecall.NewScheduler(q.batch)
			o.SetOrder(s.order)
			q.owners = append(q.owners, o)
		}
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, event{s.now.Add(d), s.n, do})
}

// arrivalSeeds keeps the random numbers of servers apart from those of arrivals, which are the same for every policy.
const arrivalSeeds = 1 << 32

// arrivals brings requests of a kind at random times until end.
func (s *sim) arrivals(k int, rng *rand.Rand, load float64, end time.Time) {
	peak := s.site.kinds[k].rate * load * max(s.site.burst, 1)
	s.after(time.Duration(rng.ExpFloat64()/peak*float64(time.Second)), func() {
		if s.now.After(end) {
			return
		}
		defer s.arrivals(k, rng, load, end)
		if rng.Float64()*max(s.site.burst, 1) > s.site.rateAt(k, s.now.Sub(s.begun)) {
			return
		}
		r := &request{kind: k, at: s.now, vm: rng.IntN(max(s.site.vms, entryVMs)), returns: s.site.returns}
		r.owner = r.vm % s.policy.Owners
		// A few organisations are large.
		r.org = int(float64(organisations) * rng.Float64() * rng.Float64() * rng.Float64())
		s.results[k].Offered++
		s.byOrg[r.org].Offered++
		s.begin(r, 0)
	})
}

func (s *sim) poll(end time.Time) {
	s.after(pollInterval, func() {
		for _, q := range s.pools {
			for o := range q.owners {
				s.dispatch(q, o)
			}
		}
		if s.now.Before(end) {
			s.poll(end)
		}
	})
}

// begin starts a stage of a request, unless it can't be done in time.
func (s *sim) begin(r *request, i int) {
	k := &s.site.kinds[r.kind]
	st := k.stages[i]
	q := s.pools[st.pool]
	d := s.demand(r)
	left := k.deadline - s.now.Sub(r.at)
	if over := d.TimeOnceStarted(s.waitAt(r)) - left; i == 0 && s.policy.Whole && over > 0 && d.Time(nil) <= left {
		room, ok := d.RoomIn(left, returning.Longest(left), s.waitAt(r))
		if !ok {
			room = max(over, left)
		}
		s.refuse(r, returning.Room{After: room})
		return
	}
	rest := d.TimeAfter(i, s.waitAt(r))
	j := &stagecall.Job{
		Arrived: s.now, Target: r.at.Add(k.target - rest), Deadline: r.at.Add(k.deadline - rest), ResultBytes: st.bytes,
		Priority: k.priority, Organisation: fmt.Sprint("o", r.org), WorkAfter: d.WorkAfter(i), WorkDone: d.Done,
	}
	for n := range st.pieces {
		j.Pieces = append(j.Pieces, stagecall.Piece{Index: n})
	}
	s.jobs[j] = &work{job: j, request: r, stage: i, left: st.pieces, unread: st.pieces}
	if s.policy.Plain {
		s.sendPlain(q, j)
		return
	}
	s.ask(q, j)
}

// ask asks the owner to run a job.
func (s *sim) ask(q *pool, j *stagecall.Job) {
	r := s.jobs[j].request
	if s.ownersLost {
		s.waiting = append(s.waiting, func() { s.ask(q, j) })
		return
	}
	if r.over {
		return
	}
	owner := q.owners[r.owner]
	a := owner.Admit(j, q.known, s.now)
	if !a.OK {
		s.tell(q, j)
		s.refuse(r, roomOf(owner.Refuse(j, len(j.Pieces), q.known, s.now)))
		return
	}
	s.gaveWay(q, owner, a.GivingWay)
	owner.Enqueue(j, s.now)
	s.queued = append(s.queued, j)
	s.dispatch(q, r.owner)
}

func (s *sim) gaveWay(q *pool, owner *stagecall.Scheduler, list []stagecall.GaveWay) {
	for _, g := range list {
		if !g.Delayed {
			s.refuse(s.jobs[g.Job].request, roomOf(owner.Refuse(g.Job, len(g.Job.Pieces), q.known, s.now)))
		}
	}
}

// waitOf and told are how long work of a priority waits at a pool, as an entry VM was last told.
type waitOf struct{ vm, pool, priority int }

type told struct {
	wait time.Duration
	at   time.Time
}

// tell tells a request's entry VM how long work like a job's waits.
func (s *sim) tell(q *pool, j *stagecall.Job) {
	w := s.jobs[j]
	r := w.request
	key := waitOf{r.vm, s.site.kinds[r.kind].stages[w.stage].pool, j.Priority}
	s.waits[key] = told{q.owners[r.owner].WaitLike(j, q.known, s.now), s.now}
}

// waitAt returns how long work of a request waits at a pool, as far as its entry VM knows; nil if that isn't asked.
func (s *sim) waitAt(r *request) func(service string) time.Duration {
	if !s.policy.Whole {
		return nil
	}
	return func(service string) time.Duration {
		t := s.waits[waitOf{r.vm, poolOf(service), s.site.kinds[r.kind].priority}]
		return max(0, t.wait-s.now.Sub(t.at))
	}
}

func serviceOf(pool int) string { return string(rune('0' + pool)) }

func poolOf(service string) int { return int(service[0] - '0') }

// demand returns what a request needs.
func (s *sim) demand(r *request) *demand.Demand {
	k := &s.site.kinds[r.kind]
	d := &demand.Demand{Priority: k.priority, Answer: engineLeft}
	for i, st := range k.stages {
		b := &s.pools[st.pool].batch
		x := demand.Stage{Service: serviceOf(st.pool), Pieces: st.pieces, ResultBytes: st.bytes, Work: demand.Work(b, st.pieces), Least: b.CallTime(st.pieces)}
		if i > 0 {
			x.After = []int{i - 1}
		}
		if i < r.done {
			d.Done += x.Work
		}
		d.Stages = append(d.Stages, x)
	}
	return d
}

// sendPlain sends a job as a call of its own.
func (s *sim) sendPlain(q *pool, j *stagecall.Job) {
	v := q.known[s.rng.IntN(len(q.known))]
	c := stagecall.Call{Server: v, Begun: s.now, Expected: q.batch.CallTime(len(j.Pieces))}
	c.Parts = []stagecall.CallPart{{Job: j, Pieces: j.Pieces}}
	j.Pieces = nil
	o := s.jobs[j].request.owner
	if !s.offer(q, &c, o, q.owners[o]) {
		s.refuse(s.jobs[j].request, returning.Room{Guess: true})
	}
}

// dispatch makes the calls of one owner that can be made now.
func (s *sim) dispatch(q *pool, o int) {
	if s.ownersLost {
		return
	}
	owner := q.owners[o]
	s.gaveWay(q, owner, owner.DropInfeasible(q.known, s.now))
	for {
		c, ok := owner.Next(q.known, s.now)
		if !ok {
			return
		}
		if !s.offer(q, &c, o, owner) {
			owner.Done(&c, stagecall.Outcome{Shed: true}, s.now)
			s.again(q, o, &c, func(int, int) bool { return true })
		}
	}
}

// again queues pieces that were not made.
func (s *sim) again(q *pool, o int, c *stagecall.Call, missing func(part, piece int) bool) {
	for i, part := range c.Parts {
		for k, p := range part.Pieces {
			if !missing(i, k) || s.jobs[part.Job].request.over {
				continue
			}
			if len(part.Job.Pieces) == 0 {
				q.owners[o].Requeue(part.Job, s.now)
			}
			part.Job.Pieces = append(part.Job.Pieces, p)
		}
	}
}

// offer gives a call to its server; false when the server refuses it.
func (s *sim) offer(q *pool, c *stagecall.Call, o int, owner *stagecall.Scheduler) bool {
	v := q.servers[c.Server.ID]
	call := *c
	switch {
	case v.lost:
		return false
	case !v.running:
		s.work(q, &call, o, owner)
	case len(v.queue) < serverQueue:
		v.queue = append(v.queue, func() { s.work(q, &call, o, owner) })
	default:
		return false
	}
	return true
}

// work runs a call at its server.
func (s *sim) work(q *pool, c *stagecall.Call, o int, owner *stagecall.Scheduler) {
	v := q.servers[c.Server.ID]
	v.running = true
	room := make([][]bool, len(c.Parts))
	for i, part := range c.Parts {
		for range part.Pieces {
			fits := v.held+part.Job.ResultBytes <= q.batch.ResultBytes
			if fits {
				v.held += part.Job.ResultBytes
			}
			room[i] = append(room[i], fits)
		}
	}
	took := time.Duration((0.95 + 0.1*s.rng.Float64()) * float64(c.Expected))
	s.after(readTime, func() { s.read(c) })
	s.after(took, func() { s.done(q, c, o, owner, room, took) })
}

// read gives up the inputs of jobs of which all pieces are worked on.
func (s *sim) read(c *stagecall.Call) {
	for _, part := range c.Parts {
		w := s.jobs[part.Job]
		w.unread -= len(part.Pieces)
		if w.unread == 0 && s.policy.EarlyInputs {
			s.giveUp(w.request)
		}
	}
}

// done ends a call.
func (s *sim) done(q *pool, c *stagecall.Call, o int, owner *stagecall.Scheduler, room [][]bool, took time.Duration) {
	v := q.servers[c.Server.ID]
	out := stagecall.Outcome{Failed: v.lost}
	var ended []*work
	for i, part := range c.Parts {
		w := s.jobs[part.Job]
		spent := took * time.Duration(len(part.Pieces)) / time.Duration(c.Count())
		w.request.spent += spent
		s.results[w.request.kind].Worked += spent
		if w.request.over {
			s.results[w.request.kind].Wasted += spent
		}
		var handles []string
		for k := range part.Pieces {
			if v.lost {
				room[i][k] = false
			}
			if !room[i][k] {
				out.NoRoom = out.NoRoom || !v.lost
				handles = append(handles, "")
				continue
			}
			s.n++
			m := made{s.site.kinds[w.request.kind].stages[w.stage].pool, c.Server.ID, fmt.Sprint(s.n), part.Job.ResultBytes, o}
			handles = append(handles, m.handle)
			w.results = append(w.results, m)
			w.left--
		}
		out.Handles = append(out.Handles, handles)
		ended = append(ended, w)
	}
	if !s.policy.Plain {
		owner.Done(c, out, s.now)
		s.again(q, o, c, func(i, k int) bool { return !room[i][k] })
	}
	for _, w := range ended {
		if w.left == 0 && !s.policy.Plain {
			s.tell(q, w.job)
		}
		s.stageEnded(w)
	}
	v.running = false
	if len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		next()
	}
	if !s.policy.Plain {
		s.dispatch(q, o)
	}
}

// stageEnded goes on with a request whose stage is done.
func (s *sim) stageEnded(w *work) {
	r := w.request
	switch {
	case r.over:
		s.give(w.results)
		w.results = nil
	case w.left > 0 && s.policy.Plain:
		s.give(w.results)
		s.refuse(r, returning.Room{Guess: true})
	case w.left == 0:
		s.giveUp(r)
		r.done++
		r.results, w.results = w.results, nil
		if w.stage+1 < len(s.site.kinds[r.kind].stages) {
			s.after(hop, func() { s.begin(r, w.stage+1) })
			return
		}
		s.after(hop, func() { s.engine(r) })
	}
}

// engine runs the request itself.
func (s *sim) engine(r *request) {
	first := engineLeast + time.Duration(s.rng.Float64()*float64(engineMost-engineLeast))
	read := first
	if s.policy.EarlyInputs {
		read = min(first, readTime)
	}
	s.after(read, func() { s.giveUp(r) })
	s.after(first, func() {
		r.over = true
		k := &s.site.kinds[r.kind]
		switch took := s.now.Sub(r.at); {
		case took <= k.target:
			s.results[r.kind].OnTime++
			s.byOrg[r.org].OnTime++
		case took <= k.deadline:
			s.results[r.kind].Late++
			s.byOrg[r.org].Late++
		default:
			s.lost(r)
		}
	})
}

// roomOf returns what an entry VM takes from an owner's refusal.
func roomOf(f stagecall.Refusal) returning.Room {
	return returning.Room{After: f.After, Guess: !f.Forecast, Unpromised: f.InVain}
}

// refuse ends a request; its caller may come back once.
func (s *sim) refuse(r *request, room returning.Room) {
	if r.over {
		return
	}
	r.over = true
	s.giveUp(r)
	left := s.site.kinds[r.kind].deadline - s.now.Sub(r.at)
	if r.returned {
		s.results[r.kind].Again++
	}
	room.Need, room.Least = s.demand(r).Time(nil), leastReturn
	told := room.Tell(left, s.callersRng.Float64())
	if r.returns == 0 || left < leastReturn || told.InVain && s.site.callers == heedful {
		s.lost(r)
		return
	}
	s.results[r.kind].Wasted += r.spent
	again := &request{kind: r.kind, org: r.org, at: r.at, vm: r.vm, owner: r.owner, returns: r.returns - 1, returned: true}
	after := min(told.After, returning.Longest(left))
	if s.site.callers == hasty {
		after = leastReturn
	}
	s.after(after, func() { s.begin(again, 0) })
}

func (s *sim) lost(r *request) {
	s.results[r.kind].Refused++
	s.results[r.kind].Held += s.now.Sub(r.at)
	s.results[r.kind].Wasted += r.spent
	s.byOrg[r.org].Refused++
}

// giveUp gives up the results of a request's latest stage.
func (s *sim) giveUp(r *request) {
	s.give(r.results)
	r.results = nil
}

func (s *sim) give(results []made) {
	if len(results) == 0 {
		return
	}
	s.after(freeDelay, func() {
		for _, m := range results {
			q := s.pools[m.pool]
			q.servers[m.server].held -= m.bytes
			q.owners[m.owner].ResultsReleased(m.server, []string{m.handle})
		}
	})
}
