package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM that is cut off from all control VMs forgot the other entry VMs after entrySourceTTL: it had no share of a limit any more, and
// took the extra retries of all VMs for its own.
func TestCutOffVMKeepsCountOfEntryVMs(t *testing.T) {
	now := time.Now()
	table := newEntryTable()
	table.update("a", []uint64{1, 2}, nil, true, now)
	now = now.Add(2 * entrySourceTTL)
	table.update("b", []uint64{2, 3}, nil, true, now)
	require.Equal(t, []uint64{2, 3}, table.all(now), "a control VM that fell silent while another one was heard is dropped")
	for range 4 {
		now = now.Add(entrySourceTTL)
		require.Equal(t, []uint64{2, 3}, table.all(now))
	}
	table.update("a", []uint64{2}, nil, true, now)
	require.Equal(t, []uint64{2}, table.all(now), "news from a control VM counts again")
}
