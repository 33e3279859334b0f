package stagecall

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/serverload"
)

// Servers that share their machines with others tell in each answer how long work takes there now. That changes several
// times a second, so the average of a server's calls says little about the next one. The rules below use the newest figure
// while it is fresh; for a server that tells none, or the usual pace, they change nothing.

// targetOverrunAt is the relative call time from which a server counts as slow for jobs that would miss their target there.
const targetOverrunAt = 1.3

var piecesLeftOut = metrics.NewCounter("daisyhatch_stage_pieces_left_for_faster_total")

// Tell records the load that a server told in an answer to a call; l may be nil.
func (s *Scheduler) Tell(v Server, l *dialect.Load, now time.Time) {
	if l != nil {
		s.loads.Told(v.ID, v.Born, serverload.Figures{
			Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace, At: now, Source: serverload.Answer,
		})
		s.loads.Expire(now)
	}
}

// paceFit measures how much of what a fresh figure says holds through a call: calls take longer than a pace lasts if it changes
// fast, and a figure may be wrong. It is the slope of the calls' relative time over the pace told before them, both as
// logarithms of what differs from the server's average.
type paceFit struct{ xy, xx float64 }

const (
	// fitMemory is the number of calls over which paceFit measures, and fitPrior the weight of the assumption that it begins
	// with: half of what a figure says holds.
	fitMemory = 100
	fitPrior  = 2.0
)

func newPaceFit() paceFit { return paceFit{xy: fitPrior / 2, xx: fitPrior} }

// slope returns 0 if figures say nothing about calls, and 1 if calls take as long as the figures say.
func (f paceFit) slope() float64 { return min(max(f.xy/f.xx, 0), 1) }

func (f *paceFit) add(x, y float64) {
	f.xx += x*x - (f.xx-fitPrior)/fitMemory
	f.xy += x*y - (f.xy-fitPrior/2)/fitMemory
}

// recordPace compares a finished call's relative time with the pace told before it. It must be called before ratio is part of
// the server's average.
func (s *Scheduler) recordPace(c *Call, st *serverState, ratio float64) {
	if c.pace.Pace <= 0 || c.pace.Trust == 0 || ratio <= 0 {
		return
	}
	s.fit.add(math.Log(c.pace.PaceNow(st.avgPace)/st.avgPace), math.Log(ratio/st.slowness()))
	st.avgPace += durationSmoothing * (c.pace.Pace - st.avgPace)
}

// slownessNow returns how long a call to a server is expected to take now, relative to a server of normal speed. told is true
// if a fresh figure of the server says so.
func (s *Scheduler) slownessNow(id string, st *serverState, now time.Time) (slowness float64, told bool) {
	slowness = st.slowness()
	e := s.loads.Estimate(id, now)
	if e.Pace <= 0 || e.Trust == 0 {
		return slowness, false
	}
	return slowness * math.Pow(e.PaceNow(st.avgPace)/st.avgPace, s.fit.slope()), true
}

// callPlan tells which jobs a server that is slow now may get. The zero callPlan allows all.
type callPlan struct {
	// slow is true if the server told that work takes longer there now; end is when a full call is expected to end.
	slow bool
	end  time.Time
	// fasterEnd is when the next faster server would have finished a full call, and fasterPieces how many pieces the faster
	// servers take that would finish before this one does. fasterBytes is the room for results there.
	fasterEnd    time.Time
	fasterPieces int
	fasterBytes  int64
}

// plan returns the callPlan for a call to a server now.
func (s *Scheduler) plan(v Server, servers []Server, now time.Time) callPlan {
	slowness, told := s.slownessNow(v.ID, s.state(v.ID), now)
	if !told || slowness < targetOverrunAt {
		return callPlan{}
	}
	p := callPlan{slow: true, end: now.Add(s.callTime(s.batch.Size, slowness))}
	for _, o := range servers {
		st := s.state(o.ID)
		if !st.usable(o, now) {
			continue
		}
		if o.ID == v.ID || st.awaitingRoom(now) || now.Before(st.fullUntil) || !o.Limit.HasRoom(now) {
			continue
		}
		begin := now
		if st.busy >= s.batch.Slots && st.endsAt.After(now) {
			begin = st.endsAt
		}
		other, _ := s.slownessNow(o.ID, st, now)
		if e := begin.Add(s.callTime(s.batch.Size, other)); e.Before(p.end) {
			p.fasterPieces += s.batch.Size
			p.fasterBytes += max(s.freeBytes(st), 0)
			if p.fasterEnd.IsZero() || e.Before(p.fasterEnd) {
				p.fasterEnd = e
			}
		}
	}
	return p
}

// callTime returns how long a call with n pieces takes at a server.
func (s *Scheduler) callTime(n int, slowness float64) time.Duration {
	return time.Duration(slowness * float64(s.batch.CallTime(n)))
}

// leaveOut reports whether a job is left for a faster server: here it would miss its target, there it meets it. It takes the
// job's pieces and results off what the faster servers can take.
func (s *Scheduler) leaveOut(j *Job, p *callPlan) bool {
	n := len(j.Pieces)
	bytes := int64(n) * j.ResultBytes
	if !p.slow || j.claim.Late || n > p.fasterPieces || bytes > p.fasterBytes || p.fasterEnd.After(j.Target) {
		return false
	}
	if !p.end.After(j.Target) {
		return false
	}
	p.fasterPieces -= n
	p.fasterBytes -= bytes
	piecesLeftOut.Add(n)
	return true
}

// patience returns the duration of the call to expect at its server, at least that at a server of normal speed.
func (c *Call) patience() time.Duration { return max(c.Expected, c.expectedHere) }

// paceLinesPerSecond bounds the log lines about told paces.
const paceLinesPerSecond = 10

// tell records the load that came with the answer to a call, and logs the call beside the pace before and after it.
func (p *pool) tell(c *Call, a *dialect.Answer) {
	if a.Misdirected {
		return
	}
	now, l := time.Now(), a.Load
	p.mu.Lock()
	p.sched.Tell(c.Server, l, now)
	p.mu.Unlock()
	if l == nil || l.Pace == 0 || l.Pace == 1 && c.expectedHere == c.Expected {
		return
	}
	if ok, leftOut := p.runner.paceLog.Allow(now); ok {
		p.runner.opts.Log.Info("pace told", "service", p.service, "server", c.Server.ID, "pieces", c.Count(), "pace", l.Pace,
			"pace_before", c.pace.Pace, "pace_before_age_ms", c.pace.Age.Milliseconds(), "took_ms", now.Sub(c.Begun).Milliseconds(),
			"expected_ms", c.Expected.Milliseconds(), "expected_here_ms", c.expectedHere.Milliseconds(), "running", l.Running,
			"waiting", l.Waiting, "lines_left_out", leftOut)
	}
}

// tellFreed records the load that came with the answer to a release.
func (r *Runner) tellFreed(v directory.Server, l *dialect.Load, pools []*pool) {
	for _, p := range pools {
		if p.service == v.Service {
			p.mu.Lock()
			p.sched.Tell(Server{ID: v.ID, Born: v.Born}, l, time.Now())
			p.mu.Unlock()
		}
	}
}
