// Package processes runs a whole system as real processes on loopback under kills, pauses and restarts. It checks the
// promises as the run in virtual time does, and measures how long a published change takes to be in force.
package processes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/demo/cluster"
)

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("processes: promise broken")

const (
	// inForceLimit is the time in which a change is in force everywhere.
	inForceLimit = 4 * time.Second
	// operatorKey is a key of an operator of the example who may publish.
	operatorKey = "demo-operator-duty-lead"
	// pollEvery is the time between two looks at the version in force on a VM.
	pollEvery = 10 * time.Millisecond
	// healLimit bounds the wait for a VM that was restarted.
	healLimit = 20 * time.Second
)

// Options describe a run.
type Options struct {
	BinDir string
	Dir    string
	// Configuration is an example to publish again and again.
	Configuration string
	Changes       int
	// ElectionTimeout of the control VMs; 0 leaves the default.
	ElectionTimeout time.Duration
	Seed            uint64
	Out             io.Writer
}

// Sample is one change.
type Sample struct {
	// Fault is what was done to the leader just before.
	Fault string
	// Accepted and InForce are the times from the operator's command until it was accepted, and in force on all
	// live VMs.
	Accepted, InForce time.Duration
}

// run is one run.
type run struct {
	Options
	c       *cluster.Cluster
	rng     *rand.Rand
	text    string
	version uint64
	// highest is the highest version seen in force on each VM.
	highest map[string]uint64
	// faulted is the VM that is killed or paused now; nil when all are live.
	faulted *cluster.VM
}

// Run publishes changes, kills or pauses the leader before some of them, and returns what each took. It returns
// ErrBroken when an accepted change was lost or a VM went back.
func Run(ctx context.Context, o Options) ([]Sample, error) {
	text, err := os.ReadFile(o.Configuration)
	if err != nil {
		return nil, fmt.Errorf("processes: %w", err)
	}
	spec := cluster.Spec{BinDir: o.BinDir, Dir: o.Dir, BalancerDelay: 100 * time.Millisecond, ElectionTimeout: o.ElectionTimeout}
	for i := range 7 {
		spec.VMs = append(spec.VMs, cluster.VMSpec{
			Name: "vm-" + strconv.Itoa(i+1), Host: "127.0.12." + strconv.Itoa(i+1), FailureDomain: "tas-south-" + string(rune('a'+i%3)), Control: i < 3, Entry: true,
		})
	}
	c, err := cluster.New(spec)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.Start(ctx); err != nil {
		return nil, err
	}
	r := &run{
		Options: o, c: c, rng: rand.New(rand.NewPCG(o.Seed, 1)), text: string(text), highest: make(map[string]uint64),
	}
	if err := r.first(ctx); err != nil {
		return nil, err
	}
	return r.changes(ctx)
}

// first publishes the first version, until a leader takes it.
func (r *run) first(ctx context.Context) error {
	for {
		_, err := r.c.Command(ctx, cluster.BootstrapKey, "publish", r.Configuration, "--base", "0")
		if err == nil {
			r.version = 1
			return r.c.AwaitReady(ctx)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("processes: first version: %w", err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (r *run) changes(ctx context.Context) ([]Sample, error) {
	var samples []Sample
	for i := range r.Changes {
		fault, heal, err := r.fault(ctx, i)
		if err != nil {
			return samples, err
		}
		s, err := r.change(ctx, i)
		s.Fault = fault
		if err != nil {
			return samples, err
		}
		samples = append(samples, s)
		if err := heal(); err != nil {
			return samples, err
		}
		// A write to a terminal or log that fails has no better place to be told.
		_, _ = fmt.Fprintf(r.Out, "change %d: %s, accepted after %s, in force after %s\n", i+1, fault,
			s.Accepted.Round(time.Millisecond), s.InForce.Round(time.Millisecond))
	}
	return samples, nil
}

// fault kills or pauses the leader before each third change, in turn. heal undoes it.
func (r *run) fault(ctx context.Context, i int) (name string, heal func() error, err error) {
	nothing := func() error { return nil }
	if i%3 == 0 {
		return "no fault", nothing, nil
	}
	leader, err := r.leader(ctx)
	if err != nil {
		return "", nothing, err
	}
	r.faulted = leader
	if i%3 == 1 {
		heal := func() error {
			r.faulted = nil
			ctx, cancel := context.WithTimeout(ctx, healLimit)
			defer cancel()
			if err := r.c.StartVM(ctx, leader); err != nil {
				return err
			}
			return r.c.AwaitReady(ctx)
		}
		return "leader killed", heal, leader.Kill()
	}
	heal = func() error {
		r.faulted = nil
		if err := leader.Resume(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, healLimit)
		defer cancel()
		return r.awaitVersion(ctx, leader)
	}
	return "leader paused", heal, leader.Pause()
}

// leader asks the operators' client which VM leads.
func (r *run) leader(ctx context.Context) (*cluster.VM, error) {
	out, err := r.c.Command(ctx, operatorKey, "status", "--output", "json")
	if err != nil {
		return nil, err
	}
	var status struct {
		Leader string `json:"leader"`
	}
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		return nil, fmt.Errorf("processes: status: %w", err)
	}
	for _, v := range r.c.VMs {
		if v.Name == status.Leader {
			return v, nil
		}
	}
	return nil, fmt.Errorf("processes: no VM %q", status.Leader)
}

// change publishes one more version and measures it. A command whose outcome is unknown is resent with its ID.
func (r *run) change(ctx context.Context, i int) (Sample, error) {
	file := filepath.Join(r.Dir, "next.ini")
	text := r.text + fmt.Sprintf("\n# change %d\n", i)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return Sample{}, fmt.Errorf("processes: %w", err)
	}
	begin := time.Now()
	id := fmt.Sprintf("change-%d-%d", r.Seed, i)
	for {
		_, err := r.c.Command(ctx, operatorKey, "publish", file, "--base", strconv.FormatUint(r.version, 10), "--change-id", id, "--timeout", "1s")
		if err == nil {
			break
		}
		select {
		case <-ctx.Done():
			return Sample{}, fmt.Errorf("processes: change %d: %w", i, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
	r.version++
	s := Sample{Accepted: time.Since(begin)}
	err := r.inForceEverywhere(ctx)
	s.InForce = time.Since(begin)
	return s, errors.Join(err, r.neverBack())
}

// inForceEverywhere waits until the accepted version is in force on all live VMs.
func (r *run) inForceEverywhere(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make([]error, len(r.c.VMs))
	for i, v := range r.c.VMs {
		if v != r.faulted {
			wg.Go(func() { errs[i] = r.awaitVersion(ctx, v) })
		}
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (r *run) awaitVersion(ctx context.Context, v *cluster.VM) error {
	for {
		l, err := lookAt(v.Ops)
		if err == nil && l.version == r.version {
			return nil
		}
		if l.version > r.version {
			return fmt.Errorf("%w: %s has version %d, accepted is %d", ErrBroken, v.Name, l.version, r.version)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("processes: %s stays at version %d, wanted %d: %w", v.Name, l.version, r.version, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

// neverBack checks that no live VM has a lower version than before, also over restarts.
func (r *run) neverBack() error {
	for _, v := range r.c.VMs {
		if v == r.faulted {
			continue
		}
		l, err := lookAt(v.Ops)
		if err != nil {
			return err
		}
		if l.version < r.highest[v.Name] {
			return fmt.Errorf("%w: %s went back from version %d to %d", ErrBroken, v.Name, r.highest[v.Name], l.version)
		}
		r.highest[v.Name] = l.version
	}
	return nil
}

// Quantile returns the q-quantile of the times until changes were in force, over samples with the fault's name;
// an empty name takes all.
func Quantile(samples []Sample, fault string, q float64) time.Duration {
	var times []time.Duration
	for _, s := range samples {
		if fault == "" || s.Fault == fault {
			times = append(times, s.InForce)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}
