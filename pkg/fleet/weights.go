package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/serverload"
	"github.com/daisyhatch/daisyhatch/pkg/serverweight"
)

const (
	// engineReadTick is how often the leader looks for engines to read, and engineReadInterval the least time between two
	// reports of one engine.
	engineReadTick     = 250 * time.Millisecond
	engineReadInterval = 2 * time.Second
	// engineReadsPerTick bounds the reports that are read in a tick: with many engines each is read less often.
	engineReadsPerTick = 8
	// engineReadTimeout limits one report.
	engineReadTimeout = 500 * time.Millisecond
	// weightsKeptFor is how long after the control group's last confirmation weights still apply.
	weightsKeptFor = time.Minute
	// weightLinesPerSecond bounds the log lines about weights.
	weightLinesPerSecond = 20
	// termShift leaves the low bits of a weight's number to the decisions within a term of the leader.
	termShift = 32
)

// ReadEngineFunc asks an engine how many requests it runs and keeps waiting.
type ReadEngineFunc func(ctx context.Context, v directory.Server) (serverload.Figures, error)

// weightTable holds the weights of servers that were told. State.mu guards it.
type weightTable struct {
	weights map[string]serverweight.Weight
	// count grows with each weight that is new; all and own hold the count of each server's latest news, own only for weights
	// that this VM decided.
	count    uint64
	all, own map[string]uint64
}

func newWeightTable() weightTable {
	return weightTable{weights: make(map[string]serverweight.Weight), all: make(map[string]uint64), own: make(map[string]uint64)}
}

// mergeWeights records weights newer than those known. own is true for those that this VM decided.
func (s *State) mergeWeights(list []serverweight.Weight, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.weights
	for _, w := range list {
		if known, ok := t.weights[w.Server]; ok && w.Number <= known.Number {
			continue
		}
		t.count++
		t.weights[w.Server], t.all[w.Server] = w, t.count
		delete(t.own, w.Server)
		if own {
			t.own[w.Server] = t.count
		}
	}
}

// weightsSince returns the weights whose news is later than count, only this VM's own decisions if own is set, and the count to
// pass next time.
func (s *State) weightsSince(count uint64, own bool) ([]serverweight.Weight, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if count == s.weights.count {
		return nil, count
	}
	news := s.weights.all
	if own {
		news = s.weights.own
	}
	var out []serverweight.Weight
	for server, at := range news {
		if at > count {
			out = append(out, s.weights.weights[server])
		}
	}
	return out, s.weights.count
}

// weight returns the weight of an incarnation of a server; s.mu must be held.
func (s *State) weight(v directory.Server, now time.Time) float64 {
	w, ok := s.weights.weights[v.ID]
	if !ok || w.Born != v.Born || now.Sub(s.contact.last) > weightsKeptFor {
		return 1
	}
	return serverweight.Factor(w.Step)
}

// expireWeights drops the weights of servers that are not known any more; s.mu must be held.
func (s *State) expireWeights() {
	for id := range s.weights.weights {
		if _, known := s.dir.Get(id); !known {
			delete(s.weights.weights, id)
			delete(s.weights.all, id)
			delete(s.weights.own, id)
		}
	}
}

func weightsToWire(list []serverweight.Weight) []*daisyhatchv1.ServerWeight {
	out := make([]*daisyhatchv1.ServerWeight, 0, len(list))
	for _, w := range list {
		out = append(out, &daisyhatchv1.ServerWeight{Server: w.Server, BornUnixMs: w.Born, Step: int32(w.Step), Number: w.Number}) //nolint:gosec // steps are bounded by serverweight.MaxStep
	}
	return out
}

func weightsFromWire(list []*daisyhatchv1.ServerWeight) []serverweight.Weight {
	out := make([]serverweight.Weight, 0, len(list))
	for _, w := range list {
		out = append(out, serverweight.Weight{Server: w.GetServer(), Born: w.GetBornUnixMs(), Step: int(w.GetStep()), Number: w.GetNumber()})
	}
	return out
}

// fillWeights adds the weights that the follower wasn't told yet. Control VMs tell one another only what they decided, but in the
// first message all.
func (f *feed) fillWeights(m *daisyhatchv1.FollowResponse) {
	list, count := f.control.opts.State.weightsSince(f.weightsCount, f.peer && f.snapshotSent)
	m.Weights, f.weightsCount = weightsToWire(list), count
}

// weigher reads the engines' reports and decides their weights while this VM leads.
type weigher struct {
	control *Control
	log     *logsink.Budget
	// reads are the reports that are being read.
	reads sync.WaitGroup

	mu sync.Mutex
	// term is the term in which this VM leads; 0 while it doesn't. decisions counts the weights decided in the term numbered, the
	// latest in which this VM led: a leader that comes back in its term counts on.
	term, numbered, decisions uint64
	controllers               map[string]*serverweight.Controller
	readAt                    map[string]time.Time
}

func newWeigher(c *Control) *weigher {
	return &weigher{control: c, log: logsink.NewBudget(weightLinesPerSecond)}
}

// run reads reports and decides weights once.
func (w *weigher) run(ctx context.Context) {
	c, now := w.control, time.Now()
	status, term := c.opts.Node.Status(), uint64(0)
	if c.opts.ReadEngine != nil && status.Leader == c.opts.VM && c.recentlyConfirmed(now) {
		term = status.Term
	}
	w.tick(ctx, c.opts.State.Catalog(), term, now)
}

// tick is run in a term in which this VM leads; 0 while it doesn't.
func (w *weigher) tick(ctx context.Context, set *catalog.Set, term uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term == 0 || set == nil {
		w.term = 0
		return
	}
	c := w.control
	if w.term != term {
		w.term = term
		if w.numbered != term {
			w.numbered, w.decisions = term, 0
		}
		w.controllers, w.readAt = make(map[string]*serverweight.Controller), make(map[string]time.Time)
	}
	left := engineReadsPerTick
	for name, service := range set.Services {
		if service.Engine == nil {
			continue
		}
		engines := c.opts.State.Serving(name, now)
		if w.controllers[name] == nil {
			w.controllers[name] = serverweight.NewController(c.opts.State.weightsInForce(name), now)
		}
		w.read(ctx, w.controllers[name], engines, &left, now)
		w.decide(name, engines, now)
	}
	w.forget(set)
}

// forget drops what is kept of servers that are not known any more, and of services that have no engines any more. w.mu is held.
func (w *weigher) forget(set *catalog.Set) {
	maps.DeleteFunc(w.readAt, func(id string, _ time.Time) bool {
		_, known := w.control.opts.State.Server(id)
		return !known
	})
	maps.DeleteFunc(w.controllers, func(name string, _ *serverweight.Controller) bool {
		service := set.Services[name]
		return service == nil || service.Engine == nil
	})
}

// read asks the engines whose last report is oldest, as many as left allows. w.mu is held.
func (w *weigher) read(ctx context.Context, ctl *serverweight.Controller, engines []Candidate, left *int, now time.Time) {
	term := w.term
	for _, v := range oldestFirst(engines, w.readAt) {
		if *left == 0 || now.Sub(w.readAt[v.ID]) < engineReadInterval {
			return
		}
		w.readAt[v.ID] = now
		*left--
		w.reads.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, engineReadTimeout)
			defer cancel()
			f, err := w.control.opts.ReadEngine(ctx, v.Server)
			if err != nil {
				engineReports("failed").Inc()
				w.logFailed(v.Server, err)
				return
			}
			engineReports("read").Inc()
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.term == term {
				ctl.Report(v.ID, v.Born, f.Running+f.Waiting, f.At)
			}
		})
	}
}

// logFailed logs an engine that gave no report that can be used: it counts as telling nothing.
func (w *weigher) logFailed(v directory.Server, err error) {
	if ok, leftOut := w.log.Allow(time.Now()); ok {
		w.control.opts.Log.Info("engine did not report its load", "service", v.Service, "server", v.ID, "reason", err.Error(),
			"lines_left_out", leftOut)
	}
}

// oldestFirst returns the engines that may be asked, those first whose report is oldest. Engines that limit their requests are
// left alone.
func oldestFirst(engines []Candidate, readAt map[string]time.Time) []Candidate {
	var out []Candidate
	for _, v := range engines {
		if v.Limit == nil && !v.Quiet {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(readAt[a.ID].Compare(readAt[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// decide changes the weights of a service's engines. w.mu is held.
func (w *weigher) decide(service string, engines []Candidate, now time.Time) {
	var serving []string
	for _, v := range engines {
		if !v.Cold && !v.Quiet {
			serving = append(serving, v.ID)
		}
	}
	ctl := w.controllers[service]
	ctl.Retain(func(id string) bool {
		_, known := w.control.opts.State.Server(id)
		return known
	})
	changed := ctl.Decide(serving, now)
	for i := range changed {
		w.decisions++
		changed[i].Number = w.term<<termShift + w.decisions
		weightChanges.Inc()
		if ok, leftOut := w.log.Allow(now); ok {
			w.control.opts.Log.Info("engine weight changed", "service", service, "server", changed[i].Server,
				"weight", serverweight.Factor(changed[i].Step), "held", ctl.Held(changed[i].Server), "held_mean", ctl.Mean(),
				"lines_left_out", leftOut)
		}
	}
	w.control.opts.State.mergeWeights(changed, true)
}

// weightsInForce returns the weights that were told of a service's servers, also of those that get no requests now.
func (s *State) weightsInForce(service string) []serverweight.Weight {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []serverweight.Weight
	for id, w := range s.weights.weights {
		if v, known := s.dir.Get(id); known && v.Service == service && v.Born == w.Born {
			out = append(out, w)
		}
	}
	return out
}

var weightChanges = metrics.NewCounter("daisyhatch_engine_weight_changes_total")

func engineReports(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`daisyhatch_engine_reports_total{result="` + result + `"}`)
}
