// Package lend lets VMs that share a budget of events in a sliding window lend one another what they don't need. It answers
// this load: dozens of VMs, each with an even share of two or three retries in ten seconds, before a service of few places
// that refuses what it can't take. Some VMs have ten refused requests to send elsewhere and no retry left, while most of the
// fleet's budget is not used.
//
// A Giver gives part of its VM's even share to one control VM, with a promise that names how long the VM does without it.
// A Lender lends what it was promised, in single units that must be used within Term. A Borrower holds its VM's lent units.
// Even shares and lent units together never exceed the even shares of all VMs in any window, whatever messages are lost or
// late, whichever control VMs are lost, and whichever processes stand still: what a VM gave is bounded by its own clock, and a
// Lender counts a promise from before the VM can have made it.
//
// The package does no I/O and reads no clock: callers pass the time.
package lend

import (
	"math"
	"time"
)

const (
	// Term is how long a lent unit may be used, counted from the request for it.
	Term = 500 * time.Millisecond
	// Interval is the time between two offers of a Giver.
	Interval = 5 * time.Second
	// promiseSlack is how much longer than the window and a term a promise lasts, so that offers two intervals apart still
	// overlap.
	promiseSlack = 3 * Interval
	// MaxUnits bounds the units of one offer.
	MaxUnits = 1e6
)

// Hold returns how long a promise lasts, counted from its offer, for a budget over a window.
func Hold(window time.Duration) time.Duration { return window + Term + promiseSlack }

// Stamp is a time on the clock of one Lender.
type Stamp struct {
	// Lender names one process.
	Lender string
	// At is the time since that process began.
	At time.Duration
}

// Offer is a promise to do without some units of each service's budget, for Hold from when the offer was made.
type Offer struct {
	VM    uint64
	Units float64
	// After is the newest stamp that the VM had of the Lender: the offer was made after it.
	After Stamp
	// Window is the length of the budget's window.
	Window time.Duration
}

// valid reports whether an offer's figures make sense.
func (o Offer) valid() bool { return o.Units >= 0 && o.Units <= MaxUnits && !math.IsNaN(o.Units) }
