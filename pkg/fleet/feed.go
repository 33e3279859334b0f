package fleet

import (
	"context"
	"maps"
	"slices"
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
	f := &feed{control: c, refresh: refreshInterval, peer: req.Msg.GetPeerAddress() != ""}
	if f.peer {
		f.refresh = peerRefreshInterval
	}
	tick := time.NewTicker(followHeartbeat)
	defer tick.Stop()
	for {
		changed := c.opts.State.Changed()
		if err := stream.Send(f.next(time.Now())); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(followBatch):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-tick.C:
		}
	}
}

// followerKept is how long an entry VM counts after its streams ended, since one that was cut off goes on sending.
const followerKept = 30 * time.Second

func (c *Control) addFollower(r *daisyhatchv1.FollowRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.followers[r.GetVm()]
	f.streams++
	c.followers[r.GetVm()] = f
}

func (c *Control) dropFollower(r *daisyhatchv1.FollowRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.followers[r.GetVm()]
	f.streams--
	f.left = time.Now()
	c.followers[r.GetVm()] = f
}

// entries returns the names of the entry VMs that share the work.
func (c *Control) entries(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for vm, f := range c.followers {
		if f.streams <= 0 && now.Sub(f.left) > followerKept {
			delete(c.followers, vm)
		}
	}
	return slices.Sorted(maps.Keys(c.followers))
}

// feed is what one follower has been told.
type feed struct {
	control *Control
	refresh time.Duration
	peer    bool
	started bool
	number  uint64
	version uint64
	count   uint64
	heard   uint64
	heardAt time.Time
	// addresses, entries and rosterAt are what was told of the VMs, and when.
	addresses []string
	entries   []string
	rosterAt  time.Time
}

// fillRoster adds the VMs' names when they changed, and from time to time.
func (f *feed) fillRoster(m *daisyhatchv1.FollowResponse, now time.Time) {
	addresses, entries := f.control.controlAddresses(now), f.control.entries(now)
	if slices.Equal(addresses, f.addresses) && slices.Equal(entries, f.entries) && now.Sub(f.rosterAt) < rosterRefresh {
		return
	}
	f.addresses, f.entries, f.rosterAt = addresses, entries, now
	m.ControlAddresses, m.Entries = addresses, entries
}

func (f *feed) next(now time.Time) *daisyhatchv1.FollowResponse {
	c := f.control
	view, _ := c.opts.Machine.View()
	r := view.Revision
	m := &daisyhatchv1.FollowResponse{Number: r.Number, Version: r.Version, Current: c.isCurrent(now), SteadyMs: c.steadyFor(now).Milliseconds()}
	if !f.started || r.Number != f.number {
		m.DomainsOut = r.DomainsOut
	}
	f.fillRoster(m, now)
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
		f.started, f.count, f.heard, f.heardAt = true, count, count, now
	case now.Sub(f.heardAt) >= f.refresh && f.peer:
		servers, count := state.since(min(f.heard, f.count), true)
		m.Servers = allToWire(servers, now)
		f.count, f.heard, f.heardAt = count, count, now
	case now.Sub(f.heardAt) >= f.refresh:
		servers, count := state.since(f.count, false)
		m.Servers = allToWire(servers, now)
		m.Refresh, m.RefreshMs = true, now.Sub(f.heardAt).Milliseconds()
		m.Silent, f.heard = state.unheard(f.heard)
		f.count, f.heardAt = count, now
	default:
		servers, count := state.since(f.count, false)
		m.Servers = allToWire(servers, now)
		f.count = count
	}
}
