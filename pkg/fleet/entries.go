package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entrySourceTTL is how long the entry VMs reported by a control VM count after its last message while other control VMs are
// heard: longer than a restart or a network partition takes, since they may go on sending requests meanwhile.
const entrySourceTTL = 60 * time.Second

// EntryID returns an entry VM's id, used to share limits among entry VMs: a hash of its name. Every VM receives the
// ids of all others; short ids keep these lists small with 300 VMs.
func EntryID(vm string) uint64 { return xxhash.Sum64String(vm) }

// entryTable holds the entry VMs that control VMs reported. It isn't safe for concurrent use.
type entryTable struct {
	sources map[string]*entrySource
	// changes is incremented with each update of a source.
	changes uint64
	// list is the union of all sources when changes was listed; it is valid until expires.
	list    []uint64
	listed  uint64
	expires time.Time
}

// entrySource is the set of entry VMs that one control VM reported, and when it last sent a message.
type entrySource struct {
	ids       map[uint64]bool
	updatedAt time.Time
}

func newEntryTable() entryTable { return entryTable{sources: make(map[string]*entrySource)} }

// update records the entry VMs that a control VM reported. complete means that added is its full list.
func (t *entryTable) update(control string, added, removed []uint64, complete bool, now time.Time) {
	s := t.sources[control]
	if s == nil || complete {
		s = &entrySource{ids: make(map[uint64]bool, len(added))}
		t.sources[control] = s
	}
	for _, id := range added {
		s.ids[id] = true
	}
	for _, id := range removed {
		delete(s.ids, id)
	}
	s.updatedAt = now
	t.changes++
}

// touch records that the entry VMs that a control VM reported are still valid.
func (t *entryTable) touch(control string, now time.Time) {
	if s := t.sources[control]; s != nil {
		s.updatedAt = now
	}
}

// all returns the ids that any source reported, sorted. A source counts for entrySourceTTL longer than the one heard last,
// so that a VM that hears none any more keeps the list. The caller must not change the list.
func (t *entryTable) all(now time.Time) []uint64 {
	if t.listed == t.changes && now.Before(t.expires) {
		return t.list
	}
	union := make(map[uint64]bool)
	newest := time.Time{}
	for _, s := range t.sources {
		if s.updatedAt.After(newest) {
			newest = s.updatedAt
		}
	}
	t.expires = now.Add(entrySourceTTL)
	for control, s := range t.sources {
		if newest.Sub(s.updatedAt) > entrySourceTTL {
			delete(t.sources, control)
			continue
		}
		if end := s.updatedAt.Add(entrySourceTTL); end.After(now) && end.Before(t.expires) {
			t.expires = end
		}
		for id := range s.ids {
			union[id] = true
		}
	}
	t.list = make([]uint64, 0, len(union))
	for id := range union {
		t.list = append(t.list, id)
	}
	slices.Sort(t.list)
	t.listed = t.changes
	return t.list
}

// diffSorted returns the ids to add to and to remove from the sorted list old to obtain the sorted list updated.
func diffSorted(old, updated []uint64) (added, removed []uint64) {
	i, k := 0, 0
	for i < len(old) || k < len(updated) {
		switch {
		case k == len(updated) || i < len(old) && old[i] < updated[k]:
			removed = append(removed, old[i])
			i++
		case i == len(old) || updated[k] < old[i]:
			added = append(added, updated[k])
			k++
		default:
			i++
			k++
		}
	}
	return added, removed
}
