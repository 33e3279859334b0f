package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/memnet"
	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
)

// chaos puts seeded faults on the system, one after the other, some of them overlapping.
type chaos struct {
	w    *world
	rng  *rand.Rand
	keep *workload.DomainKeeper
	wg   sync.WaitGroup

	mu   sync.Mutex
	down int
}

// fault is one kind of fault.
type fault struct {
	name string
	run  func(c *chaos)
}

func faults() []fault {
	return []fault{
		{"VMs killed", (*chaos).killVM},
		{"VMs shut down in order", (*chaos).shutdownVM},
		{"VMs cut off silently", (*chaos).isolateVM},
		{"VMs cut off one way", (*chaos).oneWay},
		{"servers crashed", (*chaos).crashServer},
		{"servers turned cold", (*chaos).chillServer},
		{"connections gone silent", (*chaos).silenceConnections},
		{"failure domains out and back", (*chaos).takeOut},
	}
}

// run makes faults until a time and waits until those begun have ended.
func (c *chaos) run(until time.Time) {
	all := faults()
	for time.Now().Before(until) {
		f := all[c.rng.IntN(len(all))]
		c.w.oracle.Count(f.name)
		f.run(c)
		time.Sleep(c.between(500*time.Millisecond, 4*time.Second))
	}
	c.wg.Wait()
}

func (c *chaos) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// takeVM picks a VM that is up and not under a fault. At most three are at once, so that a quorum of control VMs
// may be lost, and comes back.
func (c *chaos) takeVM() *vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.w.vms[c.rng.IntN(len(c.w.vms))]
	if !v.isUp() || v.frozen || c.down >= 3 {
		return nil
	}
	v.frozen = true
	c.down++
	return v
}

func (c *chaos) giveBack(v *vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v.frozen = false
	c.down--
}

func (c *chaos) killVM() {
	v := c.takeVM()
	if v == nil {
		return
	}
	pause := c.between(100*time.Millisecond, 8*time.Second)
	c.wg.Go(func() {
		defer c.giveBack(v)
		c.w.kill(v)
		time.Sleep(pause)
		c.restart(v)
	})
}

func (c *chaos) restart(v *vm) {
	if err := c.w.restart(v); err != nil {
		c.w.oracle.Violate(oracle.Recovery, "%s did not start again: %v", v.name, err)
	}
}

func (c *chaos) shutdownVM() {
	v := c.takeVM()
	if v == nil {
		return
	}
	c.wg.Go(func() {
		defer c.giveBack(v)
		if err := c.w.shutdown(v); err != nil {
			c.w.oracle.Violate(oracle.OrderlyStop, "%s did not stop in order: %v", v.name, err)
		}
		c.restart(v)
	})
}

func (c *chaos) isolateVM() {
	v := c.takeVM()
	if v == nil {
		return
	}
	pause := c.between(time.Second, 15*time.Second)
	c.wg.Go(func() {
		defer c.giveBack(v)
		// Control traffic only: the VM still reaches callers and backend servers, which makes it dangerous.
		for _, o := range c.w.vms {
			c.w.net.Cut(v.host, o.host, memnet.Silence)
		}
		time.Sleep(pause)
		for _, o := range c.w.vms {
			c.w.net.Cut(v.host, o.host, memnet.None)
		}
	})
}

func (c *chaos) oneWay() {
	from := c.w.vms[c.rng.IntN(workload.ControlCount)]
	to := c.w.vms[c.rng.IntN(len(c.w.vms))]
	pause := c.between(time.Second, 8*time.Second)
	c.wg.Go(func() {
		c.w.net.Set(from.host, to.host, memnet.Silence)
		time.Sleep(pause)
		c.w.net.Set(from.host, to.host, memnet.None)
	})
}

func (c *chaos) crashServer() { c.w.servers[c.rng.IntN(len(c.w.servers))].Crash() }

func (c *chaos) chillServer() { c.w.servers[c.rng.IntN(len(c.w.servers))].Chill(oracle.NoticeTime) }

func (c *chaos) silenceConnections() {
	v := c.w.vms[c.rng.IntN(len(c.w.vms))]
	s := c.w.servers[c.rng.IntN(len(c.w.servers))]
	c.w.net.Set(v.host, s.Host, memnet.SilenceOpen)
	c.w.net.Set(s.Host, v.host, memnet.SilenceOpen)
}

func (c *chaos) takeOut() {
	domains := workload.Domains()
	d := domains[c.rng.IntN(len(domains))]
	if !c.keep.Set(d, true, time.Now().Add(20*time.Second)) {
		return
	}
	time.Sleep(c.between(5*time.Second, 10*time.Second))
	c.keep.Set(d, false, time.Now().Add(20*time.Second))
}

// stopAll ends the run: servers crash, VMs are killed.
func (w *world) stopAll() error {
	close(w.system.Stop)
	for _, v := range w.vms {
		if v.isUp() {
			w.kill(v)
		}
	}
	w.system.Wait()
	for _, s := range w.servers {
		if err := s.Shutdown(context.Background()); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
	}
	return nil
}
