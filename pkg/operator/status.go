package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

type statusCmd struct {
	Servers bool `help:"List each backend server in place of a summary by pool."`
}

// Help shows examples.
func (statusCmd) Help() string {
	return `Examples:
  daisyhatch status
  daisyhatch status --servers
  daisyhatch status --output json`
}

// Run shows the status.
func (c *statusCmd) Run(s *session) error {
	cl, err := s.connect()
	if err != nil {
		return err
	}
	status, err := getStatus(s.ctx, cl)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printProto(status)
	}
	if status.GetLeader() == "" {
		fprintf(s.err, "no leader is known: this is what one control VM knew last, and may be old\n")
	}
	s.printf("accepted version %d\nleader %s, term %d, commit index %d\n\n",
		status.GetAcceptedVersion(), orDash(status.GetLeader()), status.GetTerm(), status.GetCommitIndex())
	s.printMembership(status.GetMembership(), status.GetLeader())
	s.printf("\n")
	s.printVMs(status.GetVms())
	s.printf("\n")
	if c.Servers {
		s.printServers(status.GetServers())
	} else {
		s.printPools(status.GetServers())
	}
	return nil
}

func orDash(v string) string {
	if v == "" {
		return "-"
	}
	return v
}

func (s *session) printMembership(m *daisyhatchv1.Membership, leader string) {
	rows := [][]string{{"CONTROL VM", "ADDRESS", "PART"}}
	for _, p := range m.GetPeers() {
		part := "voter"
		switch {
		case p.GetLearner():
			part = "learner, not counted yet"
		case p.GetVm() == leader:
			part = "leader"
		}
		rows = append(rows, []string{p.GetVm(), p.GetAddress(), part})
	}
	s.table(rows)
}

func (s *session) printVMs(vms []*daisyhatchv1.VMStatus) {
	rows := [][]string{{"VM", "FAILURE DOMAIN", "ROLES", "STATE", "VERSION", "HEARD", "SOFTWARE"}}
	for _, v := range vms {
		var roles []string
		if v.GetControl() {
			roles = append(roles, "control")
		}
		if v.GetEntry() {
			roles = append(roles, "entry")
		}
		state := "alive"
		switch {
		case !v.GetAlive():
			state = "silent"
		case v.GetDraining():
			state = "draining"
		}
		heard := (time.Duration(v.GetLastHeardMsAgo()) * time.Millisecond).String() + " ago"
		rows = append(rows, []string{
			v.GetVm(), v.GetFailureDomain(), strings.Join(roles, ","), state,
			strconv.FormatUint(v.GetVersionInForce(), 10), heard, v.GetSoftwareVersion(),
		})
	}
	s.table(rows)
}

func (s *session) printServers(servers []*daisyhatchv1.ServerStatus) {
	rows := [][]string{{"SERVER", "POOL", "FAILURE DOMAIN", "ADDRESS", "STATE", "BUDGET", "GRANTED", "IN FLIGHT"}}
	for _, x := range servers {
		rows = append(rows, []string{
			x.GetServer(), x.GetPool(), x.GetFailureDomain(), x.GetAddress(), x.GetState(),
			fmt.Sprint(x.GetBudget()), fmt.Sprint(x.GetGranted()), fmt.Sprint(x.GetInFlight()),
		})
	}
	s.table(rows)
}

// poolSummary counts a pool's servers in one failure domain.
type poolSummary struct {
	pool, domain string
	states       map[string]int
	servers      int
	budget       uint32
	granted      uint32
}

func summarise(servers []*daisyhatchv1.ServerStatus) []*poolSummary {
	var list []*poolSummary
	for _, x := range servers {
		i := slices.IndexFunc(list, func(p *poolSummary) bool {
			return p.pool == x.GetPool() && p.domain == x.GetFailureDomain()
		})
		if i < 0 {
			i = len(list)
			list = append(list, &poolSummary{pool: x.GetPool(), domain: x.GetFailureDomain(), states: make(map[string]int)})
		}
		list[i].servers++
		list[i].states[x.GetState()]++
		list[i].budget += x.GetBudget()
		list[i].granted += x.GetGranted()
	}
	slices.SortFunc(list, func(a, b *poolSummary) int {
		return strings.Compare(a.pool+"\x00"+a.domain, b.pool+"\x00"+b.domain)
	})
	return list
}

func (s *session) printPools(servers []*daisyhatchv1.ServerStatus) {
	rows := [][]string{{"POOL", "FAILURE DOMAIN", "SERVERS", "WARM", "WARMING", "COLD", "LEAVING", "TAKEN OUT", "GRANTED/BUDGET"}}
	for _, p := range summarise(servers) {
		row := []string{p.pool, p.domain, strconv.Itoa(p.servers)}
		for _, state := range []string{"warm", "warming", "cold", "leaving", "taken_out"} {
			row = append(row, strconv.Itoa(p.states[state]))
		}
		rows = append(rows, append(row, fmt.Sprintf("%d/%d", p.granted, p.budget)))
	}
	s.table(rows)
}
