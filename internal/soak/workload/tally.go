package workload

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
)

// Tally counts how tries ended, phase by phase. It is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	phases []*phase
}

// phase is one part of a run.
type phase struct {
	name    string
	begun   time.Time
	endings map[ending]*count
}

// ending is how tries of a kind ended.
type ending struct {
	kind oracle.Kind
	good bool
	code apierr.Code
	run  apierr.Run
	lost bool
}

func (e ending) String() string {
	switch {
	case e.good:
		return "answered"
	case e.lost:
		return "no answer"
	}
	return fmt.Sprintf("`%s` `%s`", e.code, e.run)
}

// count is how many tries ended so, and when the first and the last did after the phase began.
type count struct {
	tries       int
	first, last time.Duration
}

// Begin begins a phase.
func (t *Tally) Begin(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phases = append(t.phases, &phase{name: name, begun: time.Now(), endings: make(map[ending]*count)})
}

// Observe notes how one try ended.
func (t *Tally) Observe(k oracle.Kind, r oracle.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.phases) == 0 {
		return
	}
	p := t.phases[len(t.phases)-1]
	after := time.Since(p.begun)
	e := ending{kind: k, good: r.Good, code: r.Code, run: r.Run, lost: r.Err != nil}
	if p.endings[e] == nil {
		p.endings[e] = &count{first: after}
	}
	p.endings[e].tries++
	p.endings[e].last = after
}

// Print writes one table row for each phase and kind.
func (t *Tally) Print(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.phases {
		for _, k := range []oracle.Kind{oracle.Whole, oracle.Stream, oracle.Booking, oracle.Poison} {
			if row := p.row(k); row != "" {
				if _, err := fmt.Fprintf(out, "| %s | %s | %s |\n", p.name, k, row); err != nil {
					return fmt.Errorf("workload: %w", err)
				}
			}
		}
	}
	return nil
}

func (p *phase) row(k oracle.Kind) string {
	var parts []string
	all := slices.SortedFunc(maps.Keys(p.endings), func(a, b ending) int { return cmp.Compare(a.String(), b.String()) })
	for _, e := range all {
		if e.kind != k {
			continue
		}
		c := p.endings[e]
		parts = append(parts, fmt.Sprintf("%d %s (%.1f s to %.1f s)", c.tries, e, c.first.Seconds(), c.last.Seconds()))
	}
	return strings.Join(parts, ", ")
}
