package admission

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var grantorSeeds = flag.Uint64("keeper.seeds", 20, "number of seeds for the tests that change the grantor")

// offeredShare is the request rate below the limit, as a fraction of the limit; maxRefusedShare is the fraction of these
// requests that may be refused.
const (
	offeredShare    = 0.8
	maxRefusedShare = 0.01
)

// replaceGrantor removes the grantor for the time gap and then replaces it by one without state.
func (f *cluster) replaceGrantor(gap time.Duration, rate float64) {
	f.lossRate = 1
	f.run(gap, rate, 20*time.Millisecond, f.randomEntry)
	f.lossRate = 0
	f.authority.Fence++
	f.authority.Learning = true
	f.allotter = NewAllotter()
	f.run(unitsTTL, rate, 20*time.Millisecond, f.randomEntry)
	f.authority.Learning = false
}

// totalWaiting returns the number of waiting requests on all entry VMs.
func (f *cluster) totalWaiting() (n int) {
	for _, w := range f.waiting {
		n += w
	}
	return n
}

// TestLossOfTheGrantorRefusesNothingBelowTheRate loses the grantor without a handover. An organisation below its rate
// must have hardly any request refused, and one above it must not exceed the limit by more than 10 %.
func TestLossOfTheGrantorRefusesNothingBelowTheRate(t *testing.T) {
	maxNotServed, maxAdmittedShare := 0, 0.0
	for seed := range *grantorSeeds {
		l := Limits{Rate: 100, Burst: 50}
		for _, rate := range []float64{offeredShare * l.Rate, 3 * l.Rate} {
			f := newCluster(t, 8, l)
			f.rng = rand.New(rand.NewPCG(seed, 1))
			begin := f.now
			f.run(10*time.Second, rate, 20*time.Millisecond, f.randomEntry)
			refusedBefore, arrivedBefore := f.refused, f.admitted+f.refused
			f.replaceGrantor(1060*time.Millisecond+time.Duration(f.rng.IntN(900))*time.Millisecond, rate)
			f.run(5*time.Second, rate, 20*time.Millisecond, f.randomEntry)
			limit := l.Rate*f.now.Sub(begin).Seconds() + float64(l.Burst)
			require.LessOrEqual(t, float64(f.admitted), 1.1*limit, "seed %d", seed)
			maxAdmittedShare = max(maxAdmittedShare, float64(f.admitted)/limit)
			if rate < l.Rate {
				notServed := f.refused - refusedBefore + f.totalWaiting()
				maxNotServed = max(maxNotServed, notServed)
				require.LessOrEqual(t, float64(notServed), maxRefusedShare*float64(f.admitted+f.refused-arrivedBefore), "seed %d", seed)
			}
		}
	}
	t.Logf("below the rate at most %d refused or still waiting; above it at most %.1f %% of the limit admitted", maxNotServed, 100*maxAdmittedShare)
}

// TestLimitsAreHandedOver hands the limits over from grantor to grantor five times, under load. The limits must hold
// exactly, and an organisation below its rate must have hardly any request refused.
func TestLimitsAreHandedOver(t *testing.T) {
	maxNotServed := 0
	for seed := range *grantorSeeds {
		l := Limits{Rate: 100, Burst: 50, Concurrency: 40}
		for _, rate := range []float64{offeredShare * l.Rate, 3 * l.Rate} {
			f := newCluster(t, 8, l)
			f.rng = rand.New(rand.NewPCG(seed, 1))
			begin := f.now
			f.run(10*time.Second, rate, 20*time.Millisecond, f.randomEntry)
			refusedBefore, arrivedBefore := f.refused, f.admitted+f.refused
			for range 5 {
				next := NewAllotter()
				next.Import(f.allotter.Export(func(string) bool { return true }, f.authority.Fence), f.authority.Fence+1, f.now)
				f.allotter = next
				f.authority.Fence++
				f.run(time.Second, rate, 20*time.Millisecond, f.randomEntry)
			}
			require.LessOrEqual(t, float64(f.admitted), l.Rate*f.now.Sub(begin).Seconds()+float64(l.Burst), "seed %d", seed)
			require.LessOrEqual(t, f.maxInFlight, l.Concurrency)
			if rate < l.Rate {
				notServed := f.refused - refusedBefore + f.totalWaiting()
				maxNotServed = max(maxNotServed, notServed)
				require.LessOrEqual(t, float64(notServed), maxRefusedShare*float64(f.admitted+f.refused-arrivedBefore), "seed %d", seed)
			}
		}
	}
	t.Logf("below the rate at most %d refused or still waiting", maxNotServed)
}
