package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// parseSteps reads "encode, find-a + find-b, generate".
func parseSteps(v string) ([][]string, error) {
	items := inifile.SplitList(v)
	if len(items) > maxSteps {
		return nil, fmt.Errorf("%d steps are more than %d", len(items), maxSteps)
	}
	steps := make([][]string, 0, len(items))
	for _, item := range items {
		step := strings.Split(item, "+")
		if len(step) > maxSteps {
			return nil, fmt.Errorf("%d parallel stages are more than %d", len(step), maxSteps)
		}
		for i := range step {
			step[i] = strings.TrimSpace(step[i])
			if step[i] == "" {
				return nil, fmt.Errorf("a step has no stage; steps are written: encode, find-a + find-b, generate")
			}
		}
		steps = append(steps, step)
	}
	return steps, nil
}

// Minimum returns the least time that the pipeline's stages need: the sum over its steps of the longest minimum
// of a step's stages. Unknown stages count as 0.
func (s *Set) Minimum(p *Pipeline) time.Duration {
	var total time.Duration
	for _, step := range p.Steps {
		var longest time.Duration
		for _, name := range step {
			if st, ok := s.Stages[name]; ok {
				longest = max(longest, st.Minimum)
			}
		}
		total += longest
	}
	return total
}
