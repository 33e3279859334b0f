package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entriesKept is how long an entry VM counts after it was last told of: longer than a restart or a cut takes, since it
// may go on sending meanwhile.
const entriesKept = 60 * time.Second

// EntryID is an entry VM's id in the shares of bounds: the hash of its name. A VM hears of every other one, so that short
// ids keep what 300 VMs hear of 300 small.
func EntryID(vm string) uint64 { return xxhash.Sum64String(vm) }

// entryBook holds the entry VMs that control VMs told of. It isn't safe for concurrent use.
type entryBook struct {
	sources map[string]*entrySource
	// changes grows with each change of a source.
	changes uint64
	// list is the union at listed changes; it holds until expires.
	list    []uint64
	listed  uint64
	expires time.Time
}

// entrySource is what one control VM told.
type entrySource struct {
	ids map[uint64]bool
	at  time.Time
}

func newEntryBook() entryBook { return entryBook{sources: make(map[string]*entrySource)} }

// update takes over what a control VM told; complete means that it told of all.
func (b *entryBook) update(control string, added, removed []uint64, complete bool, now time.Time) {
	s := b.sources[control]
	if s == nil || complete {
		s = &entrySource{ids: make(map[uint64]bool, len(added))}
		b.sources[control] = s
	}
	for _, id := range added {
		s.ids[id] = true
	}
	for _, id := range removed {
		delete(s.ids, id)
	}
	s.at = now
	b.changes++
}

func (b *entryBook) heard(control string, now time.Time) {
	if s := b.sources[control]; s != nil {
		s.at = now
	}
}

// all returns the ids that any source told of within entriesKept, sorted. The list must not be changed.
func (b *entryBook) all(now time.Time) []uint64 {
	if b.listed == b.changes && now.Before(b.expires) {
		return b.list
	}
	union := make(map[uint64]bool)
	b.expires = now.Add(entriesKept)
	for control, s := range b.sources {
		if now.Sub(s.at) > entriesKept {
			delete(b.sources, control)
			continue
		}
		if end := s.at.Add(entriesKept); end.Before(b.expires) {
			b.expires = end
		}
		for id := range s.ids {
			union[id] = true
		}
	}
	b.list = make([]uint64, 0, len(union))
	for id := range union {
		b.list = append(b.list, id)
	}
	slices.Sort(b.list)
	b.listed = b.changes
	return b.list
}

// difference returns what must be added to and removed from the sorted list old to make it the sorted list now.
func difference(old, now []uint64) (added, removed []uint64) {
	i, k := 0, 0
	for i < len(old) || k < len(now) {
		switch {
		case k == len(now) || i < len(old) && old[i] < now[k]:
			removed = append(removed, old[i])
			i++
		case i == len(old) || now[k] < old[i]:
			added = append(added, now[k])
			k++
		default:
			i++
			k++
		}
	}
	return added, removed
}
