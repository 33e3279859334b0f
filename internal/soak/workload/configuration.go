package workload

import (
	"fmt"
	"strings"

	"github.com/daisyhatch/daisyhatch/pkg/auth"
)

// Sizes of a run.
const (
	VMCount      = 7
	ControlCount = 3
	// tokens is the length of a generated answer.
	tokens = 8
)

var poolNames = []string{"desk", "encoders", "writers"}

// Domains returns the names of the failure domains.
func Domains() []string { return []string{"a", "b", "c"} }

// Regions returns the names of the regions.
func Regions() []string { return []string{"south", "north"} }

// RegionOf returns the region of a failure domain: the last one lies in the second region.
func RegionOf(domain string) string {
	if domain == "c" {
		return "north"
	}
	return "south"
}

// Configuration returns the configuration text with the failure domains in out taken out.
func Configuration(out map[string]bool) string {
	var b strings.Builder
	for _, r := range Regions() {
		fmt.Fprintf(&b, "[region %q]\n", r)
	}
	for _, d := range Domains() {
		state := "in"
		if out[d] {
			state = "out"
		}
		fmt.Fprintf(&b, "[failure-domain %q]\nregion = %s\nstate = %s\n", d, RegionOf(d), state)
	}
	b.WriteString("[model \"m\"]\n")
	pool(&b, "writers", "engine", 6, 8)
	pool(&b, "encoders", "encoder", 6, 8)
	pool(&b, "desk", "service", 3, 4)
	fmt.Fprintf(&b, `
[stage "encode"]
pool = encoders
operation = embed
model = m
minimum = 5ms
[stage "write"]
pool = writers
operation = chat
model = m
minimum = 20ms
progress-timeout = 1s
[stage "book"]
pool = desk
operation = http
path = /book
repeatable = no
minimum = 5ms
progress-timeout = 1s
[pipeline "ask"]
stages = encode, write
deadline = 5s
objective = 0.99
[service "bookings"]
stage = book
deadline = 5s
objective = 0.99
[organisation "huts"]
key-hash = %s
[operator "ann"]
key-hash = %s
role = admin
`, auth.HashKey(callerKey), auth.HashKey(OperatorKey))
	return b.String()
}

func pool(b *strings.Builder, name, kind string, replicas, concurrency int) {
	fmt.Fprintf(b, "[pool %q]\nkind = %s\nfailure-domains = %s\nreplicas = %d\nconcurrency = %d\n",
		name, kind, strings.Join(Domains(), ", "), replicas, concurrency)
	fmt.Fprintf(b, "cold-concurrency = 2\nwarm-after = 6\ncost-per-second = 1\nannounce-key-hash = %s\n", auth.HashKey(announceKey))
	if kind != "service" {
		b.WriteString("models = m\nreports-load = yes\n")
	} else {
		b.WriteString("reports-load = no\n")
	}
}
