package stageclient

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
)

func sources(addresses ...string) []fleet.Source {
	var out []fleet.Source
	for _, a := range addresses {
		out = append(out, fleet.Source{Address: a})
	}
	return out
}

// All entry VMs must form a service's calls on one control VM, in whatever order they hear of them; when it is lost they
// must agree on the next one, and services spread.
func TestVMsAgreeOnTheOwnerOfAService(t *testing.T) {
	owners := map[string]bool{}
	for _, service := range []string{"encode", "retrieve", "rerank", "check", "bill", "send"} {
		a, ok := firstOwner(service, sources("a", "b", "c", "d", "e"), nil)
		require.True(t, ok)
		b, _ := firstOwner(service, sources("e", "c", "a", "d", "b"), nil)
		require.Equal(t, a.Address, b.Address)
		owners[a.Address] = true
		var left []string
		for _, x := range []string{"a", "b", "c", "d", "e"} {
			if x != a.Address {
				left = append(left, x)
			}
		}
		lost, _ := firstOwner(service, sources(left...), nil)
		tried, _ := firstOwner(service, sources("a", "b", "c", "d", "e"), map[string]bool{a.Address: true})
		require.Equal(t, lost.Address, tried.Address, "one that is lost and one that failed lead to the same VM")
	}
	require.Greater(t, len(owners), 1)
	_, ok := firstOwner("encode", nil, nil)
	require.False(t, ok)
}
