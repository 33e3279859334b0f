package oracle

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Report is what a run saw.
type Report struct {
	Seed       uint64
	Counts     map[string]int
	Violations []Violation
}

// Report returns what was seen so far.
func (o *Oracle) Report(seed uint64) *Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &Report{Seed: seed, Counts: maps.Clone(o.counts), Violations: slices.Clone(o.broken)}
}

// Broken returns what was seen that breaks a promise.
func (r *Report) Broken(p Promise) []string {
	var out []string
	for _, v := range r.Violations {
		if v.Promise == p {
			out = append(out, v.Detail)
		}
	}
	return out
}

// Print writes the report's closing lines.
func (r *Report) Print(out io.Writer) error {
	var parts []string
	for _, n := range slices.Sorted(maps.Keys(r.Counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", n, r.Counts[n]))
	}
	_, err := fmt.Fprintf(out, "seed %d: %d violations; %s\n", r.Seed, len(r.Violations), strings.Join(parts, ", "))
	for _, v := range r.Violations {
		if err == nil {
			_, err = fmt.Fprintf(out, "  %s: %s\n", v.Promise, v.Detail)
		}
	}
	return err
}
