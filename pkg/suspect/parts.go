package suspect

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Limits and durations of the evidence against parts of prompts.
const (
	// MaxPartCrashes is the number of crashes kept as evidence. Beyond it the oldest is dropped.
	MaxPartCrashes = 64
	// MaxCauses is the number of requests, and of parts, kept for one crash. Those reported later are dropped.
	MaxCauses = 256
	// PartCrashes is the number of crashes from which a part that explains them is refused.
	PartCrashes = 3
	// CommonCauseMs is how long after the end of one server the end of another may still have the same cause, in
	// milliseconds.
	CommonCauseMs = 100
	// FirstRefusalMs is how long a part is refused before the first trial, in milliseconds. Each trial that crashes its
	// server makes the refusal refusalGrowth times as long, up to ConvictionMs.
	FirstRefusalMs = 30 * 1000
	refusalGrowth  = 4
	// TrialMs is how long the trial of a refused part may take, in milliseconds.
	TrialMs = 5 * 1000
	// revisionMs is how long after it was refused a part is let in again, in milliseconds, if reports of the same crashes by
	// other VMs show another cause.
	revisionMs = 1_000
	// maxRefusedParts is the number of refused parts kept. Beyond it, those refused for the fewest crashes are dropped.
	maxRefusedParts = 1_024
)

// PartFingerprint returns the number that identifies a part of prompts sent to a service.
func PartFingerprint(service string, id uint64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString("part\x00" + service + "\x00")
	_, _ = fmt.Fprintf(d, "%x", id)
	return d.Sum64()
}

// partTable decides which parts of prompts crash the servers that begin to answer a prompt with them. For each crash it
// holds the possible causes: the requests on the server whose answers had not begun, and the parts of their prompts. An
// answer to a prompt with a part takes all earlier crashes off the part. What then explains PartCrashes crashes or more
// is refused, unless one request was in all of them, or another part explains more. Of parts that explain the same crashes
// each is refused, and may be tried at once by a request that has none of the others. So may a part that was answered before.
type partTable struct {
	// crashes is sorted by time.
	crashes []*daisyhatchv1.PartCrash
	refused map[uint64]*daisyhatchv1.RefusedPart
}

func newPartTable() partTable {
	return partTable{refused: make(map[uint64]*daisyhatchv1.RefusedPart)}
}

// crash adds a VM's report of a crash.
func (t *partTable) crash(id uint64, c *daisyhatchv1.CrashCommand, nowMs int64) {
	if len(c.GetUnanswered()) == 0 {
		return
	}
	at := nowMs - min(max(c.GetAgeMs(), 0), SuspicionMs)
	e := t.entry(id, at)
	for _, r := range c.GetUnanswered() {
		e.Requests = addCause(e.Requests, r.GetFingerprint())
		for _, p := range r.GetParts() {
			e.Parts = addCause(e.Parts, p)
		}
	}
	t.extendTrials(e, nowMs)
	for _, a := range c.GetAnswers() {
		if _, found := slices.BinarySearch(e.GetParts(), a.GetPart()); found {
			e.AnsweredBefore = addCause(e.AnsweredBefore, a.GetPart())
		}
		t.answered(a.GetPart(), at-max(a.GetAgeMs(), 0))
	}
	if t.mayChange(e, nowMs) {
		t.judge(nowMs)
	}
}

// mayChange reports whether a report of the crash e may change what is refused: a part of it may explain enough crashes, or
// a recent refusal may be revised. Most reports change nothing, and a judgement costs more.
func (t *partTable) mayChange(e *daisyhatchv1.PartCrash, nowMs int64) bool {
	for _, r := range t.refused {
		if t.revisable(r, nowMs) {
			return true
		}
	}
	for _, p := range e.GetParts() {
		n := 0
		for _, o := range t.crashes {
			if _, found := slices.BinarySearch(o.GetParts(), p); found {
				n++
			}
		}
		if n >= PartCrashes {
			return true
		}
	}
	return false
}

// revisable reports whether a part may be let in again because reports of the same crashes show another cause. A part that
// was tried may not.
func (t *partTable) revisable(r *daisyhatchv1.RefusedPart, nowMs int64) bool {
	tried := r.GetOnTrial() || r.GetUntilUnixMs() > r.GetSinceUnixMs()+FirstRefusalMs
	return nowMs-r.GetSinceUnixMs() < revisionMs && !tried
}

// entry returns the record of a crash, a new one if it is not known yet.
func (t *partTable) entry(id uint64, at int64) *daisyhatchv1.PartCrash {
	if i := slices.IndexFunc(t.crashes, func(e *daisyhatchv1.PartCrash) bool { return e.GetCrash() == id }); i >= 0 {
		return t.crashes[i]
	}
	e := &daisyhatchv1.PartCrash{Crash: id, AtUnixMs: at}
	t.crashes = append(t.crashes, e)
	slices.SortStableFunc(t.crashes, func(a, b *daisyhatchv1.PartCrash) int { return cmp.Compare(a.GetAtUnixMs(), b.GetAtUnixMs()) })
	if len(t.crashes) > MaxPartCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	return e
}

// addCause adds a cause to a sorted list, unless it is there or the list is full.
func addCause(list []uint64, cause uint64) []uint64 {
	i, found := slices.BinarySearch(list, cause)
	if found || len(list) >= MaxCauses {
		return list
	}
	return slices.Insert(list, i, cause)
}

// extendTrials ends the trials of the parts that a crash may be due to, and refuses these parts for longer.
func (t *partTable) extendTrials(e *daisyhatchv1.PartCrash, nowMs int64) {
	for _, p := range e.GetParts() {
		r := t.refused[p]
		if r == nil || !r.GetOnTrial() {
			continue
		}
		if !r.GetDoubtful() {
			r.Refusals++
		}
		r.OnTrial, r.Doubtful = false, false
		r.Crashes++
		r.UntilUnixMs = nowMs + refusalMs(r.GetRefusals())
	}
}

// refusalMs returns how long a part is refused for the nth time in a row, in milliseconds.
func refusalMs(n uint32) int64 {
	d := int64(FirstRefusalMs)
	for range min(n, 8) - 1 {
		d *= refusalGrowth
	}
	return min(d, ConvictionMs)
}

// answered records that an answer to a prompt with the part began at the given time.
func (t *partTable) answered(part uint64, at int64) {
	for _, e := range t.crashes {
		if e.GetAtUnixMs() < at {
			e.Parts = slices.DeleteFunc(e.Parts, func(p uint64) bool { return p == part })
		}
	}
	if r := t.refused[part]; r != nil && r.GetSinceUnixMs() <= at {
		delete(t.refused, part)
		t.confirmLast(r)
	}
}

// confirmLast ends the right to an early trial of the only part that is left of those which explained the same crashes as an
// answered one.
func (t *partTable) confirmLast(answered *daisyhatchv1.RefusedPart) {
	var left []*daisyhatchv1.RefusedPart
	for _, r := range t.refused {
		if r.GetDoubtful() && r.GetSinceUnixMs() == answered.GetSinceUnixMs() {
			left = append(left, r)
		}
	}
	if len(left) != 1 || !answered.GetDoubtful() || t.answeredBefore(left[0].GetPart()) {
		return
	}
	left[0].Doubtful = false
	if !left[0].GetOnTrial() {
		left[0].UntilUnixMs = left[0].GetSinceUnixMs() + FirstRefusalMs
	}
}

// try grants the trial of a refused part, or returns the time in milliseconds until the next one may begin.
func (t *partTable) try(part uint64, nowMs int64) (granted bool, waitMs int64) {
	r := t.refused[part]
	if r == nil {
		return true, 0
	}
	if left := r.GetUntilUnixMs() - nowMs; left > 0 {
		return false, left
	}
	r.OnTrial, r.UntilUnixMs = true, nowMs+TrialMs
	return true, 0
}

// judge decides anew which parts are refused.
func (t *partTable) judge(nowMs int64) {
	t.expire(nowMs)
	t.crashes = slices.DeleteFunc(t.crashes, func(e *daisyhatchv1.PartCrash) bool { return nowMs-e.GetAtUnixMs() >= SuspicionMs })
	revised := make(map[uint64]*daisyhatchv1.RefusedPart)
	for p, r := range t.refused {
		if t.revisable(r, nowMs) {
			revised[p] = r
			delete(t.refused, p)
		}
	}
	for {
		found, alternatives := explanation(t.unexplained())
		if len(found) == 0 {
			break
		}
		for _, c := range found {
			r := revised[c.id]
			if r == nil {
				r = &daisyhatchv1.RefusedPart{Part: c.id, SinceUnixMs: nowMs, Refusals: 1}
			}
			r.Crashes = uint32(c.count)
			r.Doubtful, r.UntilUnixMs = alternatives || t.answeredBefore(c.id), r.GetSinceUnixMs()
			if !r.GetDoubtful() {
				r.UntilUnixMs += FirstRefusalMs
			}
			t.refused[c.id] = r
		}
	}
	t.evict()
}

// answeredBefore reports whether a part was known to be answered before a crash that it may explain.
func (t *partTable) answeredBefore(part uint64) bool {
	return slices.ContainsFunc(t.crashes, func(e *daisyhatchv1.PartCrash) bool { return slices.Contains(e.GetAnsweredBefore(), part) })
}

// unexplained returns the crashes that no refused part explains.
func (t *partTable) unexplained() []*daisyhatchv1.PartCrash {
	var out []*daisyhatchv1.PartCrash
	for _, e := range t.crashes {
		if !slices.ContainsFunc(e.GetParts(), func(p uint64) bool { return t.refused[p] != nil }) {
			out = append(out, e)
		}
	}
	return out
}

// cause is a possible cause of crashes.
type cause struct {
	id uint64
	// crashes has a bit for each crash that the cause may explain.
	crashes uint64
	// count is the number of these crashes, those within CommonCauseMs counted once; lastMs is the last one counted.
	count  int
	lastMs int64
}

// explains reports whether the cause may explain all crashes that another one may explain.
func (c *cause) explains(other *cause) bool { return other.crashes&^c.crashes == 0 }

// causes returns the causes that pick selects from the crashes and that may explain at least minCount of them, most crashes
// first.
func causes(crashes []*daisyhatchv1.PartCrash, pick func(*daisyhatchv1.PartCrash) []uint64, minCount int) []*cause {
	byID := make(map[uint64]*cause)
	for i, e := range crashes {
		for _, id := range pick(e) {
			c := byID[id]
			if c == nil {
				c = &cause{id: id}
				byID[id] = c
			}
			c.crashes |= 1 << i
			if c.count == 0 || e.GetAtUnixMs()-c.lastMs >= CommonCauseMs {
				c.count++
				c.lastMs = e.GetAtUnixMs()
			}
		}
	}
	maps.DeleteFunc(byID, func(_ uint64, c *cause) bool { return c.count < minCount })
	return slices.SortedFunc(maps.Values(byID), func(a, b *cause) int {
		more := cmp.Compare(bits.OnesCount64(b.crashes), bits.OnesCount64(a.crashes))
		return cmp.Or(cmp.Compare(b.count, a.count), more, cmp.Compare(a.id, b.id))
	})
}

// explanation returns the part that explains the most crashes, with all parts that explain the same crashes;
// alternatives is true when there are several. It returns nothing when a single request or fewer than PartCrashes crashes
// are enough to explain what is known.
func explanation(crashes []*daisyhatchv1.PartCrash) (found []*cause, alternatives bool) {
	parts := causes(crashes, (*daisyhatchv1.PartCrash).GetParts, PartCrashes)
	if len(parts) == 0 {
		return nil, false
	}
	requests := causes(crashes, (*daisyhatchv1.PartCrash).GetRequests, PartCrashes)
	for _, p := range parts {
		if slices.ContainsFunc(requests, func(r *cause) bool { return r.explains(p) }) {
			continue
		}
		for _, o := range parts {
			if o.crashes == p.crashes {
				found = append(found, o)
			}
		}
		return found, len(found) > 1
	}
	return nil, false
}

// evict drops refused parts beyond maxRefusedParts.
func (t *partTable) evict() {
	excess := len(t.refused) - maxRefusedParts
	if excess <= 0 {
		return
	}
	all := t.refusedParts()
	slices.SortStableFunc(all, func(a, b *daisyhatchv1.RefusedPart) int { return cmp.Compare(a.GetCrashes(), b.GetCrashes()) })
	for _, r := range all[:excess] {
		delete(t.refused, r.GetPart())
	}
}

// expire drops the refused parts for which no request came during SuspicionMs after the refusal.
func (t *partTable) expire(nowMs int64) {
	maps.DeleteFunc(t.refused, func(_ uint64, r *daisyhatchv1.RefusedPart) bool { return nowMs-r.GetUntilUnixMs() >= SuspicionMs })
}

// refusedParts returns the refused parts, sorted by part.
func (t *partTable) refusedParts() []*daisyhatchv1.RefusedPart {
	return slices.SortedFunc(maps.Values(t.refused), func(a, b *daisyhatchv1.RefusedPart) int { return cmp.Compare(a.GetPart(), b.GetPart()) })
}

// forget drops a crash. The refusals end with the last crash.
func (t *partTable) forget(id uint64) {
	t.crashes = slices.DeleteFunc(t.crashes, func(e *daisyhatchv1.PartCrash) bool { return e.GetCrash() == id })
	if len(t.crashes) == 0 {
		clear(t.refused)
	}
}

// suspects returns the refused parts, and those that explain SharedCrashes crashes or more, sorted by part.
func (t *partTable) suspects() []*daisyhatchv1.Suspect {
	var out []*daisyhatchv1.Suspect
	for _, r := range t.refusedParts() {
		out = append(out, &daisyhatchv1.Suspect{
			Fingerprint: r.GetPart(), Part: true, State: daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED,
			Crashes: r.GetCrashes(), ExpiresUnixMs: r.GetUntilUnixMs(),
		})
	}
	for _, c := range causes(t.unexplained(), (*daisyhatchv1.PartCrash).GetParts, SharedCrashes) {
		out = append(out, &daisyhatchv1.Suspect{
			Fingerprint: c.id, Part: true, State: daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: uint32(c.count),
		})
	}
	slices.SortStableFunc(out, func(a, b *daisyhatchv1.Suspect) int { return cmp.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return out
}

// snapshot returns the table's state.
func (t *partTable) snapshot() *daisyhatchv1.PartsSnapshot {
	return &daisyhatchv1.PartsSnapshot{Crashes: t.crashes, Refused: t.refusedParts()}
}

// restorePartTable returns the table of a snapshot, or ErrSnapshot when it exceeds the limits or a part occurs twice.
func restorePartTable(s *daisyhatchv1.PartsSnapshot) (partTable, error) {
	t := newPartTable()
	if len(s.GetCrashes()) > MaxPartCrashes || len(s.GetRefused()) > maxRefusedParts {
		return t, fmt.Errorf("%w: %d crashes and %d refused parts", ErrSnapshot, len(s.GetCrashes()), len(s.GetRefused()))
	}
	t.crashes = s.GetCrashes()
	for _, r := range s.GetRefused() {
		if t.refused[r.GetPart()] != nil {
			return t, fmt.Errorf("%w: part %x", ErrSnapshot, r.GetPart())
		}
		t.refused[r.GetPart()] = r
	}
	return t, nil
}
