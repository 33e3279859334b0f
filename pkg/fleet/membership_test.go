package fleet

import (
	"fmt"
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
