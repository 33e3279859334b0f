package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	// sliceTime is the time within which answers of both versions count as given under the same conditions.
	sliceTime = time.Second
	// maxSlices bounds the slices kept: those before are forgotten.
	maxSlices = 128
	// convictAt is the natural logarithm of the odds at which a version is convicted: the probability that a version like the
	// others reaches it is at most exp(-convictAt) for each of the tests made.
	convictAt = 11.5
	// doubtAt is the same at which the version isn't cleared.
	doubtAt = 4.5
	// othersShare is the share of the odds that has to be left without the server that weighs most: a failed server convicts no
	// version.
	othersShare = 0.6
	// clearAt is the natural logarithm of the odds at which a version is cleared: a version with badFailureShare more bad
	// answers than the others is cleared with a probability of at most exp(-clearAt).
	clearAt = 5.5
	// recentSlices is the time in which the answers must not speak against a version that is cleared: it may have turned bad.
	recentSlices = 4
	// clearRouteAt is the same for a route with as much evidence against the version, all from one server.
	clearRouteAt = 1.5
	// badFailureShare and badSlowShare are the smallest shares of failed and slow answers, beyond that of the other versions,
	// that the clearing test excludes;
	// goodFailureShare is what a good version may have beyond them.
	badFailureShare  = 0.20
	badSlowShare     = 0.30
	goodFailureShare = 0.01
	// cleanShare is what servers may have beyond the others' share of bad answers to count as good when one of them is left out.
	cleanShare = 0.03
	// slowQuantile is the share of the other versions' answers on a route that are not slow.
	slowQuantile = 0.90
	// cachedFirstMargin and cachedWholeMargin are by how many classes the times of servers that keep what they have read exceed
	// the others' if they are slow: four times and twice as long.
	cachedFirstMargin = 2 * bucketsPerDoubling
	cachedWholeMargin = bucketsPerDoubling
	// minSlowShare is the least share of slow answers of a version that is convicted for them.
	minSlowShare = 0.2
	// manyFailures is the number of failed answers at which doubt is enough to convict a version for its failures.
	manyFailures = 30
	// minCompared is the least number of answers of each side in a comparison of times.
	minCompared = 10
)

// oddsTested are the odds of a bad answer against those of the other versions that are tested.
var oddsTested = [...]float64{3, 10}

// Judge compares the answers of a version with those of the other versions of its service, on the same route in the same
// second. It answers the load pattern in which what is bad comes over all versions at once, such as a burst or a lost failure
// domain: given that an answer is bad, the version that gave it is what the shares of the answers make likely, unless the
// version is worse. Its tests are sequential: their errors hold however often they are made. It isn't safe for concurrent use.
type Judge struct {
	slices map[int64]map[string]*stratum
	latest int64
	// servers are the servers of the version that have answered.
	servers map[string]bool
	// firstMargin and wholeMargin are by how many classes a time has to exceed the others' to be slow.
	firstMargin, wholeMargin int
}

// stratum is what one route had in one slice of time.
type stratum struct {
	others    tally
	candidate tally
	// byServer are the candidate's answers by server.
	byServer map[string]*tally
}

// tally counts answers.
type tally struct {
	good, failed uint64
	first, whole histogram
}

// histogram counts answers by class. Most hold few classes.
type histogram []classCount

type classCount struct {
	class int
	n     float64
}

func (h *histogram) add(class int, n float64) {
	for i := range *h {
		if (*h)[i].class == class {
			(*h)[i].n += n
			return
		}
	}
	*h = append(*h, classCount{class, n})
}

// above returns the number of answers in a higher class than limit.
func (h histogram) above(limit int) float64 {
	n := 0.0
	for _, c := range h {
		if c.class > limit {
			n += c.n
		}
	}
	return n
}

func (t *tally) add(a *daisyhatchv1.RolloutAnswers) {
	t.good += a.GetGood()
	t.failed += a.GetFailed()
	for b, n := range a.GetFirst() {
		t.first.add(int(min(b, maxBucket)), float64(n))
	}
	for b, n := range a.GetWhole() {
		t.whole.add(int(min(b, maxBucket)), float64(n))
	}
}

func (t *tally) answers() float64 { return float64(t.good + t.failed) }

// NewJudge returns a Judge without evidence. cached is true for servers that answer faster what they have read before: those
// of a new version have read nothing yet, and the times of good ones exceed the others' by less than the margins.
func NewJudge(cached bool) *Judge {
	j := &Judge{slices: make(map[int64]map[string]*stratum), servers: make(map[string]bool)}
	if cached {
		j.firstMargin, j.wholeMargin = cachedFirstMargin, cachedWholeMargin
	}
	return j
}

// Add adds answers that were given about elapsed after the order.
func (j *Judge) Add(a *daisyhatchv1.RolloutAnswers, elapsed time.Duration) {
	n := int64(elapsed / sliceTime)
	s := j.slices[n]
	if s == nil {
		s = make(map[string]*stratum)
		j.slices[n] = s
		j.latest = max(j.latest, n)
		maps.DeleteFunc(j.slices, func(k int64, _ map[string]*stratum) bool { return k <= j.latest-maxSlices })
	}
	st := s[a.GetRoute()]
	if st == nil {
		st = &stratum{byServer: make(map[string]*tally)}
		s[a.GetRoute()] = st
	}
	if !a.GetCandidate() {
		st.others.add(a)
		return
	}
	st.candidate.add(a)
	j.servers[a.GetServer()] = true
	if st.byServer[a.GetServer()] == nil {
		st.byServer[a.GetServer()] = &tally{}
	}
	st.byServer[a.GetServer()].add(a)
}

// kept returns how many of the latest slices may hold answers.
func (j *Judge) kept() int64 { return min(j.latest+1, maxSlices) }

// Verdict is what the evidence says.
type Verdict struct {
	// Bad means that the version is worse than the others, Clear that it isn't. Both are false while the evidence decides
	// nothing.
	Bad, Clear bool
	// Doubtful means that the version may be worse.
	Doubtful bool
	// Fails means that the version fails clearly more than the others did while they got requests, whoever's fault that is.
	Fails bool
	// Reason states the evidence.
	Reason string
}

// Verdict weighs the evidence.
func (j *Judge) Verdict() Verdict {
	var v Verdict
	worst, doubtful := finding{}, false
	for _, measure := range measures {
		for _, route := range append(j.routes(), "") {
			for n := int64(2); ; n *= 2 {
				f := j.test(measure, route, n)
				doubtful = doubtful || f.doubtful()
				if f.convicts() && !worst.convicts() || f.convicts() == worst.convicts() && f.odds > worst.odds {
					worst = f
				}
				if n >= j.kept() {
					break
				}
			}
		}
	}
	clear := math.Inf(1)
	text := ""
	for _, measure := range measures {
		good, bad, rate, odds := j.totals(measure, "", j.kept())
		clear = min(clear, odds)
		v.Fails = v.Fails || measure == measureFailures && odds <= -convictAt
		if _, _, _, recent := j.totals(measure, "", recentSlices); recent < 0 {
			doubtful = true
		}
		text += fmt.Sprintf("%s: %.0f good and %.0f bad answers, bad share beside them %.3f, log odds for it %.1f; ", measure, good, bad, rate, odds)
		if measure == measureFailures && bad >= manyFailures && doubtful && worst.measure == measureFailures {
			v.Bad = true
		}
	}
	for _, route := range j.routes() {
		for _, measure := range measures {
			if good, bad, rate, odds := j.totals(measure, route, j.kept()); clearOdds(measure, good, bad, rate) <= -clearAt && odds < clearRouteAt {
				doubtful = true
			}
		}
	}
	v.Bad, v.Doubtful = v.Bad || worst.convicts(), doubtful
	v.Clear = !doubtful && clear >= clearAt
	v.Reason = text + "against it " + worst.String()
	return v
}

// What is compared.
const (
	measureFailures = "failures"
	measureFirst    = "time to first byte"
	measureWhole    = "time of the whole answer"
)

var measures = [...]string{measureFailures, measureFirst, measureWhole}

// finding is the outcome of one test.
type finding struct {
	measure, route string
	// odds and othersOdds are log odds, the latter without the server that weighs most.
	odds, othersOdds float64
	bad, of          uint64
	alone            bool
}

func (f finding) convicts() bool {
	return f.odds >= convictAt && (f.alone || f.othersOdds >= othersShare*convictAt)
}

func (f finding) doubtful() bool {
	return f.odds >= doubtAt && (f.alone || f.othersOdds >= othersShare*doubtAt)
}

// String implements fmt.Stringer.
func (f finding) String() string {
	if f.odds <= 0 {
		return "nothing"
	}
	route := f.route
	if route == "" {
		route = "all"
	}
	return fmt.Sprintf("log odds %.1f (%.1f without one server) by %s on route %s: %d of %d answers", f.odds, f.othersOdds, f.measure, route, f.bad, f.of)
}

func (j *Judge) routes() []string {
	var out []string
	for _, s := range j.slices {
		for r := range s {
			if !slices.Contains(out, r) {
				out = append(out, r)
			}
		}
	}
	slices.Sort(out)
	return out
}

// totals returns the candidate's good and bad answers by a measure on one route, or on all for "", in the latest n slices, the share of bad ones among those of the others under its
// conditions, and clearOdds of these. If several servers answered, the odds may leave out the one with the most bad answers if
// the rest are as good as the others: a failed server keeps no version from being cleared.
func (j *Judge) totals(measure, route string, n int64) (good, bad, rate, odds float64) {
	limits := j.limits(measure, route, n)
	expected, all := 0.0, 0.0
	byServer := make(map[string]*[2]float64)
	for i := j.latest; i > j.latest-n; i-- {
		for name, st := range j.slices[i] {
			limit, compared := limits[name]
			if route != "" && route != name || measure != measureFailures && !compared {
				continue
			}
			for id, t := range st.byServer {
				if byServer[id] == nil {
					byServer[id] = &[2]float64{}
				}
				b := t.bad(measure, limit)
				byServer[id][0] += t.answers() - b
				byServer[id][1] += b
			}
			if n := st.others.answers(); n > 0 {
				all += st.candidate.answers()
				expected += st.candidate.answers() * st.others.bad(measure, limit) / n
			}
		}
	}
	worst := &[2]float64{}
	for id, t := range byServer {
		good += t[0]
		bad += t[1]
		if t[1] > worst[1] && id != "" {
			worst = t
		}
	}
	if all > 0 {
		rate = expected / all
	}
	odds = clearOdds(measure, good, bad, rate)
	restGood, restBad := good-worst[0], bad-worst[1]
	if len(byServer) > 1 && restBad <= 1+(rate+cleanShare)*(restGood+restBad) {
		odds = max(odds, clearOdds(measure, restGood, restBad, rate))
	}
	return good, bad, rate, odds
}

// clearOdds returns the log odds for a version with at most goodFailureShare more bad answers than the others against one
// with badFailureShare or badSlowShare more.
func clearOdds(measure string, good, bad, rate float64) float64 {
	excluded := badFailureShare
	if measure != measureFailures {
		excluded = badSlowShare
	}
	low, high := min(rate+goodFailureShare, 0.8), min(rate+excluded, 0.9)
	return good*math.Log((1-low)/(1-high)) - bad*math.Log(high/low)
}

// test compares one measure on one route, or on all for "", over the latest n slices.
func (j *Judge) test(measure, route string, n int64) finding {
	best := finding{measure: measure, route: route, alone: len(j.servers) < 2}
	limits := j.limits(measure, route, n)
	if limits == nil && measure != measureFailures {
		return best
	}
	for _, r := range oddsTested {
		f := finding{measure: measure, route: route, alone: best.alone}
		byServer := make(map[string]float64)
		for i := j.latest; i > j.latest-n; i-- {
			for name, st := range j.slices[i] {
				if route != "" && name != route {
					continue
				}
				limit, compared := limits[name]
				if measure != measureFailures && !compared {
					continue
				}
				st.weigh(&f, byServer, measure, limit, r)
			}
		}
		most := 0.0
		for _, w := range byServer {
			most = max(most, w)
		}
		f.othersOdds = f.odds - most
		if measure != measureFailures && float64(f.bad) < minSlowShare*float64(f.of) {
			f.odds = min(f.odds, 0)
		}
		if f.odds > best.odds {
			best = f
		}
	}
	return best
}

// weigh adds a stratum's evidence for odds r to a finding.
func (st *stratum) weigh(f *finding, byServer map[string]float64, measure string, limit int, r float64) {
	candidate, others := st.candidate.answers(), st.others.answers()
	f.of += st.candidate.good + st.candidate.failed
	bad := st.candidate.bad(measure, limit)
	f.bad += uint64(bad)
	if candidate == 0 || others == 0 {
		return
	}
	share := candidate / (candidate + others)
	norm := math.Log(r*share + 1 - share)
	f.odds += bad*(math.Log(r)-norm) - st.others.bad(measure, limit)*norm
	for id, t := range st.byServer {
		byServer[id] += t.bad(measure, limit) * (math.Log(r) - norm)
	}
}

// bad returns the number of failed answers, or of those in a higher class of the measure than limit.
func (t *tally) bad(measure string, limit int) float64 {
	switch measure {
	case measureFirst:
		return t.first.above(limit)
	case measureWhole:
		return t.whole.above(limit)
	}
	return float64(t.failed)
}

// limits returns, by route, the class of a time measure above which an answer is slow: slowQuantile of the others' answers
// in the latest n slices, and those within the margin, are not.
func (j *Judge) limits(measure, route string, n int64) map[string]int {
	if measure == measureFailures {
		return nil
	}
	sums := make(map[string]*[maxBucket + 1]float64)
	for i := j.latest; i > j.latest-n; i-- {
		for name, st := range j.slices[i] {
			if route != "" && name != route {
				continue
			}
			if sums[name] == nil {
				sums[name] = &[maxBucket + 1]float64{}
			}
			h := st.others.first
			if measure == measureWhole {
				h = st.others.whole
			}
			for _, c := range h {
				sums[name][c.class] += c.n
			}
		}
	}
	margin := j.firstMargin
	if measure == measureWhole {
		margin = j.wholeMargin
	}
	out := make(map[string]int)
	for name, h := range sums {
		total := 0.0
		for _, c := range h {
			total += c
		}
		if total < minCompared {
			continue
		}
		below := 0.0
		for b, c := range h {
			if below += c; below >= slowQuantile*total {
				out[name] = b + margin
				break
			}
		}
	}
	return out
}
