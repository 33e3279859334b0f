// Package experiment drives the decisions about stage calls with an emulator of stage servers at chosen load, in virtual
// time, beside plainer ways to form calls. It answers what a change of these decisions does under overload without
// processes or a platform.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
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

// The emulated system: about the smaller of the sites that the product is measured on.
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
)

// stage is one stage of a kind of request.
type stage struct {
	pool, pieces int
	bytes        int64
}

// kind is a kind of request; rate is in requests a second at load 1.
type kind struct {
	rate             float64
	target, deadline time.Duration
	stages           []stage
}

var (
	batches = []catalog.Batch{
		{Slots: 1, Queue: serverQueue, Size: 8, PerCall: 200 * time.Millisecond, PerPiece: 21 * time.Millisecond, ResultBytes: 18e6, ResultTTL: 4 * time.Second},
		{Slots: 1, Queue: serverQueue, Size: 24, PerCall: 200 * time.Millisecond, PerPiece: 7100 * time.Microsecond, ResultBytes: 31e5, ResultTTL: 4 * time.Second},
		{Slots: 1, Queue: serverQueue, Size: 38, PerCall: 200 * time.Millisecond, PerPiece: 4500 * time.Microsecond, ResultBytes: 51e4, ResultTTL: 4 * time.Second},
	}
	kinds = []kind{
		{rate: 17, target: time.Second, deadline: 5 * time.Second, stages: []stage{{0, 2, 15e5}}},
		{rate: 26, target: 1900 * time.Millisecond, deadline: 6 * time.Second, stages: []stage{{0, 1, 8e3}, {1, 6, 6e4}, {2, 10, 6e3}}},
	}
)

const serversPerPool = 5

// Result is what became of the requests of one run.
type Result struct {
	Offered, OnTime, Late, Refused int
	// Held is the time that refused requests had waited, together.
	Held time.Duration
	// Worked and Wasted are the servers' time, in all and for requests that were refused.
	Worked, Wasted time.Duration
}

// Run plays a time at a load: 1 is an ordinary day's.
func Run(p Policy, load float64, seed uint64, span time.Duration) Result {
	s := newSim(p, seed)
	end := s.now.Add(span)
	for i := range kinds {
		s.arrivals(&kinds[i], rand.New(rand.NewPCG(seed, uint64(i))), load, end)
	}
	s.poll(end.Add(10 * time.Second))
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result
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
