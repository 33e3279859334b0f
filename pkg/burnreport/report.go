// Package burnreport renders service-level burn for operators as text, JSON and a self-contained HTML page with
// plots.
package burnreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/burn"
)

// Report is a burn report at one moment.
type Report struct {
	At           time.Time       `json:"at"`
	Burn         []Line          `json:"burn"`
	Alerts       []burn.Alert    `json:"alerts"`
	Costs        []Cost          `json:"costs"`
	DomainEvents []DomainEvent   `json:"domain_events"`
	Timelines    []burn.Timeline `json:"-"`
}

// Line is the burn of one pipeline and organisation in all windows.
type Line struct {
	Pipeline string `json:"pipeline"`
	// Organisation is "(all)" for the whole pipeline and "(others)" for those without a series of their own.
	Organisation string      `json:"organisation"`
	Objective    float64     `json:"objective"`
	Windows      []burn.Rate `json:"windows"`
}

// Cost is what one stage of a pipeline cost in the last three days.
type Cost struct {
	Pipeline     string  `json:"pipeline"`
	Organisation string  `json:"organisation"`
	Stage        string  `json:"stage"`
	Calls        uint64  `json:"calls"`
	Cost         float64 `json:"cost"`
	// Wasted is the part of Cost that went to hedge losers, abandoned and retried calls.
	Wasted float64 `json:"wasted"`
}

// DomainEvent is a failure domain's taking out or bringing back.
type DomainEvent struct {
	At            time.Time `json:"at"`
	FailureDomain string    `json:"failure_domain"`
	TakenOut      bool      `json:"taken_out"`
	Version       uint64    `json:"version"`
}

// String names the event.
func (e DomainEvent) String() string {
	if e.TakenOut {
		return e.FailureDomain + " taken out"
	}
	return e.FailureDomain + " brought back"
}

// Names of lines that stand for several organisations.
const (
	allOrganisations    = "(all)"
	otherOrganisations  = "(others)"
	maxOrganisationRows = 20
)

// New builds the report of r as of now.
func New(r *daisyhatchv1.BurnResponse, now time.Time) *Report {
	rates := burn.Rates(r, now)
	report := &Report{At: now.UTC(), Alerts: burn.Alerts(rates), Timelines: burn.Timelines(r, now), Costs: costs(r)}
	for i := 0; i+len(burn.Windows) <= len(rates); i += len(burn.Windows) {
		one := rates[i : i+len(burn.Windows)]
		report.Burn = append(report.Burn, Line{
			Pipeline: one[0].Pipeline, Organisation: organisationName(one[0].Organisation, one[0].Total),
			Objective: one[0].Objective, Windows: one,
		})
	}
	for _, e := range r.GetDomainEvents() {
		report.DomainEvents = append(report.DomainEvents, DomainEvent{
			At: time.UnixMilli(e.GetAtUnixMs()).UTC(), FailureDomain: e.GetFailureDomain(),
			TakenOut: e.GetTakenOut(), Version: e.GetVersion(),
		})
	}
	return report
}

func organisationName(name string, total bool) string {
	switch {
	case total:
		return allOrganisations
	case name == burn.Rest:
		return otherOrganisations
	}
	return name
}

// costs sums the costs over time: first each stage of a pipeline, then its organisations, dearest first.
func costs(r *daisyhatchv1.BurnResponse) []Cost {
	var list []Cost
	add := func(c *daisyhatchv1.StageCost, organisation string) {
		i := slices.IndexFunc(list, func(x Cost) bool {
			return x.Pipeline == c.GetPipeline() && x.Stage == c.GetStage() && x.Organisation == organisation
		})
		if i < 0 {
			i = len(list)
			list = append(list, Cost{Pipeline: c.GetPipeline(), Organisation: organisation, Stage: c.GetStage()})
		}
		list[i].Calls += c.GetCalls()
		list[i].Cost += c.GetCost()
		list[i].Wasted += c.GetWasted()
	}
	for _, c := range r.GetCosts() {
		add(c, allOrganisations)
		add(c, organisationName(c.GetOrganisation(), false))
	}
	slices.SortStableFunc(list, func(a, b Cost) int {
		return cmp.Or(
			cmp.Compare(a.Pipeline, b.Pipeline),
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(b.Cost, a.Cost),
		)
	})
	return list
}

func rank(c Cost) int {
	if c.Organisation == allOrganisations {
		return 0
	}
	return 1
}

// WastedShare is the wasted part of the cost, 0 to 1.
func (c Cost) WastedShare() float64 {
	if c.Cost == 0 {
		return 0
	}
	return c.Wasted / c.Cost
}

// WindowName names a window in short, such as 5m, 6h or 3d.
func WindowName(w time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case w >= day && w%day == 0:
		return fmt.Sprintf("%dd", w/day)
	case w%time.Hour == 0:
		return fmt.Sprintf("%dh", w/time.Hour)
	}
	return fmt.Sprintf("%dm", w/time.Minute)
}

// Text writes the report for a terminal, with at most 20 organisations of each pipeline.
func (r *Report) Text(w io.Writer) error {
	t := &printer{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.printf("Service-level burn at %s\n", r.At.Format(timeFormat))
	t.printf("1.0 uses the error budget up exactly in the objective's period.\n\n")
	t.burn(r)
	t.alerts(r)
	t.costs(r)
	t.events(r)
	if t.err != nil {
		return fmt.Errorf("burnreport: text: %w", t.err)
	}
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("burnreport: text: %w", err)
	}
	return nil
}

const timeFormat = "2006-01-02 15:04:05Z"

// printer keeps the first error of its writes.
type printer struct {
	w   *tabwriter.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) burn(r *Report) {
	p.printf("PIPELINE\tORGANISATION\tOBJECTIVE")
	for _, w := range burn.Windows {
		p.printf("\t%s", WindowName(w))
	}
	p.printf("\tFAILED OF ALL (3d)\n")
	rows := 0
	for i, l := range r.Burn {
		if i == 0 || r.Burn[i-1].Pipeline != l.Pipeline {
			rows = 0
		}
		rows++
		if rows > maxOrganisationRows+1 {
			continue
		}
		p.printf("%s\t%s\t%g", l.Pipeline, l.Organisation, l.Objective)
		for _, x := range l.Windows {
			p.printf("\t%.2f", x.Burn)
		}
		last := l.Windows[len(l.Windows)-1]
		p.printf("\t%d of %d\n", last.Bad, last.Bad+last.Good)
	}
	if len(r.Burn) == 0 {
		p.printf("no requests counted\n")
	}
}

func (p *printer) alerts(r *Report) {
	p.printf("\nALERTS\n")
	for _, a := range r.Alerts {
		p.printf("%s\t%s\t%s\tburn %.2f over %s is above %g\n", a.Severity, a.Pipeline,
			organisationName(a.Organisation, a.Total), a.Burn, WindowName(a.Window), a.Threshold)
	}
	if len(r.Alerts) == 0 {
		p.printf("none\n")
	}
}

func (p *printer) costs(r *Report) {
	p.printf("\nPIPELINE\tSTAGE\tCALLS\tCOST (3d)\tWASTED\n")
	for _, c := range r.Costs {
		if c.Organisation == allOrganisations {
			p.printf("%s\t%s\t%d\t%.2f\t%.2f (%.1f %%)\n", c.Pipeline, c.Stage, c.Calls, c.Cost, c.Wasted, 100*c.WastedShare())
		}
	}
}

func (p *printer) events(r *Report) {
	p.printf("\nFAILURE DOMAIN CHANGES\n")
	for _, e := range r.DomainEvents {
		p.printf("%s\t%s\tversion %d\n", e.At.Format(timeFormat), e, e.Version)
	}
	if len(r.DomainEvents) == 0 {
		p.printf("none\n")
	}
}
