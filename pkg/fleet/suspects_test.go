package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// A change that other VMs must know of wakes the streams to them; one that changes nothing there waits for the next message.
func TestSuspectsThatOtherVMsMustKnow(t *testing.T) {
	one := &daisyhatchv1.Suspect{Fingerprint: 1, Crashes: 1, EndedServers: 1}
	together := &daisyhatchv1.Suspect{Fingerprint: 1, Crashes: 1, EndedServers: 2}
	apart := &daisyhatchv1.Suspect{Fingerprint: 1, Crashes: 2, EndedServers: 2}
	later := &daisyhatchv1.Suspect{Fingerprint: 1, Crashes: 2, EndedServers: 2, ExpiresUnixMs: 9}
	require.Equal(t, []*daisyhatchv1.Suspect{together, apart}, sharedSuspects([]*daisyhatchv1.Suspect{one, together, apart}))
	require.False(t, equalSuspect(one, together))
	require.False(t, equalSuspect(together, apart))
	require.True(t, equalSuspect(apart, later))
}
