package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Follow implements FleetService: it streams what this VM knows, first whole, then changes, and a heartbeat at least
// every followHeartbeat.
func (c *Control) Follow(
	ctx context.Context, req *connect.Request[daisyhatchv1.FollowRequest],
	stream *connect.ServerStream[daisyhatchv1.FollowResponse],
) error {
	if req.Msg.GetEntry() {
		c.addFollower(req.Msg)
		defer c.dropFollower(req.Msg)
	}
	if a := req.Msg.GetPeerAddress(); a != "" {
		c.opts.Roster.Name([]string{a}, time.Now())
	}
	f, pause := &feed{control: c, refresh: refreshInterval, peer: req.Msg.GetPeerAddress() != ""}, followBatch
	if f.peer {
		f.refresh, pause = peerRefreshInterval, peerBatch
	}
	tick := time.NewTicker(followHeartbeat)
	defer tick.Stop()
	for {
		changed := c.opts.State.Changed()
		if err := c.tell(ctx, f, stream); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-tick.C:
		}
	}
}

const (
	// joinsAtOnce is how many followers are told of all servers at the same time: 3,000 servers take about 2.5 MB for each
	// while they are encoded, and 300 VMs may start together.
	joinsAtOnce = 4
	// joinPatience is how long one that takes its first message slowly keeps others waiting.
	joinPatience = 500 * time.Millisecond
)

// tell sends the next message. First messages are sent a few at a time.
func (c *Control) tell(ctx context.Context, f *feed, stream *connect.ServerStream[daisyhatchv1.FollowResponse]) error {
	if f.started {
		return stream.Send(f.next(time.Now()))
	}
	leave, err := c.admitJoin(ctx)
	if err != nil {
		return err
	}
	defer leave()
	return stream.Send(f.next(time.Now()))
}

// admitJoin waits until a follower may be told of all servers. leave, or joinPatience, lets the next one in.
func (c *Control) admitJoin(ctx context.Context) (leave func(), err error) {
	select {
	case c.joins <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	free := sync.OnceFunc(func() { <-c.joins })
	late := time.AfterFunc(joinPatience, free)
	return func() {
		late.Stop()
		free()
	}, nil
}

// followerKept is how long an entry VM counts after its streams ended, since one that was cut off goes on sending.
const followerKept = 30 * time.Second

func (c *Control) addFollower(r *daisyhatchv1.FollowRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := EntryID(r.GetVm())
	f, known := c.followers[id]
	f.streams++
	c.followers[id] = f
	if !known {
		c.following++
	}
}

func (c *Control) dropFollower(r *daisyhatchv1.FollowRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := EntryID(r.GetVm())
	f := c.followers[id]
	f.streams--
	f.left = time.Now()
	c.followers[id] = f
}

// expireFollowers forgets entry VMs whose streams ended long ago.
func (c *Control) expireFollowers(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, f := range c.followers {
		if f.streams <= 0 && now.Sub(f.left) > followerKept {
			delete(c.followers, id)
			c.following++
		}
	}
}

// entries returns the entry VMs that a follower hears of, sorted: those that follow this VM, and for entry VMs those that
// follow the other control VMs too. The count grows with each change.
func (c *Control) entries(peer bool, now time.Time) (ids []uint64, count uint64) {
	c.mu.Lock()
	ids = slices.Sorted(maps.Keys(c.followers))
	count = c.following
	c.mu.Unlock()
	if peer {
		return ids, count
	}
	ids = append(ids, c.opts.State.Entries(now)...)
	slices.Sort(ids)
	return slices.Compact(ids), count + c.opts.State.entriesChange()
}

func (c *Control) entriesCount(peer bool) uint64 {
	c.mu.Lock()
	count := c.following
	c.mu.Unlock()
	if !peer {
		count += c.opts.State.entriesChange()
	}
	return count
}

// feed is what one follower has been told.
type feed struct {
	control *Control
	refresh time.Duration
	peer    bool
	started bool
	number  uint64
	version uint64
	owners  uint64
	// suspects is the version of the list of suspects that was told.
	suspects uint64
	// count, direct and heard are up to which change count it was told of changes, of announcements to this VM, and of all
	// that was heard; heardAt and allAt are when it was told of the latter two.
	count   uint64
	direct  uint64
	heard   uint64
	heardAt time.Time
	allAt   time.Time
	// addresses and rosterAt are what was told of the control VMs, and when.
	addresses []string
	rosterAt  time.Time
	// entries are the entry VMs told of, at the count entriesCount; entriesAt is when, zero before the first time.
	entries      []uint64
	entriesCount uint64
	entriesAt    time.Time
}

// fillRoster adds the control VMs when they changed, and from time to time.
func (f *feed) fillRoster(m *daisyhatchv1.FollowResponse, now time.Time) {
	addresses := f.control.controlAddresses(now)
	if slices.Equal(addresses, f.addresses) && now.Sub(f.rosterAt) < rosterRefresh {
		return
	}
	f.addresses, f.rosterAt = addresses, now
	m.ControlAddresses = addresses
}

// fillEntries adds which entry VMs came and went.
func (f *feed) fillEntries(m *daisyhatchv1.FollowResponse, now time.Time) {
	c := f.control
	first := f.entriesAt.IsZero()
	if now.Sub(c.started) < entriesSettle && !f.peer || now.Sub(f.entriesAt) < entriesInterval ||
		!first && c.entriesCount(f.peer) == f.entriesCount {
		return
	}
	ids, count := c.entries(f.peer, now)
	m.EntriesAdded, m.EntriesRemoved = difference(f.entries, ids)
	m.EntriesComplete = first
	f.entries, f.entriesCount, f.entriesAt = ids, count, now
}

func (f *feed) next(now time.Time) *daisyhatchv1.FollowResponse {
	c := f.control
	view, _ := c.opts.Machine.View()
	r := view.Revision
	m := &daisyhatchv1.FollowResponse{Number: r.Number, Version: r.Version, Current: c.isCurrent(now)}
	if !f.started || r.Number != f.number {
		m.DomainsOut = r.DomainsOut
	}
	if n := view.StageOwnersNumber; n != f.owners {
		f.owners = n
		for _, o := range view.StageOwners {
			m.StageOwners = append(m.StageOwners, o.ToWire())
		}
	}
	if v := view.SuspectsVersion; v != f.suspects && !f.peer {
		f.suspects, m.SuspectsVersion, m.Suspects = v, v, sharedSuspects(view.Suspects)
	}
	f.fillRoster(m, now)
	f.fillEntries(m, now)
	if r.Version > f.version {
		m.Document = r.Document
	}
	f.number, f.version = r.Number, r.Version
	f.fillServers(m, now)
	return m
}

// fillServers adds what the follower must hear of the servers: all at first, then changes, and from time to time which ones
// were heard. Control VMs hear that of each server with its age, entry VMs only who was silent.
func (f *feed) fillServers(m *daisyhatchv1.FollowResponse, now time.Time) {
	state := f.control.opts.State
	switch {
	case !f.started:
		servers, count := state.all()
		m.Servers, m.Complete = allToWire(servers, now), true
		f.started, f.count, f.direct, f.heard, f.heardAt, f.allAt = true, count, count, count, now, now
	case now.Sub(f.heardAt) >= f.refresh && f.peer:
		from, stamp := f.direct, stampAnnounced
		if now.Sub(f.allAt) >= peerRelayInterval {
			from, stamp = f.heard, stampHeard
		}
		servers, count := state.since(f.count, stampChanged)
		more, _ := state.since(from, stamp)
		m.Servers = allToWire(append(servers, more...), now)
		f.count, f.direct, f.heardAt = count, count, now
		if stamp == stampHeard {
			f.heard, f.allAt = count, now
		}
	case now.Sub(f.heardAt) >= f.refresh:
		servers, count := state.since(f.count, stampChanged)
		m.Servers = allToWire(servers, now)
		m.Refresh, m.RefreshMs = true, now.Sub(f.heardAt).Milliseconds()
		m.Silent, f.heard = state.unheard(f.heard)
		f.count, f.heardAt = count, now
	default:
		servers, count := state.since(f.count, stampChanged)
		m.Servers = allToWire(servers, now)
		f.count = count
	}
}
