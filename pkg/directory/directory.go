// Package directory holds the announcements of backend servers and decides which servers may get work. The package does
// no I/O and reads no clock: callers pass the time.
//
// Merging the records of several VMs gives the same result in any order: of one incarnation the newer announcement wins,
// a later incarnation wins over an earlier one with the same id or address, and an incarnation that has begun to drain
// doesn't become ready again.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// State is the state that a server announces.
type State int

// States.
const (
	Ready State = iota + 1
	// Draining servers finish the requests that they have and take no new ones.
	Draining
	// Gone servers have shut down.
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
	// Born is the start of the incarnation in Unix milliseconds; 0 when only the id is known.
	Born int64
	// Sequence orders the announcements of an incarnation.
	Sequence uint64
	Service  string
	// Address is IP:port.
	Address string
	// Domain is the failure domain.
	Domain string
	// Version is the version of the server's software. Versions have no order; empty when the server names none.
	Version string
	State   State
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// ColdUntil is the end of the cold start, by this VM's monotonic clock.
	ColdUntil time.Time
	// Heard is when the announcement reached the system, by this VM's monotonic clock.
	Heard time.Time
	// Quiet is true when no announcement came for quietAfter: the server may be dead, or cut off from the control VMs.
	Quiet bool
}

// Incarnation returns the incarnation as text: Born in decimal.
func (s *Server) Incarnation() string { return strconv.FormatInt(s.Born, 10) }

const (
	// quietAfter is the silence after which a server counts as quiet: three announcement intervals of about 1 s each, and
	// a margin for delays.
	quietAfter = 4500 * time.Millisecond
	// silentRetention is how long a server that announces nothing is kept. Announcements come about every second and are
	// sometimes late by several seconds.
	silentRetention = 15 * time.Second
	// goneRetention is how long a server that has gone is remembered: longer than a delayed announcement may take to
	// arrive, so that it doesn't make the server ready again.
	goneRetention = 90 * time.Second
)

// Directory holds the newest announcement of each server. It isn't safe for concurrent use.
type Directory struct {
	servers map[string]*Server
	// addressOwner maps an address to the id of the server that it belongs to: the latest incarnation announced with it.
	addressOwner map[string]string
	// former is when each software version of a service was last heard of from a server whose record was dropped or
	// replaced.
	former map[serviceVersion]time.Time
}

// serviceVersion is a software version of the servers of a service.
type serviceVersion struct{ service, version string }

// New returns an empty Directory.
func New() *Directory {
	return &Directory{servers: make(map[string]*Server), addressOwner: make(map[string]string), former: make(map[serviceVersion]time.Time)}
}

// Change is the effect of a merge.
type Change int

// Changes.
const (
	// Stale means that the announcement changed nothing.
	Stale Change = iota
	// Refreshed means that the server was heard again without a change.
	Refreshed
	// Changed means that something changed that decides which work the server gets.
	Changed
)

// Merge applies an announcement, which may be older than the known one, and reports its effect.
func (d *Directory) Merge(s Server) Change {
	old := d.servers[s.ID]
	if old == nil {
		d.set(s)
		return Changed
	}
	switch c := compareAge(&s, old); {
	case c < 0, c == 0 && s.State <= old.State:
		return d.mergeNotNewer(old, &s, c)
	}
	sameIncarnation := s.Born == old.Born || s.Born == 0 || old.Born == 0
	if sameIncarnation {
		s = inherit(s, old)
	}
	change := Refreshed
	if differs(&s, old) {
		change = Changed
	}
	d.set(s)
	return change
}

// mergeNotNewer handles an announcement that is not newer than the one known.
func (d *Directory) mergeNotNewer(old, s *Server, c int) Change {
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

// compareAge orders two announcements with the same id from older to newer: by incarnation, then departures after the
// other states, then by sequence.
func compareAge(a, b *Server) int {
	if a.Born != 0 && b.Born != 0 && a.Born != b.Born {
		return cmp.Compare(a.Born, b.Born)
	}
	if a.State == Gone || b.State == Gone {
		return cmp.Compare(a.State, b.State)
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// inherit completes a newer announcement of the same incarnation: the state never goes back, and the fields that a
// departure leaves out are copied from the old announcement.
func inherit(s Server, old *Server) Server {
	s.State = max(s.State, old.State)
	s.Born = max(s.Born, old.Born)
	s.Sequence = max(s.Sequence, old.Sequence)
	if s.Address == "" {
		s.Service, s.Address, s.Domain, s.Version, s.Slots = old.Service, old.Address, old.Domain, old.Version, old.Slots
	}
	return s
}

// coldTolerance is the difference between two estimates of the end of a cold start that doesn't count as a change.
const coldTolerance = 300 * time.Millisecond

// differs reports whether two announcements differ in what decides which work the server gets. The ends of cold starts
// count only while one of them lies ahead.
func differs(a, b *Server) bool {
	cold := a.ColdUntil.Sub(b.ColdUntil).Abs() > coldTolerance && (a.ColdUntil.After(a.Heard) || b.ColdUntil.After(a.Heard))
	return cold || a.Quiet != b.Quiet || a.Born != b.Born || a.State != b.State || a.Service != b.Service || a.Address != b.Address ||
		a.Domain != b.Domain || a.Version != b.Version || a.Slots != b.Slots
}

// set stores a record and gives it its address, unless a later incarnation has the address.
func (d *Directory) set(s Server) {
	if old := d.servers[s.ID]; old != nil && (old.Service != s.Service || old.Version != s.Version) {
		d.noteFormer(old)
	}
	d.servers[s.ID] = &s
	if s.Address == "" {
		return
	}
	holder := d.servers[d.addressOwner[s.Address]]
	if holder == nil || holder.Address != s.Address || holder.Born <= s.Born {
		d.addressOwner[s.Address] = s.ID
	}
}

// noteFormer remembers the version of a server whose record is dropped or replaced.
func (d *Directory) noteFormer(s *Server) {
	k := serviceVersion{s.Service, s.Version}
	if s.Service != "" && s.Heard.After(d.former[k]) {
		d.former[k] = s.Heard
	}
}

// Versions returns the software versions of a service's servers that are in service, or were heard of since the given time,
// sorted.
func (d *Directory) Versions(service string, since time.Time) []string {
	var out []string
	add := func(version string) {
		if !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	for _, s := range d.servers {
		if s.Service == service && (s.State != Gone || !s.Heard.Before(since)) {
			add(s.Version)
		}
	}
	for k, at := range d.former {
		if k.service == service && !at.Before(since) {
			add(k.version)
		}
	}
	slices.Sort(out)
	return out
}

// Refresh records that a server was heard at the given time or later. It has no effect on servers that are gone or
// unknown.
func (d *Directory) Refresh(id string, heard time.Time) {
	if s := d.servers[id]; s != nil && s.State != Gone && s.Heard.Before(heard) {
		s.Heard = heard
	}
}

// Leave marks a server as gone and returns its record. An unknown server is recorded as well, so that a delayed
// announcement doesn't make it ready.
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
func (d *Directory) ByAddress(address string) (Server, bool) { return d.Get(d.addressOwner[address]) }

// Serving returns the servers of a service that may get new work, sorted by id.
func (d *Directory) Serving(service string) []Server {
	var out []Server
	for id, s := range d.servers {
		if s.Service == service && s.State == Ready && d.addressOwner[s.Address] == id {
			out = append(out, *s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns all records in no particular order, including those of servers that are gone.
func (d *Directory) All() []Server {
	out := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, *s)
	}
	return out
}

// Quieten marks the servers that were not heard for quietAfter as quiet, and returns those that it marked.
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

// Expire drops the servers that were not heard for silentRetention, and those that have been gone for goneRetention. It
// returns the former.
func (d *Directory) Expire(now time.Time) []Server {
	var silent []Server
	maps.DeleteFunc(d.former, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > goneRetention })
	for id, s := range d.servers {
		retention := silentRetention
		if s.State == Gone {
			retention = goneRetention
		}
		if now.Sub(s.Heard) <= retention {
			continue
		}
		if s.State != Gone {
			silent = append(silent, *s)
		}
		d.noteFormer(s)
		delete(d.servers, id)
		if d.addressOwner[s.Address] == id {
			delete(d.addressOwner, s.Address)
		}
	}
	return silent
}
