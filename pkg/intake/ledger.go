// Package intake bounds the memory of what callers have sent and not yet been answered, and of the answers that are kept for them: one
// budget of bytes for a process, from the memory that its settings state.
//
// It answers this load: hundreds of clients that stay inside the limits of one request (heads of thousands of short lines, large
// bodies, chunks of any size) send most of a request and keep the connection open. Bytes are taken as they arrive, in what they
// cost. When the budget is short, requests that are slowest for their size give way first, those of a client that holds most of
// the budget before others; a request that has arrived whole never does. Answers, which slow callers hold up, wait for one another.
package intake

import (
	"container/list"
	"slices"
	"time"
)

const (
	// rankGrace and rankRate are the time in which a request of no size, and the rate in bytes a second at which one of any
	// size, arrives in ordinary use. A request's slowness is its age as a multiple of what they allow.
	rankGrace = time.Second
	rankRate  = 1 << 20
	// floorGrace and floorRate bound the time in which a body arrives: the grace, and its bytes at the rate in bytes a second.
	floorGrace = 30 * time.Second
	floorRate  = 8 << 10
	// part is the share of the budget above which the requests of one client give way before those of others.
	part = 0.5
	// reservePart is the divisor of the budget that gives the bytes beyond it for reserved requests.
	reservePart = 8
	// answersBeyond is the divisor of the budget that gives the bytes beyond it for answers.
	answersBeyond = 4
	// smallAnswers and largeAnswers are the shares of the budget up to which an answer takes bytes while it is at most SmallAnswer
	// bytes long, and while it is longer. Large answers, whose callers may take them slowly, leave room for small ones.
	smallAnswers = 0.75
	largeAnswers = 0.5
	// SmallAnswer is the size in bytes up to which an answer counts as small.
	SmallAnswer = 64 << 10
)

// slowness returns the age of a request that holds a number of bytes, as a multiple of what is ordinary.
func slowness(age time.Duration, held int64) float64 {
	return float64(age) / float64(rankGrace+timeFor(held, rankRate))
}

// floorTime returns the longest time in which a number of bytes of a body may arrive.
func floorTime(received int64) time.Duration { return floorGrace + timeFor(received, floorRate) }

func timeFor(n, rate int64) time.Duration {
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}

// verdict is the answer to a request for bytes.
type verdict int

const (
	// taken means that the bytes were taken.
	taken verdict = iota
	// wait means that others give way; the request asks again once something was released.
	wait
	// giveWay means that the request itself gives way.
	giveWay
)

// entry is a request's part of the ledger.
type entry struct {
	// owner is the client: an organisation, or an address while none is known.
	owner string
	begin time.Time
	held  int64
	// reserved requests may take the reserve as well.
	reserved bool
	// whole is true once the request has arrived, leaving once it was told to give way.
	whole, leaving bool
	// place is an answer's place among the open answers; nil for requests.
	place *list.Element
}

// ledger decides who holds the bytes of a budget. It isn't safe for concurrent use.
type ledger struct {
	limit, used int64
	// leaving is the part of used of those who give way.
	leaving int64
	entries map[*entry]struct{}
	owners  map[string]int64
	// answers is the part of used of answers, open lists these by age, the eldest first.
	answers int64
	open    *list.List
}

func newLedger(limit int64) *ledger {
	return &ledger{limit: limit, entries: make(map[*entry]struct{}), owners: make(map[string]int64), open: list.New()}
}

func (l *ledger) openRequest(owner string, now time.Time) *entry {
	e := &entry{owner: owner, begin: now}
	l.entries[e] = struct{}{}
	return e
}

// openAnswer begins an answer. It never gives way.
func (l *ledger) openAnswer(now time.Time) *entry {
	e := l.openRequest(answerOwner, now)
	e.whole, e.place = true, l.open.PushBack(e)
	return e
}

// answerOwner is the owner of all answers.
const answerOwner = "answers"

// add changes what an entry holds.
func (l *ledger) add(e *entry, n int64) {
	e.held += n
	l.used += n
	if e.leaving {
		l.leaving += n
	}
	if e.place != nil {
		l.answers += n
	}
	if l.owners[e.owner] += n; l.owners[e.owner] == 0 {
		delete(l.owners, e.owner)
	}
}

// move makes an entry belong to another owner.
func (l *ledger) move(e *entry, owner string) {
	if _, open := l.entries[e]; !open {
		return
	}
	held := e.held
	l.add(e, -held)
	e.owner = owner
	l.add(e, held)
}

// close releases all that an entry holds.
func (l *ledger) close(e *entry) {
	l.add(e, -e.held)
	delete(l.entries, e)
	if e.place != nil {
		l.open.Remove(e.place)
	}
}

// takeAnswer takes n bytes for an answer. The eldest always gets what the limits of an answer allow: it ends without bytes that others
// hold, so that an answer waits for older ones only, and never for a request.
func (l *ledger) takeAnswer(e *entry, n int64) verdict {
	share := smallAnswers
	if e.held+n > SmallAnswer {
		share = largeAnswers
	}
	fits := float64(l.answers+n) <= share*float64(l.limit) && l.used+n <= l.limit+l.limit/answersBeyond
	if !fits && e.place != l.open.Front() {
		return wait
	}
	l.add(e, n)
	return taken
}

// take takes n bytes for an entry, or tells who gives way. A request beside which no other holds anything takes what the limits of a
// request allow, whatever the budget. Entries in the result were not told to give way before.
func (l *ledger) take(e *entry, n int64, now time.Time) (verdict, []*entry) {
	if _, open := l.entries[e]; !open || e.leaving {
		return giveWay, nil
	}
	if e.place != nil {
		return l.takeAnswer(e, n), nil
	}
	limit := l.limit
	if e.reserved {
		limit += l.limit / reservePart
	}
	if alone := l.used-l.answers == e.held; alone || l.used+n <= limit {
		l.add(e, n)
		return taken, nil
	}
	short := l.used - l.leaving + n - limit
	if short <= 0 {
		return wait, nil
	}
	var out []*entry
	for _, v := range l.order(now) {
		if v == e {
			break
		}
		out = append(out, v)
		if short -= v.held; short <= 0 {
			break
		}
	}
	if short > 0 {
		return giveWay, nil
	}
	for _, v := range out {
		l.tell(v)
	}
	return wait, out
}

// tell marks an entry as one that gives way.
func (l *ledger) tell(e *entry) {
	if !e.leaving {
		e.leaving = true
		l.leaving += e.held
	}
}

// order returns the entries that may give way, the first one first.
func (l *ledger) order(now time.Time) []*entry {
	type candidate struct {
		*entry
		above bool
		slow  float64
	}
	var list []candidate
	for e := range l.entries {
		if e.whole || e.leaving || e.held == 0 {
			continue
		}
		above := float64(l.owners[e.owner]) > part*float64(l.limit)
		list = append(list, candidate{e, above, slowness(now.Sub(e.begin), e.held)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.above != b.above && a.above, a.above == b.above && a.slow > b.slow:
			return -1
		case a.above != b.above, a.slow < b.slow:
			return 1
		}
		return 0
	})
	out := make([]*entry, len(list))
	for i, c := range list {
		out[i] = c.entry
	}
	return out
}
