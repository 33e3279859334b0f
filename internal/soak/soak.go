package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// Options describe one run.
type Options struct {
	Seed uint64
	// Time is the virtual time under load and faults.
	Time time.Duration
	// Callers send requests one after the other, each after a random pause of Pace on average.
	Callers int
	Pace    time.Duration
	// Dir is an empty folder for the VMs' data.
	Dir string
	Log logr.Logger
	// Faults turns the faults on.
	Faults bool
}

const (
	// settleTime is how long the system gets to come up, and to recover once the faults have ended.
	settleTime = 20 * time.Second
	// finalCalls is how many calls of each kind must succeed once it has recovered.
	finalCalls = 5
)

// Run runs one seeded run; call it inside a testing/synctest bubble.
func Run(o Options) (*oracle.Report, error) {
	w := newWorld(o.Dir, o.Log, oneRegion)
	if err := w.begin(o.Seed); err != nil {
		return nil, err
	}
	keep := workload.NewDomainKeeper(w.system)
	var wg sync.WaitGroup
	until := time.Now().Add(o.Time)
	for i := range o.Callers {
		c := workload.NewCaller(w.system, workload.CallerHost(i), i, o.Seed)
		wg.Go(func() { c.Run(until, o.Pace) })
	}
	if o.Faults {
		c := &chaos{w: w, rng: rand.New(rand.NewPCG(o.Seed, 7)), keep: keep}
		wg.Go(func() { c.run(until) })
	}
	wg.Wait()
	w.net.Heal()
	time.Sleep(settleTime)
	w.mustServe(workload.NewCaller(w.system, workload.CallerHost(o.Callers), o.Callers, o.Seed))
	keep.Close()
	err := w.finish()
	return w.oracle.Report(o.Seed), err
}

// oneRegion puts all failure domains into one region.
func oneRegion(string) int { return 0 }

// finish stops all and closes the oracle's books.
func (w *world) finish() error {
	err := w.stopAll()
	w.oracle.Check(workload.Seen(w.servers))
	broken, total := w.invariants.Violations()
	for _, v := range broken {
		w.oracle.Violate(oracle.Invariant, "invariant %s: %s (%d in all)", v.Name, v.Detail, total)
	}
	return err
}

// begin starts all VMs and servers and publishes the first configuration.
func (w *world) begin(seed uint64) error {
	for _, v := range w.vms {
		if err := w.start(v); err != nil {
			return err
		}
	}
	text := workload.Configuration(nil)
	set, err := config.Parse("soak", []byte(text))
	if err != nil {
		return err
	}
	first := workload.NewOperator(w.system, workload.OperatorHost, "first", workload.BootstrapKey)
	defer first.Close()
	if _, err := first.Publish(0, text, time.Now().Add(settleTime)); err != nil {
		return err
	}
	w.servers, err = w.system.StartServers(set, rand.New(rand.NewPCG(seed, 3)))
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// mustServe checks with a caller that the system serves again once the faults have ended.
func (w *world) mustServe(c *workload.Caller) {
	defer c.Close()
	for _, k := range []oracle.Kind{oracle.Whole, oracle.Stream, oracle.Booking} {
		for range finalCalls {
			if !c.One(k) {
				w.oracle.Violate(oracle.Recovery, "a %s request got no answer after all faults ended", k)
			}
		}
	}
}
