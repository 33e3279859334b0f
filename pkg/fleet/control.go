// Package fleet holds a system's VMs together that know only a few seeds: control VMs find one another, replace members
// that are gone, keep the configuration and the failure domains out of service in the replicated log, and hear the
// announcements of backend servers; every VM follows all control VMs and knows what they know.
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
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// Errors of this package.
var (
	// ErrUnavailable means that the control group can't take an order or vouch for a read now.
	ErrUnavailable = errors.New("fleet: the control group is not available")
	// ErrInvalid means that an order is refused for what it says.
	ErrInvalid = errors.New("fleet: invalid order")
)

// Times of control.
const (
	// orderTimeout bounds an order or a read: callers give up after a second.
	orderTimeout = 900 * time.Millisecond
	// relayTimeout bounds the wait for other control VMs to take a departure: servers give up after a second.
	relayTimeout = 700 * time.Millisecond
	// joinInterval is the time between two requests to join the control group.
	joinInterval = 500 * time.Millisecond
	// quietBeforeJoin is how long a voter that obeys no leader waits until it asks to be added: it may have been removed.
	quietBeforeJoin = 2 * time.Second
	// planInterval is the time between two looks at the membership.
	planInterval = 300 * time.Millisecond
	// confirmInterval is the time between two confirmations of the state by the leader: a quarter of what the right to
	// form stage calls lasts.
	confirmInterval = stageowner.LostAfter / 4
	// confirmLife is how long a confirmation makes what this VM says current.
	confirmLife = time.Second
	// ownerInterval is the time between two looks at the owners of stage calls: those of a lost one wait for it.
	ownerInterval = 100 * time.Millisecond
	// followHeartbeat is the longest silence on a follow stream. News go out at once; the heartbeat only tells that the
	// stream is sound.
	followHeartbeat = 400 * time.Millisecond
	// followBatch is the pause after an update to an entry VM, so that changes that come together go out together: after a
	// restart of all VMs thousands of servers announce themselves within seconds. peerBatch is the same between control VMs.
	followBatch = 100 * time.Millisecond
	peerBatch   = 20 * time.Millisecond
	// refreshInterval is how often followers hear that servers are still there: a third of what a silent one is kept.
	refreshInterval = 5 * time.Second
	// rosterRefresh is how often followers hear of the control VMs when nothing changed: a third of rosterKept.
	rosterRefresh = rosterKept / 3
	// entriesInterval is the least time between two lists of entry VMs on one stream, so that VMs that start together
	// are told together.
	entriesInterval = 500 * time.Millisecond
	// entriesSettle is how long after its start a control VM tells of no entry VMs: it has not heard of all yet, and
	// shares of a bound would be too large.
	entriesSettle = 2 * time.Second
	// peerRefreshInterval is how often other control VMs hear which servers announced themselves to this one, and
	// peerRelayInterval which ones it heard of in any way: they may be cut off from the VM that a server speaks to. Both
	// are well below the silence from which a server is quiet.
	peerRefreshInterval = time.Second
	peerRelayInterval   = 3 * time.Second
)

// Parse reads and checks a configuration document.
type Parse func(document []byte) (*catalog.Set, error)

// Suspects takes a list of requests under which several servers ended; lists of higher versions are newer.
type Suspects func(version uint64, list []*daisyhatchv1.Suspect)

// ControlOptions are what a Control is made from.
type ControlOptions struct {
	// VM is the name in the control group, Address the peer address.
	VM          string
	Address     string
	Incarnation string
	LossesBorne int
	Node        *replica.Node
	Machine     *fsm.Machine
	State       *State
	Roster      *Roster
	Parse       Parse
	// Suspects is told of the requests under which several servers ended, as Follower does.
	Suspects Suspects
	HTTP     *http.Client
	Log      logr.Logger
}

// Control is a control VM's part of the fleet.
type Control struct {
	daisyhatchv1connect.UnimplementedFleetServiceHandler
	opts ControlOptions

	started time.Time
	stages  StageRunner
	// joins holds the followers that are being told of all servers.
	joins  chan struct{}
	owners ownerWatch

	mu        sync.Mutex
	joiners   map[string]Joiner
	followers map[uint64]follower
	// following grows when the entry VMs that follow this VM change.
	following uint64
	confirmed time.Time
}

// follower is an entry VM that follows this VM.
type follower struct {
	streams int
	// left is when its last stream ended.
	left time.Time
}

// NewControl returns a Control; stages may be nil.
func NewControl(o ControlOptions, stages StageRunner) *Control {
	return &Control{
		opts: o, started: time.Now(), stages: stages, joins: make(chan struct{}, joinsAtOnce), joiners: make(map[string]Joiner), followers: make(map[uint64]follower),
	}
}

// Handler returns the path and handler of FleetService.
func (c *Control) Handler(o ...connect.HandlerOption) (string, http.Handler) {
	return daisyhatchv1connect.NewFleetServiceHandler(c, o...)
}

// Run works until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.takeOver(ctx) })
	wg.Go(func() { every(ctx, confirmInterval, c.confirm) })
	wg.Go(func() { every(ctx, planInterval, c.plan) })
	wg.Go(func() { every(ctx, joinInterval, c.join) })
	wg.Go(func() { every(ctx, ownerInterval, c.assignOwners) })
	wg.Go(func() { every(ctx, time.Second, c.expire) })
	wg.Wait()
}

func every(ctx context.Context, d time.Duration, f func(context.Context)) {
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

// takeOver copies the replicated state into the VM's State.
func (c *Control) takeOver(ctx context.Context) {
	told, shared := uint64(0), []*daisyhatchv1.Suspect(nil)
	for {
		view, changed := c.opts.Machine.View()
		r := view.Revision
		c.opts.State.learnOwners(view.StageOwners)
		if r.Number > c.opts.State.Number() {
			c.adopt(r.Number, r.Version, r.Document, r.DomainsOut)
		}
		if view.SuspectsVersion != told {
			before := shared
			told, shared = view.SuspectsVersion, sharedSuspects(view.Suspects)
			c.opts.Suspects(told, shared)
			if !slices.EqualFunc(before, shared, sameSuspect) {
				// Otherwise the heartbeat is soon enough: many servers may end at the same time.
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

func (c *Control) adopt(number, version uint64, document []byte, out []string) {
	var set *catalog.Set
	if known := c.opts.State.Catalog(); known == nil || known.Version < version {
		var err error
		if set, err = c.opts.Parse(document); err != nil && len(document) > 0 {
			c.opts.Log.Error(err, "configuration in force can't be read; the former one stays in use here", "version", version)
		}
	}
	if c.opts.State.apply(number, set, out, time.Now()) {
		c.opts.Log.Info("state in force", "number", number, "version", version, "domains_out", out)
	}
}

func (c *Control) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmLife)
	defer cancel()
	begin := time.Now()
	err := c.opts.Node.ReadBarrier(ctx)
	c.mu.Lock()
	before := !c.confirmed.IsZero() && begin.Sub(c.confirmed) < 3*confirmLife
	if err == nil {
		c.confirmed = begin
	}
	c.mu.Unlock()
	if err == nil {
		c.opts.State.confirm(begin)
		if !before {
			c.opts.Log.Info("control group confirms this VM's state")
		}
	}
}

func (c *Control) isCurrent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed.IsZero() && now.Sub(c.confirmed) < confirmLife
}

func (c *Control) expire(context.Context) {
	c.expireFollowers(time.Now())
	for _, v := range c.opts.State.Quieten(time.Now()) {
		c.opts.Log.Info("server is quiet", "server", v.ID, "service", v.Service, "address", v.Address)
	}
	for _, v := range c.opts.State.Expire(time.Now()) {
		c.opts.Log.Info("server fell silent", "server", v.ID, "service", v.Service, "address", v.Address)
	}
}
