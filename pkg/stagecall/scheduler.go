// Package stagecall schedules the calls to stage servers, for the requests of all VMs in one place. A stage server runs one
// call at a time, and each call has a fixed cost whatever its size, so the capacity of a pool depends on full calls: while
// all servers are busy, the pieces of all requests wait in one queue, and a server that becomes free takes as many as fit.
package stagecall

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/precedence"
	"github.com/daisyhatch/daisyhatch/pkg/returning"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
	"github.com/daisyhatch/daisyhatch/pkg/serverload"
)

// Job is the work for one stage of one request.
type Job struct {
	Request string
	// Fingerprint is a hash of the request's content; 0 if unknown.
	Fingerprint uint64
	Stage       int
	Key         string
	// KeyFingerprint identifies the service and Key, which requests that are otherwise unlike may share; 0 without a key.
	KeyFingerprint uint64
	// Isolated is true after several servers crashed under the request; its pieces then share no call with other jobs.
	Isolated bool
	// NotBefore is the earliest time at which its pieces may be sent again after a server crashed while running them.
	NotBefore time.Time
	// Pieces are those not yet sent, or to be sent again.
	Pieces []Piece
	// Deadline is when the result becomes worthless; Target is until when it has its full value.
	Deadline, Target time.Time
	Priority         int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
	// Domain is the failure domain that needs the results; empty if any will do.
	Domain string
	// CrossingBytes is the approximate number of bytes that cross failure domains if the pieces run in another domain.
	CrossingBytes int64
	// Arrived is the tie-breaker between jobs that are otherwise equal.
	Arrived time.Time

	Organisation string
	// WorkAfter and WorkDone are the server time that the request needs behind this stage, and that was spent for it before.
	WorkAfter, WorkDone time.Duration

	// resultsTo receives the results.
	resultsTo *waiter
	// claim is what the job asks of the servers; the Scheduler maintains it.
	claim precedence.Claim
	// deferred is true once the job gave way to another one and waits behind those that can meet their target.
	deferred bool
	// repeat is true while the job repeats one that counts as turned away.
	repeat bool
	// turnedAway is true once the job was turned away; pieces of it may still run.
	turnedAway bool
}

// Piece is the smallest unit of a job; each piece yields one result.
type Piece struct {
	Index  int
	Inputs []string
	// Tries is the number of failed attempts, not counting those that failed for lack of room.
	Tries int
}

// Server is a stage server that may get calls.
type Server struct {
	ID      string
	Address string
	Domain  string
	// Born is the start time of the incarnation in Unix milliseconds.
	Born int64
	// Quiet is true if the control VMs don't hear the server; it is used only while it keeps answering calls.
	Quiet bool
	// Limit is the server's limit and this VM's share of it; nil when the server has none.
	Limit *serverlimit.Use
}

// Call is a group of pieces that are sent to one server together.
type Call struct {
	Server Server
	Parts  []CallPart
	Begun  time.Time
	// Expected is the duration of the call on a server of normal speed, expectedHere that on its server as it is now.
	Expected     time.Duration
	expectedHere time.Duration
	// pace is what was known of its server's load when it was chosen.
	pace serverload.Estimate
	// inputsRead is true once the call has run for inputReadTime and its inputs count as read. The pool's lock guards it.
	inputsRead bool
	// connectedAt is when the connection was made on which the call was answered.
	connectedAt time.Time
	// serverEnded is true if the server crashed during the call.
	serverEnded bool
	// overLimit is true if the server's limit left no room for the call after its server was chosen.
	overLimit bool
}

// CallPart holds the pieces of one job within a call.
type CallPart struct {
	Job    *Job
	Pieces []Piece
}

// Count returns the number of pieces in the call.
func (c *Call) Count() int {
	n := 0
	for _, p := range c.Parts {
		n += len(p.Pieces)
	}
	return n
}

// Parameters of the choice of servers and jobs.
const (
	// slowRatio is the ratio of actual to expected call time from which a server is left out while others suffice.
	slowRatio = 2.0
	// durationSmoothing is the weight of the newest call in a server's average duration ratio.
	durationSmoothing = 0.4
	// callSmoothing is the weight of the newest call in the averages of pieces and bytes per call.
	callSmoothing = 0.1
	// minAvoid and maxAvoid bound how long a server that failed a call is avoided; each failure in a row doubles the time.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
	// quietTrustFor is how long after an answer a server that the control VMs don't hear is assumed to be alive.
	quietTrustFor = 3 * time.Second
	// fullFor is how long a server without room gets no calls, unless it reports room earlier. Results are released one by
	// one, with a call for each request that ends.
	fullFor = 50 * time.Millisecond
	// largeCrossingBytes is the size from which a job waits for a server in the domain that needs its results: links between
	// domains are slower, and smaller results cross them in less time than the wait would take.
	largeCrossingBytes = 300_000
	// domainWait is how long a job that can meet its target waits for a server in the domain that needs its results, about
	// one call.
	domainWait = 400 * time.Millisecond
	// usableRoomShare is the share of a server's room that is used, since result sizes are approximate.
	usableRoomShare = 0.9
)

// serverState is the state that the scheduler keeps for one server.
type serverState struct {
	// busy is the number of running calls.
	busy int
	// durationRatio is the average ratio of actual to expected call time; 0 before the first call. avgPace is the average pace
	// that the server told meanwhile; 1 if it told none.
	durationRatio float64
	avgPace       float64
	// endsAt is when the latest call is expected to end.
	endsAt time.Time
	// failures is the number of failed calls in a row.
	failures   int
	avoidUntil time.Time
	// reservedBytes is the room taken by this VM's running calls and by their results that are not yet released.
	reservedBytes int64
	// results holds the results made by calls of this VM, by handle.
	results map[string]result
	// answeredAt is when it last answered a call.
	answeredAt time.Time
	// fullUntil is until when the server is assumed to have no room, after it reported that.
	fullUntil time.Time
	// foreignBytes is the size of results of other VMs' calls, as the server reported at roomReportedAt. roomKnownAt is the
	// time of the latest report, or of the latest start or end of a call of this VM there. roomQueriedAt is when a query
	// was sent that is still unanswered.
	foreignBytes   int64
	roomReportedAt time.Time
	roomKnownAt    time.Time
	roomQueriedAt  time.Time
}

// result is a result that a server holds. It is kept until it expires, even if released earlier, to detect duplicate
// responses.
type result struct {
	bytes     int64
	expiresAt time.Time
}

// Scheduler decides which pieces go to which server for one service. It is not safe for concurrent use.
type Scheduler struct {
	batch catalog.Batch
	order precedence.Order
	// shares is which part of the jobs of each priority and organisation was admitted.
	shares precedence.Shares
	// refused are the jobs that were turned away lately, by refusedKey.
	refused map[uint64]time.Time
	// returns paces the returns of callers whose jobs were turned away.
	returns returning.Pacer
	// jobs is sorted by compareJobs.
	jobs []*Job
	// nextLateAt is when the first of the jobs that can meet their target becomes late.
	nextLateAt time.Time
	servers    map[string]*serverState
	// loads holds what servers told of their load and pace.
	loads *serverload.Table
	fit   paceFit
	// arrivals holds the numbers of pieces that arrived within arrivalWindow.
	arrivals []arrival
	// avgCallPieces is the average number of pieces of calls that left pieces waiting. It is below the maximum call size if
	// servers run out of room.
	avgCallPieces float64
	// avgCallBytes is the average size of all results of a call.
	avgCallBytes float64
}

type arrival struct {
	at     time.Time
	pieces int
}

// NewScheduler returns a Scheduler for a service, with an empty queue.
func NewScheduler(b catalog.Batch) *Scheduler {
	return &Scheduler{batch: b, order: precedence.Default(), servers: make(map[string]*serverState), loads: serverload.NewTable(), fit: newPaceFit(), avgCallPieces: float64(b.Size)}
}

// Configure applies a changed configuration of the service.
func (s *Scheduler) Configure(b catalog.Batch) {
	if s.batch != b {
		s.batch, s.nextLateAt = b, time.Time{}
	}
}

// Enqueue queues a new job and counts its pieces as arrivals.
func (s *Scheduler) Enqueue(j *Job, now time.Time) {
	s.arrivals = append(s.arrivals, arrival{now, len(j.Pieces)})
	s.Requeue(j, now)
}

// Next returns the next call to make; false if no server is free or no job may be sent.
func (s *Scheduler) Next(servers []Server, now time.Time) (Call, bool) {
	if len(s.jobs) == 0 {
		return Call{}, false
	}
	s.demoteLate(now)
	for _, v := range s.freeServers(servers, now) {
		plan := s.plan(v, servers, now)
		c := s.fill(v, &plan, now)
		if len(c.Parts) == 0 {
			continue
		}
		st := s.state(v.ID)
		st.busy++
		st.roomKnownAt = now
		c.Begun = now
		c.Expected = s.batch.CallTime(c.Count())
		slowness, _ := s.slownessNow(v.ID, st, now)
		c.pace = s.loads.Estimate(v.ID, now)
		c.expectedHere = s.callTime(c.Count(), slowness)
		st.endsAt = now.Add(c.expectedHere)
		if len(s.jobs) > 0 {
			s.avgCallPieces += callSmoothing * (float64(c.Count()) - s.avgCallPieces)
		}
		return c, true
	}
	return Call{}, false
}

// freeServers returns the servers that may get a call now, best first. Slow servers are left out while the others can
// take all that waits. The queue must not be empty.
func (s *Scheduler) freeServers(servers []Server, now time.Time) []Server {
	type ranked struct {
		v    Server
		cost float64
	}
	var list []ranked
	good := 0
	for _, v := range servers {
		st := s.state(v.ID)
		if slowness, _ := s.slownessNow(v.ID, st, now); slowness < slowRatio && st.usable(v, now) {
			good++
		}
	}
	waiting := s.Waiting()
	for _, v := range servers {
		st := s.state(v.ID)
		if st.busy >= s.batch.Slots || !st.usable(v, now) || st.awaitingRoom(now) || !v.Limit.HasRoom(now) {
			continue
		}
		cost, _ := s.slownessNow(v.ID, st, now)
		if cost >= slowRatio && good > 0 && waiting <= good*s.batch.Size {
			continue
		}
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

// Costs that are added to a server's duration ratio to choose between servers of similar speed; 1 is the time of a call.
const (
	// remoteCost applies to a server outside the failure domain that the first job in the queue needs its results in.
	remoteCost = 0.15
	// usedRoomCost applies to a server whose room is all taken, and in proportion below that.
	usedRoomCost = 0.3
)

// fill takes pieces from the queue in order while they fit into a call to a server. Jobs with large results that another
// failure domain needs wait a moment for a server there, unless they have no time to spare.
func (s *Scheduler) fill(v Server, p *callPlan, now time.Time) Call {
	c := Call{Server: v}
	st := s.state(v.ID)
	st.expireResults(now, s.batch.ResultTTL)
	left := s.batch.Size
	before := s.freeBytes(st)
	freeBytes := before
	kept := s.jobs[:0]
	for _, j := range s.jobs {
		n := 0
		if s.mayRun(j, v, st, now) && c.accepts(j) && !s.leaveOut(j, p) {
			n = s.fitting(j, left, freeBytes)
		}
		if n > 0 {
			c.Parts = append(c.Parts, CallPart{Job: j, Pieces: j.Pieces[:n:n]})
			j.Pieces = j.Pieces[n:]
			left -= n
			freeBytes -= int64(n) * j.ResultBytes
			st.reservedBytes += int64(n) * j.ResultBytes
		}
		if len(j.Pieces) > 0 {
			kept = append(kept, j)
		}
	}
	clear(s.jobs[len(kept):])
	s.jobs = kept
	if len(c.Parts) > 0 {
		s.avgCallBytes += callSmoothing * (float64(before-freeBytes) - s.avgCallBytes)
	}
	return c
}

// accepts reports whether a job may be added to a call.
func (c *Call) accepts(j *Job) bool {
	return len(c.Parts) == 0 || !j.Isolated && !c.Parts[0].Job.Isolated
}

// mayRun reports whether a job may be sent to a server now.
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

// fitting returns the number of a job's pieces that fit into a call. Only a job larger than a full call is split.
func (s *Scheduler) fitting(j *Job, left int, freeBytes int64) int {
	n := min(len(j.Pieces), left)
	if j.ResultBytes > 0 {
		n = min(n, int(max(freeBytes, 0)/j.ResultBytes))
	}
	if n < len(j.Pieces) && len(j.Pieces) <= s.batch.Size {
		return 0
	}
	return n
}

// Outcome is how a call ended.
type Outcome struct {
	// Handles are the results, indexed by part and by piece within the part; empty for pieces that failed.
	Handles [][]string
	// Failed is true if the server did not answer the call.
	Failed bool
	// Shed is true if the server refused the call without running it.
	Shed bool
	// NoRoom is true if the server had no room for a result.
	NoRoom bool
}

// Done records the end of a call. The room reserved for pieces without a result becomes free again.
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
	durationRatio := float64(now.Sub(c.Begun)) / float64(max(c.Expected, time.Millisecond))
	s.recordPace(c, st, durationRatio)
	if st.durationRatio == 0 {
		st.durationRatio = 1
	}
	st.durationRatio += durationSmoothing * (durationRatio - st.durationRatio)
}

// ResultsReleased records that results at a server were released.
func (s *Scheduler) ResultsReleased(server string, handles []string) {
	st := s.state(server)
	for _, h := range handles {
		if r, ok := st.results[h]; ok {
			st.reservedBytes -= r.bytes
			r.bytes = 0
			st.results[h] = r
		}
	}
}

// Repeated reports whether any result was already returned by an earlier call to the server and has not expired.
func (s *Scheduler) Repeated(server string, results []dialect.PieceResult) bool {
	st := s.state(server)
	return slices.ContainsFunc(results, func(r dialect.PieceResult) bool {
		_, ok := st.results[r.Handle]
		return r.Handle != "" && ok
	})
}

// Retain forgets servers that are not in the list and run no call.
func (s *Scheduler) Retain(servers []Server) {
	for id, st := range s.servers {
		known := slices.ContainsFunc(servers, func(v Server) bool { return v.ID == id })
		if !known && st.busy == 0 {
			delete(s.servers, id)
			s.loads.Forget(id)
		}
	}
}

// NextCheck returns the time until the queue must be checked again even without an event: a server is no longer avoided, a job's
// NotBefore passes, or pollInterval ends. It returns false if the queue is empty.
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

// pollInterval is the maximum time between two checks of a queue that can't advance: deadlines pass and servers appear.
const pollInterval = 100 * time.Millisecond

func (s *Scheduler) state(id string) *serverState {
	st := s.servers[id]
	if st == nil {
		st = &serverState{avgPace: 1, results: make(map[string]result)}
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

// expireResults frees the room of expired results, including those of other VMs' calls; ttl is the lifetime of a result.
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
