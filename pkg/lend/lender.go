package lend

import (
	"slices"
	"time"
)

// Lender lends the units that VMs gave to it. It is not safe for concurrent use.
type Lender struct {
	id       string
	began    time.Time
	window   time.Duration
	promises map[uint64]promise
	// loans are the units lent of each service's budget, oldest first.
	loans map[string][]loan
}

// promise is what one VM does without until a time at the earliest.
type promise struct {
	units float64
	until time.Time
}

type loan struct {
	vm uint64
	at time.Time
}

// NewLender returns the Lender of one process, whose id is unlike those of all others, for budgets over a window.
func NewLender(id string, window time.Duration, now time.Time) *Lender {
	return &Lender{id: id, began: now, window: window, promises: make(map[uint64]promise), loans: make(map[string][]loan)}
}

// Offered records an offer and returns the stamp to answer with. It returns false for an offer that counts as none: its figures
// make no sense, its window is another one, or its stamp is later than now. Units offered to another process count for nothing.
func (l *Lender) Offered(o Offer, now time.Time) (Stamp, bool) {
	age := now.Sub(l.began)
	s := Stamp{Lender: l.id, At: age}
	if !o.valid() || o.Units > 0 && o.Window != l.window {
		return s, false
	}
	if o.Units == 0 || o.After.Lender != l.id {
		return s, true
	}
	if o.After.At < 0 || o.After.At > age {
		return s, false
	}
	p := promise{units: o.Units, until: l.began.Add(o.After.At + Hold(l.window))}
	if old, ok := l.promises[o.VM]; !ok || old.until.Before(p.until) {
		l.promises[o.VM] = p
	}
	return s, true
}

// Promised returns the units that may be lent of each service's budget now: what was given for long enough that a unit that is
// used at the end of its term has left the window.
func (l *Lender) Promised(now time.Time) int {
	sum := 0.0
	for vm, p := range l.promises {
		if now.Add(Term + l.window).After(p.until) {
			delete(l.promises, vm)
			continue
		}
		sum += p.units
	}
	return int(sum)
}

// Lend lends a VM units of a service's budget, at most want, and returns how many. So that none takes all, a VM gets no more
// than leaves as much free as it has had within the window.
func (l *Lender) Lend(service string, vm uint64, want int, now time.Time) int {
	kept := l.expire(service, now)
	own := 0
	for _, x := range kept {
		if x.vm == vm {
			own++
		}
	}
	free := l.Promised(now) - len(kept)
	n := max(0, min(want, (free-own+1)/2))
	for range n {
		kept = append(kept, loan{vm, now})
	}
	if len(kept) > 0 {
		l.loans[service] = kept
	}
	return n
}

// Lent returns the units of all services that are lent or still count.
func (l *Lender) Lent(now time.Time) int {
	n := 0
	for service := range l.loans {
		n += len(l.expire(service, now))
	}
	return n
}

// expire drops the loans of a service that were used, at the latest, a whole window ago, and returns the others.
func (l *Lender) expire(service string, now time.Time) []loan {
	list := l.loans[service]
	first := slices.IndexFunc(list, func(x loan) bool { return now.Sub(x.at) <= l.window+Term })
	if first < 0 {
		delete(l.loans, service)
		return nil
	}
	l.loans[service] = list[first:]
	return l.loans[service]
}
