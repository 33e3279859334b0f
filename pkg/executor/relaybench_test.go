package executor_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/memnet"
	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

var (
	relaySeeds = flag.Int("relay.seeds", 1, "seeds of each case")
	relayTime  = flag.Duration("relay.time", 5*time.Second, "length of each run, virtual")
	relayLoad  = flag.Float64("relay.load", 12, "requests a second")
)

const relayUnits = 8

// relayFleet hands out slots on the least busy stand-in of a role. It implements dispatch.Slots.
type relayFleet struct {
	mu      sync.Mutex
	servers []*standin.Server
	busy    []int
}

type relaySlot struct {
	f *relayFleet
	i int
}

func (s *relaySlot) Target() engine.Target { return s.f.servers[s.i].Target() }
func (s *relaySlot) Cold() bool            { return false }
func (s *relaySlot) Valid() bool           { return true }
func (s *relaySlot) Done(dispatch.Report) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.busy[s.i]--
}

func (f *relayFleet) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	for {
		if s := f.take(r.Role); s != nil {
			return s, nil
		}
		if r.SpareOnly {
			return nil, apierr.New(503, apierr.NoCapacity, "nothing to spare")
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return nil, apierr.New(503, apierr.NoCapacity, "gave up waiting")
		}
	}
}

func (f *relayFleet) take(role string) *relaySlot {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := -1
	for i, s := range f.servers {
		if role != "" && s.Target().Role != role || f.busy[i] >= relayUnits {
			continue
		}
		if best < 0 || f.busy[i] < f.busy[best] {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	f.busy[best]++
	return &relaySlot{f, best}
}

// relayResult is what one run gave.
type relayResult struct {
	first, between []time.Duration
	failed         int
}

func relayRun(t *testing.T, seed uint64, roles bool) (r relayResult) {
	synctest.Test(t, func(t *testing.T) {
		net, f := memnet.New(), &relayFleet{}
		for i := range 6 {
			o := standin.Options{
				Name: fmt.Sprint("s", i), Address: fmt.Sprintf("10.0.1.%d:80", i+1), Listen: net.Listen, Tokens: 40,
				FirstToken: 20 * time.Millisecond, BlockTime: 20 * time.Millisecond, TokenTime: 15 * time.Millisecond, Interference: 1,
			}
			if roles {
				o.Role = []string{engine.RolePrefill, engine.RoleDecode, engine.RoleDecode}[i%3]
			}
			s := standin.New(o)
			require.NoError(t, s.Start())
			f.servers, f.busy = append(f.servers, s), append(f.busy, 0)
		}
		client := openai.New(openai.Options{Dial: net.Dialer("10.0.0.1")})
		e := executor.New(executor.Options{Slots: f, Engine: client, Log: discard()})
		r = relayLoadRun(e, seed)
		require.NoError(t, e.Wait(t.Context()))
		client.Close()
		for _, s := range f.servers {
			s.Crash()
		}
	})
	return r
}

// relayLoadRun sends streams whose prompts share no prefix.
func relayLoadRun(e *executor.Executor, seed uint64) (r relayResult) {
	rng := rand.New(rand.NewPCG(seed, 3))
	plan := must(executor.PlanPipeline(testSet(), "chat"))
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	for end, n := time.Now().Add(*relayTime), 0; time.Now().Before(end); n++ {
		prompt := fmt.Sprintf("%d %0*d", n, 2048+rng.IntN(6<<10), 0)
		wg.Go(func() {
			began := time.Now()
			var last time.Time
			var gaps []time.Duration
			var first time.Duration
			_, err := e.Run(context.Background(), executor.Request{
				ID: fmt.Sprint("r", n), Organisation: "huts", Plan: plan, Stream: true, Deadline: began.Add(5 * time.Second),
				Body: fmt.Appendf(nil, `{"messages":[{"role":"user","content":"%s"}]}`, prompt),
			}, func(ev engine.Event) error {
				now := time.Now()
				if first == 0 {
					first = now.Sub(began)
				} else if !ev.End {
					gaps = append(gaps, now.Sub(last))
				}
				last = now
				return nil
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.failed++
				return
			}
			r.first, r.between = append(r.first, first), append(r.between, gaps...)
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / *relayLoad * float64(time.Second)))
	}
	return r
}

func at(d []time.Duration, share float64) time.Duration {
	slices.Sort(d)
	return d[int(share*float64(len(d)-1))]
}

// TestHandoverLatency compares first token and time between tokens of six servers that do all, and of two for prompts and
// four for tokens. No request may be lost.
func TestHandoverLatency(t *testing.T) {
	for seed := range uint64(*relaySeeds) {
		for _, roles := range []bool{false, true} {
			r := relayRun(t, seed, roles)
			require.Zero(t, r.failed)
			t.Logf("seed %d, roles %t: %d requests, first token %v, 95 %% %v; between tokens %v, 95 %% %v, 99 %% %v", seed, roles,
				len(r.first), at(r.first, 0.5), at(r.first, 0.95), at(r.between, 0.5), at(r.between, 0.95), at(r.between, 0.99))
		}
	}
}
