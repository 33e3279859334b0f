package processes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/demo/cluster"
	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

const (
	// stopDelay is how long a VM that stops waits for the balancer.
	stopDelay = time.Second
	// settleTime is how long the system gets to come up.
	settleTime = 10 * time.Second
	// recoveryTime is how long the system gets to recover once the faults have ended.
	recoveryTime = 20 * time.Second
	// startLimit bounds the wait for a VM that was started.
	startLimit = 30 * time.Second
	// balancerNotice is how long the platform's balancer goes on sending to a VM that hangs.
	balancerNotice = time.Second
)

// vm is one VM with what the run did to it.
type vm struct {
	*cluster.VM
	up bool
	// taken is true while a fault is on the VM.
	taken bool
	// pausedAt is when the VM was paused; zero while it runs.
	pausedAt time.Time
	// hurtAt is when the VM was last killed, paused or resumed.
	hurtAt time.Time
}

// fleet is a whole system: VMs as processes, backend servers, callers and operators in this process.
type fleet struct {
	cluster *cluster.Cluster
	oracle  *oracle.Oracle
	system  *workload.System
	servers []*workload.Server
	watch   sync.WaitGroup

	mu    sync.Mutex
	vms   []*vm
	wires map[string]*wires
}

// newFleet starts all VMs and backend servers and publishes the first configuration.
func newFleet(ctx context.Context, binDir, dir string, seed uint64) (*fleet, error) {
	f := &fleet{oracle: oracle.New(), wires: make(map[string]*wires)}
	spec := cluster.Spec{BinDir: binDir, Dir: dir, BalancerDelay: stopDelay}
	domains := workload.Domains()
	for i := range workload.VMCount {
		spec.VMs = append(spec.VMs, cluster.VMSpec{
			Name: fmt.Sprintf("vm-%d", i+1), Host: fmt.Sprintf("127.0.10.%d", i+1), FailureDomain: domains[i%len(domains)],
			Control: i < workload.ControlCount, Entry: true,
		})
	}
	c, err := cluster.New(spec)
	if err != nil {
		return nil, err
	}
	f.cluster = c
	f.system = &workload.System{
		Oracle: f.oracle, Entries: f.entries, Broke: f.broke, Listen: f.listen, Stop: make(chan struct{}),
		Dialer:        func(string) workload.Dial { return (&net.Dialer{Timeout: time.Second}).DialContext },
		ServerAddress: func(n int, _ string) string { return fmt.Sprintf("127.0.11.%d:0", n) },
	}
	for _, v := range c.VMs {
		f.vms = append(f.vms, &vm{VM: v})
		if v.Control {
			f.system.Operators = append(f.system.Operators, "http://"+v.Operators)
		}
	}
	return f, f.begin(ctx, seed)
}

func (f *fleet) begin(ctx context.Context, seed uint64) error {
	if err := f.cluster.Start(ctx); err != nil {
		return err
	}
	for _, v := range f.vms {
		v.up = true
		f.watch.Go(func() { f.watchVM(v) })
	}
	text := workload.Configuration(nil)
	set, err := config.Parse("processes", []byte(text))
	if err != nil {
		return err
	}
	first := workload.NewOperator(f.system, workload.OperatorHost, "first", cluster.BootstrapKey)
	defer first.Close()
	if _, err := first.Publish(0, text, time.Now().Add(startLimit)); err != nil {
		return err
	}
	if err := f.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	f.servers, err = f.system.StartServers(set, rand.New(rand.NewPCG(seed, 3)))
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// end stops everything and closes the oracle's books.
func (f *fleet) end() error {
	close(f.system.Stop)
	f.watch.Wait()
	for _, s := range f.servers {
		s.Crash()
	}
	f.oracle.Check(workload.Seen(f.servers))
	return f.cluster.Close()
}

// listen takes a backend server's address; its connections can go silent.
func (f *fleet) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("processes: %w", err)
	}
	return f.wiresOf(address).wrap(l), nil
}

// wiresOf returns the connections of the backend server with the address's IP number.
func (f *fleet) wiresOf(address string) *wires {
	host, _, _ := net.SplitHostPort(address)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.wires[host]
	if w == nil {
		w = newWires()
		f.wires[host] = w
	}
	return w
}

// entries returns the VMs that the balancer would pick: those up, but for those that have hung for a while.
func (f *fleet) entries(string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, v := range f.vms {
		hung := !v.pausedAt.IsZero() && time.Since(v.pausedAt) > balancerNotice
		if v.up && !hung {
			out = append(out, "http://"+v.Callers)
		}
	}
	return out
}

// broke notes a caller's connection that broke. A VM that was neither killed nor paused breaks none, also while it stops.
func (f *fleet) broke(entry string, begun time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if "http://"+v.Callers != entry || !v.pausedAt.IsZero() || v.hurtAt.After(begun) {
			continue
		}
		f.oracle.Violate(oracle.OrderlyStop, "%s broke a call off: %v", v.Name, err)
	}
}

func (f *fleet) kill(v *vm) error {
	f.mu.Lock()
	v.up = false
	v.hurtAt = time.Now()
	f.mu.Unlock()
	return v.Kill()
}

// shutdown ends a VM in order; its error tells of requests that were cut off.
func (f *fleet) shutdown(v *vm) error {
	f.mu.Lock()
	v.up = false
	f.mu.Unlock()
	return errors.Join(v.Stop(), v.ExitError())
}

func (f *fleet) start(v *vm) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	err := f.cluster.StartVM(ctx, v.VM)
	f.mu.Lock()
	defer f.mu.Unlock()
	v.up = err == nil
	return err
}

func (f *fleet) pause(v *vm) error {
	f.mu.Lock()
	v.pausedAt = time.Now()
	v.hurtAt = v.pausedAt
	f.mu.Unlock()
	return v.Pause()
}

func (f *fleet) resume(v *vm) error {
	err := v.Resume()
	f.mu.Lock()
	defer f.mu.Unlock()
	v.pausedAt = time.Time{}
	v.hurtAt = time.Now()
	return err
}
