package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// maxSuggestions bounds the count of nearest names that one check looks up.
const maxSuggestions = 100

// Check returns all faults of a set that single keys don't show: references to objects that don't exist,
// contradictions and deadlines that the stages can't meet. File and Line of the problems are left empty.
func Check(s *Set) []Problem {
	c := &checker{set: s}
	each(s.FailureDomains, c.failureDomain)
	each(s.Pools, c.pool)
	each(s.Stages, c.stage)
	each(s.Pipelines, c.pipeline)
	each(s.Services, c.service)
	each(s.Organisations, c.organisation)
	c.keys()
	c.operators()
	return c.problems
}

// each calls f on all objects in the order of their names.
func each[T any](objects map[string]*T, f func(name string, o *T)) {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		f(name, objects[name])
	}
}

type checker struct {
	set      *Set
	problems []Problem
	// suggestions counts the nearest names looked up.
	suggestions int
}

func (c *checker) report(kind Kind, name, key, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Section: inifile.Header(string(kind), name), Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// refer reports a reference to an object that doesn't exist, with the nearest name that does.
func refer[T any](c *checker, from Kind, name, key string, to Kind, objects map[string]*T, target string) (*T, bool) {
	o, ok := objects[target]
	if ok || target == "" {
		return o, ok
	}
	c.report(from, name, key, "%s %q does not exist", to, target)
	if c.suggestions < maxSuggestions {
		c.suggestions++
		c.problems[len(c.problems)-1].Suggestion = inifile.Nearest(target, slices.Collect(maps.Keys(objects)))
	}
	return nil, false
}

func (c *checker) failureDomain(name string, d *FailureDomain) {
	refer(c, KindFailureDomain, name, "region", KindRegion, c.set.Regions, d.Region)
}

func (c *checker) pool(name string, p *Pool) {
	const domainsKey = "failure-domains"
	in := 0
	for _, d := range p.FailureDomains {
		domain, ok := refer(c, KindPool, name, domainsKey, KindFailureDomain, c.set.FailureDomains, d)
		if !ok || !domain.Out {
			in++
		}
	}
	if in == 0 && len(p.FailureDomains) > 0 {
		c.report(KindPool, name, domainsKey, "all failure domains of the pool are out of service: %s",
			strings.Join(p.FailureDomains, ", "))
	}
	for _, m := range p.Models {
		refer(c, KindPool, name, "models", KindModel, c.set.Models, m)
	}
	if p.Kind == PoolEngine && len(p.Models) == 0 {
		c.report(KindPool, name, "models", "a pool of kind engine needs models")
	}
	if p.Kind == PoolService && len(p.Models) > 0 {
		c.report(KindPool, name, "models", "a pool of kind service has no models")
	}
	if p.Concurrency > 0 && p.ColdConcurrency > p.Concurrency {
		c.report(KindPool, name, "cold-concurrency", "%d is above concurrency %d", p.ColdConcurrency, p.Concurrency)
	}
}

// operationKinds tells which kinds of pool run an operation.
var operationKinds = map[string][]PoolKind{
	OperationChat:     {PoolEngine},
	OperationEmbed:    {PoolEncoder, PoolEngine},
	OperationRetrieve: {PoolRetriever},
	OperationRerank:   {PoolReranker, PoolEngine},
	OperationHTTP:     {PoolService, PoolEncoder, PoolRetriever, PoolReranker},
}

func (c *checker) stage(name string, st *Stage) {
	pool, ok := refer(c, KindStage, name, "pool", KindPool, c.set.Pools, st.Pool)
	if ok && pool.Kind != "" && st.Operation != "" && !slices.Contains(operationKinds[st.Operation], pool.Kind) {
		c.report(KindStage, name, "operation", "operation %s doesn't run on pool %q of kind %s", st.Operation, st.Pool, pool.Kind)
	}
	c.stageModel(name, st, pool)
	c.stagePath(name, st)
	if !st.Repeatable && st.Hedge {
		c.report(KindStage, name, "hedge", "a stage that is not repeatable can't be hedged")
	}
	if st.Timeout > 0 && st.Timeout < st.Minimum {
		c.report(KindStage, name, "timeout", "timeout %v is below the stage's minimum %v", st.Timeout, st.Minimum)
	}
}

func (c *checker) stageModel(name string, st *Stage, pool *Pool) {
	model, ok := refer(c, KindStage, name, "model", KindModel, c.set.Models, st.Model)
	if ok && pool != nil && !slices.Contains(pool.Models, st.Model) {
		c.report(KindStage, name, "model", "pool %q does not serve model %q", st.Pool, st.Model)
	}
	if st.Operation == OperationChat && st.Model == "" {
		c.report(KindStage, name, "model", "a chat stage needs a model")
	}
	if st.Adapter == "" {
		return
	}
	if st.Model == "" {
		c.report(KindStage, name, "adapter", "an adapter needs a model")
	}
	if ok && !slices.Contains(model.Adapters, st.Adapter) {
		c.report(KindStage, name, "adapter", "model %q has no adapter %q", st.Model, st.Adapter)
		c.problems[len(c.problems)-1].Suggestion = inifile.Nearest(st.Adapter, model.Adapters)
	}
}

func (c *checker) stagePath(name string, st *Stage) {
	switch {
	case st.Operation == OperationHTTP && st.Path == "":
		c.report(KindStage, name, "path", "a stage with operation http needs a path")
	case st.Operation == OperationHTTP && !strings.HasPrefix(st.Path, "/"):
		c.report(KindStage, name, "path", "%q does not start with /", st.Path)
	case st.Operation != "" && st.Operation != OperationHTTP && st.Path != "":
		c.report(KindStage, name, "path", "only a stage with operation http has a path")
	}
}

func (c *checker) pipeline(name string, p *Pipeline) {
	seen := make(map[string]bool)
	for _, step := range p.Steps {
		for _, stage := range step {
			refer(c, KindPipeline, name, "stages", KindStage, c.set.Stages, stage)
			if seen[stage] {
				c.report(KindPipeline, name, "stages", "stage %q appears twice: a pipeline runs each stage once", stage)
			}
			seen[stage] = true
		}
	}
	if least := c.set.Minimum(p); p.Deadline > 0 && least > p.Deadline {
		c.report(KindPipeline, name, "deadline", "deadline %v is below the %v that the stages need at least", p.Deadline, least)
	}
	if _, ok := c.set.Services[name]; ok {
		c.report(KindPipeline, name, "", "a service has the same name; callers could not tell them apart")
	}
	c.callers(KindPipeline, name, p.Organisations)
}

func (c *checker) service(name string, v *Service) {
	st, ok := refer(c, KindService, name, "stage", KindStage, c.set.Stages, v.Stage)
	if ok && st.Operation != "" && st.Operation != OperationHTTP {
		c.report(KindService, name, "stage", "stage %q has operation %s; a service needs http", v.Stage, st.Operation)
	}
	if ok && v.Deadline > 0 && st.Minimum > v.Deadline {
		c.report(KindService, name, "deadline", "deadline %v is below the %v that the stage needs at least", v.Deadline, st.Minimum)
	}
	c.callers(KindService, name, v.Organisations)
}

func (c *checker) callers(kind Kind, name string, organisations []string) {
	for _, o := range organisations {
		refer(c, kind, name, "organisations", KindOrganisation, c.set.Organisations, o)
	}
}

func (c *checker) organisation(name string, o *Organisation) {
	if o.Burst > 0 && o.Rate == 0 {
		c.report(KindOrganisation, name, "burst", "a burst without a rate limits nothing")
	}
}

// keys reports keys that identify more than one caller, operator or pool's servers.
func (c *checker) keys() {
	owners := make(map[string]owner, len(c.set.Organisations)+len(c.set.Operators))
	claim := func(kind Kind, name, key string, hashes []string) {
		for _, h := range hashes {
			if o, ok := owners[h]; ok {
				c.report(kind, name, key, "the key with this hash belongs to [%s] already", o)
				continue
			}
			owners[h] = owner{kind, name}
		}
	}
	each(c.set.Organisations, func(name string, o *Organisation) { claim(KindOrganisation, name, "key-hash", o.KeyHashes) })
	each(c.set.Operators, func(name string, o *Operator) { claim(KindOperator, name, "key-hash", o.KeyHashes) })
	each(c.set.Pools, func(name string, p *Pool) { c.announceKeys(name, p, owners) })
}

// owner is the object that a key belongs to.
type owner struct {
	kind Kind
	name string
}

// String returns the object's section header.
func (o owner) String() string { return inifile.Header(string(o.kind), o.name) }

// announceKeys reports announce keys that callers or operators hold as well. Pools may share one.
func (c *checker) announceKeys(name string, p *Pool, owners map[string]owner) {
	for _, h := range p.AnnounceKeyHashes {
		if o, ok := owners[h]; ok {
			c.report(KindPool, name, "announce-key-hash", "the key with this hash belongs to [%s] already", o)
		}
	}
}

// operators reports a set that no operator could replace.
func (c *checker) operators() {
	able := func(o *Operator) bool { return o.Role == RolePublish || o.Role == RoleAdmin }
	for _, o := range c.set.Operators {
		if able(o) {
			return
		}
	}
	c.problems = append(c.problems, Problem{
		Message: "no operator has role publish or admin, so nobody could publish the next version",
	})
}
