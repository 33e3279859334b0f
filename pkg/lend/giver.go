package lend

import "time"

// Giver is one VM's part in giving units of its share. It is not safe for concurrent use.
type Giver struct {
	vm     uint64
	window time.Duration
	// units is what the VM does without since began; 0 while it gives nothing.
	units float64
	began time.Time
	// ending is set once the VM wants its units back; it gets them when the last promise ends, at promised.
	ending   bool
	promised time.Time
	// stamp is the newest stamp of the Lender that the VM gives to, next that of another one that answers in its place.
	stamp, next Stamp
	// heardUntil is until when a Lender counts as in touch.
	heardUntil time.Time
}

// NewGiver returns the Giver of a VM for budgets over a window. The VM does without what it wants to give from the first, since
// an earlier process of it may have promised that.
func NewGiver(vm uint64, window time.Duration, now time.Time) *Giver {
	return &Giver{vm: vm, window: window, heardUntil: now.Add(Hold(window))}
}

// Want sets how many units of its share the VM wants to give; 0 for none. Without a Lender in touch it gives none. What was
// promised stays given until the promise ends; changes of less than a quarter are left out.
func (g *Giver) Want(units float64, now time.Time) {
	g.settle(now)
	if !now.Before(g.heardUntil) {
		units = 0
	}
	switch {
	case units > 0 && g.units == 0:
		g.units, g.began, g.ending = units, now, false
	case units <= 0 || units < g.units*3/4 || units > g.units*5/4:
		g.ending = true
		g.settle(now)
	default:
		g.ending = false
	}
}

// settle carries out what waited for the end of the last promise.
func (g *Giver) settle(now time.Time) {
	if now.Before(g.promised) {
		return
	}
	if g.next.Lender != "" {
		g.stamp, g.next = g.next, Stamp{}
	}
	if g.ending {
		g.units, g.ending = 0, false
	}
}

// Given returns the units that the VM does without now.
func (g *Giver) Given(now time.Time) float64 {
	g.settle(now)
	return g.units
}

// Offer returns the next offer to the Lender that is asked now. It offers no units until the VM has done without them for a
// whole window, and none to a second Lender while a promise to another is in force.
func (g *Giver) Offer(now time.Time) Offer {
	g.settle(now)
	o := Offer{VM: g.vm, After: g.stamp, Window: g.window}
	if g.units == 0 || g.ending || g.stamp.Lender == "" || g.next.Lender != "" || now.Sub(g.began) < g.window {
		return o
	}
	g.promised = now.Add(Hold(g.window))
	o.Units = g.units
	return o
}

// Answered records the stamp in a Lender's answer.
func (g *Giver) Answered(s Stamp, now time.Time) {
	g.settle(now)
	g.heardUntil = now.Add(promiseSlack)
	switch {
	case s.Lender == g.stamp.Lender:
		g.stamp.At, g.next = max(g.stamp.At, s.At), Stamp{}
	case now.Before(g.promised):
		g.next = s
	default:
		g.stamp = s
	}
}
