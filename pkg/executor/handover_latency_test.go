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
	// Flags that set the extent of TestHandoverLatency.
	latencySeeds   = flag.Int("relay.seeds", 1, "number of seeds for each case")
	latencyRunTime = flag.Duration("relay.time", 5*time.Second, "length of each run in virtual time")
	latencyLoad    = flag.Float64("relay.load", 12, "requests per second")
)

// slotsPerServer is the number of concurrent calls that a stand-in server accepts.
const slotsPerServer = 8

// leastBusySlots implements dispatch.Slots. It grants a slot on the least busy stand-in server of the requested
// role.
type leastBusySlots struct {
	mu      sync.Mutex
	servers []*standin.Server
	busy    []int
}

type leastBusySlot struct {
	f *leastBusySlots
	i int
}

func (s *leastBusySlot) Target() engine.Target { return s.f.servers[s.i].Target() }
func (s *leastBusySlot) Cold() bool            { return false }
func (s *leastBusySlot) Valid() bool           { return true }
func (s *leastBusySlot) Done(dispatch.Report) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.busy[s.i]--
}

// Acquire waits for a free slot; requests for spare capacity fail at once.
func (f *leastBusySlots) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	for {
		if s := f.tryAcquire(r.Role); s != nil {
			return s, nil
		}
		if r.SpareOnly {
			return nil, apierr.New(503, apierr.NoCapacity, "no spare capacity")
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return nil, apierr.New(503, apierr.NoCapacity, "context ended while waiting for a slot")
		}
	}
}

// tryAcquire returns a slot on the least busy server of the role, or nil if all are full.
func (f *leastBusySlots) tryAcquire(role string) *leastBusySlot {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := -1
	for i, s := range f.servers {
		if role != "" && s.Target().Role != role || f.busy[i] >= slotsPerServer {
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
	return &leastBusySlot{f, best}
}

// latencyResult holds the latencies measured in one run and the number of failed requests.
type latencyResult struct {
	firstToken, tokenGaps []time.Duration
	failed                int
}

// measureLatency runs the load against six stand-in servers, with or without roles, in virtual time.
func measureLatency(t *testing.T, seed uint64, roles bool) (r latencyResult) {
	synctest.Test(t, func(t *testing.T) {
		net, f := memnet.New(), &leastBusySlots{}
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
		r = sendStreams(e, seed)
		require.NoError(t, e.Wait(t.Context()))
		client.Close()
		for _, s := range f.servers {
			s.Crash()
		}
	})
	return r
}

// sendStreams sends streaming requests at random intervals. Their prompts share no prefix.
func sendStreams(e *executor.Executor, seed uint64) (r latencyResult) {
	rng := rand.New(rand.NewPCG(seed, 3))
	plan := must(executor.PlanPipeline(testSet(), "chat"))
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	for end, n := time.Now().Add(*latencyRunTime), 0; time.Now().Before(end); n++ {
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
			r.firstToken, r.tokenGaps = append(r.firstToken, first), append(r.tokenGaps, gaps...)
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / *latencyLoad * float64(time.Second)))
	}
	return r
}

// percentile returns the element of d at the given fraction, 0 to 1; it sorts d.
func percentile(d []time.Duration, share float64) time.Duration {
	slices.Sort(d)
	return d[int(share*float64(len(d)-1))]
}

// TestHandoverLatency compares the time to the first token and between tokens of six servers without roles with that
// of two prefill and four decode servers. No request may fail.
func TestHandoverLatency(t *testing.T) {
	for seed := range uint64(*latencySeeds) {
		for _, roles := range []bool{false, true} {
			r := measureLatency(t, seed, roles)
			require.Zero(t, r.failed)
			t.Logf("seed %d, roles %t: %d requests, first token %v, 95 %% %v; between tokens %v, 95 %% %v, 99 %% %v", seed, roles,
				len(r.firstToken), percentile(r.firstToken, 0.5), percentile(r.firstToken, 0.95), percentile(r.tokenGaps, 0.5), percentile(r.tokenGaps, 0.95), percentile(r.tokenGaps, 0.99))
		}
	}
}
