// Package experiment drives the decisions about stage calls with an emulator of stage servers at chosen load, in virtual
// time, beside plainer ways to form calls. It answers what a change of these decisions does under overload without
// processes or a platform.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/precedence"
)

// Policy is a way to form calls.
type Policy struct {
	Name string
	// Owners is how many VMs form calls of a service without knowing of each other.
	Owners int
	// EarlyInputs gives inputs up once they were read instead of at the end of what reads them.
	EarlyInputs bool
	// Plain sends each job as a call of its own to a server picked at random, and takes in everything.
	Plain bool
	// Whole lets requests in only if their later stages are expected to be done in time too.
	Whole bool
}

// Policies returns the ways that are compared, the product's own first.
func Policies() []Policy {
	return []Policy{
		{Name: "one VM, inputs until read", Owners: 1, EarlyInputs: true},
		{Name: "one VM, inputs until the end", Owners: 1},
		{Name: "seven VMs, inputs until read", Owners: entryVMs, EarlyInputs: true},
		{Name: "a call for each job", Owners: entryVMs, Plain: true},
	}
}

const (
	entryVMs = 7
	// serverQueue is how many calls wait at a server beside the one that runs.
	serverQueue = 2
	// readTime is when a call or a request has read its inputs.
	readTime = 100 * time.Millisecond
	// hop is the way to another VM and back, freeDelay how long results to give up are gathered on the way.
	hop       = 2 * time.Millisecond
	freeDelay = 50 * time.Millisecond
	// engineLeast and engineMost bound the time to the first event of an answer.
	engineLeast, engineMost = 30 * time.Millisecond, 300 * time.Millisecond
	// engineLeft is what the relay's plan leaves for the engine.
	engineLeft = 400 * time.Millisecond
	// pollInterval is how often queues are looked at without an event.
	pollInterval = 50 * time.Millisecond
	// lastCallers is how long a run goes on after the last arrival.
	lastCallers = 20 * time.Second
)

// stage is one stage of a kind of request.
type stage struct {
	pool, pieces int
	bytes        int64
}

// kind is a kind of request; rate is in requests a second at load 1.
type kind struct {
	rate             float64
	priority         int
	target, deadline time.Duration
	stages           []stage
}

// site is an emulated system.
type site struct {
	batches []catalog.Batch
	kinds   []kind
	// servers is how many servers each pool has.
	servers []int
	// vms is the number of entry VMs; 0 for entryVMs. returns is how often a caller comes back after a refusal.
	vms, returns int
	// callers is what refused callers make of what they are told.
	callers callers
	// burst is the factor by which one kind after the other grows for burstFor in every burstEvery; 0 for none.
	burst float64
	// lostAt is when a third of the servers is lost for lostFor, ownersLostAt when all owners are lost for ownersLostFor; 0
	// for never.
	lostAt, ownersLostAt time.Duration
}

// callers is what refused callers make of what they are told.
type callers int

const (
	// punctual callers return when they are told, but after a third of their time at the latest, also if that is in vain.
	punctual callers = iota
	// heedful ones don't return if that is in vain.
	heedful
	// hasty ones return after leastReturn, whatever they are told.
	hasty
)

const (
	burstFor, burstEvery = 6 * time.Second, 10 * time.Second
	lostFor              = 8 * time.Second
	ownersLostFor        = 1500 * time.Millisecond
	organisations        = 16
	// leastReturn is the time after which a caller comes back that wasn't told when.
	leastReturn = 200 * time.Millisecond
)

// rateAt returns the factor by which the rate of a kind differs at a time.
func (s *site) rateAt(k int, at time.Duration) float64 {
	if s.burst > 0 && at%burstEvery < burstFor && int(at/burstEvery)%len(s.kinds) == k {
		return s.burst
	}
	return 1
}

// small is about the smaller of the deployments that the product serves.
var small = site{
	batches: []catalog.Batch{
		{Slots: 1, Queue: serverQueue, Size: 8, PerCall: 200 * time.Millisecond, PerPiece: 21 * time.Millisecond, ResultBytes: 18e6, ResultTTL: 4 * time.Second},
		{Slots: 1, Queue: serverQueue, Size: 24, PerCall: 200 * time.Millisecond, PerPiece: 7100 * time.Microsecond, ResultBytes: 31e5, ResultTTL: 4 * time.Second},
		{Slots: 1, Queue: serverQueue, Size: 38, PerCall: 200 * time.Millisecond, PerPiece: 4500 * time.Microsecond, ResultBytes: 51e4, ResultTTL: 4 * time.Second},
	},
	kinds: []kind{
		{rate: 17, target: time.Second, deadline: 5 * time.Second, stages: []stage{{0, 2, 15e5}}},
		{rate: 26, target: 1900 * time.Millisecond, deadline: 6 * time.Second, stages: []stage{{0, 1, 8e3}, {1, 6, 6e4}, {2, 10, 6e3}}},
	},
	servers: []int{5, 5, 5},
}

// Result is what became of the requests of one run.
type Result struct {
	Offered, OnTime, Late, Refused int
	// Again is how many were refused once more after their callers had returned.
	Again int
	// Held is the time that refused requests had waited, together.
	Held time.Duration
	// Worked and Wasted are the servers' time, in all and for requests that were refused.
	Worked, Wasted time.Duration
}

// Run plays a time at a load: 1 is an ordinary day's.
func Run(p Policy, load float64, seed uint64, span time.Duration) Result {
	sum := Result{}
	for _, r := range play(p, &small, precedence.Default(), load, seed, span).results {
		sum.add(r)
	}
	return sum
}

func play(p Policy, at *site, order precedence.Order, load float64, seed uint64, span time.Duration) *sim {
	s := newSim(p, at, order, seed)
	end := s.now.Add(span)
	for i := range at.kinds {
		s.arrivals(i, rand.New(rand.NewPCG(seed, uint64(i))), load, end)
	}
	s.disturb()
	s.poll(end.Add(lastCallers))
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

// event is what happens at a time; n keeps the order of one instant.
type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].n < e[k].n
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
