// Package fleet connects the VMs of a system, each of which starts from a few seed addresses. Control VMs discover
// one another, replace failed members of the control group, replicate the configuration and the failure domains out
// of service, and receive the announcements of backend servers. Every VM receives this state over streams from
// control VMs.
package fleet

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

var (
	// ErrUnavailable means that the control group can't commit a command or confirm a read now.
	ErrUnavailable = errors.New("fleet: the control group is not available")
	// ErrInvalid means that a command was rejected because of its content.
	ErrInvalid = errors.New("fleet: invalid command")
	// ErrConflict means that another order is in progress.
	ErrConflict = errors.New("fleet: another order is in progress")
	// ErrUnknown means that there is nothing under the name, or that the settings don't provide for it.
	ErrUnknown = errors.New("fleet: unknown")
)

// Timeouts and intervals of a control VM.
const (
	// requestTimeout limits a proposal or a read. It is below the second after which callers give up.
	requestTimeout = 900 * time.Millisecond
	// relayTimeout limits how long another control VM is told of a departure directly.
	relayTimeout = 700 * time.Millisecond
	// joinInterval is the time between two requests to join the control group.
	joinInterval = 500 * time.Millisecond
	// rejoinAfter is how long a voter hears from no leader before it asks to be added again, since it may have been
	// removed from the group.
	rejoinAfter = 2 * time.Second
	// membershipInterval is how often the leader checks whether the membership of the control group has to change.
	membershipInterval = 300 * time.Millisecond
	// confirmInterval is how often a control VM has the leader confirm its state: a quarter of the time for which a
	// confirmation permits stage calls.
	confirmInterval = stageowner.LostAfter / 4
	// confirmationTTL is how long after a confirmation this VM tells followers that its state is current.
	confirmationTTL = time.Second
	// ownerInterval is how often the leader checks the owners of stage calls. The calls of a lost owner wait until it
	// is replaced.
	ownerInterval = 100 * time.Millisecond
	// followHeartbeat is the longest time without a message on a follow stream. Changes don't wait for it; a
	// heartbeat only shows that the stream works.
	followHeartbeat = 400 * time.Millisecond
	// entryBatchDelay is the pause after a message to an entry VM, so that changes in quick succession are sent
	// together: after a restart of all VMs, thousands of servers announce themselves within seconds. peerBatchDelay
	// is the same between control VMs.
	entryBatchDelay = 100 * time.Millisecond
	peerBatchDelay  = 20 * time.Millisecond
	// refreshInterval is how often entry VMs are told which servers are still alive: a third of the time after which
	// a silent server is dropped.
	refreshInterval = 5 * time.Second
	// rosterRefreshInterval is how often followers are sent an unchanged list of control VMs: a third of rosterTTL.
	rosterRefreshInterval = rosterTTL / 3
	// rejectedPerSecond bounds the log lines about rejected announcements.
	rejectedPerSecond = 5
	// entriesInterval is the least time between two lists of entry VMs on one stream, so that VMs that start together
	// are sent in one message.
	entriesInterval = 500 * time.Millisecond
	// entriesStartupDelay is how long after its start a control VM sends entry VMs no list of entry VMs. It doesn't
	// know all of them yet, and shares of a limit computed from an incomplete list would be too large.
	entriesStartupDelay = 2 * time.Second
	// serversStartupDelay is how long after its start a control VM at most keeps servers from entry VMs until its state is
	// confirmed for the first time. Entry VMs that start with it serve nothing before; those that serve go on with the servers
	// that they know.
	serversStartupDelay = 2 * time.Second
	// peerRefreshInterval is how often other control VMs are sent the servers that announced themselves to this one;
	// peerRelayInterval is how often they are sent all servers heard of in any way, since they may be cut off from
	// the VM to which a server announces itself. Both are well below the silence after which a server is marked
	// quiet.
	peerRefreshInterval = time.Second
	peerRelayInterval   = 3 * time.Second
)

// ParseFunc reads and validates a configuration document.
type ParseFunc func(document []byte) (*catalog.Set, error)

// SuspectsFunc receives the list of requests during which several servers crashed. A list with a higher version is newer.
type SuspectsFunc func(version uint64, list []*daisyhatchv1.Suspect)

// ControlOptions configure a Control.
type ControlOptions struct {
	// VM is the VM's name in the control group; Address is its peer address, IP:port.
	VM          string
	Address     string
	Incarnation string
	// RetryWindow is the window of the retry budget; 0 for a VM that lends no retries.
	RetryWindow time.Duration
	// LossesBorne is how many lost disks the committed state must survive.
	LossesBorne int
	Node        *replica.Node
	Machine     *fsm.Machine
	State       *State
	Roster      *Roster
	Parse       ParseFunc
	// Suspects receives the requests during which several servers crashed, as FollowerOptions.Suspects does.
	Suspects SuspectsFunc
	HTTP     *http.Client
	// ReadEngine asks an engine for its load; nil if engines are not to be asked.
	ReadEngine ReadEngineFunc
	// Rollouts keeps this VM's own calls within the roll-outs in force, and RolloutBounds are the bounds on what a version on
	// trial gets; both are nil where roll-outs aren't configured.
	Rollouts      *rollout.Holder
	RolloutBounds *rollout.Bounds
	Log           logr.Logger
}

// Control runs on a control VM: it implements FleetService and helps to manage the control group.
type Control struct {
	daisyhatchv1connect.UnimplementedFleetServiceHandler
	opts ControlOptions

	started time.Time
	stages  StageRunner
	// snapshotSlots limits how many followers receive their first message, which lists all servers, at the same time.
	snapshotSlots chan struct{}
	packer        *packer
	owners        ownerPlanState
	// retries lends retries; nil on a VM that lends none.
	retries     *retryLender
	rejectedLog *logsink.Budget
	rollouts    conductors

	// stops is set once this VM stops.
	stops atomic.Bool
	// stopLimit is how long a stop waits for a VM that goes on and leads.
	stopLimit time.Duration

	// membershipMu serialises changes to the control group. It is locked before mu.
	membershipMu sync.Mutex

	mu      sync.Mutex
	joiners map[string]Joiner
	// stopping holds the notices of stops by VM.
	stopping  map[string]stopNotice
	followers map[uint64]entryFollower
	// followersVersion is incremented when an entry VM is added to or removed from followers.
	followersVersion uint64
	// confirmedAt is when the latest successful confirmation of the state began; zero before the first one.
	confirmedAt time.Time
}

// entryFollower is an entry VM that follows this VM.
type entryFollower struct {
	// streams is the number of its open streams.
	streams int
	// endedAt is when one of its streams last ended.
	endedAt time.Time
}

// NewControl returns a Control. stages may be nil; StageRun and StageFree must not be called then.
func NewControl(o ControlOptions, stages StageRunner) *Control {
	return &Control{
		opts: o, started: time.Now(), stages: stages, packer: newPacker(o.State), stopLimit: stopNoticesLimit, retries: newRetryLender(o.RetryWindow), rejectedLog: logsink.NewBudget(rejectedPerSecond),
		rollouts: conductors{refusedLog: logsink.NewBudget(refusedPerSecond)}, snapshotSlots: make(chan struct{}, maxConcurrentSnapshots),
		joiners: make(map[string]Joiner), stopping: make(map[string]stopNotice), followers: make(map[uint64]entryFollower),
	}
}

// Handler returns the path and handler of FleetService.
func (c *Control) Handler(o ...connect.HandlerOption) (string, http.Handler) {
	return daisyhatchv1connect.NewFleetServiceHandler(c, o...)
}

// Run runs the periodic tasks of a control VM until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.syncReplicatedState(ctx) })
	wg.Go(func() { runEvery(ctx, confirmInterval, c.confirm) })
	wg.Go(func() { runEvery(ctx, membershipInterval, func(ctx context.Context) { _, _ = c.planMembership(ctx) }) })
	wg.Go(func() { runEvery(ctx, joinInterval, c.requestJoin) })
	wg.Go(func() { runEvery(ctx, ownerInterval, c.assignOwners) })
	wg.Go(func() { runEvery(ctx, time.Second, c.expire) })
	wg.Go(func() { runEvery(ctx, engineReadTick, newWeigher(c).run) })
	if c.opts.RolloutBounds != nil {
		wg.Go(func() { runEvery(ctx, judgeInterval, c.judgeRollouts) })
	}
	wg.Wait()
}

// runEvery calls f once per d until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// syncReplicatedState copies the replicated state into the VM's State whenever it changes, until ctx ends.
func (c *Control) syncReplicatedState(ctx context.Context) {
	deliveredVersion, shared := uint64(0), []*daisyhatchv1.Suspect(nil)
	departures, rollouts := uint64(0), uint64(0)
	for {
		view, changed := c.opts.Machine.View()
		r := view.Revision
		c.opts.State.mergeOwners(view.StageOwners)
		if r.Number > c.opts.State.Number() {
			c.applyRevision(r.Number, r.Version, r.Document, r.DomainsOut)
		}
		if view.DeparturesNumber != departures {
			c.mergeDepartures(departures)
			departures = view.DeparturesNumber
		}
		if view.RolloutsNumber != rollouts {
			rollouts = view.RolloutsNumber
			c.opts.Rollouts.Update(view.Rollouts, time.Now())
			c.opts.State.wakeFollowers()
		}
		if view.SuspectsVersion != deliveredVersion {
			before := shared
			deliveredVersion, shared = view.SuspectsVersion, sharedSuspects(view.Suspects)
			c.opts.Suspects(deliveredVersion, shared)
			if !slices.EqualFunc(before, shared, equalSuspect) {
				// If the shared suspects are unchanged, the next heartbeat is soon enough: many servers may crash at the
				// same time.
				c.opts.State.wakeFollowers()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// mergeDepartures merges the departures recorded after the one with a number into the VM's State.
func (c *Control) mergeDepartures(number uint64) {
	var servers []*daisyhatchv1.AnnouncedServer
	now := time.Now()
	for _, d := range c.opts.Machine.DeparturesSince(number) {
		s := proto.CloneOf(d.GetServer())
		s.AgeMs = max(0, now.UnixMilli()-d.GetRecordedUnixMs())
		servers = append(servers, s)
	}
	c.opts.State.Merge(serversFromWire(servers, now))
}

// applyRevision applies a replicated state to the VM's State. A configuration that can't be parsed leaves the earlier one in
// use.
func (c *Control) applyRevision(number, version uint64, document []byte, domainsOut []string) {
	var set *catalog.Set
	if known := c.opts.State.Catalog(); known == nil || known.Version < version {
		var err error
		if set, err = c.opts.Parse(document); err != nil && len(document) > 0 {
			c.opts.Log.Error(err, "configuration in force can't be read; the former one stays in use here", "version", version)
		}
	}
	if c.opts.State.apply(number, set, domainsOut, time.Now()) {
		logInForce(c.opts.Log, number, version, domainsOut, set)
	}
}

// confirm has the leader confirm that this VM's state is current.
func (c *Control) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmationTTL)
	defer cancel()
	begin := time.Now()
	if err := c.opts.Node.ReadBarrier(ctx); err == nil {
		c.confirmed(begin)
	}
}

// confirmed records that the leader confirmed at begin or later that this VM's state is current. Followers are told of the first
// confirmation of a series at once: entry VMs that have just started refuse all requests until then.
func (c *Control) confirmed(begin time.Time) {
	c.mu.Lock()
	goesOn := !c.confirmedAt.IsZero() && begin.Sub(c.confirmedAt) < 3*confirmationTTL
	c.confirmedAt = begin
	c.mu.Unlock()
	c.opts.State.confirm(begin)
	if !goesOn {
		c.opts.State.wakeFollowers()
		c.opts.Log.Info("control group confirms this VM's state")
	}
}

// withholdsServers reports whether entry VMs that take servers packed are sent none yet. After a restart of all VMs, telling each of hundreds of entry
// VMs of each of thousands of servers as they announce themselves takes all the processor time that the election needs.
// Entry VMs that don't take servers packed are told all the same: a whole list encoded for each of them at the first confirmation costs
// more.
func (c *Control) withholdsServers(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt.IsZero() && now.Sub(c.started) < serversStartupDelay
}

// recentlyConfirmed reports whether the state was confirmed within confirmationTTL.
func (c *Control) recentlyConfirmed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) < confirmationTTL
}

// expire drops entry VMs and servers that have been silent for too long, and marks quiet servers.
func (c *Control) expire(context.Context) {
	c.expireFollowers(time.Now())
	for _, v := range c.opts.State.MarkQuiet(time.Now()) {
		c.opts.Log.Info("server is quiet", "server", v.ID, "service", v.Service, "address", v.Address)
	}
	for _, v := range c.opts.State.Expire(time.Now()) {
		c.opts.Log.Info("server fell silent", "server", v.ID, "service", v.Service, "address", v.Address)
	}
}
