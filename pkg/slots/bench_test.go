package slots

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// newSlotsHolding returns Slots that hold units of n servers, as an entry VM in a fleet of 2,800 replicas does.
func newSlotsHolding(b *testing.B, n int) *Slots {
	b.Helper()
	s := New(Options{VM: "e", Incarnation: "1", FailureDomain: "a"})
	now := time.Now()
	demands := []grant.Demand{{Pool: "gen", Units: n}}
	r := s.holder.Ask("g", func(uint32) bool { return true }, demands, now)
	out := &daisyhatchv1.AcquireResponse{Sequence: r.Sequence}
	for i := range n {
		out.Grants = append(out.Grants, &daisyhatchv1.Grant{
			Server: &daisyhatchv1.Announcement{
				Server: fmt.Sprint("replica-", i), Incarnation: "1", Pool: "gen", FailureDomain: string(rune('a' + i%3)), Models: []string{"m"},
			},
			Units: 4, TtlMs: time.Hour.Milliseconds(), Budget: 16, Revision: uint32(i + 1), Load: &daisyhatchv1.Load{AgeMs: 300, Running: 7},
		})
	}
	s.apply("g", demands, out, now)
	return s
}

// prefix returns n distinct hashes of prefix blocks.
func prefix(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i) * 2654435761
	}
	return out
}

// BenchmarkDecision measures admission, routing and the grant check of one call, with 21,000 organisations known.
func BenchmarkDecision(b *testing.B) {
	names := make([]string, 21_000)
	weights := make(map[string]int, len(names))
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
		weights[names[i]] = 1 + i%10
	}
	for _, held := range []int{12, 24, 48} {
		b.Run(fmt.Sprint("servers-held-", held), func(b *testing.B) {
			s := newSlotsHolding(b, held)
			s.opts.Weight = func(o string) int { return weights[o] }
			set := &config.Set{
				Stages:    map[string]*config.Stage{"g": {Name: "g", Pool: "gen"}},
				Pipelines: map[string]*config.Pipeline{"p": {Steps: [][]string{{"g"}, {"g"}, {"g"}}}},
			}
			gate := admission.NewGate(admission.Options{
				Forecast: func(p, o string) time.Duration { return s.Forecast(set, p, o) },
				Limits:   func(string) admission.Limits { return admission.Limits{} },
			})
			ctx := context.Background()
			blocks := prefix(32)
			b.ReportAllocs()
			begin := cpuTime(b)
			for i := 0; b.Loop(); i++ {
				o := names[i%len(names)]
				deadline := time.Now().Add(5 * time.Second)
				leave, err := gate.Enter(ctx, admission.Request{Organisation: o, Pipeline: "p", Deadline: deadline})
				if err != nil {
					b.Fatal(err)
				}
				sl, err := s.Acquire(ctx, dispatch.SlotRequest{Pool: "gen", Organisation: o, Model: "m", Prefix: blocks, Deadline: deadline})
				if err != nil || !sl.Valid() {
					b.Fatal("no valid slot", err)
				}
				sl.Done(dispatch.Report{FirstToken: 10 * time.Millisecond})
				leave()
			}
			b.ReportMetric(float64(cpuTime(b)-begin)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkRoute measures the slot alone: routing and the grant check.
func BenchmarkRoute(b *testing.B) {
	for _, blocks := range []int{0, 32} {
		b.Run(fmt.Sprint("prefix-blocks-", blocks), func(b *testing.B) {
			s := newSlotsHolding(b, 48)
			ctx := context.Background()
			r := dispatch.SlotRequest{Pool: "gen", Organisation: "o", Prefix: prefix(blocks), Deadline: time.Now().Add(time.Hour)}
			b.ReportAllocs()
			begin := cpuTime(b)
			for b.Loop() {
				sl, err := s.Acquire(ctx, r)
				if err != nil || !sl.Valid() {
					b.Fatal("no valid slot", err)
				}
				sl.Done(dispatch.Report{FirstToken: 10 * time.Millisecond})
			}
			b.ReportMetric(float64(cpuTime(b)-begin)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkLimited measures admission for organisations with limits.
func BenchmarkLimited(b *testing.B) {
	c := admission.NewController("e", "1")
	l := admission.Limits{Rate: 1e9, Burst: 1e9, Concurrency: 1 << 20}
	now := time.Now()
	names := make([]string, 21_000)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
		c.Arrive(names[i], l, now)
	}
	out := &daisyhatchv1.DrawResponse{Sequence: c.Draw("k", func(string) bool { return true }, true, now).Sequence}
	for _, name := range names {
		out.Quotas = append(out.Quotas, &daisyhatchv1.Quota{Organisation: name, Tokens: 1 << 31, Units: 1 << 20, TtlMs: 1 << 30})
	}
	c.Apply("k", out, now)
	b.ReportAllocs()
	begin := cpuTime(b)
	for i := 0; b.Loop(); i++ {
		if v, _ := c.Arrive(names[i%len(names)], l, now); v != admission.Admit {
			b.Fatal("not admitted")
		}
		c.Leave(names[i%len(names)], now)
	}
	b.ReportMetric(float64(cpuTime(b)-begin)/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
