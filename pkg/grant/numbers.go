package grant

import (
	"errors"
	"fmt"
	"math/rand/v2"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ErrUnknownNumber means that a request refers to a session or a number that the grantor doesn't know. The holder is to
// call EndSession and send its next request without a session.
var ErrUnknownNumber = errors.New("grant: unknown session or number")

// maxNumbersPerServer is how many announcements of one server, the latest ones, have valid numbers at a time.
const maxNumbersPerServer = 4

// numbers maps the numbers that a grantor uses in place of names in its messages to what they stand for. Numbers of an
// earlier process are never taken for those of this one, since session IDs are random.
type numbers struct {
	last          uint32
	sessions      map[uint64]*holder
	announcements map[uint32]numberedAnnouncement
	pools         map[uint32]string
}

// numberedAnnouncement is the part of an announcement that a number stands for.
type numberedAnnouncement struct {
	server      *server
	pool        string
	incarnation string
	revision    uint32
}

func newNumbers() *numbers {
	return &numbers{
		sessions:      make(map[uint64]*holder),
		announcements: make(map[uint32]numberedAnnouncement),
		pools:         make(map[uint32]string),
	}
}

// open returns the holder's session ID, and creates it if there is none. It is never 0.
func (n *numbers) open(h *holder, rng *rand.Rand) uint64 {
	for h.session == 0 {
		id := rng.Uint64()
		if n.sessions[id] == nil && id != 0 {
			h.session = id
			n.sessions[id] = h
		}
	}
	return h.session
}

// close ends the holder's session.
func (n *numbers) close(h *holder) { delete(n.sessions, h.session) }

// addPool assigns a number to a pool.
func (n *numbers) addPool(name string) uint32 {
	n.last++
	n.pools[n.last] = name
	return n.last
}

// add assigns a number to the server's current announcement; the oldest number may become invalid.
func (n *numbers) add(s *server) {
	n.last++
	n.announcements[n.last] = numberedAnnouncement{server: s, pool: s.ann.Pool, incarnation: s.ann.Incarnation, revision: s.revision}
	s.numbers = append(s.numbers, n.last)
	if len(s.numbers) > maxNumbersPerServer {
		delete(n.announcements, s.numbers[0])
		s.numbers = s.numbers[1:]
	}
}

// drop removes all numbers of a server.
func (n *numbers) drop(s *server) {
	for _, k := range s.numbers {
		delete(n.announcements, k)
	}
	s.numbers = nil
}

// renumber replaces all numbers of a server by a new one, so that the next request of each holder is refused and the
// one after it names the server and carries its warm-up progress.
func (n *numbers) renumber(s *server) {
	n.drop(s)
	n.add(s)
}

// resolve replaces the numbers of a request by what they stand for. It returns ErrUnknownNumber for an unknown one.
func (n *numbers) resolve(r *daisyhatchv1.AcquireRequest) error {
	if r.Session != 0 && n.sessions[r.Session] == nil {
		return fmt.Errorf("%w: session", ErrUnknownNumber)
	}
	for _, d := range r.Demands {
		if err := n.resolveDemand(d); err != nil {
			return err
		}
	}
	return n.unpackDemands(r)
}

// unpackDemands turns the compact lists of a request back into demands.
func (n *numbers) unpackDemands(r *daisyhatchv1.AcquireRequest) error {
	if len(r.Wants) != len(r.Pools) {
		return fmt.Errorf("%w: %d wants for %d pools", ErrUnknownNumber, len(r.Wants), len(r.Pools))
	}
	demands := make(map[string]*daisyhatchv1.PoolDemand, len(r.Pools))
	list := make([]*daisyhatchv1.PoolDemand, 0, len(r.Pools))
	for i, number := range r.Pools {
		d := &daisyhatchv1.PoolDemand{PoolNumber: number, Want: r.Wants[i]}
		if err := n.resolveDemand(d); err != nil {
			return err
		}
		demands[d.Pool] = d
		list = append(list, d)
	}
	for _, u := range r.Uses {
		d := demands[n.announcements[u.Number].pool]
		if d == nil {
			return fmt.Errorf("%w: announcement %d", ErrUnknownNumber, u.Number)
		}
		if err := n.resolveUse(u); err != nil {
			return err
		}
		d.Uses = append(d.Uses, u)
	}
	r.Demands = append(r.Demands, list...)
	r.Pools, r.Wants, r.Uses = nil, nil, nil
	return nil
}

func (n *numbers) resolveDemand(d *daisyhatchv1.PoolDemand) error {
	if d.PoolNumber != 0 {
		name, ok := n.pools[d.PoolNumber]
		if !ok {
			return fmt.Errorf("%w: pool %d", ErrUnknownNumber, d.PoolNumber)
		}
		d.Pool = name
	}
	for _, u := range d.Uses {
		if err := n.resolveUse(u); err != nil {
			return err
		}
	}
	return nil
}

func (n *numbers) resolveUse(u *daisyhatchv1.GrantUse) error {
	if u.Number == 0 {
		return nil
	}
	a, ok := n.announcements[u.Number]
	if !ok {
		return fmt.Errorf("%w: announcement %d", ErrUnknownNumber, u.Number)
	}
	u.Server, u.Incarnation, u.Revision = a.server.name, a.incarnation, a.revision
	return nil
}

// number returns the number of the server's current announcement.
func (s *server) number() uint32 { return s.numbers[len(s.numbers)-1] }

// recordLoad records that the answer to r is to give the holder the report l, and reports whether the holder has it
// already: it has applied an answer that contained l.
func (c *charge) recordLoad(l *daisyhatchv1.Load, r *daisyhatchv1.AcquireRequest) bool {
	if c.loadAt == 0 || c.load != l {
		c.load, c.loadAt = l, r.Sequence
	}
	return c.loadAt <= r.Applied
}

// recordWarmth records that the answer to r is to give the holder the progress w, and reports whether the holder has it
// already: it has applied an answer that contained w.
func (c *charge) recordWarmth(w warmth, r *daisyhatchv1.AcquireRequest) bool {
	if c.warmthAt == 0 || c.warmth != w {
		c.warmth, c.warmthAt = w, r.Sequence
	}
	return c.warmthAt <= r.Applied
}
