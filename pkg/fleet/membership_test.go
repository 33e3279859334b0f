package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testTime = time.Unix(5000, 0)

func member(vm string, silence time.Duration) Member {
	return Member{VM: vm, Instance: "disk-" + vm, Silence: silence}
}

func joiner(vm, instance string) Joiner {
	return Joiner{VM: vm, Address: vm + ":1", Instance: instance, RequestedAt: testTime}
}

func TestNextMembershipChange(t *testing.T) {
	three := []Member{member("a", 0), member("b", 0), member("c", 0)}
	five := append(three[:3:3], member("d", 0), member("e", 0))
	withDeadVoter := append(five[:4:4], member("e", deadAfter))
	cases := map[string]struct {
		members []Member
		joiners []Joiner
		add     string
		remove  string
	}{
		"full group without requests is unchanged":              {members: five},
		"small group adds a VM":                                 {members: three, joiners: []Joiner{joiner("d", "x")}, add: "d"},
		"silent voter stays without a replacement":              {members: withDeadVoter},
		"dead voter is removed before its replacement is added": {members: withDeadVoter, joiners: []Joiner{joiner("f", "x")}, remove: "e"},
		"member with a new instance is removed":                 {members: five, joiners: []Joiner{joiner("b", "new disk")}, remove: "b"},
		"member with the same instance stays":                   {members: five, joiners: []Joiner{joiner("b", "disk-b")}},
		"full group without a dead voter adds the new VM":       {members: five, joiners: []Joiner{joiner("f", "x")}, add: "f"},
		"dead voter above the target is removed":                {members: append(withDeadVoter[:5:5], member("f", 0)), remove: "e"},
		"expired join request is ignored": {members: three, joiners: []Joiner{
			{VM: "d", Instance: "x", RequestedAt: testTime.Add(-joinRequestTTL - 1)},
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NextMembershipChange(c.members, c.joiners, 5, testTime)
			require.Equal(t, c.remove, s.Remove)
			if c.add == "" {
				require.Nil(t, s.Add)
				return
			}
			require.NotNil(t, s.Add)
			require.Equal(t, c.add, s.Add.VM)
		})
	}
}

// Whatever VMs join and fail, the group keeps at least four of its five voters, so that committed state survives the loss of
// two disks.
func TestMembershipKeepsFourOfFiveVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string]Member{}
		for _, vm := range []string{"a", "b", "c", "d", "e"} {
			members[vm] = member(vm, 0)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "rounds") {
			var joiners []Joiner
			if rapid.Bool().Draw(t, "joins") {
				joiners = append(joiners, joiner(fmt.Sprintf("n%d", i), "x"))
			}
			var list []Member
			for _, m := range members {
				if rapid.IntRange(0, 5).Draw(t, "dead") == 0 {
					m.Silence = deadAfter + time.Second
				}
				list = append(list, m)
			}
			s := NextMembershipChange(list, joiners, 5, testTime)
			switch {
			case s.Add != nil:
				members[s.Add.VM] = member(s.Add.VM, 0)
			case s.Remove != "":
				delete(members, s.Remove)
			}
			if len(members) < 4 {
				t.Fatalf("group shrank to %d members, want at least 4", len(members))
			}
		}
	})
}

// A voter that stops keeps its vote while the group can bear the losses without it.
func TestStoppingVoterIsRemovedOnlyIfTheGroupNeedsIt(t *testing.T) {
	stopping := func(vm string) Member { return Member{VM: vm, Instance: "disk-" + vm, Stopping: true} }
	cases := map[string]struct {
		members []Member
		remove  string
	}{
		"restart in a full group":                {members: []Member{member("a", 0), member("b", 0), stopping("c")}},
		"restart in a group that misses a voter": {members: []Member{member("a", 0), stopping("b")}},
		"its successor votes":                    {members: []Member{member("a", 0), member("b", 0), stopping("c"), member("d", 0)}, remove: "c"},
		"its successor is a learner":             {members: []Member{member("a", 0), member("b", 0), stopping("c"), {VM: "d", Learner: true}}},
		"first of two that are replaced":         {members: []Member{member("a", 0), member("b", 0), stopping("c"), member("d", 0), member("e", 0)}},
		"second of two that are replaced": {
			members: []Member{member("a", 0), stopping("b"), {VM: "c", Stopping: true, Silence: time.Second}, member("d", 0), member("e", 0)}, remove: "c",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NextMembershipChange(c.members, nil, 3, testTime)
			require.Nil(t, s.Add)
			require.Equal(t, c.remove, s.Remove)
		})
	}
}

// However many voters stop or are silent beside as many live ones as the target, the group can lose as many of the live ones
// as it has to bear once no change is left to make. Guards against a planned replacement that leaves an even group.
func TestMembershipBearsLossesBesideStops(t *testing.T) {
	states := []Member{{}, {Stopping: true}, {Silence: deadAfter}}
	for losses := 1; losses <= 2; losses++ {
		target := 2*losses + 1
		for voters := target; voters <= target+2; voters++ {
			for combination := range pow(len(states), voters) {
				var members []Member
				live := 0
				for i, rest := 0, combination; i < voters; i, rest = i+1, rest/len(states) {
					m := states[rest%len(states)]
					m.VM = string(rune('a' + i))
					members = append(members, m)
					if m == (Member{VM: m.VM}) {
						live++
					}
				}
				if live < target {
					continue
				}
				left := settleMembership(t, members, target)
				require.GreaterOrEqual(t, live-losses, left/2+1, "%d live of %d voters, %d at first, %d losses", live, left, voters, losses)
				require.GreaterOrEqual(t, left, target)
			}
		}
	}
}

func pow(base, n int) int {
	out := 1
	for range n {
		out *= base
	}
	return out
}

// settleMembership makes changes until none is left, and returns the number of voters.
func settleMembership(t *testing.T, members []Member, target int) int {
	for range 2 * len(members) {
		s := NextMembershipChange(members, nil, target, testTime)
		require.Nil(t, s.Add)
		if s.Remove == "" {
			break
		}
		members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.VM == s.Remove })
	}
	return len(members)
}
