// Package demo runs the main job of daisyhatch on one machine: it starts control VMs, entry VMs and stand-in
// backend servers as real processes on loopback, publishes a configuration, sends requests through every pipeline
// and service, takes a failure domain out and brings it back, and checks what it sees.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/demo/cluster"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// ErrFailed means that something did not hold.
var ErrFailed = errors.New("demo: something did not hold")

const (
	// runTimeout bounds the whole demo.
	runTimeout = 3 * time.Minute
	// dryLimit is when a failure domain that was taken out receives no new work at the latest.
	dryLimit = 4 * time.Second
	// observeFor is how long a dry failure domain is watched.
	observeFor = 2 * time.Second
	// rampTime is given to a failure domain that was brought back.
	rampTime = 6 * time.Second
)

// Options say what to run.
type Options struct {
	// BinDir holds the programs.
	BinDir string
	// Configuration is the INI file to publish.
	Configuration string
	Out           io.Writer
	// Keep leaves the folder with settings, data and logs behind.
	Keep bool
}

// demo is one run.
type demo struct {
	Options
	dir     string
	set     *config.Set
	cluster *cluster.Cluster
	servers []*server
	failed  int
}

// server is one stand-in backend server.
type server struct {
	name          string
	failureDomain string
	pool          string
	address       string
}

// Run runs the demo. It returns ErrFailed when anything did not hold.
func Run(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	text, err := os.ReadFile(o.Configuration)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	set, err := config.Parse(o.Configuration, text)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	dir, err := os.MkdirTemp("", "daisyhatch-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d := &demo{Options: o, dir: dir, set: set}
	err = d.run(ctx)
	if d.cluster != nil {
		err = errors.Join(err, d.cluster.Close())
	}
	if o.Keep || err != nil {
		d.printf("settings, data and logs are in %s\n", dir)
		return err
	}
	return errors.Join(err, os.RemoveAll(dir))
}

func (d *demo) run(ctx context.Context) error {
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	if err := d.startServers(); err != nil {
		return err
	}
	if err := d.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	d.runPipelines(ctx)
	d.runStockClient(ctx)
	d.runServices(ctx)
	if err := d.giveOrder(ctx); err != nil {
		return err
	}
	if err := d.takeOutAndBack(ctx); err != nil {
		return err
	}
	if d.failed > 0 {
		return fmt.Errorf("%w: %d checks failed", ErrFailed, d.failed)
	}
	d.printf("\nall of it held\n")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	// Output goes to a terminal or a log; a failed write has no better place to be told.
	_, _ = fmt.Fprintf(d.Out, format, args...)
}

// check counts and prints what did not hold.
func (d *demo) check(ok bool, format string, args ...any) {
	word := "ok  "
	if !ok {
		word = "FAIL"
		d.failed++
	}
	d.printf("%s %s\n", word, fmt.Sprintf(format, args...))
}

// startVMs starts one control VM in each of the first three failure domains, all entry VMs too, and four more
// entry VMs, and publishes the configuration.
func (d *demo) startVMs(ctx context.Context) error {
	domains := names(d.set.FailureDomains)
	spec := cluster.Spec{BinDir: d.BinDir, Dir: d.dir, BalancerDelay: 200 * time.Millisecond}
	for i := range 7 {
		spec.VMs = append(spec.VMs, cluster.VMSpec{
			Name:          "vm-" + strconv.Itoa(i+1),
			FailureDomain: domains[i%len(domains)],
			Control:       i < 3,
			Entry:         true,
		})
	}
	c, err := cluster.New(spec)
	if err != nil {
		return err
	}
	d.cluster = c
	begin := time.Now()
	if err := c.Start(ctx); err != nil {
		return err
	}
	d.printf("%d VMs started in %s\n", len(c.VMs), since(begin))
	begin = time.Now()
	if err := d.publishFirst(ctx); err != nil {
		return err
	}
	if err := c.AwaitReady(ctx); err != nil {
		return err
	}
	d.printf("%s published and in force on all VMs in %s\n", filepath.Base(d.Configuration), since(begin))
	return nil
}

// publishFirst publishes the first version; until a leader is elected the client is told to try again.
func (d *demo) publishFirst(ctx context.Context) error {
	for {
		_, err := d.cluster.Command(ctx, cluster.BootstrapKey, "publish", d.Configuration, "--base", "0", "-m", "first version")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: publish: %w", err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// startServers starts as many stand-ins as the pools expect, spread over their failure domains.
func (d *demo) startServers() error {
	for _, name := range names(d.set.Pools) {
		p := d.set.Pools[name]
		for i := range p.Replicas {
			s := &server{
				name:          fmt.Sprintf("%s-%d", name, i+1),
				failureDomain: p.FailureDomains[i%len(p.FailureDomains)],
				pool:          name,
			}
			if err := d.startServer(s, p); err != nil {
				return err
			}
		}
	}
	d.printf("%d backend servers started\n", len(d.servers))
	return nil
}

func (d *demo) startServer(s *server, p *config.Pool) error {
	addresses, err := cluster.FreePorts(1)
	if err != nil {
		return err
	}
	s.address = addresses[0]
	args := []string{
		"--pool", s.pool, "--failure-domain", s.failureDomain, "--listen", s.address, "--key", "demo-announce",
		"--capacity", strconv.Itoa(p.Concurrency), "--cold-calls", strconv.Itoa(p.WarmAfter),
	}
	for _, m := range p.Models {
		args = append(args, "--model", m)
		for _, a := range d.set.Models[m].Adapters {
			args = append(args, "--adapter", a)
		}
	}
	if _, err := d.cluster.StartStandin(s.name, args...); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

func names[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func since(begin time.Time) string {
	return time.Since(begin).Round(time.Millisecond).String()
}
