package daemon

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/auth"
	"github.com/daisyhatch/daisyhatch/pkg/burn"
	"github.com/daisyhatch/daisyhatch/pkg/bus"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/cost"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
	"github.com/daisyhatch/daisyhatch/pkg/follow"
	"github.com/daisyhatch/daisyhatch/pkg/gateway"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/ledgerclient"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/slots"
	"github.com/daisyhatch/daisyhatch/pkg/version"
)

// Reasons why an entry VM isn't ready.
var (
	errNoConfiguration = errors.New("no configuration is in force")
	errDraining        = errors.New("shutting down")
)

// follower keeps the VM up to date with the control VMs.
type follower struct {
	*process
	client   *follow.Client
	recorder *burn.Recorder
	view     atomic.Pointer[gateway.InForce]
	cancel   context.CancelFunc
	done     chan struct{}
}

func (f *follower) Name() string       { return serviceFollow }
func (f *follower) Requires() []string { return f.after(serviceOps, servicePeers) }
func (f *follower) Validate() error    { return nil }

// after adds the control services to names on a VM that has them, so that they stop last.
func (p *process) after(names ...string) []string {
	if p.settings.VM.Control() {
		names = append(names, serviceControl)
	}
	return names
}

// Provision implements kernel.Service.
func (f *follower) Provision(k *kernel.Kernel) error {
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
	f.recorder = burn.NewRecorder()
	f.client, err = follow.New(follow.Options{
		VM:                  f.settings.VM.Name,
		Incarnation:         f.incarnation,
		FailureDomain:       f.settings.VM.FailureDomain,
		SoftwareVersion:     version.Version,
		Entry:               f.settings.VM.Entry(),
		Control:             f.settings.VM.Control(),
		ControlAddrs:        f.controlAddresses(),
		DataDir:             f.dataDir("configuration"),
		HTTP:                p.client,
		Parse:               func(text []byte) (*config.Set, error) { return f.parser.Parse(configurationFile, text) },
		FillHeartbeat:       f.fill,
		OnHeartbeatAnswered: f.answered,
		Logr:                k.Log().WithName("follow"),
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	o.addCheck("configuration", func() error {
		if f.client.Current().Version == 0 {
			return errNoConfiguration
		}
		return nil
	})
	metrics.GetOrCreateGauge("daisyhatch_configuration_version", func() float64 {
		return float64(f.client.Current().Version)
	})
	return nil
}

func (p *process) controlAddresses() []string {
	var out []string
	for _, a := range p.settings.Control.Addresses {
		out = append(out, a.String())
	}
	if len(out) > 0 {
		return out
	}
	for _, peer := range p.settings.Control.Peers {
		out = append(out, peer.Address.String())
	}
	return out
}

// dataDir returns a folder under the data folder; empty on a VM without a disk.
func (p *process) dataDir(name string) string {
	if p.settings.VM.DataDir == "" {
		return ""
	}
	return filepath.Join(p.settings.VM.DataDir, name)
}

// fill adds what happened since the last answered heartbeat.
func (f *follower) fill(h *daisyhatchv1.HeartbeatRequest) {
	b := f.recorder.Drain(time.Now())
	h.BurnSequence = b.Sequence
	h.Burn = b.Series
	h.Costs = b.Costs
}

// answered forgets what a control VM has taken.
func (f *follower) answered(h *daisyhatchv1.HeartbeatRequest) { f.recorder.Acked(h.GetBurnSequence()) }

// Start implements kernel.Service.
func (f *follower) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.cancel = cancel
	f.done = make(chan struct{})
	go func() {
		defer close(f.done)
		f.client.Run(run)
	}()
	return nil
}

// Stop implements kernel.Service.
func (f *follower) Stop(context.Context) error {
	f.cancel()
	<-f.done
	return nil
}

// inForce returns what the gateway serves; nil while no configuration is in force. The index of keys is built
// once a version.
func (f *follower) inForce() *gateway.InForce {
	cur := f.client.Current()
	if cur.Set == nil {
		return nil
	}
	if v := f.view.Load(); v != nil && v.Version == cur.Version {
		return v
	}
	v := &gateway.InForce{Version: cur.Version, Set: cur.Set, Keys: auth.NewIndex(cur.Set)}
	f.view.Store(v)
	return v
}

// announceChanges tells the process's services of each version that takes effect, and of each failure domain
// taken out or brought back by it.
func (f *follower) announceChanges(ctx context.Context, k *kernel.Kernel) {
	changes, end := f.client.Subscribe()
	defer end()
	var before *config.Set
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-changes:
			f.announce(k, before, v)
			before = v.Set
		}
	}
}

func (f *follower) announce(k *kernel.Kernel, before *config.Set, v *follow.InForce) {
	m := bus.ConfigurationInForce{Version: v.Version, ChangeID: v.ChangeID, Operator: v.Operator}
	if err := bus.Publish(k.Bus(), bus.TopicConfiguration, m); err != nil {
		k.Log().Error(err, "configuration not announced in the process")
	}
	for name, d := range v.Set.FailureDomains {
		if !domainChanged(before, name, d) {
			continue
		}
		k.Log().Info("failure domain changed", "failure_domain", name, "out", d.Out, "version", v.Version)
		m := bus.FailureDomainChanged{FailureDomain: name, Out: d.Out, Version: v.Version}
		if err := bus.Publish(k.Bus(), bus.TopicFailureDomain, m); err != nil {
			k.Log().Error(err, "failure domain's change not announced in the process")
		}
	}
}

func domainChanged(before *config.Set, name string, d *config.FailureDomain) bool {
	if before == nil {
		return d.Out
	}
	old, ok := before.FailureDomains[name]
	return !ok && d.Out || ok && old.Out != d.Out
}

// entrySlots holds the grants of an entry VM.
type entrySlots struct {
	*process
	slots  *slots.Slots
	gate   *admission.Gate
	engine *openai.Client
}

func (e *entrySlots) Name() string       { return serviceSlots }
func (e *entrySlots) Requires() []string { return []string{servicePeers, serviceFollow} }
func (e *entrySlots) Validate() error    { return nil }

// Provision implements kernel.Service.
func (e *entrySlots) Provision(k *kernel.Kernel) error {
	var (
		p *peers
		f *follower
	)
	err := k.LookupAll(
		kernel.Into(servicePeers, &p),
		kernel.Into(serviceFollow, &f),
	)
	if err != nil {
		return err
	}
	o := slots.Options{
		VM:            e.settings.VM.Name,
		Incarnation:   e.incarnation,
		FailureDomain: e.settings.VM.FailureDomain,
		Grantors: func(shard uint32) (string, bool) {
			g, ok := f.client.Grantor(shard)
			return g.Address, ok
		},
		HTTP:       p.client,
		Weight:     f.weight,
		Invariants: e.invariants,
		Logger:     k.Log().WithName("slots"),
	}
	e.slots = slots.New(o)
	e.engine = openai.New(openai.Options{Dial: e.network.Dial, OnNotice: e.slots.Noticed})
	e.gate = admission.NewGate(e.admissionOptions(k, p, f, o))
	return nil
}

// weight returns an organisation's weight under contention.
func (f *follower) weight(organisation string) int {
	set := f.client.Current().Set
	if set == nil || set.Organisations[organisation] == nil {
		return 1
	}
	return set.Organisations[organisation].Weight
}

// entry serves callers.
type entry struct {
	*process
	kernel  *kernel.Kernel
	follow  *follower
	gateway *gateway.Gateway
	server  *listen.Server
	cancel  context.CancelFunc
	drained atomic.Bool
}

func (e *entry) Name() string       { return serviceEntry }
func (e *entry) Requires() []string { return []string{serviceOps, serviceFollow, serviceSlots} }
func (e *entry) Validate() error    { return nil }

// Provision implements kernel.Service.
func (e *entry) Provision(k *kernel.Kernel) error {
	e.kernel = k
	var (
		o *ops
		s *entrySlots
		p *peers
	)
	err := k.LookupAll(
		kernel.Into(serviceOps, &o),
		kernel.Into(serviceFollow, &e.follow),
		kernel.Into(serviceSlots, &s),
		kernel.Into(servicePeers, &p),
	)
	if err != nil {
		return err
	}
	e.gateway = gateway.New(gateway.Options{
		VM:        e.settings.VM.Name,
		Executor:  e.newExecutor(k, p, s),
		Admission: s.gate,
		Announcer: s.slots,
		Observer:  e.follow.recorder,
		InForce:   e.follow.inForce,
		Limits: gateway.Limits{
			MaxBody:      e.settings.Limits.MaxBody,
			BodyTimeout:  e.settings.Limits.BodyTimeout,
			WriteTimeout: e.settings.Limits.WriteTimeout,
		},
		Log: k.Log().WithName("gateway"),
	})
	o.addCheck("entry", func() error {
		if e.drained.Load() {
			return errDraining
		}
		return nil
	})
	metrics.GetOrCreateGauge("daisyhatch_requests_in_flight", func() float64 { return float64(e.gateway.InFlight()) })
	return e.provisionListener(k)
}

func (e *entry) provisionListener(k *kernel.Kernel) error {
	tc, err := serverTLS(e.settings.TLS.Callers, false, k.Log())
	if err != nil {
		return err
	}
	l := e.settings.Limits
	e.server = listen.New(listen.Options{
		Name:    "callers",
		Address: e.settings.Listen.Callers.String(),
		Handler: e.gateway.Handler(),
		TLS:     tc,
		Limits: listen.Limits{
			MaxHeader:      l.MaxHeader,
			HeaderTimeout:  l.HeaderTimeout,
			IdleTimeout:    l.IdleTimeout,
			FlushTimeout:   l.WriteTimeout,
			MaxConnections: l.MaxConnections,
		},
		Network: e.network,
		Intake:  e.intake,
		Log:     k.Log(),
	})
	return nil
}

func (e *entry) newExecutor(k *kernel.Kernel, p *peers, s *entrySlots) *executor.Executor {
	ledger := ledgerclient.New(ledgerclient.Options{
		VM:           e.settings.VM.Name,
		Incarnation:  e.incarnation,
		ControlAddrs: e.controlAddresses(),
		HTTP:         p.client,
	})
	suspects := quarantine.New(quarantine.Options{
		Reporter: quarantine.NewReporter(p.client, e.controlAddresses()),
		Source:   quarantine.NewSource(p.client, e.controlAddresses()),
		Ledger:   ledger,
		Log:      k.Log().WithName("quarantine"),
	})
	e.follow.client.OnSuspects(suspects.Update)
	return executor.New(executor.Options{
		Slots:      s.slots,
		Ledger:     ledger,
		Engine:     s.engine,
		Quarantine: suspects,
		OnLateCost: e.bookLate,
		Invariants: e.invariants,
		Log:        k.Log().WithName("executor"),
	})
}

// bookLate books what an attempt wasted whose request was answered before.
func (e *entry) bookLate(a cost.Account, amount float64) {
	e.follow.recorder.RecordCost(a.Pipeline, a.Organisation, a.Stage, amount, amount)
}

// Start implements kernel.Service.
func (e *entry) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	go e.follow.announceChanges(run, e.kernel)
	return e.server.Start(ctx)
}

// Stop implements kernel.Service. It turns the readiness off, waits until the balancer has noticed, and then
// finishes the requests in flight. What still runs when ctx ends is reported.
func (e *entry) Stop(ctx context.Context) error {
	defer e.cancel()
	e.drained.Store(true)
	e.follow.client.SetDraining()
	if err := bus.Publish(e.kernel.Bus(), bus.TopicDrain, bus.DrainBegan{VM: e.settings.VM.Name}); err != nil {
		e.kernel.Log().Error(err, "drain not announced in the process")
	}
	e.kernel.Log().Info("draining", "in_flight", e.gateway.InFlight(), "balancer_delay", e.settings.Shutdown.BalancerDelay.String())
	select {
	case <-time.After(e.settings.Shutdown.BalancerDelay):
	case <-ctx.Done():
	}
	e.gateway.Drain()
	return e.server.Stop(ctx)
}
