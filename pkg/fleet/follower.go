package fleet

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// Timeouts and intervals of a Follower.
const (
	// streamIdleTimeout is how long a stream may carry no message: three heartbeats.
	streamIdleTimeout = 3 * followHeartbeat
	// streamRetryDelay is the pause before a stream is opened again.
	streamRetryDelay = 100 * time.Millisecond
	// streamCheckInterval is how often the addresses to follow are checked, expiryInterval how often silent servers are
	// dropped.
	streamCheckInterval = 400 * time.Millisecond
	expiryInterval      = time.Second
	// steadyStreamAge is how long a stream must have been open before a server that is not reported on it counts as
	// silent.
	steadyStreamAge = 2 * refreshInterval
	// seedPatience is how long after its start an entry VM that knows only the seeds follows one of them. It learns of the
	// other control VMs from the first message; if all VMs start together and follow two seeds each, the other control VMs
	// have no followers.
	seedPatience = 500 * time.Millisecond
)

// errStreamIdle ends a stream that carried no message for streamIdleTimeout.
var errStreamIdle = errors.New("fleet: no message from the control VM")

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	VM          string
	Incarnation string
	Entry       bool
	Domain      string
	// PeerAddress is the peer address of a control VM, IP:port; empty on all other VMs.
	PeerAddress string
	State       *State
	Roster      *Roster
	Parse       ParseFunc
	// Suspects receives the requests during which several servers crashed. It is called on entry VMs only.
	Suspects SuspectsFunc
	// Rollouts keeps an entry VM's requests within the roll-outs in force.
	Rollouts *rollout.Holder
	HTTP     *http.Client
	Log      logr.Logger
}

// Follower keeps the VM's State up to date over streams from control VMs. A control VM follows all others, an entry
// VM streamsPerEntryVM of them.
type Follower struct {
	opts      FollowerOptions
	startedAt time.Time

	mu sync.Mutex
	// streams holds the streams by the address of their control VM.
	streams map[string]*followStream
	// avoidUntil is the time until which an address whose stream failed is passed over while there are others.
	avoidUntil map[string]time.Time
	// wake is signalled when a stream has ended.
	wake chan struct{}
}

// followStream is the stream from one control VM.
type followStream struct {
	cancel context.CancelFunc
	// startedAt is when the first attempt to open the stream began.
	startedAt time.Time
	// openedAt is when the stream was opened; zero while it is closed.
	openedAt time.Time
	// confirmedAt is when the control VM last said that the group confirms its state.
	confirmedAt time.Time
	// limitsReported is the count of limit news up to which the control VM was told this VM's own. Only reportLimits uses it.
	limitsReported uint64
	// originsReported is the count of streams up to which the control VM was told where they began. Only reportOrigins uses
	// it.
	originsReported uint64
	// serverIDs are the ids of the servers listed on the stream.
	serverIDs map[string]bool
}

// NewFollower returns a Follower.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{opts: o, startedAt: time.Now(), streams: make(map[string]*followStream), avoidUntil: make(map[string]time.Time), wake: make(chan struct{}, 1)}
}

// Run maintains the streams until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if f.opts.PeerAddress == "" {
		wg.Go(func() { f.reportLimits(ctx) })
	}
	if f.opts.Entry {
		wg.Go(func() { f.reportOrigins(ctx) })
		if f.opts.Rollouts != nil {
			wg.Go(func() { f.reportRollouts(ctx) })
		}
	}
	tick, expiry := time.NewTicker(streamCheckInterval), time.NewTicker(expiryInterval)
	defer tick.Stop()
	defer expiry.Stop()
	for {
		f.updateStreams(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-f.opts.Roster.wake:
		case <-f.wake:
		case <-tick.C:
		case <-expiry.C:
			f.expire()
		}
	}
}

// updateStreams opens the streams to the selected control VMs and closes all others.
func (f *Follower) updateStreams(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := f.wantedAddresses(now)
	for _, a := range wanted {
		if f.streams[a] != nil {
			continue
		}
		run, cancel := context.WithCancel(ctx)
		s := &followStream{cancel: cancel, startedAt: now}
		f.streams[a] = s
		wg.Go(func() { f.maintainStream(run, a, s) })
	}
	for a, s := range f.streams {
		if !slices.Contains(wanted, a) {
			s.cancel()
			delete(f.streams, a)
		}
	}
}

// wantedAddresses returns the addresses to follow now: at most one at the start, while only the seeds are known. f.mu must be
// held.
func (f *Follower) wantedAddresses(now time.Time) []string {
	wanted := f.selectAddresses(f.opts.Roster.Addresses(now), now)
	if f.opts.PeerAddress == "" && !f.opts.Roster.learned() && now.Sub(f.startedAt) < seedPatience {
		return wanted[:min(1, len(wanted))]
	}
	return wanted
}

// selectAddresses returns the addresses to follow, whether or not they were learned from a control VM. f.mu must be held.
func (f *Follower) selectAddresses(addresses []string, now time.Time) []string {
	if f.opts.PeerAddress != "" {
		return addresses
	}
	list, n := make([]streamState, 0, len(addresses)), streamsPerEntryVM
	if f.searching(now) {
		n++
	}
	for _, a := range addresses {
		s := streamState{address: a, backoff: max(0, f.avoidUntil[a].Sub(now))}
		if stream := f.streams[a]; stream != nil {
			// A stream without a message yet may give way to one that ranks higher, since streams are opened to seeds first.
			s.open = !stream.openedAt.IsZero()
			s.confirmed = !stream.openedAt.IsZero() && now.Sub(stream.confirmedAt) < confirmedFor
			s.failing = !s.confirmed && now.Sub(stream.startedAt) > unconfirmedTimeout && now.Sub(stream.confirmedAt) > unconfirmedTimeout
			s.backoff = 0
			if s.failing {
				f.avoidUntil[a], s.backoff = now.Add(failedStreamBackoff), failedStreamBackoff
			}
		}
		list = append(list, s)
	}
	return chooseStreams(f.opts.VM, list, n)
}

// searching reports whether a stream has been open for confirmedFor, and the group has confirmed the state of no followed
// control VM for that time. f.mu must be held.
func (f *Follower) searching(now time.Time) bool {
	steady := false
	for _, s := range f.streams {
		if s.openedAt.IsZero() {
			continue
		}
		if now.Sub(s.confirmedAt) < confirmedFor {
			return false
		}
		steady = steady || now.Sub(s.openedAt) >= confirmedFor
	}
	return steady
}

// expire drops servers that fell silent, if a stream has been open long enough to have reported them.
func (f *Follower) expire() {
	now := time.Now()
	f.mu.Lock()
	steady := false
	for _, s := range f.streams {
		steady = steady || !s.openedAt.IsZero() && now.Sub(s.openedAt) >= steadyStreamAge
	}
	f.mu.Unlock()
	if !steady || f.opts.PeerAddress != "" {
		return
	}
	for _, v := range f.opts.State.Expire(now) {
		f.opts.Log.Info("server fell silent", "server", v.ID, "service", v.Service, "address", v.Address)
	}
}

// maintainStream keeps the stream to one control VM open. A control VM reopens it until ctx ends; an entry VM drops
// it once it fails and selects another control VM.
func (f *Follower) maintainStream(ctx context.Context, address string, s *followStream) {
	for ctx.Err() == nil {
		err := f.runStream(ctx, address, s)
		f.mu.Lock()
		lost := !s.openedAt.IsZero()
		s.openedAt = time.Time{}
		dropped := f.opts.PeerAddress == "" && f.streams[address] == s
		if dropped {
			delete(f.streams, address)
			f.avoidUntil[address] = time.Now().Add(failedStreamBackoff)
		}
		f.mu.Unlock()
		if lost && ctx.Err() == nil {
			f.opts.Log.Info("control VM lost", "control", address, "reason", errorText(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryDelay):
		}
		if dropped {
			s.cancel()
			f.signal()
			return
		}
	}
}

// signal makes Run check the streams now.
func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// runStream opens a stream and applies its messages until it ends or carries none for streamIdleTimeout.
func (f *Follower) runStream(ctx context.Context, address string, s *followStream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(streamIdleTimeout, func() { cancel(errStreamIdle) })
	defer watchdog.Stop()
	req := &daisyhatchv1.FollowRequest{
		Vm: f.opts.VM, Incarnation: f.opts.Incarnation, Entry: f.opts.Entry, FailureDomain: f.opts.Domain,
		PeerAddress: f.opts.PeerAddress, TakesPacked: true,
	}
	if known := f.opts.State.Catalog(); known != nil {
		req.KnownVersion = known.Version
	}
	// What is large comes packed; compressing it again for each stream would take the control VM's processor time for nothing.
	client := daisyhatchv1connect.NewFleetServiceClient(f.opts.HTTP, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
	stream, err := client.Follow(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer func() {
		// The stream is discarded; an error on closing it has no further meaning.
		_ = stream.Close()
	}()
	for stream.Receive() {
		watchdog.Reset(streamIdleTimeout)
		if err := unpackMessage(stream.Msg()); err != nil {
			return err
		}
		f.noteMessage(address, s, stream.Msg().GetCurrent())
		f.applyMessage(address, stream.Msg())
		f.refreshServers(s, stream.Msg(), time.Now())
	}
	return errors.Join(context.Cause(ctx), stream.Err())
}

// noteMessage records that a message arrived; current is whether the control VM's state is confirmed.
func (f *Follower) noteMessage(address string, s *followStream, current bool) {
	now := time.Now()
	f.mu.Lock()
	opened := s.openedAt.IsZero()
	if opened {
		s.openedAt = now
	}
	if current {
		s.confirmedAt = now
	}
	f.mu.Unlock()
	if opened {
		f.opts.Log.Info("control VM found", "control", address)
		f.opts.State.limitNews.signal()
	}
}

// refreshServers keeps alive the servers listed on the stream that the control VM still hears, since a refresh names
// only the silent ones. Only the stream's own goroutine uses s.serverIDs.
func (f *Follower) refreshServers(s *followStream, m *daisyhatchv1.FollowResponse, now time.Time) {
	if m.GetComplete() || s.serverIDs == nil {
		s.serverIDs = make(map[string]bool)
	}
	for _, v := range m.GetServers() {
		s.serverIDs[v.GetId()] = true
	}
	if !m.GetRefresh() {
		return
	}
	f.opts.State.refresh(s.serverIDs, m.GetSilent(), now.Add(-time.Duration(m.GetRefreshMs())*time.Millisecond))
}

// applyMessage merges one message into the State.
func (f *Follower) applyMessage(address string, m *daisyhatchv1.FollowResponse) {
	now := time.Now()
	state := f.opts.State
	f.opts.Roster.Add(append(m.GetControlAddresses(), address), now)
	if m.GetEntriesComplete() || len(m.GetEntriesAdded())+len(m.GetEntriesRemoved()) > 0 {
		state.UpdateEntries(address, m.GetEntriesAdded(), m.GetEntriesRemoved(), m.GetEntriesComplete(), now)
	} else {
		state.touchEntries(address, now)
	}
	servers := serversFromWire(m.GetServers(), now)
	f.logReplaced(servers)
	state.Merge(servers)
	if m.GetComplete() {
		state.noteListed()
	}
	logLimits(f.opts.Log, state.mergeLimits(limitsFromWire(m.GetLimits(), now), false), address, now)
	state.mergeWeights(weightsFromWire(m.GetWeights()), false)
	if f.opts.PeerAddress != "" {
		// A control VM's replicated state comes from its own log.
		return
	}
	if v := m.GetSuspectsVersion(); v > 0 {
		f.opts.Suspects(v, m.GetSuspects())
	}
	f.updateRollouts(m.GetRollouts())
	owners := make([]stageowner.Owner, 0, len(m.GetStageOwners()))
	for _, o := range m.GetStageOwners() {
		owners = append(owners, stageowner.FromWire(o))
	}
	state.mergeOwners(owners)
	if m.GetNumber() > state.Number() && !f.applyRevision(m, now) {
		return
	}
	if m.GetCurrent() {
		state.confirm(now)
	}
}

// logReplaced logs the servers of which another incarnation is known than those announced now, and those at whose address
// another server is known.
func (f *Follower) logReplaced(servers []directory.Server) {
	for _, v := range servers {
		former, known := f.opts.State.Server(v.ID)
		if !known {
			former, known = f.opts.State.ServerAt(v.Address)
		}
		if known && former.Born < v.Born && former.Born != 0 {
			f.opts.Log.Info("server replaced", "server", former.ID, "incarnation", former.Incarnation(), "address", v.Address,
				"by", v.ID, "by_incarnation", v.Incarnation())
		}
	}
}

// applyRevision applies a newer replicated state. It returns false if the document is missing or can't be parsed.
func (f *Follower) applyRevision(m *daisyhatchv1.FollowResponse, now time.Time) bool {
	var set *catalog.Set
	known := f.opts.State.Catalog()
	if m.GetVersion() > 0 && (known == nil || known.Version < m.GetVersion()) {
		if len(m.GetDocument()) == 0 {
			return false
		}
		var err error
		if set, err = f.opts.Parse(m.GetDocument()); err != nil {
			f.opts.Log.Error(err, "configuration in force can't be read; the former one stays in use here", "version", m.GetVersion())
			return false
		}
	}
	if f.opts.State.apply(m.GetNumber(), set, m.GetDomainsOut(), now) {
		logInForce(f.opts.Log, m.GetNumber(), m.GetVersion(), m.GetDomainsOut(), set)
	}
	return true
}

// Connected reports whether a stream to a control VM is open.
func (f *Follower) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if !s.openedAt.IsZero() {
			return true
		}
	}
	return false
}
