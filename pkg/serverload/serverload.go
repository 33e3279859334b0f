// Package serverload keeps what backend servers tell of their load and pace, with the time at which it was true.
//
// It answers servers that share their machines with others: how long work takes there changes several times a second, so
// that an average over calls says nothing about the next one, while a figure from an answer that just arrived does. It also
// answers many VMs before few servers: what a server tells includes the requests of all VMs, and between two figures each VM
// adds those that it sent itself.
//
// The package does no I/O and reads no clock: callers pass the time.
package serverload

import "time"

const (
	// newestFor is how long a figure counts in full, and trustedFor how long it counts at all. In between its weight falls
	// linearly, and what is known besides takes its place.
	newestFor  = 100 * time.Millisecond
	trustedFor = 500 * time.Millisecond
	// forgottenAfter is how long a server without requests in flight is kept after its latest figures.
	forgottenAfter = 30 * time.Second
)

// Trust returns the weight of a figure of the given age, from 1 to 0.
func Trust(age time.Duration) float64 {
	switch {
	case age <= newestFor:
		return 1
	case age >= trustedFor:
		return 0
	}
	return float64(trustedFor-age) / float64(trustedFor-newestFor)
}

// Source is where figures come from.
type Source int

const (
	// Answer figures came with an answer to this VM.
	Answer Source = iota
	// Report figures came from another VM that asked the server.
	Report
)

// Figures are what a server told of itself.
type Figures struct {
	// Running and Waiting are requests of all VMs; Slots is how many can run at the same time.
	Running, Waiting, Slots int
	// Pace is how long work takes there relative to the usual time: 1 as usual, 2 twice as long. 0 if not told.
	Pace float64
	// At is when the figures were true.
	At     time.Time
	Source Source
}

// Estimate is what is known of a server at a time.
type Estimate struct {
	Figures
	// Own is the number of this VM's requests in flight there, and Since how many of them it sent after the figures.
	Own, Since int
	// Trust is the weight of the figures, from 1 to 0; 0 also when there are none.
	Trust float64
	Age   time.Duration
}

// Busy estimates how many requests run or wait at the server: the figures and what this VM sent since, or only this VM's
// own as the figures age.
func (e Estimate) Busy() float64 {
	told := float64(e.Running + e.Waiting + e.Since)
	return e.Trust*max(told, float64(e.Own)) + (1-e.Trust)*float64(e.Own)
}

// Others estimates how many requests of other VMs run or wait at the server, as far as the figures still count.
func (e Estimate) Others() float64 {
	return e.Trust * max(0, float64(e.Running+e.Waiting-(e.Own-e.Since)))
}

// PaceNow returns the pace to expect now, given the server's average pace.
func (e Estimate) PaceNow(average float64) float64 {
	if e.Pace <= 0 {
		return average
	}
	return average + e.Trust*(e.Pace-average)
}

type server struct {
	born int64
	Figures
	// own and since count this VM's requests in flight, all of them and those sent after the figures.
	own, since int
	touched    time.Time
}

// Table holds the newest figures of servers. It isn't safe for concurrent use.
type Table struct{ servers map[string]*server }

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{servers: make(map[string]*server)} }

// Told records the figures of an incarnation of a server, and returns false for figures older than those known.
func (t *Table) Told(id string, born int64, f Figures) bool {
	s := t.servers[id]
	switch {
	case s == nil:
		s = &server{}
		t.servers[id] = s
	case born < s.born, born == s.born && f.At.Before(s.At):
		return false
	}
	s.born, s.Figures, s.since, s.touched = born, f, 0, f.At
	return true
}

// Sent records that this VM sends a request to a server.
func (t *Table) Sent(id string, now time.Time) {
	s := t.servers[id]
	if s == nil {
		s = &server{}
		t.servers[id] = s
	}
	s.own++
	s.since++
	s.touched = now
}

// Ended records that a request of this VM no longer runs at a server.
func (t *Table) Ended(id string) {
	s := t.servers[id]
	if s == nil || s.own == 0 {
		return
	}
	s.own--
	s.since = min(s.since, s.own)
}

// Estimate returns what is known of a server now.
func (t *Table) Estimate(id string, now time.Time) Estimate {
	s := t.servers[id]
	if s == nil {
		return Estimate{}
	}
	e := Estimate{Figures: s.Figures, Own: s.own, Since: s.since}
	if !s.At.IsZero() {
		e.Age = max(0, now.Sub(s.At))
		e.Trust = Trust(e.Age)
	}
	return e
}

// Forget drops what is known of a server.
func (t *Table) Forget(id string) { delete(t.servers, id) }

// Expire drops servers without requests in flight of which nothing was heard for some time.
func (t *Table) Expire(now time.Time) {
	for id, s := range t.servers {
		if s.own == 0 && now.Sub(s.touched) > forgottenAfter {
			delete(t.servers, id)
		}
	}
}
