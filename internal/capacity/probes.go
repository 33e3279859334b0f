package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/burn"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/membership"
	"github.com/daisyhatch/daisyhatch/pkg/routing"
)

// Names of slopes.
const (
	slopeParse         = "parse a configuration"
	slopeChange        = "parse a changed configuration"
	slopePeak          = "highest heap while a change is parsed"
	slopeSet           = "hold a parsed configuration"
	slopeText          = "configuration text"
	slopeServers       = "grantor: hold servers"
	slopeAnnounce      = "grantor: take announcements"
	slopeAcquire       = "grantor: answer holders"
	slopeHolder        = "entry: ask grantors"
	slopePick          = "entry: pick a server"
	slopeQueue         = "entry: queue a request"
	slopeRecord        = "entry: count a request"
	slopeAggregator    = "control: hold burn series"
	slopeMembers       = "control: take heartbeats"
	slopeClaimCPU      = "control: apply claims"
	slopeClaimHeap     = "control: hold claims"
	slopeLease         = "control: apply lease renewals"
	slopePublish       = "control: apply a publication"
	slopeSnapshot      = "control: snapshot with claims"
	slopeSync          = "control: write and sync a batch"
	slopeAcquireWire   = "wire: acquire, by grants"
	slopeDrawWire      = "wire: draw, by organisations"
	slopeClaimWire     = "wire: claims"
	slopeAnnouncedWire = "wire: announcements of backend servers"
	slopeAnnounceWire  = "wire: announcements"
	slopeBeatWire      = "wire: heartbeat, by burn series"
	slopeSuspectsWire  = "wire: lists of suspects"
	slopeWatchWire     = "wire: watch stream"
	slopeWatchCPU      = "control: send a change to watchers, processor time of both ends"
	slopeWatchTime     = "control: send a change to watchers, until the last has it"
	slopeStepWire      = "wire: consensus message, by entries"
	slopeCallCPU       = "wire: processor time of calls, both ends"
)

func probes() []probe {
	list := []probe{
		{slopeParse, "organisations", "s", []int{2000, 7000, 21_000}, measureParse},
		{slopeChange, "organisations, one of them changed", "s", []int{2000, 7000, 21_000}, measureChange},
		{slopePeak, "organisations, one of them changed", "byte", []int{2000, 7000, 21_000}, measurePeak},
		{slopeSet, "organisations", "byte", []int{2000, 7000, 21_000}, measureSet},
		{slopeText, "organisations", "byte", []int{2000, 7000, 21_000}, func(n int) (float64, error) {
			return float64(len(configurationText(n))), nil
		}},
		{slopeServers, "servers", "byte", []int{280, 930, 2800}, measureServers},
		{slopeAnnounce, "announcements", "s", []int{20_000, 60_000, 180_000}, measureAnnounce},
		{slopeAcquire, "holders asking once, 127 servers", "s", []int{30, 100, 308}, measureAcquire},
		{slopeHolder, "grantors asked once", "s", []int{3, 8, 22}, measureHolder},
		{slopePick, "picks of 8 candidates", "s", []int{100_000, 300_000, 900_000}, measurePick},
		{slopeQueue, "queued organisations, each item pushed and popped", "s", []int{2000, 7000, 21_000}, measureQueue},
		{slopeRecord, "requests counted", "s", []int{100_000, 300_000, 900_000}, measureRecord},
		{slopeAggregator, "organisations with a series", "byte", []int{128, 256, 512}, measureAggregator},
		{slopeMembers, "heartbeats", "s", []int{30_000, 100_000, 300_000}, measureMembers},
	}
	list = append(list, stateProbes()...)
	return append(list, wireProbes()...)
}

func measureParse(n int) (float64, error) {
	text := configurationText(n)
	return cpu(func() error {
		_, err := config.Parse("capacity.ini", text)
		return err
	})
}

// changedTexts returns two configurations that differ in one organisation.
func changedTexts(n int) [2][]byte {
	text := configurationText(n)
	return [2][]byte{text, bytes.Replace(text, []byte("weight = 2"), []byte("weight = 3"), 1)}
}

func measureChange(n int) (float64, error) {
	texts := changedTexts(n)
	p := config.NewParser()
	if _, err := p.Parse("capacity.ini", texts[0]); err != nil {
		return 0, err
	}
	total, err := cpu(func() error {
		for i := range rounds {
			if _, err := p.Parse("capacity.ini", texts[(i+1)%2]); err != nil {
				return err
			}
		}
		return nil
	})
	return total / rounds, err
}

// measurePeak returns the most heap above the start while a process takes up a configuration and then a change of it.
func measurePeak(n int) (float64, error) {
	texts := changedTexts(n)
	start := liveBytes()
	var highest atomic.Int64
	stop := make(chan struct{})
	done := make(chan struct{})
	go watchHeap(&highest, stop, done)
	p := config.NewParser()
	old, err := p.Parse("capacity.ini", texts[0])
	if err == nil {
		_, err = p.Parse("capacity.ini", texts[1])
	}
	close(stop)
	<-done
	runtime.KeepAlive(old)
	return float64(highest.Load() - start), err
}

// watchHeap keeps the highest count of heap bytes, garbage that is not yet swept included.
func watchHeap(highest *atomic.Int64, stop, done chan struct{}) {
	defer close(done)
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	for {
		metrics.Read(sample)
		highest.Store(max(highest.Load(), int64(sample[0].Value.Uint64())))
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Microsecond):
		}
	}
}

func measureSet(n int) (float64, error) {
	text := configurationText(n)
	var failed error
	bytes := heap(func() any {
		set, err := config.Parse("capacity.ini", text)
		failed = err
		return set
	})
	return bytes, failed
}

// newGrantor returns a grantor that holds all shards and knows servers servers.
func newGrantor(servers int) (*grant.Grantor, error) {
	set, err := configuration(10)
	if err != nil {
		return nil, err
	}
	g := grant.NewGrantor(nil, rand.New(rand.NewPCG(1, 2)), epoch)
	g.Configure(1, set)
	for shard := range uint32(grant.Shards) {
		g.LeaseRenewed(shard, 1, true, epoch, epoch)
	}
	for i := range servers {
		g.Announce(announcement(i), epoch)
	}
	return g, nil
}

func measureServers(n int) (float64, error) {
	var failed error
	bytes := heap(func() any {
		g, err := newGrantor(n)
		failed = err
		return g
	})
	return bytes, failed
}

func measureAnnounce(n int) (float64, error) {
	const servers = replicas / controlVMs
	g, err := newGrantor(servers)
	if err != nil {
		return 0, err
	}
	list := make([]*daisyhatchv1.Announcement, servers)
	for i := range list {
		list[i] = announcement(i)
	}
	return cpu(func() error {
		for i := range n {
			g.Announce(list[i%servers], epoch)
		}
		return nil
	})
}

// rounds is how often a short step is repeated within one measurement; the result is for one round.
const rounds = 20

// measureAcquire lets n holders ask one grantor of 127 servers for two pools each.
func measureAcquire(n int) (float64, error) {
	g, err := newGrantor(replicas / controlVMs)
	if err != nil {
		return 0, err
	}
	holders := make([]*grant.Holder, n)
	for i := range holders {
		holders[i] = grant.NewHolder(grant.Identity{VM: fmt.Sprint("vm-", i), Incarnation: "1", FailureDomain: fmt.Sprint("domain-", i%domains)}, nil)
	}
	owns := func(uint32) bool { return true }
	now := epoch
	round := func() error {
		now = now.Add(time.Millisecond)
		for i, h := range holders {
			demands := []grant.Demand{{Pool: fmt.Sprint("pool-", i%pipelines), Units: 1}, {Pool: fmt.Sprint("pool-", (i+1)%pipelines), Units: 1}}
			answer, err := g.Acquire(h.Ask("g", owns, demands, now), now)
			if err != nil {
				return err
			}
			h.Apply("g", answer, now)
		}
		return nil
	}
	if err := round(); err != nil { // the first round makes the holders known
		return 0, err
	}
	total, err := cpu(func() error {
		for range rounds {
			if err := round(); err != nil {
				return err
			}
		}
		return nil
	})
	return total / rounds, err
}

// measureHolder lets one holder with demand for all pools ask n grantors that hold the servers between them.
func measureHolder(n int) (float64, error) {
	h := grant.NewHolder(grant.Identity{VM: "vm", Incarnation: "1", FailureDomain: "domain-0"}, nil)
	var demands []grant.Demand
	for p := range pipelines {
		demands = append(demands, grant.Demand{Pool: fmt.Sprint("pool-", p), Units: 2})
	}
	answers := make([]*daisyhatchv1.AcquireResponse, n)
	for i := range answers {
		answers[i] = &daisyhatchv1.AcquireResponse{Fence: 1, ConfigurationVersion: 1}
		for range 2 {
			a := announcement(rand.New(rand.NewPCG(uint64(i), 3)).IntN(replicas))
			answers[i].Grants = append(answers[i].Grants, &daisyhatchv1.Grant{Server: a, Units: 1, TtlMs: 1500})
		}
	}
	owns := func(uint32) bool { return false }
	now := epoch
	const many = rounds * 50
	total, err := cpu(func() error {
		for range many {
			now = now.Add(grant.RenewInterval)
			for i, a := range answers {
				name := fmt.Sprint("grantor-", i)
				r := h.Ask(name, owns, demands, now)
				a.Sequence = r.GetSequence()
				h.Apply(name, a, now)
			}
			h.Tick(now)
		}
		return nil
	})
	return total / many, err
}

func measurePick(n int) (float64, error) {
	rng := rand.New(rand.NewPCG(1, 2))
	candidates := make([]routing.Candidate, 8)
	for i := range candidates {
		candidates[i] = routing.Candidate{Server: fmt.Sprint("server-", i), Units: 8, InFlight: rng.IntN(8)}
	}
	picker := routing.NewPicker()
	picked := 0
	total, err := cpu(func() error {
		for range n {
			picked += picker.Pick(routing.Call{}, candidates, epoch, rng)
		}
		return nil
	})
	if picked < 0 {
		return 0, fmt.Errorf("nothing picked")
	}
	return total, err
}

func measureQueue(n int) (float64, error) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
	}
	return cpu(func() error {
		q := admission.NewQueue[int]()
		for i, name := range names {
			q.Push(name, 2, 5, i)
		}
		for q.Len() > 0 {
			q.Pop()
		}
		return nil
	})
}

func measureRecord(n int) (float64, error) {
	r := burn.NewRecorder()
	names := make([]string, 100)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
	}
	return cpu(func() error {
		for i := range n {
			r.Record("pipeline-1", names[i%len(names)], i%50 != 0, epoch)
			r.RecordCost("pipeline-1", names[i%len(names)], "stage-1", 0.1, 0)
		}
		return nil
	})
}

func measureAggregator(n int) (float64, error) {
	return heap(func() any {
		a := burn.NewAggregator()
		for i := range n {
			a.Merge(epoch, "vm", "1", burn.Batch{Sequence: uint64(i + 1), Series: []*daisyhatchv1.BurnSeries{{
				Pipeline: "pipeline-1", Organisation: fmt.Sprint("organisation-", i), SlotS: 60, StartUnixS: epoch.Unix(),
				Good: []uint64{1}, Bad: []uint64{0},
			}}})
		}
		return a
	}), nil
}

func measureMembers(n int) (float64, error) {
	t := membership.New()
	beats := make([]*daisyhatchv1.HeartbeatRequest, entryVMs)
	for i := range beats {
		beats[i] = &daisyhatchv1.HeartbeatRequest{Vm: fmt.Sprint("vm-", i), Incarnation: "1", Entry: true}
	}
	return cpu(func() error {
		for i := range n {
			b := beats[i%len(beats)]
			b.Sequence++
			t.Heartbeat(b, epoch)
		}
		return nil
	})
}
