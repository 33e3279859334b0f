package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

func controls(n int) []streamState {
	var out []streamState
	for i := range n {
		out = append(out, streamState{address: fmt.Sprint("10.0.0.", i, ":1")})
	}
	return out
}

// 295 entry VMs must spread over five control VMs, and each keeps what it has while that is sound.
func TestStreamsSpreadOverControlVMs(t *testing.T) {
	count := map[string]int{}
	for vm := range 295 {
		for _, a := range chooseStreams(fmt.Sprint("entry-", vm), controls(5)) {
			count[a]++
		}
	}
	require.Len(t, count, 5)
	for a, n := range count {
		require.InDelta(t, 2*295/5, n, 30, "streams of %s", a)
	}
}

func TestStreamThatIsLostIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := controls(5)
		var sound []string
		for i := range list {
			s := &list[i]
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				s.open, s.confirmed = true, true
				sound = append(sound, s.address)
			case 1:
				s.open = true
			case 2:
				s.open, s.failing = true, true
			case 3:
				s.avoided = time.Duration(rapid.Int64Range(1, int64(avoidFor)).Draw(t, "avoided"))
			}
		}
		better := 0
		for _, s := range list {
			if !s.failing && s.avoided == 0 {
				better++
			}
		}
		got := chooseStreams("vm", list)
		if len(got) != followStreams {
			t.Fatalf("%v", got)
		}
		kept := 0
		for _, a := range got {
			k := slices.IndexFunc(list, func(s streamState) bool { return s.address == a })
			if list[k].confirmed {
				kept++
			}
			if (list[k].avoided > 0 || list[k].failing) && better >= followStreams {
				t.Fatalf("%s failed a moment ago, and there are %d others: %v", a, better, list)
			}
		}
		if kept < min(followStreams, len(sound)) {
			t.Fatalf("a sound stream was given up: %v of %v", got, sound)
		}
	})
}

// Replays a stop of all control VMs of which two stay down: whatever two a VM prefers, it finds the others with its next
// tries, a tenth of a second each.
func TestControlVMsThatAreBackAreFoundSoon(t *testing.T) {
	for vm := range 50 {
		name, all := fmt.Sprint("entry-", vm), controls(5)
		avoided := make(map[string]time.Time)
		now := time.Unix(1000, 0)
		down := chooseStreams(name, slices.Clone(all))
		for tries := 0; ; tries++ {
			require.Less(t, tries, 6, "%s does not find a control VM", name)
			list := controls(5)
			for i := range list {
				list[i].avoided = max(0, avoided[list[i].address].Sub(now))
			}
			chosen := chooseStreams(name, list)
			if tries >= 3 && !slices.Contains(down, chosen[0]) {
				break
			}
			for _, a := range chosen {
				avoided[a] = now.Add(avoidFor)
			}
			now = now.Add(followRetry)
		}
	}
}

// What 300 VMs hear of 300 must not grow with each change by all: a change costs its own ids.
func TestEntryVMsAreToldByTheirChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Control{opts: ControlOptions{State: NewState()}, started: now.Add(-time.Hour), followers: make(map[uint64]follower)}
	f := &feed{control: c}
	known := NewState()
	take := func() *daisyhatchv1.FollowResponse {
		now = now.Add(entriesInterval)
		m := &daisyhatchv1.FollowResponse{}
		f.fillEntries(m, now)
		known.setEntries("control", m.GetEntriesAdded(), m.GetEntriesRemoved(), m.GetEntriesComplete(), now)
		return m
	}
	for i := range 295 {
		c.addFollower(&daisyhatchv1.FollowRequest{Vm: fmt.Sprint("entry-", i)})
	}
	c.opts.State.setEntries("other control VM", []uint64{EntryID("entry-elsewhere")}, nil, true, now)
	require.Len(t, take().GetEntriesAdded(), 296)
	require.Len(t, known.Entries(now), 296)
	c.addFollower(&daisyhatchv1.FollowRequest{Vm: "entry-new"})
	m := take()
	require.Equal(t, []uint64{EntryID("entry-new")}, m.GetEntriesAdded())
	require.False(t, m.GetEntriesComplete())
	require.Empty(t, take().GetEntriesAdded())
	c.dropFollower(&daisyhatchv1.FollowRequest{Vm: "entry-new"})
	c.expireFollowers(time.Now().Add(followerKept + time.Second))
	require.Contains(t, take().GetEntriesRemoved(), EntryID("entry-new"))
}

// A control VM that has just started doesn't know all entry VMs; the shares made of the few would be too large.
func TestControlVMTellsOfNoEntryVMsAtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Control{opts: ControlOptions{State: NewState()}, started: now, followers: make(map[uint64]follower)}
	c.addFollower(&daisyhatchv1.FollowRequest{Vm: "entry-1"})
	f, m := &feed{control: c}, &daisyhatchv1.FollowResponse{}
	f.fillEntries(m, now.Add(entriesSettle-1))
	require.Empty(t, m.GetEntriesAdded())
	f.fillEntries(m, now.Add(entriesSettle))
	require.Len(t, m.GetEntriesAdded(), 1)
}

func TestDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfDistinct(rapid.Uint64Range(0, 30), rapid.ID[uint64])
		old, now := ids.Draw(t, "old"), ids.Draw(t, "now")
		slices.Sort(old)
		slices.Sort(now)
		added, removed := difference(old, now)
		got := slices.DeleteFunc(append(slices.Clone(old), added...), func(id uint64) bool { return slices.Contains(removed, id) })
		slices.Sort(got)
		if !slices.Equal(got, now) {
			t.Fatalf("%v with %v and without %v is %v, not %v", old, added, removed, got, now)
		}
	})
}

// The control group is split, and both control VMs that an entry VM follows are on the side without a majority, while the VM
// reaches the others. It has to hear one of those within 3 s, from when on the bounds of changes hold for it.
func TestSplitGroupIsLeftInTime(t *testing.T) {
	const bound = 3 * time.Second
	split := time.Unix(1000, 0)
	for vm := range 20 {
		f := NewFollower(FollowerOptions{VM: fmt.Sprint("entry-", vm)})
		var addresses []string
		for _, s := range controls(5) {
			addresses = append(addresses, s.address)
		}
		followed := f.wanted(addresses, split)
		for _, a := range followed {
			// Their last word that the group confirms them comes up to confirmLife after the split.
			f.sources[a] = &follow{opened: split.Add(-time.Minute), since: split.Add(-time.Minute), current: split.Add(confirmLife)}
		}
		now := f.wanted(addresses, split.Add(bound))
		require.True(t, slices.ContainsFunc(now, func(a string) bool { return !slices.Contains(followed, a) }),
			"entry-%d still follows %v alone", vm, followed)
	}
}
