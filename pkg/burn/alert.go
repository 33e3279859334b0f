package burn

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Severity tells how fast to act on an alert.
type Severity string

// Severities.
const (
	// SeverityPage asks for action at once.
	SeverityPage Severity = "page"
	// SeverityTicket asks for action within a day.
	SeverityTicket Severity = "ticket"
)

// rule fires when the burn is at or above a threshold in both windows: the long one shows that it matters, the
// short one that it still goes on.
type rule struct {
	severity    Severity
	long, short time.Duration
	threshold   float64
}

var rules = []rule{
	{SeverityPage, time.Hour, 5 * time.Minute, 14.4},
	{SeverityPage, 6 * time.Hour, 30 * time.Minute, 6},
	{SeverityTicket, 72 * time.Hour, 6 * time.Hour, 1},
}

// minBad is the least count of failed requests in the long window for an alert, so that one failure of a quiet
// organisation raises none.
const minBad = 5

// Alert is a burn that is too fast.
type Alert struct {
	Severity     Severity      `json:"severity"`
	Pipeline     string        `json:"pipeline"`
	Organisation string        `json:"organisation"`
	Total        bool          `json:"total,omitempty"`
	Window       time.Duration `json:"window_ns"`
	Threshold    float64       `json:"threshold"`
	Burn         float64       `json:"burn"`
}

// identity is an alert without its changing figures.
type identity struct {
	severity               Severity
	pipeline, organisation string
	total                  bool
	window                 time.Duration
}

func (a Alert) identity() identity {
	return identity{a.Severity, a.Pipeline, a.Organisation, a.Total, a.Window}
}

// Alerts returns the alerts that hold for rates, as Rates returns them. The group of organisations without a
// series of their own raises none; their share shows in the pipeline's total.
func Alerts(rates []Rate) []Alert {
	var list []Alert
	for i := 0; i+len(Windows) <= len(rates); i += len(Windows) {
		one := rates[i : i+len(Windows)]
		if one[0].Organisation == Rest && !one[0].Total {
			continue
		}
		list = append(list, alertsOf(one)...)
	}
	return list
}

func alertsOf(rates []Rate) []Alert {
	var list []Alert
	for _, r := range rules {
		long := rates[slices.Index(Windows, r.long)]
		short := rates[slices.Index(Windows, r.short)]
		if long.Bad < minBad || long.Burn < r.threshold || short.Burn < r.threshold {
			continue
		}
		list = append(list, Alert{
			Severity: r.severity, Pipeline: long.Pipeline, Organisation: long.Organisation, Total: long.Total,
			Window: r.long, Threshold: r.threshold, Burn: long.Burn,
		})
	}
	return list
}

// Watcher logs alerts when they begin and end and keeps metrics of the pipelines' burn. It is safe for concurrent use.
type Watcher struct {
	log logr.Logger

	mu     sync.Mutex
	active map[identity]Alert
}

// NewWatcher returns a Watcher that logs to log.
func NewWatcher(log logr.Logger) *Watcher {
	return &Watcher{log: log, active: make(map[identity]Alert)}
}

// Check looks at the combined report of all control VMs and returns the alerts that hold.
func (w *Watcher) Check(r *daisyhatchv1.BurnResponse, now time.Time) []Alert {
	rates := Rates(r, now)
	alerts := Alerts(rates)
	exportRates(rates)
	w.mu.Lock()
	defer w.mu.Unlock()
	current := make(map[identity]Alert, len(alerts))
	for _, a := range alerts {
		current[a.identity()] = a
		if _, ok := w.active[a.identity()]; !ok {
			w.log.Info("burn alert began", "severity", a.Severity, "pipeline", a.Pipeline, "organisation", a.Organisation,
				"window", a.Window.String(), "burn", a.Burn, "threshold", a.Threshold)
		}
	}
	for id, a := range w.active {
		if _, ok := current[id]; !ok {
			w.log.Info("burn alert ended", "severity", a.Severity, "pipeline", a.Pipeline, "organisation", a.Organisation,
				"window", a.Window.String())
		}
	}
	w.active = current
	exportAlerts(alerts)
	return alerts
}

func exportRates(rates []Rate) {
	for _, r := range rates {
		if !r.Total {
			continue
		}
		name := fmt.Sprintf("daisyhatch_burn_rate{pipeline=%q,window=%q}", r.Pipeline, r.Window.String())
		metrics.GetOrCreateGauge(name, nil).Set(r.Burn)
	}
}

func exportAlerts(alerts []Alert) {
	for _, s := range []Severity{SeverityPage, SeverityTicket} {
		n := 0
		for _, a := range alerts {
			if a.Severity == s {
				n++
			}
		}
		metrics.GetOrCreateGauge(fmt.Sprintf("daisyhatch_burn_alerts{severity=%q}", s), nil).Set(float64(n))
	}
}
