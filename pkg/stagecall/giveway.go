package stagecall

import (
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/precedence"
)

const (
	// maxGivingWay bounds the jobs that give way to one job, and maxGiveWaySearches the jobs for which a check of the whole
	// queue looks for others that give way; the rest are turned away themselves.
	maxGivingWay       = 4
	maxGiveWaySearches = 32
)

// SetOrder replaces the order of the queue; to be called before the first job.
func (s *Scheduler) SetOrder(o precedence.Order) { s.order = o }

// GaveWay is a job that gave way. To is the job that needed its room; nil if the job can't meet its deadline itself.
type GaveWay struct {
	Job, To *Job
	// Delayed is true if the job still waits, behind those that can meet their target; otherwise it was turned away.
	Delayed bool
}

// Admission is whether a job may be queued.
type Admission struct {
	// Wait is how long the job is expected to wait for a server.
	Wait time.Duration
	OK   bool
	// GivingWay are the queued jobs that were delayed or turned away in its favour.
	GivingWay []GaveWay
}

// Admit decides whether a new job may be queued, and counts it. Where there is too little room for it before its deadline,
// queued jobs that precede it and cost their callers less give way; if that isn't enough, the job isn't admitted. A job that
// could not be done in time by idle servers either isn't counted: nobody is served too little by that.
func (s *Scheduler) Admit(j *Job, servers []Server, now time.Time) Admission {
	f := s.capacity(servers, now)
	canBeMet := s.canBeMet(j, f, now)
	if canBeMet {
		s.countAsked(j, now)
	}
	s.demoteLate(now)
	at, ahead := s.place(j, now)
	a := Admission{Wait: s.queueDelay(j, f, ahead, now), OK: s.meetsDeadline(j, f, ahead, now)}
	if a.OK {
		s.countServed(j, now)
	}
	if a.OK || !canBeMet {
		return a
	}
	given, ok := s.givingWayTo(j, s.jobs[:at], f, ahead, now)
	if !ok {
		s.turnedAway(j, now)
		return a
	}
	s.countServed(j, now)
	a = Admission{OK: true}
	for _, k := range given {
		s.Drop(k)
		ahead -= len(k.Pieces)
		a.GivingWay = append(a.GivingWay, s.giveWay(k, j, now))
	}
	a.Wait = s.queueDelay(j, f, ahead, now)
	return a
}

// canBeMet reports whether a job could be done before its deadline if nothing else wanted the servers.
func (s *Scheduler) canBeMet(j *Job, f throughput, now time.Time) bool {
	f.hasFreeServer = f.capacity > 0
	return s.meetsDeadline(j, f, 0, now)
}

// giveWay delays a job that is no longer in the queue, or turns it away if it is late already.
func (s *Scheduler) giveWay(k, to *Job, now time.Time) GaveWay {
	if k.claim.Late {
		s.turnedAway(k, now)
		return GaveWay{Job: k, To: to}
	}
	k.deferred = true
	s.Requeue(k, now)
	return GaveWay{Job: k, To: to, Delayed: true}
}

// WaitLike returns how long a job like j, which was queued once, would wait for a server if it arrived now.
func (s *Scheduler) WaitLike(j *Job, servers []Server, now time.Time) time.Duration {
	later := now.Sub(j.Arrived)
	k := &Job{Arrived: now, Target: j.Target.Add(later), Deadline: j.Deadline.Add(later), Priority: j.Priority, claim: j.claim}
	k.claim.Arrived, k.claim.Target, k.claim.Deadline = k.Arrived, k.Target, k.Deadline
	k.claim.Late = !s.canMeetTarget(k, now)
	s.demoteLate(now)
	ahead := 0
	for _, q := range s.jobs[:s.position(k)] {
		ahead += len(q.Pieces)
	}
	return s.queueDelay(k, s.capacity(servers, now), ahead, now)
}

// place returns the index at which a job that isn't queued belongs and the number of pieces ahead of it.
func (s *Scheduler) place(j *Job, now time.Time) (index, ahead int) {
	s.updateClaim(j, now)
	j.claim.Late = j.deferred || !s.canMeetTarget(j, now)
	index = s.position(j)
	for _, k := range s.jobs[:index] {
		ahead += len(k.Pieces)
	}
	return index, ahead
}

// givingWayTo returns the jobs among those ahead of a job that give way to it, so that it meets its deadline; false if that
// isn't possible. ahead is the number of their pieces.
func (s *Scheduler) givingWayTo(j *Job, before []*Job, f throughput, ahead int, now time.Time) ([]*Job, bool) {
	if s.order.Yield == nil {
		return nil, false
	}
	first := make([]*Job, 0, maxGivingWay+1)
	// Only what yields before bound counts.
	bound := &j.claim
	for _, k := range before {
		if s.order.Yield(&k.claim, bound) >= 0 || s.staysAhead(k, j) {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, k, func(a, b *Job) int { return s.order.Yield(&a.claim, &b.claim) })
		first = slices.Insert(first, i, k)
		first = first[:min(len(first), maxGivingWay)]
		if len(first) == maxGivingWay {
			bound = &first[maxGivingWay-1].claim
		}
	}
	for i, k := range first {
		ahead -= len(k.Pieces)
		if s.meetsDeadline(j, f, ahead, now) {
			return first[:i+1], true
		}
	}
	return nil, false
}

// staysAhead reports whether a job would go before another one even if it was delayed, so that its delay makes no room.
func (s *Scheduler) staysAhead(k, j *Job) bool {
	delayed := k.claim
	delayed.Late = true
	return !k.claim.Late && s.order.First(&delayed, &j.claim) <= 0
}

// DropInfeasible removes and returns the jobs that give way: for each job that is not expected to finish before its deadline,
// those ahead of it that cost their callers less, or else the job itself.
func (s *Scheduler) DropInfeasible(servers []Server, now time.Time) []GaveWay {
	if len(s.jobs) == 0 {
		return nil
	}
	s.demoteLate(now)
	f := s.capacity(servers, now)
	ahead, searches := 0, 0
	var out []GaveWay
	var given []givenTo
	kept := make([]*Job, 0, len(s.jobs))
	for _, j := range s.jobs {
		if s.meetsDeadline(j, f, ahead, now) {
			kept, ahead = append(kept, j), ahead+len(j.Pieces)
			continue
		}
		searches++
		list, ok := []*Job(nil), false
		if searches <= maxGiveWaySearches {
			list, ok = s.givingWayTo(j, kept, f, ahead, now)
		}
		if !ok {
			s.turnedAway(j, now)
			out = append(out, GaveWay{Job: j})
			continue
		}
		for _, k := range list {
			given = append(given, givenTo{k, j})
			ahead -= len(k.Pieces)
		}
		kept = slices.DeleteFunc(kept, func(k *Job) bool { return slices.Contains(list, k) })
		kept, ahead = append(kept, j), ahead+len(j.Pieces)
	}
	s.jobs = kept
	for _, g := range given {
		out = append(out, s.giveWay(g.job, g.to, now))
	}
	return out
}

// givenTo is a job that gives way to another.
type givenTo struct{ job, to *Job }
