package main

import (
	"fmt"
	"strings"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/auth"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// The size that the system is designed for.
const (
	nodes         = 330
	controlVMs    = 22
	entryVMs      = nodes - controlVMs
	replicas      = 2800
	requestsPerS  = 5600
	tokensPerS    = 2.4e6
	organisations = 21_000
	pipelines     = 10
	stagesMean    = 4.5
	changesPerDay = 2500
	domains       = 8
	secondsPerDay = 24 * 60 * 60
)

// configurationText is a configuration with 8 failure domains, 10 pools, 10 pipelines and n organisations.
func configurationText(n int) []byte {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	for r := range 2 {
		line("[region \"region-%d\"]", r)
	}
	var names []string
	for d := range domains {
		line("[failure-domain \"domain-%d\"]\nregion = region-%d\nstate = in", d, d%2)
		names = append(names, fmt.Sprint("domain-", d))
	}
	line("[model \"model-1\"]\nversion = 1")
	for p := range pipelines {
		line("[pool \"pool-%d\"]\nkind = engine\nfailure-domains = %s\nmodels = model-1\nreplicas = %d", p, strings.Join(names, ", "), replicas/pipelines)
		line("concurrency = 16\ncold-concurrency = 2\nwarm-after = 0\nannounce-key-hash = %s", auth.HashKey("announce"))
		line("[stage \"stage-%d\"]\npool = pool-%d\noperation = chat\nmodel = model-1\nminimum = 50ms", p, p)
		line("[pipeline \"pipeline-%d\"]\nstages = stage-%d\ndeadline = 5s\nobjective = 0.99", p, p)
	}
	line("[operator \"lead\"]\nrole = admin\nkey-hash = %s", auth.HashKey("lead"))
	for i := range n {
		line("[organisation \"organisation-%05d\"]\nkey-hash = %s\nweight = 2\nrate = 10\nburst = 20", i, auth.HashKey(fmt.Sprint("key-", i)))
	}
	return []byte(b.String())
}

func configuration(n int) (*config.Set, error) {
	return config.Parse("capacity.ini", configurationText(n))
}

func announcement(i int) *daisyhatchv1.Announcement {
	return &daisyhatchv1.Announcement{
		Server:        fmt.Sprintf("server-%05d", i),
		Incarnation:   "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b",
		Pool:          fmt.Sprint("pool-", i%pipelines),
		FailureDomain: fmt.Sprint("domain-", i%domains),
		Address:       fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
		ChecksFence:   true,
		Models:        []string{"model-1"},
		Version:       "1",
		Load:          &daisyhatchv1.Load{AgeMs: 500, Running: 8, Queued: 1, Capacity: 16},
	}
}

// epoch is the start of all measured times.
var epoch = time.Unix(1_790_000_000, 0)
