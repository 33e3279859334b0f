package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// returnCaution is how long the servers of a failure domain that came back count as cold, unless they were heard to be
// warm since: announcements are older than the return by up to two of their intervals.
const returnCaution = 2600 * time.Millisecond

// State is what a VM of a fleet knows: the configuration in force, the failure domains out of service, and the backend
// servers. It is safe for concurrent use.
type State struct {
	mu      sync.RWMutex
	set     *catalog.Set
	number  uint64
	out     map[string]time.Time
	back    map[string]time.Time
	dir     *directory.Directory
	changes uint64
	// stamps are the change counts at which each server was last changed, last announced itself to this VM, and was last
	// heard of.
	stamps  [stampKinds]map[string]uint64
	wake    chan struct{}
	entries entryBook
	current time.Time
	// words are what servers said in their answers to this VM.
	words  *holdoff.Tracker
	owners map[string]stageowner.Owner
	// ownersWake is closed when an owner changes.
	ownersWake chan struct{}
}

// stampKind is what a change count is kept of.
type stampKind int

const (
	stampChanged stampKind = iota
	stampAnnounced
	stampHeard
	stampKinds
)

// stamp notes a change count of a server; s.mu is held.
func (s *State) stamp(id string, kinds ...stampKind) {
	for _, k := range kinds {
		s.stamps[k][id] = s.changes
	}
}

// NewState returns an empty State.
func NewState() *State {
	s := &State{
		out: make(map[string]time.Time), back: make(map[string]time.Time), dir: directory.New(), wake: make(chan struct{}), words: holdoff.NewTracker(),
		entries: newEntryBook(), owners: make(map[string]stageowner.Owner), ownersWake: make(chan struct{}),
	}
	for k := range s.stamps {
		s.stamps[k] = make(map[string]uint64)
	}
	return s
}

// Catalog returns the configuration in force; nil while none is known.
func (s *State) Catalog() *catalog.Set {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.set
}

// Number returns the number of the replicated state that is known.
func (s *State) Number() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.number
}

// Current reports whether the state was confirmed by the control group at least once since the process started.
func (s *State) Current() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.current.IsZero()
}

// ContactAge returns how long ago a control VM confirmed the state.
func (s *State) ContactAge(now time.Time) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return now.Sub(s.current)
}

func (s *State) confirm(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = now
}

// apply takes over a replicated state unless a newer one is known. A configuration never goes back to a lower version.
// It reports whether anything changed.
func (s *State) apply(number uint64, set *catalog.Set, domainsOut []string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.number {
		return false
	}
	s.number = number
	if set != nil && (s.set == nil || set.Version > s.set.Version) {
		s.set = set
	}
	for d := range s.out {
		if !slices.Contains(domainsOut, d) {
			delete(s.out, d)
			s.back[d] = now
		}
	}
	for _, d := range domainsOut {
		if _, ok := s.out[d]; !ok {
			s.out[d] = now
		}
		delete(s.back, d)
	}
	s.signal()
	return true
}

// DomainsOut returns the failure domains out of service.
func (s *State) DomainsOut() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Sorted(maps.Keys(s.out))
}

// Merge takes announcements in and returns those that changed something.
func (s *State) Merge(servers []directory.Server) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(servers)
}

// Announced takes announcements in that servers made to this VM; it returns those that changed something.
func (s *State) Announced(servers ...directory.Server) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := s.merge(servers)
	s.changes++
	for _, v := range servers {
		s.stamp(v.ID, stampAnnounced)
	}
	return news
}

func (s *State) merge(servers []directory.Server) []directory.Server {
	var news []directory.Server
	for _, v := range servers {
		switch s.dir.Merge(v) {
		case directory.Changed:
			s.changes++
			s.stamp(v.ID, stampChanged, stampHeard)
			news = append(news, v)
		case directory.Refreshed:
			s.changes++
			s.stamp(v.ID, stampHeard)
		}
	}
	if len(news) > 0 {
		s.signal()
	}
	return news
}

// Leave marks a server as gone and returns its record.
func (s *State) Leave(id string, now time.Time) directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, c := s.dir.Leave(id, now)
	if c == directory.Changed {
		s.changes++
		s.stamp(id, stampChanged, stampHeard)
		s.signal()
	}
	return v
}

// Expire drops servers that were not heard for long.
func (s *State) Expire(now time.Time) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.dir.Expire(now)
	s.words.Retain(func(id string) bool {
		_, known := s.dir.Get(id)
		return known
	}, now)
	for _, v := range gone {
		for _, m := range s.stamps {
			delete(m, v.ID)
		}
	}
	return gone
}

// Quieten marks servers that were not heard for some time.
func (s *State) Quieten(now time.Time) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := s.dir.Quieten(now)
	for _, v := range quiet {
		s.changes++
		s.stamp(v.ID, stampChanged)
	}
	if len(quiet) > 0 {
		s.signal()
	}
	return quiet
}

// signal wakes those that wait for a change; s.mu is held.
func (s *State) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// wakeFollowers has followers told of what is not part of the State.
func (s *State) wakeFollowers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signal()
}

// Changed returns a channel that is closed at the next change that followers must hear of soon.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.wake
}

// Candidate is a server that may get work.
type Candidate struct {
	directory.Server
	// Cold is true while the server bears little load.
	Cold bool
}

// Serving returns the servers of a service that may get new work now.
func (s *State) Serving(service string, now time.Time) []Candidate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []Candidate
	for _, v := range s.dir.Serving(service) {
		if _, isOut := s.out[v.Domain]; isOut || !s.words.Available(v.ID, v.Incarnation(), now) {
			continue
		}
		out = append(out, Candidate{Server: v, Cold: s.cold(v, now)})
	}
	return out
}

func (s *State) cold(v directory.Server, now time.Time) bool {
	if now.Before(v.ColdUntil) {
		return true
	}
	back, returned := s.back[v.Domain]
	return returned && now.Sub(back) < returnCaution
}

// Allowed reports whether a server may still get new work: right before a send, or before a repeat.
func (s *State) Allowed(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.dir.Get(id)
	if !ok || v.State != directory.Ready {
		return false
	}
	_, out := s.out[v.Domain]
	return !out && s.words.Available(id, v.Incarnation(), time.Now())
}

// Noticed takes over what an incarnation of a server said in an answer to this VM, and reports whether that is news.
func (s *State) Noticed(v directory.Server, n holdoff.Notice, now time.Time) bool {
	if n.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.Record(v.ID, v.Incarnation(), n, now)
}

// Back returns when the first server of a service that wants no calls now takes them again; false when one takes them
// now, or none will.
func (s *State) Back(service string, now time.Time) (time.Duration, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	first, found := time.Time{}, false
	for _, v := range s.dir.Serving(service) {
		if _, isOut := s.out[v.Domain]; isOut {
			continue
		}
		if s.words.Available(v.ID, v.Incarnation(), now) {
			return 0, false
		}
		if at, ok := s.words.AvailableAt(v.ID, v.Incarnation(), now); ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first.Sub(now), found
}

// Open reports whether an incarnation of a server takes calls of any kind from this VM, as far as its answers say.
func (s *State) Open(v directory.Server, now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.words.Available(v.ID, v.Incarnation(), now)
}

// ServerAt returns the server to which an address belongs; false when none is known.
func (s *State) ServerAt(address string) (directory.Server, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.dir.ByAddress(address)
}

// Server returns what is known of a server; false when nothing is.
func (s *State) Server(id string) (directory.Server, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.dir.Get(id)
}

// since returns the servers of which a stamp is later than the change count given, and the count to ask with next.
func (s *State) since(count uint64, kind stampKind) ([]directory.Server, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []directory.Server
	for id, at := range s.stamps[kind] {
		if at <= count {
			continue
		}
		if v, ok := s.dir.Get(id); ok {
			out = append(out, v)
		}
	}
	return out, s.changes
}

// unheard returns the ids of servers that were not heard after the change count given, and the count to ask with next.
func (s *State) unheard(count uint64) ([]string, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []string
	for id, at := range s.stamps[stampHeard] {
		if v, ok := s.dir.Get(id); ok && at <= count && v.State != directory.Gone {
			out = append(out, id)
		}
	}
	return out, s.changes
}

// refresh notes that servers, except the silent ones, were heard at a time at least.
func (s *State) refresh(ids map[string]bool, silent []string, heard time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range ids {
		if !slices.Contains(silent, id) {
			s.dir.Refresh(id, heard)
		}
	}
}

// all returns all records and the change count.
func (s *State) all() ([]directory.Server, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.dir.All(), s.changes
}

// learnOwners takes over owners of stage calls with higher terms than those known.
func (s *State) learnOwners(owners []stageowner.Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, o := range owners {
		if o.Term > s.owners[o.Service].Term {
			s.owners[o.Service] = o
			changed = true
		}
	}
	if changed {
		close(s.ownersWake)
		s.ownersWake = make(chan struct{})
		s.signal()
	}
}

// LearnOwner takes over an owner that another VM told of.
func (s *State) LearnOwner(o stageowner.Owner) { s.learnOwners([]stageowner.Owner{o}) }

// StageOwner returns the owner of a service's stage calls, and a channel that is closed when any owner changes.
func (s *State) StageOwner(service string) (stageowner.Owner, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.owners[service], s.ownersWake
}

// OwnerAt returns the owner of the stage calls of the server at an address; false when there is none.
func (s *State) OwnerAt(address string) (stageowner.Owner, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.dir.ByAddress(address)
	o := s.owners[v.Service]
	return o, ok && o.Address != ""
}

// setEntries takes over the entry VMs that a control VM tells of.
func (s *State) setEntries(control string, added, removed []uint64, complete bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.update(control, added, removed, complete, now)
}

// heardEntries notes that a control VM goes on telling of the entry VMs that it told of.
func (s *State) heardEntries(control string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.heard(control, now)
}

// Entries returns the ids of the entry VMs that share the bounds over all VMs, sorted; see EntryID.
func (s *State) Entries(now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries.all(now)
}

// entriesChange returns a count that grows when Entries may give another list.
func (s *State) entriesChange() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.entries.changes
}
