package rollout

import (
	"math"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	// boundMargin is the share of the bound that is dealt out.
	boundMargin = 0.8
	// GrantLifetime is how long after a report a grant that answers it may be used: a VM that loses contact stops within it.
	GrantLifetime = 1500 * time.Millisecond
	// reservationStep is the least number of requests that one command reserves, unless the bound leaves less.
	reservationStep = 16
	// drawFactor makes the VMs ask for somewhat more than the share, so that the bound decides.
	drawFactor = 1.25
	// firstTime is how long the version gets a little at most. neededAnswers are enough to clear most good versions.
	// maxFraction bounds the share that is drawn for them: answers of the other versions are needed too.
	firstTime     = time.Second
	neededAnswers = 60
	maxFraction   = 0.6
	// dealShare is the share of what is left that one VM gets at once.
	dealShare = 0.25
	// roundTime is how long the same servers of a version get its requests.
	roundTime = 3 * time.Second
	// minFocus is the least number of servers of a version that get its requests at once: more than one, so that a failed
	// server can be told from a bad version.
	minFocus = 2
)

// Bounds are what requests a version on trial may get from all VMs together: Share of those that reach its service, and
// Extra.
type Bounds struct{ Share, Extra float64 }

// Dealer deals out the requests that may go to a version on trial. The sum of what it and earlier judges have dealt out never
// exceeds what was reserved in the replicated log, which never exceeds the bound for the requests known to have been sent.
// It answers the load pattern in which VMs join, freeze, or are cut off with what they were granted. It isn't safe for
// concurrent use.
type Dealer struct {
	bounds Bounds
	// before is what other judges have reserved: they may have dealt all of it out.
	before, reserved, dealt uint64
	processes               map[process]*account
	sent                    uint64
}

type process struct{ vm, incarnation string }

// account is what a Dealer knows of one process of a VM.
type account struct {
	sequence, sent, exposed, granted, wanted uint64
}

// NewDealer returns the Dealer of a judge that takes over when reserved requests are reserved.
func NewDealer(b Bounds, reserved uint64) *Dealer {
	return &Dealer{bounds: b, before: reserved, reserved: reserved, processes: make(map[process]*account)}
}

// Bound returns how many requests may go to the version, by the requests known to have been sent.
func (d *Dealer) Bound() uint64 {
	return uint64(boundMargin * (d.bounds.Share*float64(d.sent) + d.bounds.Extra))
}

// Reserve returns the reservation to propose; false when none is called for.
func (d *Dealer) Reserve() (uint64, bool) {
	bound, left := d.Bound(), d.left()
	if bound <= d.reserved || left >= reservationStep/2 {
		return 0, false
	}
	step := max(reservationStep, uint64(float64(d.dealt)/4))
	return min(bound, d.reserved+step), true
}

// Reserved records that this judge's own reservation was accepted.
func (d *Dealer) Reserved(base, n uint64) {
	if d.reserved == base {
		d.reserved = max(d.reserved, n)
	}
}

// ReservedInAll records what is reserved according to the replicated log. Another judge may deal out what this one didn't
// reserve itself.
func (d *Dealer) ReservedInAll(n uint64) {
	if n > d.reserved {
		d.before += n - d.reserved
		d.reserved = n
	}
}

func (d *Dealer) left() uint64 { return d.reserved - d.before - d.dealt }

// Exposed returns how many requests are known to have gone to the version, and how many may have.
func (d *Dealer) Exposed() (known, most uint64) {
	for _, a := range d.processes {
		known += a.exposed
	}
	return known, d.before + d.dealt
}

// Deal takes over a report and returns the grant that answers it. It returns false for a report that is not the latest of its
// process. stop keeps the Dealer from granting more.
func (d *Dealer) Deal(r *daisyhatchv1.RolloutReport, stop bool) (granted uint64, latest bool) {
	k := process{r.GetVm(), r.GetIncarnation()}
	a := d.processes[k]
	if a == nil {
		a = &account{granted: r.GetGranted()}
		d.processes[k] = a
	}
	if r.GetSequence() <= a.sequence {
		return a.granted, false
	}
	d.sent += r.GetSent() - min(r.GetSent(), a.sent)
	wanted := r.GetWanted() - min(r.GetWanted(), a.wanted)
	a.sequence, a.sent, a.exposed, a.wanted = r.GetSequence(), max(a.sent, r.GetSent()), max(a.exposed, r.GetExposed()), max(a.wanted, r.GetWanted())
	a.granted = max(a.granted, r.GetGranted())
	unused := a.granted - min(a.granted, a.exposed)
	if stop || unused >= wanted {
		return a.granted, true
	}
	most := max(uint64(math.Ceil(dealShare*float64(d.left()))), 1)
	n := min(wanted-unused, most, d.left())
	a.granted += n
	d.dealt += n
	return a.granted, true
}

// Fraction returns the share of requests that VMs are to draw for the version, elapsed after an order for a duration. It starts with the share of
// the bounds, and then is large enough for neededAnswers before the trial ends, so that a service with few requests can be judged too.
func (d *Dealer) Fraction(elapsed, duration time.Duration) float64 {
	f := drawFactor * d.bounds.Share
	if elapsed < firstTime || d.sent == 0 {
		return f
	}
	rate := float64(d.sent) / elapsed.Seconds()
	return max(f, min(neededAnswers/(rate*switchFrom*duration.Seconds()), maxFraction))
}

// Focus returns how many of a version's servers get its requests at once, and the round, which decides which: as many as
// make their load like that of the others.
func (d *Dealer) Focus(servers int, elapsed time.Duration) (focus int, round uint64) {
	n := int(math.Ceil(d.bounds.Share * float64(servers)))
	return max(n, minFocus), uint64(max(elapsed, 0) / roundTime)
}
