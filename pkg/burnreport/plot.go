package burnreport

import (
	"bytes"
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/daisyhatch/daisyhatch/pkg/burn"
)

// Sizes of plots, in points.
const (
	plotWidth  vg.Length = 680
	burnHeight vg.Length = 200
	costHeight vg.Length = 230
	plotMargin vg.Length = 8
	barWidth   vg.Length = 30
)

// Colours of plots; they stay apart for colour-blind readers.
var (
	burnColour   = color.RGBA{R: 0x00, G: 0x72, B: 0xB2, A: 0xFF}
	budgetColour = color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xFF}
	outColour    = color.RGBA{R: 0xD5, G: 0x5E, B: 0x00, A: 0xFF}
	backColour   = color.RGBA{R: 0x00, G: 0x9E, B: 0x73, A: 0xFF}
	wastedColour = color.RGBA{R: 0xE6, G: 0x9F, B: 0x00, A: 0xFF}
)

// span is one time axis.
type span struct {
	title  string
	format string
	// tick is the distance between two marks of the time axis.
	tick time.Duration
	// trailing is the count of slots that each point sums.
	trailing int
	slots    []burn.Slot
}

// spans returns the two time axes of a timeline.
func spans(t burn.Timeline) []span {
	return []span{
		{title: t.Pipeline + ": last six hours, burn over the last 5 minutes", format: "15:04", tick: time.Hour, trailing: 5, slots: t.Fine},
		{title: t.Pipeline + ": last three days, burn over the last hour", format: "2 Jan\n15:04", tick: 12 * time.Hour, trailing: 2, slots: t.Coarse},
	}
}

// burnPlot draws the burn over time with the changes of failure domains.
func burnPlot(s span, objective float64, events []DomainEvent) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.title
	p.Y.Label.Text = "burn (dashes: budget)"
	p.X.Tick.Marker = s.ticks()
	p.Y.Min = 0
	points := make(plotter.XYs, 0, len(s.slots))
	highest := 2.0
	for i, x := range s.slots {
		var good, bad uint64
		for _, y := range s.slots[max(0, i-s.trailing+1) : i+1] {
			good, bad = good+y.Good, bad+y.Bad
		}
		rate := burn.RateOf(good, bad, objective)
		highest = max(highest, rate)
		points = append(points, plotter.XY{X: float64(x.Start.Unix()), Y: rate})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, fmt.Errorf("burnreport: plot: %w", err)
	}
	line.Color, line.Width = burnColour, vg.Points(1.5)
	p.Add(plotter.NewGrid(), line)
	p.Y.Max = highest * 1.25
	if len(points) > 0 {
		p.X.Min, p.X.Max = points[0].X, points[len(points)-1].X
	}
	addBudget(p)
	return p, addEvents(p, events)
}

// addBudget draws the burn at which the budget lasts exactly for the objective's period.
func addBudget(p *plot.Plot) {
	budget := plotter.NewFunction(func(float64) float64 { return 1 })
	budget.Color = budgetColour
	budget.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(budget)
}

// ticks marks the time axis at whole hours, in UTC.
func (s span) ticks() plot.TickerFunc {
	return func(low, high float64) []plot.Tick {
		var list []plot.Tick
		for t := time.Unix(int64(low), 0).UTC().Truncate(s.tick); t.Unix() <= int64(high); t = t.Add(s.tick) {
			if t.Unix() >= int64(low) {
				list = append(list, plot.Tick{Value: float64(t.Unix()), Label: t.Format(s.format)})
			}
		}
		return list
	}
}

// addEvents marks the changes of failure domains that lie on the time axis.
func addEvents(p *plot.Plot, events []DomainEvent) error {
	labels := plotter.XYLabels{}
	for _, e := range events {
		x := float64(e.At.Unix())
		if x < p.X.Min || x > p.X.Max {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("burnreport: plot: %w", err)
		}
		line.Color, line.Width = backColour, vg.Points(1)
		if e.TakenOut {
			line.Color = outColour
		}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(line)
		// Labels of neighbours stand at different heights.
		height := 0.93 - 0.08*float64(len(labels.Labels)%5)
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: p.Y.Max * height})
		labels.Labels = append(labels.Labels, " "+e.String()+" ")
	}
	if len(labels.Labels) == 0 {
		return nil
	}
	l, err := plotter.NewLabels(labels)
	if err != nil {
		return fmt.Errorf("burnreport: plot: %w", err)
	}
	for i, at := range labels.XYs {
		if at.X > (p.X.Min+p.X.Max)/2 { // keeps labels of the right half inside the plot
			l.TextStyle[i].XAlign = draw.XRight
		}
	}
	p.Add(l)
	return nil
}

// costPlot draws what the stages of one pipeline cost, the wasted part apart.
func costPlot(pipeline string, costs []Cost) (*plot.Plot, error) {
	var useful, wasted plotter.Values
	var names []string
	for _, c := range costs {
		if c.Pipeline != pipeline || c.Organisation != allOrganisations {
			continue
		}
		names = append(names, c.Stage)
		useful = append(useful, c.Cost-c.Wasted)
		wasted = append(wasted, c.Wasted)
	}
	if len(names) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = pipeline + ": cost by stage, last three days"
	p.Y.Label.Text = "cost"
	p.Y.Min = 0
	low, err := plotter.NewBarChart(useful, barWidth)
	if err != nil {
		return nil, fmt.Errorf("burnreport: plot: %w", err)
	}
	high, err := plotter.NewBarChart(wasted, barWidth)
	if err != nil {
		return nil, fmt.Errorf("burnreport: plot: %w", err)
	}
	low.Color, high.Color = burnColour, wastedColour
	high.StackOn(low)
	p.Add(low, high)
	p.Legend.Add("useful", low)
	p.Legend.Add("wasted", high)
	p.Legend.Top = true
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.7, float64(len(names))+0.2 // leaves room for the legend
	return p, nil
}

// svg renders a plot as an SVG element without the XML prolog, to stand inside HTML.
func svg(p *plot.Plot, height vg.Length) (string, error) {
	c := vgsvg.New(plotWidth, height)
	p.Draw(draw.Crop(draw.New(c), plotMargin, -plotMargin, plotMargin, -plotMargin))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("burnreport: svg: %w", err)
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return string(text), nil
}

// recent returns the events of the last three days.
func recent(events []DomainEvent, now time.Time) []DomainEvent {
	const days = 72 * time.Hour
	var list []DomainEvent
	for _, e := range events {
		if now.Sub(e.At) <= days {
			list = append(list, e)
		}
	}
	return list
}
