package processes

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
)

const (
	// mostFaulted is how many VMs may be down or paused at once, so that a quorum of control VMs may be lost.
	mostFaulted = 3
	// publishLimit bounds the wait for a change's outcome.
	publishLimit = 20 * time.Second
)

// chaos puts seeded faults on the processes and on the backend servers, some of them overlapping.
type chaos struct {
	f    *fleet
	rng  *rand.Rand
	keep *workload.DomainKeeper
	wg   sync.WaitGroup

	// faulted is guarded by the fleet's mutex.
	faulted int
}

// fault is one kind of fault.
type fault struct {
	name string
	run  func(c *chaos) bool
}

func faults() []fault {
	return []fault{
		{"VMs killed", (*chaos).killVM},
		{"VMs shut down in order", (*chaos).shutdownVM},
		{"VMs paused", (*chaos).pauseVM},
		{"servers crashed", (*chaos).crashServer},
		{"servers turned cold", (*chaos).chillServer},
		{"connections gone silent", (*chaos).silenceServer},
		{"connections cut", (*chaos).cutServer},
		{"failure domains out and back", (*chaos).takeOut},
	}
}

// run makes faults until a time and waits until those begun have ended.
func (c *chaos) run(until time.Time) {
	all := faults()
	for time.Now().Before(until) {
		f := all[c.rng.IntN(len(all))]
		if f.run(c) {
			c.f.oracle.Count(f.name)
		}
		time.Sleep(c.between(500*time.Millisecond, 4*time.Second))
	}
	c.wg.Wait()
}

func (c *chaos) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// takeVM picks a VM that is up and under no fault; nil when it has one or too many have.
func (c *chaos) takeVM() *vm {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	v := c.f.vms[c.rng.IntN(len(c.f.vms))]
	if !v.up || v.taken || c.faulted >= mostFaulted {
		return nil
	}
	v.taken = true
	c.faulted++
	return v
}

func (c *chaos) giveBack(v *vm) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	v.taken = false
	c.faulted--
}

// onVM runs steps on a VM after one another, with a pause after the first. It returns false when no VM could be taken.
func (c *chaos) onVM(pause time.Duration, p oracle.Promise, first, second func(v *vm) error) bool {
	v := c.takeVM()
	if v == nil {
		return false
	}
	c.wg.Go(func() {
		defer c.giveBack(v)
		if err := first(v); err != nil {
			c.f.oracle.Violate(p, "%s: %v", v.Name, err)
		}
		time.Sleep(pause)
		if err := second(v); err != nil {
			c.f.oracle.Violate(oracle.Recovery, "%s: %v", v.Name, err)
		}
	})
	return true
}

func (c *chaos) killVM() bool {
	return c.onVM(c.between(100*time.Millisecond, 8*time.Second), oracle.Recovery, c.f.kill, c.f.start)
}

func (c *chaos) shutdownVM() bool {
	return c.onVM(0, oracle.OrderlyStop, c.f.shutdown, c.f.start)
}

func (c *chaos) pauseVM() bool {
	return c.onVM(c.between(100*time.Millisecond, 15*time.Second), oracle.Recovery, c.f.pause, c.f.resume)
}

func (c *chaos) server() *workload.Server { return c.f.servers[c.rng.IntN(len(c.f.servers))] }

func (c *chaos) crashServer() bool {
	c.server().Crash()
	return true
}

func (c *chaos) chillServer() bool {
	c.server().Chill(oracle.NoticeTime)
	return true
}

func (c *chaos) silenceServer() bool {
	c.f.wiresOf(c.server().Address()).silence()
	return true
}

func (c *chaos) cutServer() bool {
	c.f.wiresOf(c.server().Address()).cut()
	return true
}

func (c *chaos) takeOut() bool {
	domains := workload.Domains()
	d := domains[c.rng.IntN(len(domains))]
	if !c.keep.Set(d, true, time.Now().Add(publishLimit)) {
		return false
	}
	time.Sleep(c.between(5*time.Second, 10*time.Second))
	c.keep.Set(d, false, time.Now().Add(publishLimit))
	return true
}
