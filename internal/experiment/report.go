package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Loads are those of the report.
var Loads = []float64{0.5, 0.75, 1, 1.25, 1.5, 1.75, 2, 2.5}

// Row is one policy at one load, over several seeds.
type Row struct {
	Policy Policy
	Load   float64
	Result Result
}

// Table plays all policies at all loads.
func Table(seeds uint64, span time.Duration) []Row {
	var out []Row
	for _, load := range Loads {
		for _, p := range Policies() {
			row := Row{Policy: p, Load: load}
			for seed := range seeds {
				row.Result.add(Run(p, load, seed, span))
			}
			out = append(out, row)
		}
	}
	return out
}

func (r *Result) add(o Result) {
	r.Offered += o.Offered
	r.OnTime += o.OnTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Again += o.Again
	r.Held += o.Held
	r.Worked += o.Worked
	r.Wasted += o.Wasted
}

// share returns n of the requests in percent.
func (r *Result) share(n int) float64 { return 100 * float64(n) / float64(max(r.Offered, 1)) }

// waste returns the servers' time for requests that were refused, in percent.
func (r *Result) waste() float64 {
	return 100 * float64(r.Wasted) / float64(max(r.Worked, 1))
}

// held returns how long a refused request had waited on average, in ms.
func (r *Result) held() float64 {
	return float64(r.Held.Milliseconds()) / float64(max(r.Refused, 1))
}

// Write writes the page and its plots to a folder.
func Write(dir string, rows []Row, seeds uint64, span time.Duration) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Stage calls under load\n\nWritten by `make experiment`: the product's scheduler of stage calls and plainer ways, in virtual time,\n"+
		"%d seeds of %s. Load 1 is an ordinary day of the smaller site; the servers' time is used up at about 1.8.\n\n"+
		"| load | calls formed by | on time %% | late %% | refused %% | servers' time wasted %% | refused after, ms |\n|---|---|---|---|---|---|---|\n", seeds, span)
	for _, r := range rows {
		x := &r.Result
		fmt.Fprintf(&b, "| %.2f | %s | %.1f | %.1f | %.1f | %.1f | %.0f |\n", r.Load, r.Policy.Name, x.share(x.OnTime), x.share(x.Late),
			x.share(x.Refused), x.waste(), x.held())
	}
	b.WriteString("\n![on time](plots/stage-on-time.svg) ![wasted](plots/stage-wasted.svg) ![refused after](plots/stage-held.svg)\n")
	b.WriteString(scarceTable(seeds, max(span, scarceSpan)))
	b.WriteString(returnTable(seeds, max(span, scarceSpan)))
	for name, of := range map[string]func(*Result) float64{
		"stage-on-time": func(r *Result) float64 { return r.share(r.OnTime) },
		"stage-wasted":  (*Result).waste,
		"stage-held":    (*Result).held,
	} {
		if err := draw(filepath.Join(dir, "plots", name+".svg"), name, rows, of); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "EXPERIMENT.md"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

// draw plots a figure of every policy against load.
func draw(file, title string, rows []Row, of func(*Result) float64) error {
	const width, height = 18 * vg.Centimeter, 10 * vg.Centimeter
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "load"
	p.Legend.Top = true
	for i, policy := range Policies() {
		var points plotter.XYs
		for _, r := range rows {
			if r.Policy == policy {
				points = append(points, plotter.XY{X: r.Load, Y: of(&r.Result)})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(policy.Name, line)
	}
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}
