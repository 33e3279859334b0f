package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
)

// sim is one run.
type sim struct {
	policy Policy
	rng    *rand.Rand
	now    time.Time
	n      int
	events events
	pools  []*pool
	jobs   map[*stagecall.Job]*work
	result Result
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
	queue   []func()
	held    int64
}

// request is one caller's request.
type request struct {
	kind  *kind
	at    time.Time
	owner int
	over  bool
	// spent is the servers' time for it.
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
	request      *request
	stage        int
	left, unread int
	results      []made
}

func newSim(p Policy, seed uint64) *sim {
	s := &sim{policy: p, rng: rand.New(rand.NewPCG(seed, arrivalSeeds)), now: time.Unix(1000, 0), jobs: make(map[*stagecall.Job]*work)}
	for i, b := range batches {
		q := &pool{batch: b, servers: make(map[string]*server)}
		for k := range serversPerPool {
			id := fmt.Sprintf("%d-%d", i, k)
			q.known = append(q.known, stagecall.Server{ID: id, Address: id})
			q.servers[id] = &server{}
		}
		for range p.Owners {
			q.owners = append(q.owners, stagecall.NewScheduler(b))
		}
		s.pools = append(s.pools, q)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, event{s.now.Add(d), s.n, do})
}

// arrivalSeeds keeps the random numbers of servers apart from those of arrivals, which are the same for every policy.
const arrivalSeeds = 1 << 32

// arrivals brings requests of a kind at random times until end.
func (s *sim) arrivals(k *kind, rng *rand.Rand, load float64, end time.Time) {
	s.after(time.Duration(rng.ExpFloat64()/(k.rate*load)*float64(time.Second)), func() {
		if s.now.After(end) {
			return
		}
		s.result.Offered++
		s.begin(&request{kind: k, at: s.now, owner: rng.IntN(entryVMs) % s.policy.Owners}, 0)
		s.arrivals(k, rng, load, end)
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
	st := r.kind.stages[i]
	q := s.pools[st.pool]
	rest := engineLeft
	for _, later := range r.kind.stages[i+1:] {
		rest += s.pools[later.pool].batch.CallTime(later.pieces)
	}
	j := &stagecall.Job{
		Arrived: s.now, Target: r.at.Add(r.kind.target - rest), Deadline: r.at.Add(r.kind.deadline - rest), ResultBytes: st.bytes,
	}
	for n := range st.pieces {
		j.Pieces = append(j.Pieces, stagecall.Piece{Index: n})
	}
	w := &work{request: r, stage: i, left: st.pieces, unread: st.pieces}
	s.jobs[j] = w
	if s.policy.Plain {
		s.sendPlain(q, j)
		return
	}
	owner := q.owners[r.owner]
	if _, ok := owner.Forecast(j, q.known, s.now); !ok {
		s.refuse(r)
		return
	}
	owner.Enqueue(j, s.now)
	s.dispatch(q, r.owner)
}

// sendPlain sends a job as a call of its own.
func (s *sim) sendPlain(q *pool, j *stagecall.Job) {
	v := q.known[s.rng.IntN(len(q.known))]
	c := stagecall.Call{Server: v, Begun: s.now, Expected: q.batch.CallTime(len(j.Pieces))}
	c.Parts = []stagecall.CallPart{{Job: j, Pieces: j.Pieces}}
	j.Pieces = nil
	if !s.offer(q, &c, s.jobs[j].request.owner) {
		s.refuse(s.jobs[j].request)
	}
}

// dispatch makes the calls of one owner that can be made now.
func (s *sim) dispatch(q *pool, o int) {
	owner := q.owners[o]
	for _, j := range owner.DropInfeasible(q.known, s.now) {
		s.refuse(s.jobs[j].request)
	}
	for {
		c, ok := owner.Next(q.known, s.now)
		if !ok {
			return
		}
		if !s.offer(q, &c, o) {
			owner.Done(&c, stagecall.Outcome{Shed: true}, s.now)
			s.again(owner, &c, func(int, int) bool { return true })
		}
	}
}

// again queues pieces that were not made.
func (s *sim) again(owner *stagecall.Scheduler, c *stagecall.Call, missing func(part, piece int) bool) {
	for i, part := range c.Parts {
		for k, p := range part.Pieces {
			if !missing(i, k) || s.jobs[part.Job].request.over {
				continue
			}
			if len(part.Job.Pieces) == 0 {
				owner.Requeue(part.Job, s.now)
			}
			part.Job.Pieces = append(part.Job.Pieces, p)
		}
	}
}

// offer gives a call to its server; false when the server refuses it.
func (s *sim) offer(q *pool, c *stagecall.Call, o int) bool {
	v := q.servers[c.Server.ID]
	call := *c
	switch {
	case !v.running:
		s.work(q, &call, o)
	case len(v.queue) < serverQueue:
		v.queue = append(v.queue, func() { s.work(q, &call, o) })
	default:
		return false
	}
	return true
}

// work runs a call at its server.
func (s *sim) work(q *pool, c *stagecall.Call, o int) {
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
	s.after(took, func() { s.done(q, c, o, room, took) })
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
func (s *sim) done(q *pool, c *stagecall.Call, o int, room [][]bool, took time.Duration) {
	v := q.servers[c.Server.ID]
	s.result.Worked += took
	out := stagecall.Outcome{}
	var ended []*work
	for i, part := range c.Parts {
		w := s.jobs[part.Job]
		w.request.spent += took * time.Duration(len(part.Pieces)) / time.Duration(c.Count())
		var handles []string
		for k := range part.Pieces {
			if !room[i][k] {
				out.NoRoom = true
				handles = append(handles, "")
				continue
			}
			s.n++
			m := made{w.request.kind.stages[w.stage].pool, c.Server.ID, fmt.Sprint(s.n), part.Job.ResultBytes, o}
			handles = append(handles, m.handle)
			w.results = append(w.results, m)
			w.left--
		}
		out.Handles = append(out.Handles, handles)
		ended = append(ended, w)
	}
	owner := q.owners[o]
	if !s.policy.Plain {
		owner.Done(c, out, s.now)
		s.again(owner, c, func(i, k int) bool { return !room[i][k] })
	}
	for _, w := range ended {
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
		s.refuse(r)
	case w.left == 0:
		s.giveUp(r)
		r.results, w.results = w.results, nil
		if w.stage+1 < len(r.kind.stages) {
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
		switch took := s.now.Sub(r.at); {
		case took <= r.kind.target:
			s.result.OnTime++
		case took <= r.kind.deadline:
			s.result.Late++
		default:
			s.lost(r)
		}
	})
}

func (s *sim) refuse(r *request) {
	if r.over {
		return
	}
	r.over = true
	s.giveUp(r)
	s.lost(r)
}

func (s *sim) lost(r *request) {
	s.result.Refused++
	s.result.Held += s.now.Sub(r.at)
	s.result.Wasted += r.spent
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
