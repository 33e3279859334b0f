package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var planNow = time.Unix(5000, 0)

func member(vm string, silence time.Duration) Member {
	return Member{VM: vm, Instance: "disk-" + vm, Silence: silence}
}

func joiner(vm, instance string) Joiner {
	return Joiner{VM: vm, Address: vm + ":1", Instance: instance, Asked: planNow}
}

func TestPlan(t *testing.T) {
	three := []Member{member("a", 0), member("b", 0), member("c", 0)}
	five := append(three[:3:3], member("d", 0), member("e", 0))
	oneDead := append(five[:4:4], member("e", deadAfter))
	cases := map[string]struct {
		members []Member
		joiners []Joiner
		add     string
		remove  string
	}{
		"nothing to do":                      {members: five},
		"the group grows to its size":        {members: three, joiners: []Joiner{joiner("d", "x")}, add: "d"},
		"silence alone removes nobody":       {members: oneDead},
		"the dead one goes first":            {members: oneDead, joiners: []Joiner{joiner("f", "x")}, remove: "e"},
		"a VM that lost its disk is removed": {members: five, joiners: []Joiner{joiner("b", "new disk")}, remove: "b"},
		"a member that asks again is left":   {members: five, joiners: []Joiner{joiner("b", "disk-b")}},
		"planned: the new one comes first":   {members: five, joiners: []Joiner{joiner("f", "x")}, add: "f"},
		"planned: then the old one goes":     {members: append(oneDead[:5:5], member("f", 0)), remove: "e"},
		"an old wish doesn't count": {members: three, joiners: []Joiner{
			{VM: "d", Instance: "x", Asked: planNow.Add(-joinLife - 1)},
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := Plan(c.members, c.joiners, 5, planNow)
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

// The group never falls below four of five voters whatever joins and dies, so that a majority holds what two lost disks
// take away.
func TestPlanKeepsAMajorityAboveTheLossesBorne(t *testing.T) {
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
			s := Plan(list, joiners, 5, planNow)
			switch {
			case s.Add != nil:
				members[s.Add.VM] = member(s.Add.VM, 0)
			case s.Remove != "":
				delete(members, s.Remove)
			}
			if len(members) < 4 {
				t.Fatalf("%d members left", len(members))
			}
		}
	})
}
