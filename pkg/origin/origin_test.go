package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDecide(t *testing.T) {
	known := Answer{Origin: Origin{"s", "old"}, Known: true}
	only := func(v ...string) Answer { return Answer{Versions: v, Complete: true} }
	started := func(v ...string) Answer { return Answer{Versions: v} }
	for name, tc := range map[string]struct {
		answers []Answer
		want    string
		ok      bool
	}{
		"one VM knows the stream":                    {[]Answer{only("old", "new"), known, only("new")}, "old", true},
		"known at a service that it left":            {[]Answer{{Origin: Origin{"s", "old"}, Known: true, Versions: []string{"new"}}}, "old", true},
		"one version for long":                       {[]Answer{only("old"), started("old")}, "old", true},
		"two versions":                               {[]Answer{only("old", "new")}, "", false},
		"another VM knows of a second version":       {[]Answer{only("old"), started("old", "new")}, "", false},
		"all VMs have just started":                  {[]Answer{started("old"), started("old")}, "", false},
		"a VM that has just started sees no servers": {[]Answer{started(), only("old")}, "old", true},
		"servers that name no version":               {[]Answer{only("")}, "", true},
		"no servers":                                 {[]Answer{only()}, "", false},
		"no answer":                                  {nil, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			o, err := Decide("s", tc.answers)
			if !tc.ok {
				require.ErrorIs(t, err, ErrUnknown)
				return
			}
			require.NoError(t, err)
			require.Equal(t, Origin{"s", tc.want}, o)
		})
	}
}

func TestTableKeepsStreamsForMaxTakeUp(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	for i := range uint64(200) {
		now = now.Add(MaxTakeUp / 50)
		table.Record(i, Origin{"s", "v"}, now)
		for back := range uint64(50) {
			if back <= i {
				_, ok := table.Find(i-back, now)
				require.True(t, ok, "stream of %d before", back)
			}
		}
		_, ok := table.Find(i-101, now)
		require.False(t, ok)
	}
	now = now.Add(2 * MaxTakeUp)
	_, ok := table.Find(199, now)
	require.False(t, ok)
	require.Zero(t, table.Len())
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range uint64(3 * maxStreams) {
		table.Record(i, Origin{}, time.Unix(1, 0))
	}
	require.LessOrEqual(t, table.Len(), maxStreams)
}
