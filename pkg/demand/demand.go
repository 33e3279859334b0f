// Package demand describes what a request needs until its answer has begun: the stages that run before it, the size of its
// prompt and output, and until when its answer has value. It is built once, by the entry VM, from the caller's call and the
// route.
//
// Load pattern: more requests than the servers of several chained stages can finish. A decision that sees one stage only
// lets requests in that a later stage then turns away, and the work of the earlier stages is thrown away.
package demand

import (
	"math"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

// Stage is the work of one stage of a request.
type Stage struct {
	Service     string
	Pieces      int
	ResultBytes int64
	// After lists the stages whose results this one reads.
	After []int
	// Work is the server time of all pieces in full calls; Least is the time of one call that holds them.
	Work, Least time.Duration
}

// Demand is what a request needs. It isn't changed once built, except for Done.
type Demand struct {
	Request, Organisation, Route, Service string
	Stages                                []Stage
	// PromptTokens and OutputTokens are the sizes of the prompt and of the expected output; 0 if unknown.
	PromptTokens, OutputTokens int
	Priority                   int
	Arrived, Target, Deadline  time.Time
	// Answer is the time left for the server that answers, from the end of the last stage to the first part of the answer.
	Answer time.Duration
	// Done is the server time already spent for the request.
	Done time.Duration
}

// New returns the demand of a call on a route. Stages of services without calls of several pieces need no time.
func New(set *catalog.Set, route *catalog.Route, call *dialect.Call) *Demand {
	d := &Demand{Request: call.ID, Route: route.Name, Priority: int(route.Priority), Stages: make([]Stage, len(route.Stages))}
	if p := call.Prompt; p != nil {
		d.PromptTokens, d.OutputTokens = max(p.Tokens, 0), max(p.OutputHint, 0)
		if d.OutputTokens == 0 {
			d.OutputTokens = max(p.MaxOutput, 0)
		}
	}
	for i, st := range route.Stages {
		s := Stage{Service: st.Service, ResultBytes: int64(max(st.ResultBytes, 0)), After: st.After}
		if i < len(call.Pieces) {
			s.Pieces = max(call.Pieces[i], 0)
		}
		if svc := set.Services[st.Service]; s.Pieces > 0 && svc != nil && svc.Batch != nil {
			s.Work, s.Least = Work(svc.Batch, s.Pieces), svc.Batch.CallTime(s.Pieces)
		}
		d.Stages[i] = s
	}
	return d
}

// Work returns the server time of n pieces in full calls.
func Work(b *catalog.Batch, n int) time.Duration {
	return b.CallTime(b.Size) * time.Duration(n) / time.Duration(max(b.Size, 1))
}

// Work returns the server time that the request needs in all its stages.
func (d *Demand) Work() time.Duration {
	sum := time.Duration(0)
	for i := range d.Stages {
		sum += d.Stages[i].Work
	}
	return sum
}

// WorkByService returns the server time that the request needs at each service, without the given finished stages.
func (d *Demand) WorkByService(finished []bool) map[string]time.Duration {
	out := make(map[string]time.Duration, len(d.Stages))
	for i := range d.Stages {
		if s := &d.Stages[i]; s.Work > 0 && (i >= len(finished) || !finished[i]) {
			out[s.Service] += s.Work
		}
	}
	return out
}

// WorkAfter returns the server time of the stages that depend on a stage, directly or through others.
func (d *Demand) WorkAfter(stage int) time.Duration {
	behind := make([]bool, len(d.Stages))
	sum := time.Duration(0)
	for i := range d.Stages {
		for _, a := range d.Stages[i].After {
			behind[i] = behind[i] || a == stage || a >= 0 && a < i && behind[a]
		}
		if behind[i] {
			sum += d.Stages[i].Work
		}
	}
	return sum
}

// Time returns the time needed from the start of the first stages to the first part of the answer; see TimeAfter.
func (d *Demand) Time(wait func(service string) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range d.Stages {
		if len(d.Stages[i].After) == 0 {
			longest = max(longest, d.timeOf(i, wait)+d.pathAfter(i, wait))
		}
	}
	return longest + d.Answer
}

// TimeOnceStarted is Time without the waits of the first stages: their owners know them as of now, and judge them when they
// are asked, while what they told before may be over.
func (d *Demand) TimeOnceStarted(wait func(service string) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range d.Stages {
		if len(d.Stages[i].After) == 0 {
			longest = max(longest, d.Stages[i].Least+d.pathAfter(i, wait))
		}
	}
	return longest + d.Answer
}

// RoomIn returns after what time a request that has some time left can start and end in time, as all waits shorten meanwhile; false
// if not within most. A single wait shortens no faster than the time left, those of several stages all do so at once.
func (d *Demand) RoomIn(left, most time.Duration, wait func(service string) time.Duration) (time.Duration, bool) {
	const least = 10 * time.Millisecond
	at, before := time.Duration(0), time.Duration(math.MaxInt64)
	for at <= most {
		need := at + d.TimeOnceStarted(func(service string) time.Duration { return wait(service) - at })
		if need <= left {
			return at, true
		}
		if need >= before {
			// What is needed is convex in the time: it grows from here on.
			break
		}
		before = need
		at += max(least, (need-left)/time.Duration(max(len(d.Stages), 1)))
	}
	return 0, false
}

// TimeAfter returns the time needed from the end of a stage to the first part of the answer: the longest path through the
// stages that depend on it, and Answer. wait returns how long work waits at a service; nil means not at all.
func (d *Demand) TimeAfter(stage int, wait func(service string) time.Duration) time.Duration {
	return d.pathAfter(stage, wait) + d.Answer
}

func (d *Demand) pathAfter(stage int, wait func(service string) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range d.Stages {
		s := &d.Stages[i]
		if !slices.Contains(s.After, stage) {
			continue
		}
		longest = max(longest, d.timeOf(i, wait)+d.pathAfter(i, wait))
	}
	return longest
}

// timeOf returns how long a stage takes, with its wait.
func (d *Demand) timeOf(stage int, wait func(service string) time.Duration) time.Duration {
	s := &d.Stages[stage]
	if s.Pieces == 0 || wait == nil {
		return s.Least
	}
	return s.Least + max(wait(s.Service), 0)
}
