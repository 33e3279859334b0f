package slots_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/slots"
)

// loadResult counts the requests of one offerLoad run by their result.
type loadResult struct {
	inTime  int
	late    int
	refused int
	// slowestRefusal is the longest time until a request was refused.
	slowestRefusal time.Duration
}

// offerLoad sends requests through the gate to the first entry VM at a constant rate. Each request makes two calls, one
// after the other.
func (c *cluster) offerLoad(g *admission.Gate, organisation string, rate float64, d, deadline time.Duration) *loadResult {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := &loadResult{}
	gap := time.Duration(float64(time.Second) / rate)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		wg.Go(func() {
			begin := time.Now()
			err := c.runTwoCalls(g, organisation, begin.Add(deadline))
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				out.refused++
				out.slowestRefusal = max(out.slowestRefusal, took)
			case took > deadline:
				out.late++
			default:
				out.inTime++
			}
		})
	}
	wg.Wait()
	return out
}

func (c *cluster) runTwoCalls(g *admission.Gate, organisation string, deadline time.Time) error {
	leave, err := g.Enter(context.Background(), admission.Request{Organisation: organisation, Pipeline: "p", Deadline: deadline})
	if err != nil {
		return err
	}
	defer leave()
	for _, stage := range []string{"one", "two"} {
		r := request(organisation, time.Until(deadline))
		r.Stage = stage
		if _, err := c.call(c.entries[0], r, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// pipelineSet returns a configuration with a pipeline of two stages, both of which use the same pool.
func pipelineSet() *config.Set {
	set := testSet("")
	set.Stages = map[string]*config.Stage{"one": {Name: "one", Pool: "gen"}, "two": {Name: "two", Pool: "gen"}}
	set.Pipelines = map[string]*config.Pipeline{"p": {Name: "p", Steps: [][]string{{"one"}, {"two"}}, Deadline: time.Second}}
	return set
}

func (c *cluster) gate(e *slots.Slots, name string, limits map[string]admission.Limits) *admission.Gate {
	g := admission.NewGate(admission.Options{
		VM: name, Incarnation: "1", HTTP: c.network,
		Limits:   func(organisation string) admission.Limits { return limits[organisation] },
		Forecast: func(pipeline, organisation string) time.Duration { return e.Forecast(c.set, pipeline, organisation) },
		Grantors: func(shard uint32) (string, bool) {
			holder := c.machine.Lease(grant.LeaseName(shard)).GetHolder()
			return holder + ":1", holder != ""
		},
	})
	require.NoError(c, g.Start(context.Background()))
	return g
}

// TestGoodputStaysFlatPastSaturation offers two and three times the capacity of six servers, each of which runs four
// calls of 50 ms at a time. The rate of requests that end in time must stay within 5% of that at saturation.
func TestGoodputStaysFlatPastSaturation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 6)
		c.publish(pipelineSet())
		g := c.gate(c.entries[0], "e0", nil)
		c.offerLoad(g, "o", 100, 10*time.Second, time.Second)
		full := c.offerLoad(g, "o", 240, 10*time.Second, time.Second)
		for _, load := range []float64{480, 720} {
			over := c.offerLoad(g, "o", load, 10*time.Second, time.Second)
			t.Logf("at saturation %+v; at %v/s %+v", *full, load, *over)
			require.GreaterOrEqual(t, float64(over.inTime), 0.95*float64(full.inTime))
		}
		require.NoError(t, g.Stop(context.Background()))
		c.close()
	})
}

// TestBurstOfOneOrganisationDoesNotDelayOthers offers three times the capacity for one organisation and a low rate for
// another, whose requests must all end in time.
func TestBurstOfOneOrganisationDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 6)
		c.publish(pipelineSet())
		g := c.gate(c.entries[0], "e0", nil)
		c.offerLoad(g, "small", 100, 10*time.Second, time.Second)
		var large, small *loadResult
		var wg sync.WaitGroup
		wg.Go(func() { large = c.offerLoad(g, "large", 720, 10*time.Second, time.Second) })
		wg.Go(func() { small = c.offerLoad(g, "small", 20, 10*time.Second, time.Second) })
		wg.Wait()
		t.Logf("large %+v, small %+v", *large, *small)
		require.Zero(t, small.refused+small.late)
		require.NoError(t, g.Stop(context.Background()))
		c.close()
	})
}

// TestGateEnforcesLimits shares an organisation's limits between two entry VMs through the control VMs.
func TestGateEnforcesLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 1)
		set := testSet("")
		limits := admission.Limits{Rate: 50, Burst: 10, Concurrency: 4}
		set.Organisations = map[string]*config.Organisation{"o": {Name: "o", Rate: 50, Burst: 10, Concurrency: 4}}
		c.publish(set)
		var gates []*admission.Gate
		for i, e := range c.entries {
			gates = append(gates, c.gate(e, fmt.Sprint("e", i), map[string]admission.Limits{"o": limits}))
		}
		time.Sleep(2 * time.Second)
		var mu sync.Mutex
		var wg sync.WaitGroup
		admitted, limited, inFlight, most := 0, 0, 0, 0
		for i := range 1000 {
			wg.Go(func() {
				r := admission.Request{Organisation: "o", Deadline: time.Now().Add(time.Second)}
				leave, err := gates[i%2].Enter(context.Background(), r)
				var e *apierr.Error
				mu.Lock()
				if errors.As(err, &e) {
					require.Equal(t, http.StatusTooManyRequests, e.Status)
					require.Positive(t, e.RetryAfter)
					limited++
					mu.Unlock()
					return
				}
				admitted++
				inFlight++
				most = max(most, inFlight)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				inFlight--
				mu.Unlock()
				leave()
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		require.InDelta(t, 510, admitted, 51)
		require.LessOrEqual(t, most, 4)
		require.Equal(t, 1000, admitted+limited)
		for _, g := range gates {
			require.NoError(t, g.Stop(context.Background()))
		}
		c.close()
	})
}
