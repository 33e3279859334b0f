package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/intake"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/path"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
	"github.com/daisyhatch/daisyhatch/pkg/settings"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
	"github.com/daisyhatch/daisyhatch/pkg/stageclient"
	"github.com/daisyhatch/daisyhatch/pkg/tunnel"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// Names of the services of a VM of a fleet.
const (
	serviceFleetControl = "fleet-control"
	serviceFleetFollow  = "fleet-follow"
	serviceFleetEntry   = "fleet-entry"
	serviceFleetTunnels = "fleet-tunnels"
)

// fleetServices returns the services that serve raw HTTP services for a platform.
func fleetServices(p *process) ([]kernel.Service, error) {
	d, err := dialect.Lookup(p.settings.Fleet.Interface)
	if err != nil {
		return nil, err
	}
	shared := &fleetShared{
		process: p, file: p.settings.File, dialect: d, state: fleet.NewState(fleet.StateOptions{VM: p.settings.VM.Name, FormsStageCalls: p.settings.VM.Control()}),
		roster: fleet.NewRoster(p.peerAddress(), p.seedPeers(p.settings.Fleet.Seeds)), pool: upstream.NewPool(nil),
	}
	if p.settings.VM.Entry() {
		shared.usePaths()
	}
	if f := p.settings.Fleet; f.Rollouts() {
		shared.rollouts = rollout.NewHolder(p.settings.VM.Name, p.incarnation, true)
		shared.rolloutBounds = &rollout.Bounds{Share: f.RolloutShare, Extra: f.RolloutExtra}
	}
	metrics.GetOrCreateGauge("daisyhatch_server_limits", func() float64 { return float64(shared.state.LimitCount()) })
	var out []kernel.Service
	if p.settings.VM.Control() {
		out = append(out, &fleetTunnels{fleetShared: shared}, &fleetControl{fleetShared: shared})
	}
	out = append(out, &fleetFollow{fleetShared: shared})
	if p.settings.VM.Entry() {
		out = append(out, &fleetEntry{fleetShared: shared})
	}
	return out, nil
}

// fleetShared is what the fleet's services of one process share.
type fleetShared struct {
	*process
	file    string
	dialect dialect.Dialect
	state   *fleet.State
	roster  *fleet.Roster
	pool    *upstream.Pool
	// paths connects to servers from an entry VM; nil on other VMs.
	paths *path.Dialer
	// tunnels connects to servers through control VMs; nil before it is provisioned.
	tunnels *tunnel.Dialer
	// suspects are the requests under which servers ended.
	suspects *quarantine.Tracker
	// rollouts and rolloutBounds are nil where roll-outs aren't configured.
	rollouts      *rollout.Holder
	rolloutBounds *rollout.Bounds
}

// provideSuspects makes what keeps requests under which servers ended from being sent on.
func (f *fleetShared) provideSuspects(k *kernel.Kernel, client *http.Client) *fleet.SuspectsReporter {
	r := fleet.NewSuspectsReporter(f.roster, client)
	f.suspects = quarantine.NewTracker(quarantine.TrackerOptions{Reporter: r, Clear: r.Clear, TryPart: r.TryPart, LeaseRun: r.LeaseRun, InContact: f.inContact, Log: k.Log().WithName("suspects")})
	return r
}

// contactTime is how long after a confirmation by the control group a VM counts as in contact with it: two intervals in
// which an entry VM hears that the state is current.
const contactTime = 2 * time.Second

func (f *fleetShared) inContact() bool { return f.state.ContactAge(time.Now()) < contactTime }

func (p *process) peerAddress() string { return p.settings.Listen.Peers.String() }

// consensusName is the VM's name in the control group: first voters know one another by address only.
func (p *process) consensusName() string { return p.settings.Listen.Peers.Addr().String() }

// fleetDialTimeout bounds connecting to another VM of a fleet: a few times the way between regions. A VM without power
// does not refuse, and the system sends an opening packet again only after a second.
const fleetDialTimeout = 350 * time.Millisecond

// fleetNetwork returns the network of a VM of a fleet.
func fleetNetwork(n listen.Network) listen.Network {
	if n.Dial == nil {
		n.Dial = (&net.Dialer{Timeout: fleetDialTimeout}).DialContext
	}
	return n
}

// seedPeers returns the peer addresses of seeds.
func (p *process) seedPeers(seeds []netip.AddrPort) []string {
	out := make([]string, 0, len(seeds))
	for _, s := range seeds {
		out = append(out, netip.AddrPortFrom(s.Addr(), p.settings.Listen.Peers.Port()).String())
	}
	return out
}

// fleetControl is a control VM's part.
type fleetControl struct {
	*fleetShared
	node      *replica.Node
	control   *fleet.Control
	operators *listen.Server
	cancel    context.CancelFunc
	done      chan struct{}
}

func (f *fleetControl) Name() string       { return serviceFleetControl }
func (f *fleetControl) Requires() []string { return []string{serviceOps, servicePeers} }
func (f *fleetControl) Validate() error    { return nil }

// Provision implements kernel.Service.
func (f *fleetControl) Provision(k *kernel.Kernel) error {
	var (
		p *peers
		o *ops
	)
	if err := k.LookupAll(kernel.Into(servicePeers, &p), kernel.Into(serviceOps, &o)); err != nil {
		return err
	}
	machine := fsm.New()
	var err error
	f.node, err = replica.NewNode(replica.Options{
		VM: f.consensusName(), Address: f.peerAddress(), DataDir: filepath.Join(f.settings.VM.DataDir, "consensus"),
		Bootstrap: f.founders(), StateMachine: machine, Client: p.consensus,
		HeartbeatInterval: f.settings.Control.HeartbeatInterval, ElectionTimeout: f.settings.Control.ElectionTimeout,
		Log: k.Log().WithName("consensus"), Invariants: f.invariants, OnLeader: leadershipPublisher(k),
	})
	if err != nil {
		return err
	}
	p.handle(f.node.Handler())
	o.addCheck("leader", func() error {
		if f.node.Status().Leader == "" {
			return errNoLeader
		}
		return nil
	})
	reporter := f.provideSuspects(k, p.client)
	// The stage runner is used only once the control service has started.
	var freer *stageclient.Freer
	stages := f.stageRunner(k, func() bool { return f.control.MayFormCalls() }, func(handles []string) { freer.Free(handles) })
	freer = stageclient.NewFreer(f.state, f.peerAddress(), p.client, stages, k.Log().WithName("stages"))
	reader := &engineReader{dialect: f.dialect, state: f.state, limiter: limiter.New(f.state, k.Log().WithName("engines")), pool: upstream.NewPool(nil)}
	f.control = fleet.NewControl(fleet.ControlOptions{
		VM: f.consensusName(), Address: f.peerAddress(), Incarnation: f.incarnation, LossesBorne: f.settings.Fleet.LossesBorne,
		RetryWindow: f.settings.Fleet.RetryWindow,
		Node:        f.node, Machine: machine, State: f.state, Roster: f.roster, Parse: f.dialect.Catalog, HTTP: p.client,
		Suspects: f.suspects.UpdateSuspects, ReadEngine: reader.read, Rollouts: f.rollouts, RolloutBounds: f.rolloutBounds, Log: k.Log().WithName("control"),
	}, stages)
	reporter.PreferLocal(f.control)
	metrics.GetOrCreateGauge("daisyhatch_retries_promised", func() float64 { return float64(f.control.RetriesPromised()) })
	p.handle(f.control.Handler(compressLarge()))
	r := chi.NewRouter()
	f.dialect.AddControlRoutes(r, f.control)
	if f.settings.Fleet.Rollouts() {
		operatorPath, handler := f.control.OperatorsHandler()
		r.Mount(operatorPath, handler)
	}
	f.operators = listen.New(listen.Options{
		Name: "operators", Address: f.settings.Listen.Operators.String(), Handler: intake.CountBodies(r), Network: f.network, Intake: f.intake, Reserved: true, Arrivals: true,
		Log: k.Log(),
	})
	return nil
}

// stageRunner returns what makes stage calls; mayCall and release are nil on a VM that makes calls for itself only.
func (f *fleetShared) stageRunner(k *kernel.Kernel, mayCall func() bool, release func([]string)) *stagecall.Runner {
	view := stageView{State: f.state, rollouts: f.rollouts}
	if mayCall == nil {
		view.vm = f.settings.VM.Name
	}
	return stagecall.NewRunner(stagecall.Options{
		View: view, Dialect: f.dialect, Pool: f.pool, AuxPool: upstream.NewPool(nil), Suspects: f.suspects, MayCall: mayCall,
		Release: release, Memory: f.intake, Log: k.Log().WithName("stages"),
	})
}

// founders are the first voters on a VM that is one of them at the first start of the whole system.
func (f *fleetControl) founders() []*daisyhatchv1.ConsensusPeer {
	if !f.settings.Fleet.FirstStart {
		return nil
	}
	var out []*daisyhatchv1.ConsensusPeer
	own := false
	for _, s := range f.settings.Fleet.Seeds {
		address := netip.AddrPortFrom(s.Addr(), f.settings.Listen.Peers.Port()).String()
		own = own || address == f.peerAddress()
		out = append(out, &daisyhatchv1.ConsensusPeer{Vm: s.Addr().String(), Address: address})
	}
	if !own {
		return nil
	}
	return out
}

// Start implements kernel.Service.
func (f *fleetControl) Start(ctx context.Context) error {
	if err := f.node.Start(ctx); err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.cancel, f.done = cancel, make(chan struct{})
	go func() {
		defer close(f.done)
		f.control.Run(run)
	}()
	return f.operators.Start(ctx)
}

// Stop implements kernel.Service.
func (f *fleetControl) Stop(ctx context.Context) error {
	f.control.ReleaseStageOwnership(ctx)
	err := f.operators.Stop(ctx)
	f.cancel()
	<-f.done
	f.control.PrepareStop(ctx)
	return errors.Join(err, f.node.Stop(ctx))
}

// stageView shows the State to the stage runner.
type stageView struct {
	*fleet.State
	// vm is set on a VM that makes calls for itself only.
	vm string
	// rollouts are the roll-outs in force; nil where they aren't configured.
	rollouts *rollout.Holder
}

// Serving implements stagecall.View. A version on trial gets no stage calls.
func (v stageView) Serving(service string, now time.Time) []stagecall.Server {
	var out []stagecall.Server
	for _, c := range v.serving(service, now) {
		out = append(out, stagecall.Server{ID: c.ID, Address: c.Address, Domain: c.Domain, Born: c.Born, Quiet: c.Quiet, Limit: c.Limit})
	}
	if v.vm != "" {
		stagecall.OrderServersFor(v.vm, out)
	}
	return out
}

// serving returns the servers of a service to which stage calls may go.
func (v stageView) serving(service string, now time.Time) []fleet.Candidate {
	servers := v.State.Serving(service, now)
	if v.rollouts == nil {
		return servers
	}
	return rollout.Select(v.rollouts.NewPassWithoutTrial(service), servers, func(c fleet.Candidate) rollout.Server {
		return rollout.Server{ID: c.ID, Version: c.Version, Born: c.Born}
	}, nil, now)
}

// fleetFollow keeps the VM's State up to date.
type fleetFollow struct {
	*fleetShared
	follower *fleet.Follower
	client   *http.Client
	cancel   context.CancelFunc
	done     chan struct{}
	kernel   *kernel.Kernel
}

func (f *fleetFollow) Name() string { return serviceFleetFollow }

// Requires implements kernel.Service.
func (f *fleetFollow) Requires() []string {
	if f.settings.VM.Control() {
		return []string{servicePeers, serviceFleetControl}
	}
	return []string{servicePeers}
}

func (f *fleetFollow) Validate() error { return nil }

// Provision implements kernel.Service.
func (f *fleetFollow) Provision(k *kernel.Kernel) error {
	var p *peers
	if err := k.LookupAll(kernel.Into(servicePeers, &p)); err != nil {
		return err
	}
	f.kernel, f.client = k, p.client
	f.tunnels = tunnel.NewDialer(p.client, func() []string { return f.roster.Addresses(time.Now()) })
	if f.paths != nil {
		f.paths.SetLog(k.Log().WithName("paths"))
	}
	if f.suspects == nil {
		f.provideSuspects(k, p.client)
	}
	o := fleet.FollowerOptions{
		VM: f.settings.VM.Name, Incarnation: f.incarnation, Entry: f.settings.VM.Entry(), Domain: f.settings.VM.FailureDomain,
		State: f.state, Roster: f.roster, Parse: f.dialect.Catalog, Suspects: f.suspects.UpdateSuspects, Rollouts: f.rollouts, HTTP: p.client,
		Log: k.Log().WithName("follow"),
	}
	if f.settings.VM.Control() {
		o.PeerAddress = f.peerAddress()
	}
	f.follower = fleet.NewFollower(o)
	return nil
}

// Start implements kernel.Service.
func (f *fleetFollow) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.cancel, f.done = cancel, make(chan struct{})
	go func() {
		defer close(f.done)
		var wg sync.WaitGroup
		wg.Go(func() { f.reload(run) })
		f.follower.Run(run)
		wg.Wait()
	}()
	return nil
}

// reloadInterval is how often the settings file is looked at; it may change without a signal.
const reloadInterval = 5 * time.Second

// reload takes changed seeds over at SIGHUP, and when the file was changed.
func (f *fleetFollow) reload(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	seen := modified(f.file)
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-f.hangup:
			reason = "signal"
		case <-tick.C:
			now := modified(f.file)
			if now.Equal(seen) {
				continue
			}
			seen = now
		}
		s, err := settings.Load(f.file)
		if err != nil {
			f.kernel.Log().Error(err, "settings not reloaded; the former ones stay in use", "reason", reason)
			continue
		}
		if s.Fleet != nil {
			f.roster.SetSeeds(f.seedPeers(s.Fleet.Seeds))
			f.kernel.Log().Info("settings reloaded", "reason", reason, "seeds", f.seedPeers(s.Fleet.Seeds))
		}
	}
}

// modified returns when a file was changed; the zero time while it can't be looked at, as between two renames.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Stop implements kernel.Service.
func (f *fleetFollow) Stop(context.Context) error {
	f.cancel()
	<-f.done
	return nil
}
