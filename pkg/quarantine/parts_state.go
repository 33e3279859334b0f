package quarantine

import (
	"maps"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

const (
	// maxAnsweredParts bounds the parts whose last answer is kept, in each of two generations.
	maxAnsweredParts = 4096
	// answerReportInterval is the shortest time between two reports that a suspected part was answered.
	answerReportInterval = time.Second
)

// partsState is what a VM knows of parts of prompts that may crash servers.
type partsState struct {
	// suspects are the suspected and refused parts of the latest list.
	suspects map[uint64]partSuspect
	// answered is when an answer to a prompt with a part last began. answeredBefore holds older entries, which are dropped
	// when answered is full.
	answered, answeredBefore map[uint64]time.Duration
	// waits is when a trial of a part may be asked for again after it was denied.
	waits map[uint64]time.Duration
	// trials holds the request that may be sent although a part of its prompt is refused, by part.
	trials map[uint64]partTrial
}

// partSuspect is a suspected or refused part.
type partSuspect struct {
	*daisyhatchv1.Suspect
	learnedAt time.Duration
	// reported is the time of the last answer that was reported to the control VMs.
	reported time.Duration
}

// partTrial is the right to send one request with a refused part.
type partTrial struct {
	fingerprint uint64
	until       time.Duration
}

func newPartsState() partsState {
	return partsState{
		suspects: make(map[uint64]partSuspect), answered: make(map[uint64]time.Duration), answeredBefore: make(map[uint64]time.Duration),
		waits: make(map[uint64]time.Duration), trials: make(map[uint64]partTrial),
	}
}

// lastAnswer returns when an answer to a prompt with the part last began; false when that isn't known.
func (p *partsState) lastAnswer(part uint64) (time.Duration, bool) {
	if at, ok := p.answered[part]; ok {
		return at, true
	}
	at, ok := p.answeredBefore[part]
	return at, ok
}

// markAnswered records that an answer to a prompt with these parts began, and returns those of them that are suspected and
// whose answer the control VMs must be told.
func (p *partsState) markAnswered(parts []uint64, now time.Duration) []uint64 {
	var report []uint64
	for _, part := range parts {
		if len(p.answered) >= maxAnsweredParts {
			p.answered, p.answeredBefore = make(map[uint64]time.Duration), p.answered
		}
		p.answered[part] = now
		s, ok := p.suspects[part]
		if !ok || s.reported != 0 && now-s.reported < answerReportInterval {
			continue
		}
		s.reported = now
		p.suspects[part] = s
		report = append(report, part)
	}
	return report
}

// takeUnreportedAnswers returns the last answers to suspected parts that were not reported to the control VMs yet.
func (p *partsState) takeUnreportedAnswers(now time.Duration) map[uint64]time.Duration {
	out := make(map[uint64]time.Duration)
	for part, s := range p.suspects {
		at, ok := p.lastAnswer(part)
		if !ok || at <= s.reported || now-at >= suspects.SuspicionMs*time.Millisecond {
			continue
		}
		s.reported = at
		p.suspects[part] = s
		out[part] = at
	}
	return out
}

// applyList replaces the suspected parts by those of a list, and returns the parts that are refused from now on, and those
// that no longer are.
func (p *partsState) applyList(list []*daisyhatchv1.Suspect, now time.Duration) (refused, accepted []uint64) {
	before := p.suspects
	p.suspects = make(map[uint64]partSuspect)
	for _, s := range list {
		if !s.GetPart() {
			continue
		}
		part := s.GetFingerprint()
		old, known := before[part]
		n := partSuspect{Suspect: s, learnedAt: now, reported: old.reported}
		if known && old.GetState() == s.GetState() {
			n.learnedAt = old.learnedAt
		}
		p.suspects[part] = n
		if isRefused(s) && !isRefused(old.Suspect) {
			refused = append(refused, part)
		}
	}
	for part, s := range before {
		if isRefused(s.Suspect) && !isRefused(p.suspects[part].Suspect) {
			accepted = append(accepted, part)
		}
	}
	maps.DeleteFunc(p.waits, func(part uint64, _ time.Duration) bool { return p.suspects[part].Suspect == nil })
	maps.DeleteFunc(p.trials, func(_ uint64, t partTrial) bool { return now >= t.until })
	slices.Sort(accepted)
	return refused, accepted
}

func isRefused(s *daisyhatchv1.Suspect) bool {
	return s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
}

// answersFor returns the last answers to the parts of requests, as ages counted back from at.
func (p *partsState) answersFor(requests []*daisyhatchv1.UnansweredRequest, at time.Duration) []*daisyhatchv1.PartAnswer {
	var out []*daisyhatchv1.PartAnswer
	listed := make(map[uint64]bool)
	for _, r := range requests {
		for _, part := range r.GetParts() {
			answeredAt, ok := p.lastAnswer(part)
			if !ok || listed[part] || len(out) >= suspects.MaxCauses {
				continue
			}
			listed[part] = true
			out = append(out, &daisyhatchv1.PartAnswer{Part: part, AgeMs: max(at-answeredAt, 0).Milliseconds() + 1})
		}
	}
	return out
}

// unanswered returns the requests in flight on a server, and the request f, with the parts of their prompts to which no answer
// has begun since: neither to the request itself nor to another one, here or at another server. At most suspects.MaxCauses parts are returned, those first that were never answered.
func (m *trackerState) unanswered(k serverKey, f runningRequest) []*daisyhatchv1.UnansweredRequest {
	requests := slices.Clone(m.byServer[k])
	if !slices.ContainsFunc(requests, func(r runningRequest) bool { return r.id == f.id }) {
		requests = append(requests, f)
	}
	var out []*daisyhatchv1.UnansweredRequest
	parts := make(map[uint64]bool)
	for _, answeredBefore := range []bool{false, true} {
		for _, r := range requests {
			if len(out) >= suspects.MaxFingerprints {
				continue
			}
			u := &daisyhatchv1.UnansweredRequest{Fingerprint: r.fingerprint}
			for _, part := range r.parts {
				at, answered := m.parts.lastAnswer(part)
				if answered != answeredBefore || answered && at > r.began || len(parts) >= suspects.MaxCauses && !parts[part] {
					continue
				}
				parts[part] = true
				u.Parts = append(u.Parts, part)
			}
			if len(u.Parts) > 0 {
				out = append(out, u)
			}
		}
	}
	return out
}

// refusedParts returns those of the parts that are refused to a request, with the time until a trial may be asked for.
// wallMs is the wall-clock time in Unix milliseconds, which the times of the replicated log refer to.
func (m *trackerState) refusedParts(fingerprint uint64, parts []uint64, now time.Duration, wallMs int64) []refusedPart {
	var out []refusedPart
	for _, part := range parts {
		if t, ok := m.parts.trials[part]; ok && t.fingerprint == fingerprint && now < t.until {
			continue
		}
		s := m.parts.suspects[part]
		if isRefused(s.Suspect) {
			left := time.Duration(min(max(s.GetExpiresUnixMs()-wallMs, 0), maxRefusalMs)) * time.Millisecond
			out = append(out, refusedPart{part: part, wait: max(left, m.parts.waits[part]-now, 0), known: now - s.learnedAt})
			continue
		}
		if until, ok := m.local.RefusedPart(part); ok {
			out = append(out, refusedPart{part: part, wait: max(time.Duration(until)*time.Millisecond-now, 0), local: true})
		}
	}
	return out
}

// markAnswered records that an answer to a prompt with these parts began, and returns those whose answer the control VMs
// must be told.
func (m *trackerState) markAnswered(parts []uint64, now time.Duration) []uint64 {
	report := m.parts.markAnswered(parts, now)
	if m.local.HasParts() {
		var answers []*daisyhatchv1.PartAnswer
		for _, part := range parts {
			answers = append(answers, &daisyhatchv1.PartAnswer{Part: part})
		}
		m.local.Answered(answers, now.Milliseconds())
	}
	return report
}
