// Package stagecall forms the calls to stage servers for all VMs in one place. A stage server runs one call at a time
// and a call costs a fixed time whatever it holds, so the pools' capacity hangs on full calls: while all servers are busy
// the pieces of all requests wait in one queue, and a server that becomes free takes as many as fit.
package stagecall

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

// Job is the pieces of one stage of one request.
type Job struct {
	Request string
	// Fingerprint names the request by its content; 0 when it is not known.
	Fingerprint uint64
	Stage       int
	Key         string
	// Isolated is true once several servers ended under the request: it shares no call with others.
	Isolated bool
	// NotBefore is when its pieces may go out again after a server ended under them.
	NotBefore time.Time
	// Pieces are those still to be run.
	Pieces []Piece
	// Deadline is when the result is worth nothing, Target until when it is worth most.
	Deadline, Target time.Time
	Priority         int
	// ResultBytes is about the size of one piece's result.
	ResultBytes int64
	// Domain is the failure domain where the results are wanted; empty when it doesn't matter.
	Domain string
	// CrossingBytes is about what crosses failure domains when the pieces are made elsewhere.
	CrossingBytes int64
	// Arrived orders jobs with the same target.
	Arrived time.Time

	waiter *waiter
	// late is true when the job can't meet its target any more; the scheduler keeps it.
	late bool
}

// Piece is one piece of a job.
type Piece struct {
	Index  int
	Inputs []string
	// Tries is how many servers it was sent to.
	Tries int
}

// Server is a stage server that may get calls.
type Server struct {
	ID      string
	Address string
	Domain  string
	// Born is the Unix millisecond of the incarnation's start.
	Born int64
	// Quiet servers are not heard by the control VMs; they are used only while they go on answering.
	Quiet bool
}

// Call is pieces that go to one server together.
type Call struct {
	Server Server
	Parts  []CallPart
	Begun  time.Time
	// Expected is how long the call takes on a usual server.
	Expected time.Duration
	// inputsRead is true once the pieces were worked on for inputReadTime. The pool's lock guards it.
	inputsRead bool
	// serverEnded is true when the server serverEnded under the call.
	serverEnded bool
}

// CallPart is the pieces of one job within a call.
type CallPart struct {
	Job    *Job
	Pieces []Piece
}

// Count returns the number of pieces.
func (c *Call) Count() int {
	n := 0
	for _, p := range c.Parts {
		n += len(p.Pieces)
	}
	return n
}

// Weights and times of the choice.
const (
	// slowRatio is how much slower than usual a server may be before it is left out while others are enough.
	slowRatio = 2.0
	// durationSmoothing is the weight of the newest call in a server's average.
	durationSmoothing = 0.4
	// callSmoothing is the weight of the newest full call.
	callSmoothing = 0.1
	// minAvoid and avoidMost are how long a server that failed a call is avoided: doubled with each failure in a row.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
	// quietTrustFor is how long an answer shows that a server lives that the control VMs don't hear.
	quietTrustFor = 3 * time.Second
	// fullFor is how long a server that has no room is left alone unless it says that it has some: results are given
	// up one by one, a call for each request that ends.
	fullFor = 50 * time.Millisecond
	// largeCrossingBytes is the size from which it matters where a job is made: bytes that cross failure domains are priced, at
	// some hundredths of a usual request's worth from here on.
	largeCrossingBytes = 300_000
	// domainWait is how long a job that is on time waits for a server where it is wanted: about a call.
	domainWait = 400 * time.Millisecond
	// priorityStep is how much earlier a target a less urgent job needs to go before a more urgent one: half of a usual call.
	priorityStep = 150 * time.Millisecond
	// usableRoomShare is the share of a server's room that is used; sizes are approximate.
	usableRoomShare = 0.9
)

// serverState is what is known of one server.
type serverState struct {
	busy int
	// durationRatio is the time of its calls against the expected.
	durationRatio float64
	failures      int
	avoidUntil    time.Time
	reservedBytes int64
	results       map[string]result
	// answeredAt is when it last answeredAt a call.
	answeredAt time.Time
	// fullUntil is until when the server is taken to have no room, after it said so.
	fullUntil time.Time
	// foreignBytes is the room in bytes that results of other VMs' calls took when the server told, at learned; used is when
	// it told or a call of this VM last began or ended there, asked when it was asked and has not answered.
	foreignBytes   int64
	roomReportedAt time.Time
	roomKnownAt    time.Time
	roomQueriedAt  time.Time
}

// result is one that a server made. It is remembered until it expires, also when it was given up.
type result struct {
	bytes     int64
	expiresAt time.Time
}

// Scheduler decides for one service. It isn't safe for concurrent use.
type Scheduler struct {
	batch catalog.Batch
	// jobs are kept in the order of compare.
	jobs []*Job
	// nextLateAt is when the first of the jobs that are on time becomes late.
	nextLateAt time.Time
	servers    map[string]*serverState
	// arrivals are the pieces of the jobs that came within inflowWindow.
	arrivals []arrival
	// avgCallPieces is the average count of pieces of calls that left pieces waiting: below the size of a call where results take
	// all room.
	avgCallPieces float64
	// avgCallBytes is the average size of a call's results.
	avgCallBytes float64
}

type arrival struct {
	at     time.Time
	pieces int
}

// NewScheduler returns a Scheduler for a service.
func NewScheduler(b catalog.Batch) *Scheduler {
	return &Scheduler{batch: b, servers: make(map[string]*serverState), avgCallPieces: float64(b.Size)}
}

// Configure takes over a changed configuration of the service.
func (s *Scheduler) Configure(b catalog.Batch) {
	if s.batch != b {
		s.batch, s.nextLateAt = b, time.Time{}
	}
}

// Arrive queues a new job.
func (s *Scheduler) Arrive(j *Job, now time.Time) {
	s.arrivals = append(s.arrivals, arrival{now, len(j.Pieces)})
	s.Add(j, now)
}

// Next returns the call to make now; false when no server is free or nothing waits.
func (s *Scheduler) Next(servers []Server, now time.Time) (Call, bool) {
	if len(s.jobs) == 0 {
		return Call{}, false
	}
	s.demoteLate(now)
	for _, v := range s.freeServers(servers, now) {
		c := s.fill(v, now)
		if len(c.Parts) == 0 {
			continue
		}
		st := s.state(v.ID)
		st.busy++
		st.roomKnownAt = now
		c.Begun = now
		c.Expected = s.batch.CallTime(c.Count())
		if len(s.jobs) > 0 {
			s.avgCallPieces += callSmoothing * (float64(c.Count()) - s.avgCallPieces)
		}
		return c, true
	}
	return Call{}, false
}

// freeServers returns the servers that may get a call now, the best one first. Slow ones are left out while the others are
// enough for what waits.
func (s *Scheduler) freeServers(servers []Server, now time.Time) []Server {
	type ranked struct {
		v    Server
		cost float64
	}
	var list []ranked
	good := 0
	for _, v := range servers {
		if st := s.state(v.ID); st.usable(v, now) && st.slowness() < slowRatio {
			good++
		}
	}
	waiting := s.Waiting()
	for _, v := range servers {
		st := s.state(v.ID)
		if st.busy >= s.batch.Slots || !st.usable(v, now) || st.awaitingRoom(now) {
			continue
		}
		if st.slowness() >= slowRatio && good > 0 && waiting <= good*s.batch.Size {
			continue
		}
		cost := st.slowness()
		if s.jobs[0].Domain != v.Domain {
			cost += remoteCost
		}
		cost += float64(st.reservedBytes) / float64(max(s.batch.ResultBytes, 1)) * usedRoomCost
		list = append(list, ranked{v, cost})
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]Server, 0, len(list))
	for _, r := range list {
		out = append(out, r.v)
	}
	return out
}

// Costs that break ties between servers of about one speed, in shares of a usual call.
const (
	// remoteCost is for a server in another failure domain than the most urgent job wants.
	remoteCost = 0.15
	// usedRoomCost is for a server whose room is taken.
	usedRoomCost = 0.3
)

// fill takes pieces out of the queue in order while they fit. Jobs with large results that are wanted elsewhere wait a
// moment for a server there, unless they have no time to spare.
func (s *Scheduler) fill(v Server, now time.Time) Call {
	c := Call{Server: v}
	st := s.state(v.ID)
	st.expireResults(now, s.batch.ResultTTL)
	left := s.batch.Size
	before := s.freeBytes(st)
	room := before
	kept := s.jobs[:0]
	for _, j := range s.jobs {
		n := 0
		if s.mayRun(j, v, st, now) && c.accepts(j) {
			n = s.fitting(j, left, room)
		}
		if n > 0 {
			c.Parts = append(c.Parts, CallPart{Job: j, Pieces: j.Pieces[:n:n]})
			j.Pieces = j.Pieces[n:]
			left -= n
			room -= int64(n) * j.ResultBytes
			st.reservedBytes += int64(n) * j.ResultBytes
		}
		if len(j.Pieces) > 0 {
			kept = append(kept, j)
		}
	}
	clear(s.jobs[len(kept):])
	s.jobs = kept
	if len(c.Parts) > 0 {
		s.avgCallBytes += callSmoothing * (float64(before-room) - s.avgCallBytes)
	}
	return c
}

// accepts reports whether a job may be added to a call.
func (c *Call) accepts(j *Job) bool {
	return len(c.Parts) == 0 || !j.Isolated && !c.Parts[0].Job.Isolated
}

// mayRun reports whether a job may go to a server now.
func (s *Scheduler) mayRun(j *Job, v Server, st *serverState, now time.Time) bool {
	if now.Before(st.fullUntil) || now.Before(j.NotBefore) {
		return false
	}
	if j.CrossingBytes < largeCrossingBytes {
		return true
	}
	spare := s.canMeetTarget(j, now) && now.Sub(j.Arrived) < domainWait
	return j.Domain == "" || j.Domain == v.Domain || !spare
}

// fitting returns how many pieces of a job fit into a call. A job is split only when it is larger than a call.
func (s *Scheduler) fitting(j *Job, left int, room int64) int {
	n := min(len(j.Pieces), left)
	if j.ResultBytes > 0 {
		n = min(n, int(max(room, 0)/j.ResultBytes))
	}
	if n < len(j.Pieces) && len(j.Pieces) <= s.batch.Size {
		return 0
	}
	return n
}

// Outcome is how a call ended.
type Outcome struct {
	// Handles are the results made, by the part's and the piece's place; empty for those that failed.
	Handles [][]string
	// Failed is true when the server did not answer the call.
	Failed bool
	// Shed is true when the server refused the call without running it.
	Shed bool
	// NoRoom is true when the server had no room for a result.
	NoRoom bool
}

// Done takes the end of a call over. Room is released for pieces that made no result.
func (s *Scheduler) Done(c *Call, o Outcome, now time.Time) {
	st := s.state(c.Server.ID)
	st.busy--
	st.roomKnownAt = now
	for i, p := range c.Parts {
		for k := range p.Pieces {
			handle := ""
			if i < len(o.Handles) && k < len(o.Handles[i]) {
				handle = o.Handles[i][k]
			}
			if handle == "" {
				st.reservedBytes -= p.Job.ResultBytes
				continue
			}
			st.results[handle] = result{bytes: p.Job.ResultBytes, expiresAt: now.Add(s.batch.ResultTTL)}
		}
	}
	if o.Failed || o.Shed {
		st.failures++
		avoid := min(minAvoid<<min(st.failures-1, 8), maxAvoid)
		st.avoidUntil = now.Add(avoid)
		return
	}
	st.failures = 0
	st.answeredAt = now
	if o.NoRoom {
		st.markFull(now)
	}
	ratio := float64(now.Sub(c.Begun)) / float64(max(c.Expected, time.Millisecond))
	if st.durationRatio == 0 {
		st.durationRatio = 1
	}
	st.durationRatio += durationSmoothing * (ratio - st.durationRatio)
}

// Freed notes that results were given up.
func (s *Scheduler) Freed(server string, handles []string) {
	st := s.state(server)
	for _, h := range handles {
		if r, ok := st.results[h]; ok {
			st.reservedBytes -= r.bytes
			r.bytes = 0
			st.results[h] = r
		}
	}
}

// Repeated reports whether a server made one of the results in an earlier call, within the time that results last.
func (s *Scheduler) Repeated(server string, results []dialect.PieceResult) bool {
	st := s.state(server)
	return slices.ContainsFunc(results, func(r dialect.PieceResult) bool {
		_, ok := st.results[r.Handle]
		return r.Handle != "" && ok
	})
}

// Retain drops servers that are not in use any more.
func (s *Scheduler) Retain(servers []Server) {
	for id, st := range s.servers {
		known := slices.ContainsFunc(servers, func(v Server) bool { return v.ID == id })
		if !known && st.busy == 0 {
			delete(s.servers, id)
		}
	}
}

// NextCheck returns when something may have changed without an event: a server that is avoided comes back. False when
// nothing will.
func (s *Scheduler) NextCheck(now time.Time) (time.Duration, bool) {
	if len(s.jobs) == 0 {
		return 0, false
	}
	wait := pollInterval
	for _, j := range s.jobs {
		if j.NotBefore.After(now) {
			wait = min(wait, j.NotBefore.Sub(now))
		}
	}
	for _, st := range s.servers {
		if st.avoidUntil.After(now) {
			wait = min(wait, st.avoidUntil.Sub(now))
		}
	}
	return wait, true
}

// pollInterval is how often a queue that can't move is looked at: deadlines pass and servers come.
const pollInterval = 100 * time.Millisecond

func (s *Scheduler) state(id string) *serverState {
	st := s.servers[id]
	if st == nil {
		st = &serverState{results: make(map[string]result)}
		s.servers[id] = st
	}
	return st
}

func (st *serverState) usable(v Server, now time.Time) bool {
	return !now.Before(st.avoidUntil) && (!v.Quiet || now.Sub(st.answeredAt) < quietTrustFor)
}

func (st *serverState) slowness() float64 {
	if st.durationRatio == 0 {
		return 1
	}
	return st.durationRatio
}

// expireResults releases the room of results that have expired, those of other VMs' calls included; ttl is how long they last.
func (st *serverState) expireResults(now time.Time, ttl time.Duration) {
	if now.Sub(st.roomReportedAt) > ttl {
		st.foreignBytes = 0
	}
	for h, r := range st.results {
		if now.After(r.expiresAt) {
			st.reservedBytes -= r.bytes
			delete(st.results, h)
		}
	}
}
