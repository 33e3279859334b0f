package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
)

// Follow implements FleetService. It streams what this VM knows: everything in the first message, then changes, and a
// heartbeat at least every followHeartbeat.
func (c *Control) Follow(
	ctx context.Context, req *connect.Request[daisyhatchv1.FollowRequest],
	stream *connect.ServerStream[daisyhatchv1.FollowResponse],
) error {
	if req.Msg.GetEntry() {
		c.addFollowerStream(req.Msg)
		defer c.removeFollowerStream(req.Msg)
	}
	if a := req.Msg.GetPeerAddress(); a != "" {
		c.opts.Roster.Add([]string{a}, time.Now())
	}
	f, pause := &feed{
		control: c, refresh: refreshInterval, peer: req.Msg.GetPeerAddress() != "", packed: req.Msg.GetTakesPacked(), configVersion: req.Msg.GetKnownVersion(),
	}, entryBatchDelay
	if f.peer {
		f.refresh, pause = peerRefreshInterval, peerBatchDelay
	}
	tick := time.NewTicker(followHeartbeat)
	defer tick.Stop()
	for {
		changed := c.opts.State.Changed()
		if err := c.sendNext(ctx, f, stream); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		if f.behind() {
			continue
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
	// maxConcurrentSnapshots is how many followers are sent all servers at the same time: encoding 3,000 servers
	// takes about 2.5 MB for each, and 300 VMs may start together.
	maxConcurrentSnapshots = 4
	// snapshotSlotTimeout is how long a follower that reads its first message slowly keeps others waiting.
	snapshotSlotTimeout = 500 * time.Millisecond
)

// sendNext sends the next message. One with all servers needs a snapshot slot unless its encoding is shared; a follower that waits
// for one is sent the rest meanwhile, so that it knows that the stream works and what the control group confirmed.
func (c *Control) sendNext(ctx context.Context, f *feed, stream *connect.ServerStream[daisyhatchv1.FollowResponse]) error {
	if f.snapshotSent || f.packed && !f.peer {
		return stream.Send(f.next(time.Now()))
	}
	release, err := c.awaitSnapshotSlot(ctx, func() error { return stream.Send(f.nextWhileWaiting(time.Now())) })
	if err != nil {
		return err
	}
	defer release()
	return stream.Send(f.next(time.Now()))
}

// awaitSnapshotSlot waits for a snapshot slot and calls meanwhile each followHeartbeat until then.
func (c *Control) awaitSnapshotSlot(ctx context.Context, meanwhile func() error) (release func(), err error) {
	for {
		wait, cancel := context.WithTimeout(ctx, followHeartbeat)
		release, err := c.acquireSnapshotSlot(wait)
		cancel()
		if err == nil || ctx.Err() != nil {
			return release, err
		}
		if err := meanwhile(); err != nil {
			return nil, err
		}
	}
}

// acquireSnapshotSlot waits for a snapshot slot. The slot is freed by release, or after snapshotSlotTimeout.
func (c *Control) acquireSnapshotSlot(ctx context.Context) (release func(), err error) {
	select {
	case c.snapshotSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	free := sync.OnceFunc(func() { <-c.snapshotSlots })
	timer := time.AfterFunc(snapshotSlotTimeout, free)
	return func() {
		timer.Stop()
		free()
	}, nil
}

// followerTTL is how long an entry VM still counts after its streams ended, since one that was cut off goes on
// sending requests.
const followerTTL = 30 * time.Second

// addFollowerStream records that an entry VM opened a stream.
func (c *Control) addFollowerStream(r *daisyhatchv1.FollowRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := EntryID(r.GetVm())
	f, known := c.followers[id]
	f.streams++
	c.followers[id] = f
	if !known {
		c.followersVersion++
	}
}

// removeFollowerStream records that a stream of an entry VM ended.
func (c *Control) removeFollowerStream(r *daisyhatchv1.FollowRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := EntryID(r.GetVm())
	f := c.followers[id]
	f.streams--
	f.endedAt = time.Now()
	c.followers[id] = f
}

// expireFollowers removes entry VMs whose streams ended more than followerTTL ago.
func (c *Control) expireFollowers(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, f := range c.followers {
		if f.streams <= 0 && now.Sub(f.endedAt) > followerTTL {
			delete(c.followers, id)
			c.followersVersion++
		}
	}
}

// entryIDs returns the ids of the entry VMs to send to a follower, sorted: those that follow this VM, and for entry
// VMs also those that follow the other control VMs. count grows with each change.
func (c *Control) entryIDs(peer bool, now time.Time) (ids []uint64, count uint64) {
	c.mu.Lock()
	ids = slices.Sorted(maps.Keys(c.followers))
	count = c.followersVersion
	c.mu.Unlock()
	if peer {
		return ids, count
	}
	ids = append(ids, c.opts.State.Entries(now)...)
	slices.Sort(ids)
	return slices.Compact(ids), count + c.opts.State.entriesVersion()
}

// entryIDsVersion returns the count of entryIDs without the list.
func (c *Control) entryIDsVersion(peer bool) uint64 {
	c.mu.Lock()
	count := c.followersVersion
	c.mu.Unlock()
	if !peer {
		count += c.opts.State.entriesVersion()
	}
	return count
}

// feed is the state of one follow stream: what the follower has been sent.
type feed struct {
	control *Control
	// refresh is the time between two messages that tell which servers are alive.
	refresh time.Duration
	// peer is true if the follower is a control VM.
	peer bool
	// packed is true if the follower takes servers and the document packed.
	packed bool
	// snapshotSent is true once the first message was made.
	snapshotSent bool
	// revision, configVersion, ownersVersion, suspectsVersion and rolloutsVersion are the versions last sent of the replicated
	// state, the configuration, the owners of stage calls, the list of suspects and the roll-outs.
	revision        uint64
	configVersion   uint64
	ownersVersion   uint64
	suspectsVersion uint64
	rolloutsVersion uint64
	// count, announcedCount and heardCount are the change counts up to which the follower was sent changed servers,
	// servers that announced themselves to this VM, and all servers heard of. refreshedAt is when it was last told which servers
	// are alive, and relayedAt when it was last sent all servers heard of.
	count          uint64
	announcedCount uint64
	heardCount     uint64
	refreshedAt    time.Time
	relayedAt      time.Time
	// limitsCount is the count of limit news up to which the follower was told.
	limitsCount uint64
	// weightsCount is the same for weights.
	weightsCount uint64
	// addresses are the control VMs last sent, and rosterAt is when.
	addresses []string
	rosterAt  time.Time
	// entryIDs are the entry VMs last sent and entryIDsVersion is their count from entryIDs; entriesAt is when they
	// were sent, zero before the first time.
	entryIDs        []uint64
	entryIDsVersion uint64
	entriesAt       time.Time
}

// fillLimits adds the limits of servers that the follower wasn't told yet. Control VMs tell one another only what entry VMs
// reported to them, or what they learned from answers, but in the first message all.
func (f *feed) fillLimits(m *daisyhatchv1.FollowResponse, now time.Time) {
	limits, count := f.control.opts.State.limitsSince(f.limitsCount, f.peer && f.snapshotSent)
	m.Limits, f.limitsCount = limitsToWire(limits, now), count
}

// fillRoster adds the control VMs if they changed, and every rosterRefreshInterval.
func (f *feed) fillRoster(m *daisyhatchv1.FollowResponse, now time.Time) {
	addresses := f.control.controlAddresses(now)
	if slices.Equal(addresses, f.addresses) && now.Sub(f.rosterAt) < rosterRefreshInterval {
		return
	}
	f.addresses, f.rosterAt = addresses, now
	m.ControlAddresses = addresses
}

// fillEntries adds the entry VMs that were added or removed since the last message.
func (f *feed) fillEntries(m *daisyhatchv1.FollowResponse, now time.Time) {
	c := f.control
	first := f.entriesAt.IsZero()
	if now.Sub(c.started) < entriesStartupDelay && !f.peer || now.Sub(f.entriesAt) < entriesInterval ||
		!first && c.entryIDsVersion(f.peer) == f.entryIDsVersion {
		return
	}
	ids, count := c.entryIDs(f.peer, now)
	m.EntriesAdded, m.EntriesRemoved = diffSorted(f.entryIDs, ids)
	m.EntriesComplete = first
	f.entryIDs, f.entryIDsVersion, f.entriesAt = ids, count, now
}

// next returns the next message to the follower and records its content as sent.
func (f *feed) next(now time.Time) *daisyhatchv1.FollowResponse {
	m := f.nextWithoutServers(now)
	f.fillServers(m, now)
	return m
}

// nextWhileWaiting is next for a message before the one with all servers. An entry VM without servers must not take itself for current.
func (f *feed) nextWhileWaiting(now time.Time) *daisyhatchv1.FollowResponse {
	m := f.nextWithoutServers(now)
	m.Current = m.Current && f.peer
	return m
}

// nextWithoutServers is next for a message that leaves servers out.
func (f *feed) nextWithoutServers(now time.Time) *daisyhatchv1.FollowResponse {
	c := f.control
	view, _ := c.opts.Machine.View()
	r := view.Revision
	m := &daisyhatchv1.FollowResponse{Number: r.Number, Version: r.Version, Current: c.recentlyConfirmed(now)}
	if !f.snapshotSent || r.Number != f.revision {
		m.DomainsOut = r.DomainsOut
	}
	if n := view.StageOwnersNumber; n != f.ownersVersion {
		f.ownersVersion = n
		for _, o := range view.StageOwners {
			m.StageOwners = append(m.StageOwners, o.ToWire())
		}
	}
	if v := view.SuspectsVersion; v != f.suspectsVersion && !f.peer {
		f.suspectsVersion, m.SuspectsVersion, m.Suspects = v, v, sharedSuspects(view.Suspects)
	}
	if n := view.RolloutsNumber; n != f.rolloutsVersion && !f.peer {
		f.rolloutsVersion, m.RolloutsVersion, m.Rollouts = n, n, view.Rollouts
	}
	f.fillRoster(m, now)
	f.fillEntries(m, now)
	f.fillLimits(m, now)
	f.fillWeights(m)
	switch {
	case f.peer || r.Version <= f.configVersion:
	case f.packed:
		m.DocumentGzip = c.packer.packDocument(r.Version, r.Document)
	default:
		m.Document = r.Document
	}
	f.revision, f.configVersion = r.Number, max(r.Version, f.configVersion)
	return m
}

// fillServers adds servers: all in the first message that has any, then those that changed, and every f.refresh which ones are
// alive. Control VMs are sent each live server with its age, entry VMs only the ids of silent ones.
func (f *feed) fillServers(m *daisyhatchv1.FollowResponse, now time.Time) {
	state := f.control.opts.State
	switch {
	case f.packed && !f.peer && f.control.withholdsServers(now):
	case f.packed && !f.peer:
		f.fillPacked(m, now)
	case !f.snapshotSent:
		servers, count := state.all()
		f.setServers(m, servers, now)
		m.Complete = true
		f.snapshotSent, f.count, f.announcedCount, f.heardCount, f.refreshedAt, f.relayedAt = true, count, count, count, now, now
	case now.Sub(f.refreshedAt) >= f.refresh && f.peer:
		from, stamp := f.announcedCount, stampAnnounced
		if now.Sub(f.relayedAt) >= peerRelayInterval {
			from, stamp = f.heardCount, stampHeard
		}
		servers, count := state.changedSince(f.count, stampChanged)
		more, _ := state.changedSince(from, stamp)
		f.setServers(m, append(servers, more...), now)
		f.count, f.announcedCount, f.refreshedAt = count, count, now
		if stamp == stampHeard {
			f.heardCount, f.relayedAt = count, now
		}
	case now.Sub(f.refreshedAt) >= f.refresh:
		servers, count := state.changedSince(f.count, stampChanged)
		m.Servers = serversToWire(servers, now)
		m.Refresh, m.RefreshMs = true, now.Sub(f.refreshedAt).Milliseconds()
		m.Silent, f.heardCount = state.notHeardSince(f.heardCount)
		f.count, f.refreshedAt = count, now
	default:
		servers, count := state.changedSince(f.count, stampChanged)
		m.Servers = serversToWire(servers, now)
		f.count = count
	}
}

// setServers adds servers to a message of a stream that doesn't share its encoding: many are packed for a control VM that takes
// them so.
func (f *feed) setServers(m *daisyhatchv1.FollowResponse, servers []directory.Server, now time.Time) {
	if f.packed && len(servers) >= packPeersFrom {
		m.PackedServers = []*daisyhatchv1.PackedServers{{ListGzip: packServers(servers, now)}}
		return
	}
	m.Servers = serversToWire(servers, now)
}

// fillPacked is fillServers for an entry VM that takes servers packed.
func (f *feed) fillPacked(m *daisyhatchv1.FollowResponse, now time.Time) {
	if f.snapshotSent {
		if list, count, ok := f.control.packer.changesSince(f.count, now); ok {
			m.PackedServers, f.count = list, count
			if now.Sub(f.refreshedAt) >= f.refresh {
				m.Refresh, m.RefreshMs = true, now.Sub(f.refreshedAt).Milliseconds()
				m.Silent, f.heardCount = f.control.opts.State.notHeardSince(f.heardCount)
				f.refreshedAt = now
			}
			return
		}
	}
	all := f.control.packer.everything(now)
	m.PackedServers, m.Complete = all.list, true
	f.snapshotSent, f.count, f.heardCount, f.refreshedAt = true, all.next, all.heard, all.at
}

// behind reports whether servers changed that the last message left out.
func (f *feed) behind() bool {
	return f.packed && f.snapshotSent && !f.peer && f.control.opts.State.changedCount() > f.count
}
