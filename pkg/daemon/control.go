package daemon

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/bus"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/control"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/grantservice"
	"github.com/daisyhatch/daisyhatch/pkg/intake"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/orders"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// errNoLeader is the reason why a control VM isn't ready.
var errNoLeader = errors.New("no leader is known")

// replicated keeps the replicated state of a control VM.
type replicated struct {
	*process
	machine *fsm.Machine
	node    *replica.Node
}

func (r *replicated) Name() string       { return serviceReplica }
func (r *replicated) Requires() []string { return []string{serviceOps, servicePeers} }
func (r *replicated) Validate() error    { return nil }

// Provision implements kernel.Service.
func (r *replicated) Provision(k *kernel.Kernel) error {
	var (
		p *peers
		o *ops
	)
	err := k.LookupAll(
		kernel.Into(servicePeers, &p),
		kernel.Into(serviceOps, &o),
	)
	if err != nil {
		return err
	}
	r.machine = fsm.New()
	r.node, err = replica.NewNode(replica.Options{
		VM:                r.settings.VM.Name,
		Address:           r.settings.Listen.Peers.String(),
		DataDir:           filepath.Join(r.settings.VM.DataDir, "consensus"),
		Bootstrap:         r.bootstrap(),
		StateMachine:      r.machine,
		Client:            p.consensus,
		HeartbeatInterval: r.settings.Control.HeartbeatInterval,
		ElectionTimeout:   r.settings.Control.ElectionTimeout,
		Log:               k.Log().WithName("consensus"),
		Invariants:        r.invariants,
		OnLeader:          leadershipPublisher(k),
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	p.handle(r.node.Handler())
	o.addCheck("leader", func() error {
		if r.node.Status().Leader == "" {
			return errNoLeader
		}
		return nil
	})
	return nil
}

func leadershipPublisher(k *kernel.Kernel) func(string, uint64) {
	return func(leader string, term uint64) {
		m := bus.LeadershipChanged{Leader: leader, Term: term}
		if err := bus.Publish(k.Bus(), bus.TopicLeadership, m); err != nil {
			k.Log().Error(err, "leadership not announced in the process")
		}
	}
}

// bootstrap returns the first voters; none on a VM that joins a running group.
func (r *replicated) bootstrap() []*daisyhatchv1.ConsensusPeer {
	if r.settings.Control.Join {
		return nil
	}
	var out []*daisyhatchv1.ConsensusPeer
	for _, p := range r.settings.Control.Peers {
		out = append(out, &daisyhatchv1.ConsensusPeer{Vm: p.Name, Address: p.Address.String()})
	}
	return out
}

// Start implements kernel.Service.
func (r *replicated) Start(ctx context.Context) error { return r.node.Start(ctx) }

// Stop implements kernel.Service.
func (r *replicated) Stop(ctx context.Context) error { return r.node.Stop(ctx) }

// inForce returns the configuration that this VM's state machine has applied; nil while there is none.
func (r *replicated) inForce() (uint64, *config.Set) {
	view, _ := r.machine.View()
	return r.parsed.get(view.InForce)
}

// parsed keeps the last configuration that was parsed.
type parsed struct {
	parser  *config.Parser
	mu      sync.Mutex
	version uint64
	set     *config.Set
}

func (p *parsed) get(v *daisyhatchv1.ConfigurationVersion) (uint64, *config.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v == nil {
		return 0, nil
	}
	if p.version == v.GetVersion() {
		return p.version, p.set
	}
	set, err := p.parser.Parse(configurationFile, v.GetConfiguration())
	if err != nil {
		// An accepted version was checked before; what can't be read now must not replace what was in force.
		return p.version, p.set
	}
	p.version, p.set = v.GetVersion(), set
	return p.version, p.set
}

// grantor grants this VM's share of the shards.
type grantor struct {
	*process
	service *grantservice.Service
}

func (g *grantor) Name() string       { return serviceGrantor }
func (g *grantor) Requires() []string { return []string{servicePeers, serviceReplica} }
func (g *grantor) Validate() error    { return nil }

// Provision implements kernel.Service.
func (g *grantor) Provision(k *kernel.Kernel) error {
	var (
		p *peers
		r *replicated
	)
	err := k.LookupAll(
		kernel.Into(servicePeers, &p),
		kernel.Into(serviceReplica, &r),
	)
	if err != nil {
		return err
	}
	g.service = grantservice.New(grantservice.Options{
		VM:          g.settings.VM.Name,
		Incarnation: g.incarnation,
		Log:         r.node,
		Config:      r.inForce,
		Lease:       r.machine.Lease,
		HTTP:        p.client,
		Invariants:  g.invariants,
		Logger:      k.Log().WithName("grantor"),
	})
	p.handle(g.service.Handler(compressLarge()))
	return nil
}

// Start implements kernel.Service.
func (g *grantor) Start(ctx context.Context) error { return g.service.Start(ctx) }

// Stop implements kernel.Service.
func (g *grantor) Stop(ctx context.Context) error { return g.service.Stop(ctx) }

// controller answers operators and entry VMs.
type controller struct {
	*process
	server    *control.Server
	operators *listen.Server
	orders    *orders.Reconciler
	cancel    context.CancelFunc
	done      chan struct{}
}

func (c *controller) Name() string { return serviceControl }

// Requires implements kernel.Service.
func (c *controller) Requires() []string {
	return []string{serviceOps, servicePeers, serviceReplica, serviceGrantor, serviceBurn}
}
func (c *controller) Validate() error { return nil }

// Provision implements kernel.Service.
func (c *controller) Provision(k *kernel.Kernel) error {
	var (
		p *peers
		r *replicated
		g *grantor
		b *burnReport
	)
	err := k.LookupAll(
		kernel.Into(servicePeers, &p),
		kernel.Into(serviceReplica, &r),
		kernel.Into(serviceGrantor, &g),
		kernel.Into(serviceBurn, &b),
	)
	if err != nil {
		return err
	}
	c.server = control.New(control.Options{
		VM:               c.settings.VM.Name,
		Log:              r.node,
		Machine:          r.machine,
		Check:            c.checkConfiguration,
		Servers:          g.service.Servers,
		ObserveHeartbeat: b.observe,
		Burn:             b.aggregator.Report,
		MergeBurn:        combineBurn,
		Peers:            p.client,
		Logr:             k.Log().WithName("control"),
	})
	c.orders = newReconciler(k, r, g)
	entry := c.server.EntryHandler(compressLarge())
	p.handle(entry.Path, entry.Handler)
	tc, err := serverTLS(c.settings.TLS.Operators, false, k.Log())
	if err != nil {
		return err
	}
	operator := c.server.OperatorHandler(compressLarge())
	h := authenticate(r.inForce, c.settings.Control.BootstrapKeyHash, operator.Handler)
	c.operators = listen.New(listen.Options{
		Name:    "operators",
		Address: c.settings.Listen.Operators.String(),
		Handler: intake.CountBodies(h),
		TLS:     tc,
		Network: c.network,
		Intake:  c.intake, Reserved: true, Arrivals: true,
		Log: k.Log(),
	})
	return nil
}

// Start implements kernel.Service.
func (c *controller) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c.cancel = cancel
	c.done = make(chan struct{})
	go func() {
		defer close(c.done)
		var wg sync.WaitGroup
		wg.Go(func() { c.orders.Run(run) })
		c.server.Run(run)
		wg.Wait()
	}()
	return c.operators.Start(ctx)
}

// Stop implements kernel.Service.
func (c *controller) Stop(ctx context.Context) error {
	err := c.operators.Stop(ctx)
	c.cancel()
	<-c.done
	return err
}

// checkConfiguration parses and checks a configuration text.
func (p *process) checkConfiguration(text []byte) (*config.Set, []string) {
	set, err := p.parser.Parse(configurationFile, text)
	if err == nil {
		return set, nil
	}
	var problems *config.Problems
	if !errors.As(err, &problems) {
		return nil, []string{err.Error()}
	}
	var out []string
	for _, p := range problems.List {
		out = append(out, p.String())
	}
	return nil, out
}

// operatorTimeout bounds an operator's call.
const operatorTimeout = 30 * time.Second
