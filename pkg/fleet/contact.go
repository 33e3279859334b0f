package fleet

import "time"

// maxContactGap is the longest time between two confirmations by the control group in which a VM misses nothing: a few intervals in which it hears
// that its state is current.
const maxContactGap = 2 * time.Second

// contact is when the control group confirmed a VM's state. Times are given by the steady clock and by the time of day: the former stands
// still while the VM is suspended, the latter may be stepped.
type contact struct {
	last, lastWall time.Time
	// since is the first confirmation of a series without a gap longer than maxContactGap.
	since time.Time
}

// confirmed records a confirmation.
func (c *contact) confirmed(now, wall time.Time) {
	if c.last.IsZero() || c.broken(now, wall) {
		c.since = now
	}
	c.last, c.lastWall = now, wall
}

// broken reports whether more than maxContactGap has passed since the last confirmation, by either clock.
func (c *contact) broken(now, wall time.Time) bool {
	return now.Sub(c.last) > maxContactGap || wall.Sub(c.lastWall) > maxContactGap
}

// heldFor reports whether the series of confirmations has lasted for at least d, and goes on.
func (c *contact) heldFor(d time.Duration, now, wall time.Time) bool {
	return !c.last.IsZero() && !c.broken(now, wall) && now.Sub(c.since) >= d
}

// wallTime returns the time of day of t, without the reading of the steady clock.
func wallTime(t time.Time) time.Time { return t.Round(0) }
