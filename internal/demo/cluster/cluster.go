// Package cluster runs a whole system as real processes on loopback: control and entry VMs and stand-in backend
// servers. The demo and the tests on processes use it.
package cluster

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/auth"
)

// Errors of this package.
var (
	// ErrStart means that a process did not come up.
	ErrStart = errors.New("cluster: process did not start")
	// ErrTimeout means that something awaited did not happen in time.
	ErrTimeout = errors.New("cluster: waited too long")
)

// BootstrapKey publishes the first configuration.
const BootstrapKey = "demo-bootstrap"

// pollEvery is the time between two looks at something awaited.
const pollEvery = 50 * time.Millisecond

// Spec tells what to run.
type Spec struct {
	// BinDir holds daisyhatchd, daisyhatch and standin.
	BinDir string
	// Dir holds settings, data folders and logs.
	Dir string
	VMs []VMSpec
	// BalancerDelay is how long a VM that stops waits for the balancer.
	BalancerDelay time.Duration
	// Restart of the same Dir keeps the data folders.
	LogLevel string
	// ElectionTimeout of the control VMs; 0 leaves the default.
	ElectionTimeout time.Duration
}

// VMSpec is one VM.
type VMSpec struct {
	Name          string
	FailureDomain string
	Control       bool
	Entry         bool
	// Host is the loopback IP number that the VM listens on; empty means 127.0.0.1.
	Host string
}

// VM is one running daisyhatchd.
type VM struct {
	VMSpec
	Callers, Peers, Operators, Ops string

	settings string
	proc     *Process
}

// Cluster is a running system.
type Cluster struct {
	spec Spec
	VMs  []*VM

	mu       sync.Mutex
	standins []*Process
}

// New lays a cluster out: ports, folders and settings files. It starts nothing.
func New(spec Spec) (*Cluster, error) {
	c := &Cluster{spec: spec}
	for _, s := range spec.VMs {
		ports, err := freePorts(s.Host, 4)
		if err != nil {
			return nil, err
		}
		c.VMs = append(c.VMs, &VM{
			VMSpec: s, Callers: ports[0], Peers: ports[1], Operators: ports[2], Ops: ports[3],
			settings: filepath.Join(spec.Dir, s.Name+".ini"),
		})
	}
	for _, v := range c.VMs {
		if err := os.WriteFile(v.settings, []byte(c.settingsOf(v)), 0o600); err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
	}
	return c, nil
}

// FreePorts returns n addresses on loopback whose ports were free a moment ago.
func FreePorts(n int) ([]string, error) { return freePorts("", n) }

func freePorts(host string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(cmp.Or(host, "127.0.0.1"), "0"))
		if err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// settingsOf writes the settings of one VM.
func (c *Cluster) settingsOf(v *VM) string {
	var b strings.Builder
	var roles []string
	if v.Entry {
		roles = append(roles, "entry")
	}
	if v.Control {
		roles = append(roles, "control")
	}
	fmt.Fprintf(&b, "[vm]\nname = %s\nfailure-domain = %s\nroles = %s\n", v.Name, v.FailureDomain, strings.Join(roles, ", "))
	fmt.Fprintf(&b, "data-dir = data/%s\n\n[listen]\nops = %s\n", v.Name, v.Ops)
	if v.Entry {
		fmt.Fprintf(&b, "callers = %s\n", v.Callers)
	}
	if v.Control {
		fmt.Fprintf(&b, "peers = %s\noperators = %s\n", v.Peers, v.Operators)
	}
	fmt.Fprintf(&b, "\n[control]\nbootstrap-operator-key-hash = %s\n", auth.HashKey(BootstrapKey))
	fmt.Fprintf(&b, "addresses = %s\n", strings.Join(c.PeerAddresses(), ", "))
	if c.spec.ElectionTimeout > 0 {
		fmt.Fprintf(&b, "election-timeout = %s\n", c.spec.ElectionTimeout)
	}
	if v.Control {
		for _, p := range c.VMs {
			if p.Control {
				fmt.Fprintf(&b, "\n[peer %q]\naddress = %s\n", p.Name, p.Peers)
			}
		}
	}
	fmt.Fprintf(&b, "\n[shutdown]\nbalancer-delay = %s\nstop-limit = 20s\n", c.spec.BalancerDelay)
	if c.spec.LogLevel != "" {
		fmt.Fprintf(&b, "\n[log]\nlevel = %s\n", c.spec.LogLevel)
	}
	return b.String()
}

// PeerAddresses returns the peer addresses of the control VMs.
func (c *Cluster) PeerAddresses() []string {
	var out []string
	for _, v := range c.VMs {
		if v.Control {
			out = append(out, v.Peers)
		}
	}
	return out
}

// Start starts all VMs and waits until each answers health checks.
func (c *Cluster) Start(ctx context.Context) error {
	for _, v := range c.VMs {
		if err := c.StartVM(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// StartVM starts one VM, again after Kill or Stop.
func (c *Cluster) StartVM(ctx context.Context, v *VM) error {
	p, err := StartProcess(filepath.Join(c.spec.Dir, v.Name+".log"), filepath.Join(c.spec.BinDir, "daisyhatchd"), v.settings)
	if err != nil {
		return err
	}
	v.proc = p
	return c.await(ctx, v.Name+" to answer", func() (bool, error) {
		return statusOf("http://"+v.Ops+"/healthz") == http.StatusOK, p.exited()
	})
}

// AwaitReady waits until all VMs are ready: a leader is known and a configuration is in force.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for _, v := range c.VMs {
		err := c.await(ctx, v.Name+" to be ready", func() (bool, error) {
			return statusOf("http://"+v.Ops+"/readyz") == http.StatusOK, v.proc.exited()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func statusOf(url string) int {
	resp, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// await polls done until it is true, it fails or ctx ends.
func (c *Cluster) await(ctx context.Context, what string, done func() (bool, error)) error {
	for {
		ok, err := done()
		if err != nil {
			return fmt.Errorf("%w: awaiting %s: %w", ErrStart, what, err)
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w for %s", ErrTimeout, what)
		case <-time.After(pollEvery):
		}
	}
}

// Kill ends a VM at once, as a crash does.
func (v *VM) Kill() error { return v.proc.signalAndWait(syscall.SIGKILL) }

// Stop ends a VM in order.
func (v *VM) Stop() error { return v.proc.signalAndWait(syscall.SIGTERM) }

// ExitError tells how a VM that ended did so: nil when it stopped in order.
func (v *VM) ExitError() error {
	<-v.proc.done
	return v.proc.err
}

// Pause freezes a VM until Resume.
func (v *VM) Pause() error { return v.proc.Pause() }

// Resume lets a paused VM go on.
func (v *VM) Resume() error { return v.proc.Resume() }

// StartStandin starts a stand-in backend server that announces itself to all entry VMs.
func (c *Cluster) StartStandin(name string, args ...string) (*Process, error) {
	all := []string{"--name", name}
	for _, v := range c.VMs {
		if v.Entry {
			all = append(all, "--entry", "http://"+v.Callers)
		}
	}
	p, err := StartProcess(filepath.Join(c.spec.Dir, name+".log"), filepath.Join(c.spec.BinDir, "standin"), append(all, args...)...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.standins = append(c.standins, p)
	c.mu.Unlock()
	return p, nil
}

// Command runs the operators' client with the key and returns what it printed.
func (c *Cluster) Command(ctx context.Context, key string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(c.spec.BinDir, "daisyhatch"), args...)
	var servers []string
	for _, v := range c.VMs {
		if v.Control {
			servers = append(servers, v.Operators)
		}
	}
	cmd.Env = append(os.Environ(), "DAISYHATCH_KEY="+key, "DAISYHATCH_SERVERS="+strings.Join(servers, ","))
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("daisyhatch %s: %w: %s%s", strings.Join(args, " "), err, out.String(), errOut.String())
	}
	return out.String(), nil
}

// Close stops every process that the cluster started: backend servers at once, then all VMs in order.
func (c *Cluster) Close() error {
	c.mu.Lock()
	standins := c.standins
	c.mu.Unlock()
	var errs []error
	for _, p := range standins {
		errs = append(errs, p.signalAndWait(syscall.SIGKILL))
	}
	var wg sync.WaitGroup
	for _, v := range c.VMs {
		if v.proc == nil {
			continue
		}
		wg.Go(func() {
			_ = v.Resume()
			_ = v.Stop()
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
