package grantservice

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// A grantor that dies without releasing its leases must be replaced by another, but not before the leases have expired.
func TestLeaseOfDeadGrantorIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fsm.New()
		log := replica.NewLocal("c1", m)
		start := func(vm string) *Service {
			s := New(Options{
				VM: vm, Incarnation: vm, Log: log, Lease: m.Lease,
				Config: func() (uint64, *config.Set) { return 0, nil },
			})
			require.NoError(t, s.Start(t.Context()))
			return s
		}
		first := start("c1")
		time.Sleep(time.Second)
		require.Equal(t, "c1", m.Lease(grant.LeaseName(0)).GetHolder())
		second := start("c2")
		time.Sleep(30 * time.Second)
		require.Equal(t, "c1", m.Lease(grant.LeaseName(0)).GetHolder(), "a lease that is renewed must not be taken over")
		first.cancel()
		<-first.done
		time.Sleep(grant.LeaseTTL - grant.RenewInterval)
		require.Equal(t, "c1", m.Lease(grant.LeaseName(0)).GetHolder(), "the lease was taken over before it expired")
		time.Sleep(30 * time.Second)
		require.Equal(t, "c2", m.Lease(grant.LeaseName(0)).GetHolder())
		second.cancel()
		<-second.done
	})
}
