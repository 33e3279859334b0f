package burnreport

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/daisyhatch/daisyhatch/pkg/burn"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"window":  WindowName,
	"percent": func(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) },
	"rate":    func(burn float64) string { return fmt.Sprintf("%.2f", burn) },
	"level":   level,
}).Parse(pageText))

// level is the style class of a burn.
func level(rate float64) string {
	switch {
	case rate >= 6:
		return "fast"
	case rate >= 1:
		return "slow"
	}
	return "calm"
}

// pagePipeline is one pipeline's part of the page.
type pagePipeline struct {
	Name  string
	Lines []Line
	Costs []Cost
	Plots []template.HTML
}

type pageData struct {
	*Report
	Windows   []string
	Events    []DomainEvent
	Pipelines []pagePipeline
	TimeForm  string
	MaxRows   int
}

// HTML writes the report as one page that loads nothing from elsewhere.
func (r *Report) HTML(w io.Writer) error {
	data := pageData{Report: r, Events: recent(r.DomainEvents, r.At), TimeForm: timeFormat, MaxRows: maxOrganisationRows}
	for _, x := range burn.Windows {
		data.Windows = append(data.Windows, WindowName(x))
	}
	for _, t := range r.Timelines {
		one, err := r.pipeline(t)
		if err != nil {
			return err
		}
		data.Pipelines = append(data.Pipelines, one)
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("burnreport: page: %w", err)
	}
	return nil
}

func (r *Report) pipeline(t burn.Timeline) (pagePipeline, error) {
	one := pagePipeline{Name: t.Pipeline}
	for _, l := range r.Burn {
		if l.Pipeline == t.Pipeline && len(one.Lines) <= maxOrganisationRows {
			one.Lines = append(one.Lines, l)
		}
	}
	for _, c := range r.Costs {
		if c.Pipeline == t.Pipeline && c.Organisation == allOrganisations {
			one.Costs = append(one.Costs, c)
		}
	}
	for _, s := range spans(t) {
		p, err := burnPlot(s, t.Objective, r.DomainEvents)
		if err != nil {
			return one, err
		}
		text, err := svg(p, burnHeight)
		if err != nil {
			return one, err
		}
		one.Plots = append(one.Plots, template.HTML(text))
	}
	p, err := costPlot(t.Pipeline, r.Costs)
	if err != nil || p == nil {
		return one, err
	}
	text, err := svg(p, costHeight)
	one.Plots = append(one.Plots, template.HTML(text))
	return one, err
}
