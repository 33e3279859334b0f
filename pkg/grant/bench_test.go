package grant

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// size is the size of a system: its numbers of entry VMs, backend servers and control VMs.
type size struct {
	name     string
	entries  int
	replicas int
	controls int
	// units is the number of units that each entry VM wants of the only pool, from all grantors together.
	units int
}

var sizes = []size{
	{"today", 8, 30, 3, 15},
	{"quarter", 77, 700, 6, 60},
	{"design", 308, 2800, 22, 60},
}

// cluster is the grantors and holders of a system, which call each other without a network.
type cluster struct {
	size
	now      time.Time
	grantors []*Grantor
	holders  []*Holder
	owner    func(shard uint32) int
	// bytes is the size of the messages that the first holder sent and received.
	bytes int
}

func newCluster(s size) *cluster {
	f := &cluster{size: s, now: time.Unix(1000, 0), owner: func(shard uint32) int { return int(shard) % s.controls }}
	set := &config.Set{
		FailureDomains: make(map[string]*config.FailureDomain),
		Pools:          map[string]*config.Pool{poolName: {Concurrency: 16, ColdConcurrency: 2, WarmAfter: 20, ReportsLoad: true}},
	}
	for i := range 8 {
		set.FailureDomains[fmt.Sprint("domain-", i)] = &config.FailureDomain{}
	}
	for range s.controls {
		g := NewGrantor(nil, rand.New(rand.NewPCG(1, 2)), f.now)
		g.Configure(1, set)
		f.grantors = append(f.grantors, g)
	}
	for i := range s.entries {
		id := Identity{VM: fmt.Sprint("entry-", i), Incarnation: fmt.Sprint("0197-", i), FailureDomain: fmt.Sprint("domain-", i%8)}
		f.holders = append(f.holders, NewHolder(id, nil))
	}
	f.renew()
	return f
}

// renew renews all leases and repeats all announcements.
func (f *cluster) renew() {
	for shard := range uint32(Shards) {
		f.grantors[f.owner(shard)].LeaseRenewed(shard, 1, true, f.now, f.now)
	}
	for i := range f.replicas {
		name := fmt.Sprint("replica-", i, ".pool.example")
		f.grantors[f.owner(ShardOf(name))].Announce(&daisyhatchv1.Announcement{
			Server: name, Incarnation: fmt.Sprint("0197a0c8-", i), Pool: poolName, FailureDomain: fmt.Sprint("domain-", i%8),
			Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), Models: []string{"model-a"}, Adapters: []string{"x", "y"},
			Capabilities: []string{"resume", "cancel", "kv"}, Load: &daisyhatchv1.Load{AgeMs: 300, Running: 9, Queued: 1, Capacity: 16},
		}, f.now)
	}
}

// round sends one request of each holder to each grantor and advances the time to the next round.
func (f *cluster) round() {
	for i, h := range f.holders {
		for c := range f.grantors {
			f.ask(i, h, c)
		}
	}
	f.now = f.now.Add(RenewInterval)
	f.renew()
}

func (f *cluster) ask(i int, h *Holder, c int) {
	name := fmt.Sprint("grantor-", c)
	owns := func(shard uint32) bool { return f.owner(shard) == c }
	want := (f.units + f.controls - 1) / f.controls
	r := h.Ask(name, owns, []Demand{{Pool: poolName, Units: want}}, f.now)
	out, err := f.grantors[c].Acquire(r, f.now)
	if err != nil {
		panic(err)
	}
	if i == 0 {
		f.bytes += proto.Size(r) + proto.Size(out)
	}
	h.Apply(name, out, f.now)
}

// BenchmarkAcquire measures the time and allocations of one request, the bytes per second of one entry VM's messages,
// and the heap memory of one grantor.
func BenchmarkAcquire(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			var before, after runtime.MemStats
			f := newCluster(s)
			for range 8 {
				f.round()
			}
			f.bytes = 0
			f.round()
			perSecond := float64(f.bytes) / RenewInterval.Seconds()
			f.holders = f.holders[:1]
			owns := func(shard uint32) bool { return f.owner(shard) == 0 }
			demands := []Demand{{Pool: poolName, Units: (s.units + s.controls - 1) / s.controls}}
			b.ReportAllocs()
			begin := cpuTime(b)
			for b.Loop() {
				r := f.holders[0].Ask("grantor-0", owns, demands, f.now)
				out, err := f.grantors[0].Acquire(r, f.now)
				if err != nil {
					b.Fatal(err)
				}
				f.holders[0].Apply("grantor-0", out, f.now)
			}
			b.ReportMetric(float64(cpuTime(b)-begin)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(perSecond, "bytes/s/entry")
			runtime.GC()
			runtime.ReadMemStats(&before)
			f.grantors[0] = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(before.HeapAlloc-after.HeapAlloc)/1024, "KB/grantor")
		})
	}
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
