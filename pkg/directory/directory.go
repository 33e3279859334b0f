// Package directory keeps what backend servers announce of themselves and decides which of them may get work. It is
// pure: the time comes in as an argument. Records of several VMs are merged in any order with one result: an
// incarnation's newer announcement wins, a later incarnation wins over an earlier one under the same id or address, and
// an incarnation that has begun to leave doesn't come back.
package directory

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// State is what a server says of itself.
type State int

// States.
const (
	Ready State = iota + 1
	// Draining servers finish what they have.
	Draining
	// Gone servers have left.
	Gone
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Server is the newest known announcement of a backend server.
type Server struct {
	ID string
	// Born is the Unix millisecond of the incarnation's start; 0 when only the id is known.
	Born     int64
	Sequence uint64
	Service  string
	// Address is IP:port.
	Address string
	Domain  string
	State   State
	Slots   int
	// ColdUntil is when the server is warm, by this VM's monotonic clock.
	ColdUntil time.Time
	// Heard is when the announcement reached the system, by this VM's monotonic clock.
	Heard time.Time
	// Quiet is true when the server was not heard for quietAfter: it may be dead, or cut off from the control VMs.
	Quiet bool
}

// Incarnation names the server's life, as a text.
func (s *Server) Incarnation() string { return strconv.FormatInt(s.Born, 10) }

const (
	// quietAfter is the silence from which a server is quiet: three announcements of about a second, and lateness.
	quietAfter = 4500 * time.Millisecond
	// keptSilent is how long a server that announces nothing is kept. Announcements come about every second and are
	// late by seconds at times.
	keptSilent = 15 * time.Second
	// keptGone is how long a departure is remembered, longer than late announcements are under way.
	keptGone = 90 * time.Second
)

// Directory holds all servers. It isn't safe for concurrent use.
type Directory struct {
	servers map[string]*Server
	// owner names the server that an address belongs to.
	owner map[string]string
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{servers: make(map[string]*Server), owner: make(map[string]string)}
}

// Change says what a merge did.
type Change int

// Changes.
const (
	// Stale announcements changed nothing.
	Stale Change = iota
	// Refreshed servers were heard again and are as before.
	Refreshed
	// Changed servers differ in what decides about their work.
	Changed
)

// Merge takes an announcement in.
func (d *Directory) Merge(s Server) Change {
	old := d.servers[s.ID]
	if old == nil {
		d.set(s)
		return Changed
	}
	switch c := compare(&s, old); {
	case c < 0, c == 0 && s.State <= old.State:
		return d.again(old, &s, c)
	}
	sameLife := s.Born == old.Born || s.Born == 0 || old.Born == 0
	if sameLife {
		s = inherit(s, old)
	}
	change := Refreshed
	if differs(&s, old) {
		change = Changed
	}
	d.set(s)
	return change
}

// again handles an announcement that is not newer than the one known.
func (d *Directory) again(old, s *Server, c int) Change {
	if c != 0 {
		return Stale
	}
	if s.Quiet && !old.Quiet {
		old.Quiet = true
		return Changed
	}
	if s.Heard.After(old.Heard) {
		old.Heard = s.Heard
		return Refreshed
	}
	return Stale
}

// compare orders two announcements under one id.
func compare(a, b *Server) int {
	if a.Born != 0 && b.Born != 0 && a.Born != b.Born {
		return cmp.Compare(a.Born, b.Born)
	}
	if a.State == Gone || b.State == Gone {
		return cmp.Compare(a.State, b.State)
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// inherit keeps what an incarnation can't take back and fills what a departure doesn't say.
func inherit(s Server, old *Server) Server {
	s.State = max(s.State, old.State)
	s.Born = max(s.Born, old.Born)
	s.Sequence = max(s.Sequence, old.Sequence)
	if s.Address == "" {
		s.Service, s.Address, s.Domain, s.Slots = old.Service, old.Address, old.Domain, old.Slots
	}
	return s
}

// coldSlack is how far two estimates of the end of a cold start may lie apart without being news.
const coldSlack = 300 * time.Millisecond

func differs(a, b *Server) bool {
	cold := a.ColdUntil.Sub(b.ColdUntil).Abs() > coldSlack && (a.ColdUntil.After(a.Heard) || b.ColdUntil.After(a.Heard))
	return cold || a.Quiet != b.Quiet || a.Born != b.Born || a.State != b.State || a.Service != b.Service || a.Address != b.Address ||
		a.Domain != b.Domain || a.Slots != b.Slots
}

func (d *Directory) set(s Server) {
	d.servers[s.ID] = &s
	if s.Address == "" {
		return
	}
	holder := d.servers[d.owner[s.Address]]
	if holder == nil || holder.Address != s.Address || holder.Born <= s.Born {
		d.owner[s.Address] = s.ID
	}
}

// Refresh notes that a server was heard at a time at least; departures and unknown servers stay as they are.
func (d *Directory) Refresh(id string, heard time.Time) {
	if s := d.servers[id]; s != nil && s.State != Gone && s.Heard.Before(heard) {
		s.Heard = heard
	}
}

// Leave marks a server as gone; an unknown one is remembered, so that a late announcement doesn't bring it back.
func (d *Directory) Leave(id string, now time.Time) (Server, Change) {
	s := Server{ID: id, State: Gone, Heard: now}
	if old := d.servers[id]; old != nil {
		s = *old
		s.State, s.Heard = Gone, now
	}
	c := d.Merge(s)
	return *d.servers[id], c
}

// Get returns a server by id.
func (d *Directory) Get(id string) (Server, bool) {
	s, ok := d.servers[id]
	if !ok {
		return Server{}, false
	}
	return *s, true
}

// ByAddress returns the server to which an address belongs.
func (d *Directory) ByAddress(address string) (Server, bool) { return d.Get(d.owner[address]) }

// Serving returns the servers of a service that may get new work, by id.
func (d *Directory) Serving(service string) []Server {
	var out []Server
	for id, s := range d.servers {
		if s.Service == service && s.State == Ready && d.owner[s.Address] == id {
			out = append(out, *s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns all records, departures included.
func (d *Directory) All() []Server {
	out := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, *s)
	}
	return out
}

// Quieten marks the servers that were not heard for quietAfter, and returns those that were not marked before.
func (d *Directory) Quieten(now time.Time) []Server {
	var out []Server
	for _, s := range d.servers {
		if !s.Quiet && s.State != Gone && now.Sub(s.Heard) > quietAfter {
			s.Quiet = true
			out = append(out, *s)
		}
	}
	return out
}

// Expire drops what was not heard for long and returns the servers that were still in use.
func (d *Directory) Expire(now time.Time) []Server {
	var silent []Server
	for id, s := range d.servers {
		kept := keptSilent
		if s.State == Gone {
			kept = keptGone
		}
		if now.Sub(s.Heard) <= kept {
			continue
		}
		if s.State != Gone {
			silent = append(silent, *s)
		}
		delete(d.servers, id)
		if d.owner[s.Address] == id {
			delete(d.owner, s.Address)
		}
	}
	return silent
}
