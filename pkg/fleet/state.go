package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/allowance"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// coldAfterReturn is how long the servers of a failure domain that returned to service count as cold: their last
// announcements are older than the return by up to two announcement intervals.
const coldAfterReturn = 2600 * time.Millisecond

// State is what a VM of a fleet knows: the configuration in force, the failure domains out of service, the backend
// servers, the owners of stage calls and the entry VMs. It is safe for concurrent use.
type State struct {
	// vm is the VM's id among the entry VMs.
	vm uint64
	// formsStageCalls is true on a VM that makes the stage calls of all VMs for the services that it owns.
	formsStageCalls bool
	startedAt       time.Time

	mu       sync.RWMutex
	config   *catalog.Set
	revision uint64
	// domainsOut and domainsReturned are when failure domains went out of service and when they returned.
	domainsOut      map[string]time.Time
	domainsReturned map[string]time.Time
	dir             *directory.Directory
	// changes counts the changes and announcements of servers.
	changes uint64
	// stamps are the change counts at which each server last changed, last announced itself to this VM, and was last
	// heard of.
	stamps [stampKinds]map[string]uint64
	// lastChanged is the change count of the latest change of a server.
	lastChanged uint64
	changed     chan struct{}
	// listed is true once a control VM has listed all servers that it knows.
	listed  bool
	entries entryTable
	contact contact
	// holdoffs are the notices in servers' answers to this VM that they accept no calls.
	holdoffs *holdoff.Tracker
	// limits are the request rates to which servers limit all VMs together, and sends counts this VM's requests by server.
	limits *serverlimit.Tracker
	sends  *allowance.Window
	// limitNews is what other VMs are to be told of limits.
	limitNews limitNews
	// weights are the shares of the sessions that servers should have.
	weights weightTable
	origins *originLog
	owners  map[string]stageowner.Owner
	// ownersSince is when this VM learned of each service's owner.
	ownersSince map[string]time.Time
	// ownersChanged is closed when an owner changes.
	ownersChanged chan struct{}
}

// stampKind is an event whose latest change count is recorded for each server.
type stampKind int

const (
	stampChanged stampKind = iota
	stampAnnounced
	stampHeard
	stampKinds
)

// stamp records the current change count for a server. s.mu must be held.
func (s *State) stamp(id string, kinds ...stampKind) {
	for _, k := range kinds {
		s.stamps[k][id] = s.changes
		if k == stampChanged {
			s.lastChanged = s.changes
		}
	}
}

// StateOptions configure a State.
type StateOptions struct {
	// VM is the VM's name, under which it is counted among the entry VMs.
	VM string
	// FormsStageCalls is true on a control VM, which may own the stage calls of services.
	FormsStageCalls bool
}

// NewState returns an empty State.
func NewState(o StateOptions) *State {
	s := &State{
		vm: EntryID(o.VM), formsStageCalls: o.FormsStageCalls, startedAt: time.Now(), ownersSince: make(map[string]time.Time),
		domainsOut: make(map[string]time.Time), domainsReturned: make(map[string]time.Time), dir: directory.New(), changed: make(chan struct{}), holdoffs: holdoff.NewTracker(),
		limits: serverlimit.NewTracker(), sends: allowance.NewWindow(serverlimit.MaxWindow), limitNews: newLimitNews(), weights: newWeightTable(),
		origins: newOriginLog(), entries: newEntryTable(), owners: make(map[string]stageowner.Owner), ownersChanged: make(chan struct{}),
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
	return s.config
}

// Number returns the revision number of the replicated state that is known.
func (s *State) Number() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision
}

// Current reports whether the state was confirmed by the control group at least once since the process started.
func (s *State) Current() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.contact.last.IsZero()
}

// Listed reports whether a control VM has listed all servers that it knows at least once since the process started.
func (s *State) Listed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.listed
}

// noteListed records that a control VM has listed all servers that it knows.
func (s *State) noteListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
}

// ContactAge returns the time since the control group last confirmed the state.
func (s *State) ContactAge(now time.Time) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return now.Sub(s.contact.last)
}

// confirm records that the control group confirmed the state.
func (s *State) confirm(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.confirmed(now, wallTime(now))
}

// followedFor reports whether the control group has confirmed the state all the time for d, so that no change was missed.
func (s *State) followedFor(d time.Duration, now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.contact.heldFor(d, now, wallTime(now))
}

// apply applies a replicated state unless an equal or newer one is known, and reports whether it did. The version of
// the configuration never decreases.
func (s *State) apply(number uint64, set *catalog.Set, domainsOut []string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.revision {
		return false
	}
	s.revision = number
	if set != nil && (s.config == nil || set.Version > s.config.Version) {
		s.config = set
	}
	for d := range s.domainsOut {
		if !slices.Contains(domainsOut, d) {
			delete(s.domainsOut, d)
			s.domainsReturned[d] = now
		}
	}
	for _, d := range domainsOut {
		if _, ok := s.domainsOut[d]; !ok {
			s.domainsOut[d] = now
		}
		delete(s.domainsReturned, d)
	}
	s.notifyChange()
	return true
}

// DomainsOut returns the failure domains out of service.
func (s *State) DomainsOut() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Sorted(maps.Keys(s.domainsOut))
}

// Merge merges announcements and returns those that changed a server's record.
func (s *State) Merge(servers []directory.Server) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(servers)
}

// MergeDirect merges announcements that servers made directly to this VM and returns those that changed a record.
func (s *State) MergeDirect(servers ...directory.Server) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	updated := s.merge(servers)
	s.changes++
	for _, v := range servers {
		s.stamp(v.ID, stampAnnounced)
	}
	return updated
}

// merge is Merge with s.mu held.
func (s *State) merge(servers []directory.Server) []directory.Server {
	var updated []directory.Server
	for _, v := range servers {
		switch s.dir.Merge(v) {
		case directory.Changed:
			s.changes++
			s.stamp(v.ID, stampChanged, stampHeard)
			updated = append(updated, v)
		case directory.Refreshed:
			s.changes++
			s.stamp(v.ID, stampHeard)
		}
	}
	if len(updated) > 0 {
		s.notifyChange()
	}
	return updated
}

// Leave marks the incarnation of a server that was born at a time in Unix milliseconds as gone, and returns its record; 0 if none was known. It returns
// false and the record as it is if another incarnation has announced itself since.
func (s *State) Leave(id string, born int64, now time.Time) (directory.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.dir.Get(id); ok && v.Born != born {
		return v, false
	}
	v, c := s.dir.Leave(id, now)
	if c == directory.Changed {
		s.changes++
		s.stamp(id, stampChanged, stampHeard)
		s.notifyChange()
	}
	return v, true
}

// Expire drops the servers that have been silent for too long and returns them.
func (s *State) Expire(now time.Time) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.dir.Expire(now)
	s.holdoffs.Retain(func(id string) bool {
		_, known := s.dir.Get(id)
		return known
	}, now)
	s.expireLimits(now)
	s.expireWeights()
	for _, v := range gone {
		for _, m := range s.stamps {
			delete(m, v.ID)
		}
	}
	return gone
}

// MarkQuiet marks servers as quiet that were not heard from for some time, and returns them.
func (s *State) MarkQuiet(now time.Time) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := s.dir.Quieten(now)
	for _, v := range quiet {
		s.changes++
		s.stamp(v.ID, stampChanged)
	}
	if len(quiet) > 0 {
		s.notifyChange()
	}
	return quiet
}

// notifyChange closes the channel of Changed. s.mu must be held.
func (s *State) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wakeFollowers wakes follow streams for a change that is not part of the State.
func (s *State) wakeFollowers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChange()
}

// Changed returns a channel that is closed at the next change that followers must be sent before the next heartbeat.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
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

// IsServer reports whether an address is that of a backend server which has not left.
func (s *State) IsServer(address string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.dir.ByAddress(address)
	return ok && v.State != directory.Gone
}

// changedSince returns the servers whose stamp of a kind is later than count, and the count to pass next time.
func (s *State) changedSince(count uint64, kind stampKind) ([]directory.Server, uint64) {
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

// changedCount returns the change count of the latest change of a server.
func (s *State) changedCount() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lastChanged
}

// notHeardSince returns the ids of servers that were not heard of after count, and the count to pass next time.
func (s *State) notHeardSince(count uint64) ([]string, uint64) {
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

// refresh records that the servers ids, except the silent ones, were heard no earlier than heard.
func (s *State) refresh(ids map[string]bool, silent []string, heard time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range ids {
		if !slices.Contains(silent, id) {
			s.dir.Refresh(id, heard)
		}
	}
}

// all returns all server records and the current change count.
func (s *State) all() ([]directory.Server, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.dir.All(), s.changes
}

// mergeOwners records owners of stage calls with higher terms than those known.
func (s *State) mergeOwners(owners []stageowner.Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, o := range owners {
		if o.Term > s.owners[o.Service].Term {
			s.owners[o.Service], s.ownersSince[o.Service] = o, time.Now()
			changed = true
		}
	}
	if changed {
		close(s.ownersChanged)
		s.ownersChanged = make(chan struct{})
		s.notifyChange()
	}
}

// LearnOwner records an owner that another VM reported.
func (s *State) LearnOwner(o stageowner.Owner) { s.mergeOwners([]stageowner.Owner{o}) }

// StageOwner returns the owner of a service's stage calls, and a channel that is closed when any owner changes.
func (s *State) StageOwner(service string) (stageowner.Owner, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.owners[service], s.ownersChanged
}

// OwnerAt returns the owner of the stage calls of the server at an address; false when there is none.
func (s *State) OwnerAt(address string) (stageowner.Owner, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.dir.ByAddress(address)
	o := s.owners[v.Service]
	return o, ok && o.Address != ""
}

// UpdateEntries records the entry VMs that a control VM reported.
func (s *State) UpdateEntries(control string, added, removed []uint64, complete bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.update(control, added, removed, complete, now)
}

// touchEntries records that the entry VMs that a control VM reported are still valid.
func (s *State) touchEntries(control string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.touch(control, now)
}

// Entries returns the sorted ids of the entry VMs that share the system-wide limits; see EntryID.
func (s *State) Entries(now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries.all(now)
}

// entriesVersion returns a count that grows when the result of Entries may change.
func (s *State) entriesVersion() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.entries.changes
}
