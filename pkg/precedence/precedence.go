// Package precedence decides which of two requests goes first and which gives way where servers have too little room.
//
// Load pattern: bursts in which the servers of several chained stages are asked for up to twice what they can do, by kinds of
// requests of different priority, deadline and work. Whoever arrives last is then refused, whatever it would cost its caller,
// and the most urgent kind, which has the shortest deadline and the longest chain, is refused most.
package precedence

import (
	"cmp"
	"time"
)

// Claim is what a request asks of servers that are short of room.
type Claim struct {
	// Priority is 0 for the most urgent requests.
	Priority int
	// Target and Deadline are the times up to which the result has its full value and any value at all.
	Target, Deadline time.Time
	Arrived          time.Time
	// Late is true once the target can't be met, or once the claim gave way and waits behind the others.
	Late bool
	// Left and Done are the server time that the request still needs and that was already spent for it.
	Left, Done time.Duration
	// Short is true while requests of its priority or its organisation are served much less than the average; see Shares.
	Short bool
}

// Order compares claims. Both functions are total orders up to claims that are equal in all that counts.
type Order struct {
	// First is negative if a goes before b.
	First func(a, b *Claim) int
	// Yield is negative if a gives way before b when not both can be served; nil means that the one that doesn't fit gives way.
	Yield func(a, b *Claim) int
}

// leftSteps is the number of steps in which the share of a request's work that is left is compared, so that requests which
// are about equally far go by their targets.
const leftSteps = 3

// Default is the product's order.
func Default() Order { return Order{First: First, Yield: Yield} }

// lateLevels is the number of levels by which a late claim is less urgent: it keeps little of its value, and a backlog of late
// requests must not make newer ones late too.
const lateLevels = 2

// rank is the priority at which a claim competes: its own, or the most urgent one if it is short, less lateLevels once it is
// late.
func (c *Claim) rank() int {
	r := c.Priority
	if c.Short {
		r = 0
	}
	if c.Late {
		r += lateLevels
	}
	return r
}

// leftShare is the share of the request's work that is left, rounded to steps of 1/leftSteps, in steps.
func (c *Claim) leftShare() int {
	left, total := max(c.Left, 0), max(c.Left, 0)+max(c.Done, 0)
	if total == 0 {
		return 0
	}
	for n := range leftSteps {
		if 2*leftSteps*left < time.Duration(2*n+1)*total {
			return n
		}
	}
	return leftSteps
}

// First compares two claims for who goes first: by rank, then those of which the smaller share of the work is left, then late ones,
// which were more urgent, then by the time that the claim can still keep: its target, or its deadline once it is late.
func First(a, b *Claim) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.leftShare(), b.leftShare()),
		-boolCompare(a.Late, b.Late),
		a.due().Compare(b.due()),
		a.Arrived.Compare(b.Arrived),
	)
}

// due is the next time that counts for the claim.
func (c *Claim) due() time.Time {
	if c.Late {
		return c.Deadline
	}
	return c.Target
}

// Yield compares two claims for who gives way: the less urgent one, the one of which more work is left, the late one, the one
// that arrived last. Claims that are short give way last.
func Yield(a, b *Claim) int {
	return cmp.Or(
		boolCompare(a.Short, b.Short),
		-cmp.Compare(a.Priority, b.Priority),
		-cmp.Compare(a.leftShare(), b.leftShare()),
		-boolCompare(a.Late, b.Late),
		-a.Arrived.Compare(b.Arrived),
	)
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
