package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisyhatch/daisyhatch/internal/demo/cluster"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

const (
	// latencyWarmUp is the count of calls of each kind before those that are measured.
	latencyWarmUp = 200
	// latencyCalls is the count of calls of each kind that are measured, in turn.
	latencyCalls = 2000
	// latencyTimeout bounds the whole measurement.
	latencyTimeout = 2 * time.Minute
	// addedLimit is the most that the system may add at the median.
	addedLimit = time.Millisecond
	// latencyPipeline is a pipeline of one stage that the measurement adds to the example.
	latencyPipeline = "latency"
	latencyBody     = `{"query":"what came back today?"}`
)

// Latency measures what the system adds to a call: the same look-up goes to one stand-in directly and through one
// VM, in turn, one at a time. It returns ErrFailed when the medians differ by more than 1 ms.
func Latency(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, latencyTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "daisyhatch-latency-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &demo{Options: o, dir: dir}
	if err := d.latencyConfiguration(); err != nil {
		return err
	}
	d.cluster, err = cluster.New(cluster.Spec{BinDir: o.BinDir, Dir: dir, VMs: []cluster.VMSpec{
		{Name: "vm-1", FailureDomain: names(d.set.FailureDomains)[0], Control: true, Entry: true},
	}})
	if err != nil {
		return err
	}
	defer func() { _ = d.cluster.Close() }()
	if err := d.cluster.Start(ctx); err != nil {
		return err
	}
	if err := d.publishFirst(ctx); err != nil {
		return err
	}
	return d.latency(ctx)
}

// latencyConfiguration writes the example with a pipeline of its first look-up stage and without the organisations'
// rates, which one caller in a loop would reach.
func (d *demo) latencyConfiguration() error {
	text, err := os.ReadFile(d.Configuration)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "rate ") && !strings.HasPrefix(line, "burst ") {
			lines = append(lines, line)
		}
	}
	set, err := config.Parse(d.Configuration, text)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	stage := ""
	for _, name := range names(set.Stages) {
		if set.Stages[name].Operation == "retrieve" {
			stage = name
		}
	}
	lines = append(lines, fmt.Sprintf("\n[pipeline %q]\nstages = %s\ndeadline = 3s\nobjective = 0.99\n", latencyPipeline, stage))
	d.Configuration = filepath.Join(d.dir, "latency.ini")
	if err := os.WriteFile(d.Configuration, []byte(strings.Join(lines, "")), 0o600); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d.set, err = config.Parse(d.Configuration, []byte(strings.Join(lines, "")))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

func (d *demo) latency(ctx context.Context) error {
	pool := d.set.Pools[d.set.Stages[d.set.Pipelines[latencyPipeline].Steps[0][0]].Pool]
	s := &server{name: "finder", failureDomain: pool.FailureDomains[0], pool: pool.Name}
	if err := d.startServer(s, pool); err != nil {
		return err
	}
	c := call{path: "/v1/pipelines/" + latencyPipeline, organisation: names(d.set.Organisations)[0], body: latencyBody}
	if a := d.sendUntilGranted(ctx, 0, c); !a.good() {
		return fmt.Errorf("%w: first call: %s", ErrFailed, brief(a))
	}
	direct, through := hdrhistogram.New(1, int64(latencyTimeout), 3), hdrhistogram.New(1, int64(latencyTimeout), 3)
	for i := range latencyWarmUp + latencyCalls {
		begin := time.Now()
		if err := directCall(ctx, s.address); err != nil {
			return err
		}
		tookDirect := time.Since(begin)
		a := d.send(ctx, 0, c)
		if !a.good() {
			return fmt.Errorf("%w: call %d: %s", ErrFailed, i, brief(a))
		}
		if i < latencyWarmUp {
			continue
		}
		// Both are within the histograms' range: the context bounds them.
		_ = direct.RecordValue(int64(tookDirect))
		_ = through.RecordValue(int64(a.took))
	}
	added := time.Duration(through.ValueAtQuantile(50) - direct.ValueAtQuantile(50))
	d.printf("direct:          %s\nthrough one VM:  %s\nadded at the median: %s\n", quantiles(direct), quantiles(through), added)
	if added > addedLimit {
		return fmt.Errorf("%w: %s added at the median, more than %s", ErrFailed, added, addedLimit)
	}
	return nil
}

// directCall makes the look-up on the stand-in itself.
func directCall(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+openai.PathRetrieve, strings.NewReader(latencyBody))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

func quantiles(h *hdrhistogram.Histogram) string {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)).Round(time.Microsecond) }
	return fmt.Sprintf("median %s, 95th percentile %s, 99th percentile %s", at(50), at(95), at(99))
}
