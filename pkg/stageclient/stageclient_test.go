package stageclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
)

var begin = time.Unix(1000, 0)

func sources(addresses ...string) []fleet.Source {
	var out []fleet.Source
	for _, a := range addresses {
		out = append(out, fleet.Source{Address: a, Steady: begin.Add(-time.Hour)})
	}
	return out
}

// All entry VMs must form a service's calls on one control VM, in whatever order they hear of them; when it is lost they
// must agree on the next one, and services spread.
func TestVMsAgreeOnTheOwnerOfAService(t *testing.T) {
	owners := map[string]bool{}
	for _, service := range []string{"encode", "retrieve", "rerank", "check", "bill", "send"} {
		a, ok := firstOwner(service, sources("a", "b", "c", "d", "e"), nil, begin)
		require.True(t, ok)
		b, _ := firstOwner(service, sources("e", "c", "a", "d", "b"), nil, begin)
		require.Equal(t, a.Address, b.Address)
		owners[a.Address] = true
		var left []string
		for _, x := range []string{"a", "b", "c", "d", "e"} {
			if x != a.Address {
				left = append(left, x)
			}
		}
		lost, _ := firstOwner(service, sources(left...), nil, begin)
		tried, _ := firstOwner(service, sources("a", "b", "c", "d", "e"), map[string]bool{a.Address: true}, begin)
		require.Equal(t, lost.Address, tried.Address, "one that is lost and one that failed lead to the same VM")
	}
	require.Greater(t, len(owners), 1)
	_, ok := firstOwner("encode", nil, nil, begin)
	require.False(t, ok)
}

// A control VM that comes back must not take its services from the one that has their calls in hand.
func TestVMThatComesBackGetsItsServicesLater(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	first, _ := firstOwner("encode", sources(all...), nil, begin)
	back := func(steady time.Time) string {
		live := sources(all...)
		for i := range live {
			if live[i].Address == first.Address {
				live[i].Steady = steady
			}
		}
		o, ok := firstOwner("encode", live, nil, begin)
		require.True(t, ok)
		return o.Address
	}
	require.NotEqual(t, first.Address, back(begin.Add(-time.Second)))
	require.NotEqual(t, first.Address, back(begin.Add(-settledAfter+time.Millisecond)))
	require.Equal(t, first.Address, back(begin.Add(-settledAfter)))
}

func TestVMsThatStartTogetherAreEqual(t *testing.T) {
	live := sources("a", "b", "c", "d", "e")
	for i := range live {
		live[i].Steady = begin.Add(time.Duration(i) * 500 * time.Millisecond)
	}
	got, _ := firstOwner("encode", live, nil, begin.Add(5*time.Second))
	want, _ := firstOwner("encode", sources("a", "b", "c", "d", "e"), nil, begin)
	require.Equal(t, want.Address, got.Address)
}
