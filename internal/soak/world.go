// Package soak runs a whole system in one process: the daemon's real services on an in-memory network, under
// virtual time, with stand-in backend servers and seeded faults. An oracle that knows what each backend server
// really ran checks the promises from outside.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/internal/memnet"
	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
	"github.com/daisyhatch/daisyhatch/pkg/auth"
	"github.com/daisyhatch/daisyhatch/pkg/bus"
	"github.com/daisyhatch/daisyhatch/pkg/daemon"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/settings"
)

const (
	portCallers   = 8080
	portPeers     = 7000
	portOperators = 7001
	portOps       = 9000
	portServer    = 80
)

// Settings of the VMs in a run.
const (
	balancerDelay = 500 * time.Millisecond
	stopLimit     = 20 * time.Second
)

// vm is one VM with its process, which may be down.
type vm struct {
	name    string
	host    string
	domain  string
	control bool
	dir     string

	kernel *kernel.Kernel
	bus    *bus.Bus
	cancel context.CancelFunc
	frozen bool

	mu sync.Mutex
	up bool
	// killedAt is when its process was last killed.
	killedAt time.Time
}

func (v *vm) isUp() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.up
}

func (v *vm) setUp(up bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.up = up
}

// killedSince reports whether its process was killed at a time or later.
func (v *vm) killedSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.killedAt.Before(t)
}

// setKilled notes that its process is killed now.
func (v *vm) setKilled() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.up = false
	v.killedAt = time.Now()
}

func (v *vm) address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(v.host), port)
}

// world is the whole system.
type world struct {
	net        *memnet.Network
	dir        string
	log        logr.Logger
	invariants *invariant.Recorder
	vms        []*vm
	servers    []*workload.Server
	oracle     *oracle.Oracle
	system     *workload.System
}

// newWorld returns a world that is not started. Hosts of the n-th region have IP numbers 10.n.x.y; region returns the
// number of a failure domain's region, counted from 0.
func newWorld(dir string, log logr.Logger, region func(domain string) int) *world {
	w := &world{
		net:        memnet.New(),
		dir:        dir,
		log:        log,
		invariants: invariant.NewRecorder(log),
		oracle:     oracle.New(),
	}
	w.net.Latency = 500 * time.Microsecond
	domains := workload.Domains()
	for i := range workload.VMCount {
		name := fmt.Sprintf("vm-%d", i+1)
		w.vms = append(w.vms, &vm{
			name:    name,
			host:    fmt.Sprintf("10.%d.0.%d", region(domains[i%len(domains)]), i+1),
			domain:  domains[i%len(domains)],
			control: i < workload.ControlCount,
			dir:     filepath.Join(dir, name),
		})
	}
	w.system = &workload.System{
		Oracle: w.oracle, Entries: w.balanced, Broke: w.broke, Listen: w.net.Listen, Stop: make(chan struct{}),
		Dialer:        func(host string) workload.Dial { return w.net.Dialer(host) },
		ServerAddress: func(n int, domain string) string { return fmt.Sprintf("10.%d.1.%d:%d", region(domain), n, portServer) },
	}
	for _, v := range w.vms[:workload.ControlCount] {
		w.system.Operators = append(w.system.Operators, "http://"+v.address(portOperators).String())
	}
	return w
}

// settings returns the settings of one VM.
func (w *world) settings(v *vm) *settings.Settings {
	s := &settings.Settings{}
	s.VM = settings.VM{
		Name: v.name, FailureDomain: v.domain, Roles: []settings.Role{settings.RoleEntry},
		DataDir: v.dir, IncarnationFile: filepath.Join(v.dir, "incarnation"),
	}
	s.Listen.Callers = v.address(portCallers)
	s.Listen.Ops = v.address(portOps)
	if v.control {
		s.VM.Roles = append(s.VM.Roles, settings.RoleControl)
		s.Listen.Peers = v.address(portPeers)
		s.Listen.Operators = v.address(portOperators)
	}
	for _, p := range w.vms[:workload.ControlCount] {
		s.Control.Peers = append(s.Control.Peers, settings.Peer{Name: p.name, Address: p.address(portPeers)})
		s.Control.Addresses = append(s.Control.Addresses, p.address(portPeers))
	}
	s.Control.BootstrapKeyHash = auth.HashKey(workload.BootstrapKey)
	s.Control.HeartbeatInterval = 100 * time.Millisecond
	s.Control.ElectionTimeout = 500 * time.Millisecond
	s.Limits.MaxBody = 1 << 20
	s.Limits.BodyTimeout = 5 * time.Second
	s.Limits.WriteTimeout = 5 * time.Second
	s.Shutdown.BalancerDelay = balancerDelay
	s.Shutdown.StopLimit = stopLimit
	return s
}

// start starts a VM's process.
func (w *world) start(v *vm) error {
	log := w.log.WithValues("vm", v.name)
	v.bus = bus.New(log)
	n := listen.Network{
		Listen: func(_ context.Context, address string) (net.Listener, error) { return w.net.Listen(address) },
		Dial:   w.net.Dialer(v.host),
	}
	k, err := daemon.Build(w.settings(v), log, v.bus, w.invariants, n)
	if err != nil {
		return err
	}
	v.kernel = k
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	err = bus.Subscribe(ctx, v.bus, bus.TopicConfiguration, func(c bus.ConfigurationInForce) {
		w.oracle.InForce(v.name, c.Version, time.Now())
	})
	if err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	v.setUp(true)
	return nil
}

// kill ends a VM's process as a crash does: nothing that it says from now on reaches anybody.
func (w *world) kill(v *vm) {
	v.setKilled()
	w.net.Isolate(v.host, memnet.Refuse)
	w.net.Reset(v.host)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// Nothing can be handed over; what Stop reports is expected.
	_ = v.kernel.Stop(ctx)
	v.cancel()
	_ = v.bus.Close()
	w.net.Reset(v.host)
}

// shutdown ends a VM's process in order.
func (w *world) shutdown(v *vm) error {
	ctx, cancel := context.WithTimeout(context.Background(), balancerDelay+stopLimit)
	defer cancel()
	v.setUp(false)
	err := v.kernel.Stop(ctx)
	v.cancel()
	return errors.Join(err, v.bus.Close())
}

// restart starts a VM that is down, with the data folder that it left.
func (w *world) restart(v *vm) error {
	w.net.Rejoin(v.host)
	return w.start(v)
}

// broke notes a caller's connection that broke. A VM that was not killed breaks none, also while it stops in order.
func (w *world) broke(entry string, begun time.Time, err error) {
	for _, v := range w.vms {
		if "http://"+v.address(portCallers).String() == entry && !v.killedSince(begun) {
			w.oracle.Violate(oracle.OrderlyStop, "%s broke a call off: %v", v.name, err)
		}
	}
}

// balanced returns the base URLs of the VMs that the platform's balancer in a host's region would pick.
func (w *world) balanced(host string) []string {
	var out []string
	for _, v := range w.vms {
		if v.isUp() && sameRegion(v.host, host) {
			out = append(out, "http://"+v.address(portCallers).String())
		}
	}
	return out
}

// sameRegion reports whether two IP numbers lie in one region.
func sameRegion(a, b string) bool {
	x, y := netip.MustParseAddr(a).As4(), netip.MustParseAddr(b).As4()
	return x[1] == y[1]
}
