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
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// Times of following.
const (
	// followSilence is how long a stream may say nothing: three of its heartbeats.
	followSilence = 3 * followHeartbeat
	// followRetry is the pause before a stream is opened again.
	followRetry = 100 * time.Millisecond
	// rosterInterval is the time between two looks at the addresses.
	rosterInterval = time.Second
	// steadySource is how long a stream must have been open until its silence about a server says something.
	steadySource = 2 * refreshInterval
)

// errSilent ends a stream that said nothing for followSilence.
var errSilent = errors.New("fleet: control VM is silent")

// FollowerOptions are what a Follower is made from.
type FollowerOptions struct {
	VM          string
	Incarnation string
	Entry       bool
	Domain      string
	// PeerAddress is set on control VMs.
	PeerAddress string
	State       *State
	Roster      *Roster
	Parse       Parse
	// Suspects is told of the requests under which several servers ended; an entry VM's.
	Suspects Suspects
	HTTP     *http.Client
	Log      logr.Logger
}

// Follower follows control VMs and keeps the VM's State up to date: a control VM all others, an entry VM followStreams of
// them.
type Follower struct {
	opts FollowerOptions

	mu      sync.Mutex
	sources map[string]*follow
	// avoided is until when an address that failed is left out while there are others.
	avoided map[string]time.Time
	// wake is signalled when a stream ended.
	wake chan struct{}
}

// follow is the stream from one control VM.
type follow struct {
	cancel context.CancelFunc
	// opened is when it was first tried.
	opened time.Time
	// since is when the stream was opened; zero while it is closed.
	since time.Time
	// current is when the control VM last said that the group confirms its state.
	current time.Time
	// told are the servers that were told of on the stream.
	told map[string]bool
}

// NewFollower returns a Follower.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{opts: o, sources: make(map[string]*follow), avoided: make(map[string]time.Time), wake: make(chan struct{}, 1)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(rosterInterval)
	defer tick.Stop()
	for {
		f.open(ctx, &wg)
		f.expire()
		select {
		case <-ctx.Done():
			return
		case <-f.opts.Roster.wake:
		case <-f.wake:
		case <-tick.C:
		}
	}
}

// open starts the streams that are wanted and ends the others.
func (f *Follower) open(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := f.wanted(f.opts.Roster.Addresses(now), now)
	for _, a := range wanted {
		if f.sources[a] != nil {
			continue
		}
		run, cancel := context.WithCancel(ctx)
		s := &follow{cancel: cancel, opened: now}
		f.sources[a] = s
		wg.Go(func() { f.keep(run, a, s) })
	}
	for a, s := range f.sources {
		if !slices.Contains(wanted, a) {
			s.cancel()
			delete(f.sources, a)
		}
	}
}

// wanted returns the addresses to follow; f.mu is held.
func (f *Follower) wanted(addresses []string, now time.Time) []string {
	if f.opts.PeerAddress != "" {
		return addresses
	}
	list := make([]streamState, 0, len(addresses))
	for _, a := range addresses {
		s := streamState{address: a, avoided: max(0, f.avoided[a].Sub(now))}
		if src := f.sources[a]; src != nil {
			s.open = true
			s.confirmed = !src.since.IsZero() && now.Sub(src.current) < confirmedFor
			s.failing = !s.confirmed && now.Sub(src.opened) > probation && now.Sub(src.current) > probation
			s.avoided = 0
			if s.failing {
				f.avoided[a], s.avoided = now.Add(avoidFor), avoidFor
			}
		}
		list = append(list, s)
	}
	return chooseStreams(f.opts.VM, list)
}

// expire drops servers that fell silent, if a control VM has been heard long enough to have told of them.
func (f *Follower) expire() {
	now := time.Now()
	f.mu.Lock()
	steady := false
	for _, s := range f.sources {
		steady = steady || !s.since.IsZero() && now.Sub(s.since) >= steadySource
	}
	f.mu.Unlock()
	if !steady || f.opts.PeerAddress != "" {
		return
	}
	for _, v := range f.opts.State.Expire(now) {
		f.opts.Log.Info("server fell silent", "server", v.ID, "service", v.Service, "address", v.Address)
	}
}

// keep follows one control VM. A control VM tries again and again; an entry VM turns to another one.
func (f *Follower) keep(ctx context.Context, address string, s *follow) {
	for ctx.Err() == nil {
		err := f.stream(ctx, address, s)
		f.mu.Lock()
		lost := !s.since.IsZero()
		s.since = time.Time{}
		given := f.opts.PeerAddress == "" && f.sources[address] == s
		if given {
			delete(f.sources, address)
			f.avoided[address] = time.Now().Add(avoidFor)
		}
		f.mu.Unlock()
		if lost && ctx.Err() == nil {
			f.opts.Log.Info("control VM lost", "control", address, "reason", errorText(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(followRetry):
		}
		if given {
			s.cancel()
			f.signal()
			return
		}
	}
}

func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) stream(ctx context.Context, address string, s *follow) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(followSilence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	req := &daisyhatchv1.FollowRequest{
		Vm: f.opts.VM, Incarnation: f.opts.Incarnation, Entry: f.opts.Entry, FailureDomain: f.opts.Domain,
		PeerAddress: f.opts.PeerAddress,
	}
	client := daisyhatchv1connect.NewFleetServiceClient(f.opts.HTTP, "http://"+address)
	stream, err := client.Follow(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer func() {
		// The connection is given up with the stream; an error of the close says nothing more.
		_ = stream.Close()
	}()
	for stream.Receive() {
		watchdog.Reset(followSilence)
		f.heard(address, s, stream.Msg().GetCurrent())
		f.take(address, stream.Msg())
		f.refreshAt(s, stream.Msg(), time.Now())
	}
	return errors.Join(context.Cause(ctx), stream.Err())
}

func (f *Follower) heard(address string, s *follow, current bool) {
	now := time.Now()
	f.mu.Lock()
	opened := s.since.IsZero()
	if opened {
		s.since = now
	}
	if current {
		s.current = now
	}
	f.mu.Unlock()
	if opened {
		f.opts.Log.Info("control VM found", "control", address)
	}
}

// refreshAt keeps the servers that the control VM goes on hearing, which it doesn't list one by one. Only the stream's own
// goroutine uses s.told.
func (f *Follower) refreshAt(s *follow, m *daisyhatchv1.FollowResponse, now time.Time) {
	if m.GetComplete() || s.told == nil {
		s.told = make(map[string]bool)
	}
	for _, v := range m.GetServers() {
		s.told[v.GetId()] = true
	}
	if !m.GetRefresh() {
		return
	}
	f.opts.State.refresh(s.told, m.GetSilent(), now.Add(-time.Duration(m.GetRefreshMs())*time.Millisecond))
}

// take merges one message.
func (f *Follower) take(address string, m *daisyhatchv1.FollowResponse) {
	now := time.Now()
	state := f.opts.State
	f.opts.Roster.Name(append(m.GetControlAddresses(), address), now)
	if m.GetEntriesComplete() || len(m.GetEntriesAdded())+len(m.GetEntriesRemoved()) > 0 {
		state.setEntries(address, m.GetEntriesAdded(), m.GetEntriesRemoved(), m.GetEntriesComplete(), now)
	} else {
		state.heardEntries(address, now)
	}
	state.Merge(allFromWire(m.GetServers(), now))
	if f.opts.PeerAddress != "" {
		// A control VM's replicated state comes from its own log.
		return
	}
	if v := m.GetSuspectsVersion(); v > 0 {
		f.opts.Suspects(v, m.GetSuspects())
	}
	owners := make([]stageowner.Owner, 0, len(m.GetStageOwners()))
	for _, o := range m.GetStageOwners() {
		owners = append(owners, stageowner.FromWire(o))
	}
	state.learnOwners(owners)
	if m.GetNumber() > state.Number() && !f.adopt(m, now) {
		return
	}
	if m.GetCurrent() {
		state.confirm(now)
	}
}

// adopt takes over a newer replicated state; false when its document is missing or can't be read.
func (f *Follower) adopt(m *daisyhatchv1.FollowResponse, now time.Time) bool {
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
		f.opts.Log.Info("state in force", "number", m.GetNumber(), "version", m.GetVersion(), "domains_out", m.GetDomainsOut())
	}
	return true
}

// Heard reports whether a control VM is heard.
func (f *Follower) Heard() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sources {
		if !s.since.IsZero() {
			return true
		}
	}
	return false
}
