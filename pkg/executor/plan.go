package executor

import (
	"errors"
	"fmt"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Errors returned by PlanPipeline and PlanService; ErrDangling means that a stage or pool that is referred to does
// not exist.
var (
	ErrUnknownPipeline = errors.New("executor: unknown pipeline")
	ErrUnknownService  = errors.New("executor: unknown service")
	ErrDangling        = errors.New("executor: dangling reference")
)

// Plan is a pipeline or a service with all its references resolved. It is immutable and may be shared by requests.
type Plan struct {
	// Name is the name of the pipeline or service.
	Name string
	// Deadline is the configured time limit of a request.
	Deadline time.Duration
	// Stages holds all stages in order. Steps holds indexes into Stages; the stages of one step run in parallel.
	Stages []PlanStage
	Steps  [][]int
}

// PlanStage is one stage of a plan with its pool.
type PlanStage struct {
	Spec *config.Stage
	Pool *config.Pool
}

// PlanPipeline resolves the named pipeline. It returns an error that wraps ErrUnknownPipeline or ErrDangling.
func PlanPipeline(set *config.Set, name string) (*Plan, error) {
	p, ok := set.Pipelines[name]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownPipeline, name)
	}
	plan := &Plan{Name: p.Name, Deadline: p.Deadline}
	for _, names := range p.Steps {
		step := make([]int, 0, len(names))
		for _, n := range names {
			i, err := plan.addStage(set, n)
			if err != nil {
				return nil, err
			}
			step = append(step, i)
		}
		plan.Steps = append(plan.Steps, step)
	}
	return plan, nil
}

// PlanService resolves the named service. It returns an error that wraps ErrUnknownService or ErrDangling.
func PlanService(set *config.Set, name string) (*Plan, error) {
	s, ok := set.Services[name]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownService, name)
	}
	plan := &Plan{Name: s.Name, Deadline: s.Deadline}
	i, err := plan.addStage(set, s.Stage)
	if err != nil {
		return nil, err
	}
	plan.Steps = [][]int{{i}}
	return plan, nil
}

// addStage resolves the named stage, appends it to Stages and returns its index.
func (p *Plan) addStage(set *config.Set, name string) (int, error) {
	stage, ok := set.Stages[name]
	if !ok {
		return 0, fmt.Errorf("%w: stage %s", ErrDangling, name)
	}
	pool, ok := set.Pools[stage.Pool]
	if !ok {
		return 0, fmt.Errorf("%w: pool %s", ErrDangling, stage.Pool)
	}
	p.Stages = append(p.Stages, PlanStage{Spec: stage, Pool: pool})
	return len(p.Stages) - 1, nil
}

// Repeatable reports whether every stage may run more than once.
func (p *Plan) Repeatable() bool {
	for _, s := range p.Stages {
		if !s.Spec.Repeatable {
			return false
		}
	}
	return true
}

// CanStream reports whether the answer can be streamed: the last step must be a single chat stage.
func (p *Plan) CanStream() bool {
	if len(p.Steps) == 0 {
		return false
	}
	last := p.Steps[len(p.Steps)-1]
	return len(last) == 1 && p.operation(last[0]) == engine.Chat
}

func (p *Plan) operation(stage int) engine.Operation {
	return engine.Operation(p.Stages[stage].Spec.Operation)
}
