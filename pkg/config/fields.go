package config

import (
	"fmt"
	"math"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// Bounds of values.
const (
	maxReplicas    = 100_000
	maxConcurrency = 100_000
	maxWarmAfter   = 10_000
	maxCost        = 1e9
	maxRate        = 1e6
	maxWeight      = 1000
	maxPriority    = 9
	maxDuration    = time.Hour
	maxAnswerLimit = 256 << 20
	// maxSteps bounds the steps of a pipeline and the stages of a step.
	maxSteps = 32
)

// Defaults of values.
const (
	defaultWarmAfter       = 8
	defaultColdConcurrency = 1
	defaultProgressTimeout = 2 * time.Second
	defaultMaxAnswer       = 8 << 20
	defaultObjective       = 0.99
	defaultMaxPriority     = 5
)

// newObject returns an object with its defaults and its fields.
func newObject(kind Kind, name string) (any, inifile.Fields) {
	switch kind {
	case KindRegion:
		return &Region{Name: name}, inifile.Fields{}
	case KindFailureDomain:
		d := &FailureDomain{Name: name}
		return d, d.fields()
	case KindModel:
		m := &Model{Name: name}
		return m, inifile.Fields{"version": inifile.String(&m.Version), "adapters": inifile.List(&m.Adapters)}
	case KindPool:
		p := &Pool{Name: name, ColdConcurrency: defaultColdConcurrency, WarmAfter: defaultWarmAfter}
		return p, p.fields()
	case KindStage:
		st := &Stage{Name: name, Repeatable: true, ProgressTimeout: defaultProgressTimeout, MaxAnswer: defaultMaxAnswer}
		return st, st.fields()
	case KindPipeline:
		p := &Pipeline{Name: name, Objective: defaultObjective}
		return p, p.fields()
	case KindService:
		v := &Service{Name: name, Objective: defaultObjective}
		return v, v.fields()
	case KindOrganisation:
		o := &Organisation{Name: name, Weight: 1, MaxPriority: defaultMaxPriority}
		return o, o.fields()
	case KindOperator:
		o := &Operator{Name: name}
		return o, o.fields()
	}
	return nil, inifile.Fields{}
}

// put adds an object; false when there is one of its kind and name already.
func (s *Set) put(o *object) bool {
	switch v := o.value.(type) {
	case *Region:
		return putNew(s.Regions, o.name, v)
	case *FailureDomain:
		return putNew(s.FailureDomains, o.name, v)
	case *Model:
		return putNew(s.Models, o.name, v)
	case *Pool:
		return putNew(s.Pools, o.name, v)
	case *Stage:
		return putNew(s.Stages, o.name, v)
	case *Pipeline:
		return putNew(s.Pipelines, o.name, v)
	case *Service:
		return putNew(s.Services, o.name, v)
	case *Organisation:
		return putNew(s.Organisations, o.name, v)
	case *Operator:
		return putNew(s.Operators, o.name, v)
	}
	return true
}

func putNew[T any](objects map[string]*T, name string, v *T) bool {
	if _, ok := objects[name]; ok {
		return false
	}
	objects[name] = v
	return true
}

func (d *FailureDomain) fields() inifile.Fields {
	state := inifile.Field{Set: func(v string) error {
		if v != StateIn && v != StateOut {
			return fmt.Errorf("%q is neither %s nor %s", v, StateIn, StateOut)
		}
		d.Out = v == StateOut
		return nil
	}}
	return inifile.Fields{
		"region": inifile.String(&d.Region).Must(),
		KeyState: state,
	}
}

func (p *Pool) fields() inifile.Fields {
	kind := inifile.OneOf(&p.Kind, PoolEngine, PoolEncoder, PoolRetriever, PoolReranker, PoolService)
	return inifile.Fields{
		"kind":              kind.Must(),
		"failure-domains":   inifile.List(&p.FailureDomains).Must(),
		"models":            inifile.List(&p.Models),
		"replicas":          inifile.Int(&p.Replicas, 1, maxReplicas).Must(),
		"concurrency":       inifile.Int(&p.Concurrency, 1, maxConcurrency).Must(),
		"cold-concurrency":  inifile.Int(&p.ColdConcurrency, 1, maxConcurrency),
		"warm-after":        inifile.Int(&p.WarmAfter, 0, maxWarmAfter),
		"cold-first-token":  inifile.Duration(&p.ColdFirstToken, 0, maxDuration),
		"cost-per-second":   inifile.Float(&p.CostPerSecond, 0, maxCost),
		"reports-load":      inifile.Bool(&p.ReportsLoad),
		"announce-key-hash": inifile.Hashes(&p.AnnounceKeyHashes).Must(),
	}
}

func (st *Stage) fields() inifile.Fields {
	operation := inifile.OneOf(&st.Operation, OperationChat, OperationEmbed, OperationRetrieve, OperationRerank, OperationHTTP)
	return inifile.Fields{
		"pool":             inifile.String(&st.Pool).Must(),
		"operation":        operation.Must(),
		"model":            inifile.String(&st.Model),
		"adapter":          inifile.String(&st.Adapter),
		"path":             inifile.String(&st.Path),
		"repeatable":       inifile.Bool(&st.Repeatable),
		"minimum":          inifile.Duration(&st.Minimum, 0, maxDuration),
		"timeout":          inifile.Duration(&st.Timeout, 0, maxDuration),
		"progress-timeout": inifile.Duration(&st.ProgressTimeout, time.Millisecond, maxDuration),
		"hedge":            inifile.Bool(&st.Hedge),
		"max-answer":       inifile.Int(&st.MaxAnswer, 1, maxAnswerLimit),
	}
}

func (p *Pipeline) fields() inifile.Fields {
	steps := inifile.Field{Set: func(v string) error {
		parsed, err := parseSteps(v)
		p.Steps = parsed
		return err
	}}
	return inifile.Fields{
		"stages":        steps.Must(),
		"deadline":      inifile.Duration(&p.Deadline, time.Millisecond, maxDuration).Must(),
		"objective":     objective(&p.Objective),
		"organisations": inifile.List(&p.Organisations),
	}
}

func (v *Service) fields() inifile.Fields {
	return inifile.Fields{
		"stage":         inifile.String(&v.Stage).Must(),
		"deadline":      inifile.Duration(&v.Deadline, time.Millisecond, maxDuration).Must(),
		"objective":     objective(&v.Objective),
		"organisations": inifile.List(&v.Organisations),
	}
}

func (o *Organisation) fields() inifile.Fields {
	return inifile.Fields{
		"key-hash":     inifile.Hashes(&o.KeyHashes).Must(),
		"weight":       inifile.Int(&o.Weight, 1, maxWeight),
		"rate":         inifile.Float(&o.Rate, 0, maxRate),
		"burst":        inifile.Int(&o.Burst, 1, math.MaxInt32),
		"concurrency":  inifile.Int(&o.Concurrency, 0, math.MaxInt32),
		"max-priority": inifile.Int(&o.MaxPriority, 0, maxPriority),
	}
}

func (o *Operator) fields() inifile.Fields {
	return inifile.Fields{
		"key-hash": inifile.Hashes(&o.KeyHashes).Must(),
		"role":     inifile.OneOf(&o.Role, RoleView, RolePublish, RoleAdmin).Must(),
	}
}

// objective is a share above 0 and below 1.
func objective(p *float64) inifile.Field {
	return inifile.Field{Set: func(v string) error {
		var n float64
		if err := inifile.Float(&n, 0, 1).Set(v); err != nil {
			return err
		}
		if n == 0 || n == 1 {
			return fmt.Errorf("an objective is a share above 0 and below 1, such as 0.99")
		}
		*p = n
		return nil
	}}
}
