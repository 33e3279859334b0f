package processes

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
)

// finalCalls is how many calls of each kind must succeed once the system has recovered.
const finalCalls = 5

// SystemOptions describe a run of the whole system under faults.
type SystemOptions struct {
	BinDir string
	// Dir is an empty folder for the VMs' settings, data and logs.
	Dir  string
	Seed uint64
	// Time is the wall-clock time under load and faults.
	Time time.Duration
	// Callers send requests one after the other, each after a random pause of Pace on average.
	Callers int
	Pace    time.Duration
}

// RunSystem runs the whole system under faults drawn from the seed and returns what the oracle saw.
func RunSystem(ctx context.Context, o SystemOptions) (*oracle.Report, error) {
	f, err := newFleet(ctx, o.BinDir, o.Dir, o.Seed)
	if err != nil {
		return nil, err
	}
	keep := workload.NewDomainKeeper(f.system)
	defer keep.Close()
	until := time.Now().Add(o.Time)
	var wg sync.WaitGroup
	for i := range o.Callers {
		c := workload.NewCaller(f.system, workload.CallerHost(i), i, o.Seed)
		wg.Go(func() { c.Run(until, o.Pace) })
	}
	ch := &chaos{f: f, rng: rand.New(rand.NewPCG(o.Seed, 7)), keep: keep}
	wg.Go(func() { ch.run(until) })
	wg.Wait()
	time.Sleep(recoveryTime)
	f.mustServe(o)
	err = f.end()
	return f.oracle.Report(o.Seed), err
}

// mustServe checks that the system serves again once the faults have ended.
func (f *fleet) mustServe(o SystemOptions) {
	c := workload.NewCaller(f.system, workload.CallerHost(o.Callers), o.Callers, o.Seed)
	defer c.Close()
	for _, k := range []oracle.Kind{oracle.Whole, oracle.Stream, oracle.Booking} {
		for range finalCalls {
			if !c.One(k) {
				f.oracle.Violate(oracle.Recovery, "a %s request got no answer after all faults ended", k)
			}
		}
	}
}
