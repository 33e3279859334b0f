package demo

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/gateway"
)

// firstCallTimeout bounds the wait for the first servers to be granted.
const firstCallTimeout = 15 * time.Second

// answer is what one call brought.
type answer struct {
	status int
	body   string
	stages string
	run    string
	replay bool
	took   time.Duration
	err    error
}

func (a answer) good() bool { return a.err == nil && a.status == http.StatusOK }

// call is one call of the demo.
type call struct {
	path         string
	organisation string
	body         string
	key          string
}

// send sends a call to one entry VM, as the balancer would.
func (d *demo) send(ctx context.Context, vm int, c call) answer {
	begin := time.Now()
	url := "http://" + d.cluster.VMs[vm%len(d.cluster.VMs)].Callers + c.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+c.organisation)
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set(gateway.HeaderIdempotencyKey, c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode,
		body:   string(body),
		stages: resp.Header.Get(gateway.HeaderStages),
		run:    resp.Header.Get(gateway.HeaderRun),
		replay: resp.Header.Get("Idempotent-Replayed") == "true",
		took:   time.Since(begin),
		err:    err,
	}
}

// runPipelines sends a whole and a streamed request through every pipeline.
func (d *demo) runPipelines(ctx context.Context) {
	d.printf("\npipelines\n")
	for i, name := range names(d.set.Pipelines) {
		p := d.set.Pipelines[name]
		c := call{path: "/v1/chat/completions", organisation: d.callerOf(p.Organisations), body: chatBody(name, false)}
		if d.needsKey(p) {
			c.key = uuid.NewString()
		}
		a := d.sendUntilGranted(ctx, i, c)
		d.check(a.good(), "%s: whole answer, status %d, %s", name, a.status, brief(a))
		if !d.streams(p) {
			continue
		}
		c.body = chatBody(name, true)
		s := d.send(ctx, i+1, c)
		tokens, whole := readStream(s.body)
		d.check(s.good() && whole, "%s: streamed, %d tokens, end mark %t, %s", name, tokens, whole, brief(s))
	}
}

// sendUntilGranted repeats a call that was not run because no server was granted yet.
func (d *demo) sendUntilGranted(ctx context.Context, vm int, c call) answer {
	until := time.Now().Add(firstCallTimeout)
	for {
		a := d.send(ctx, vm, c)
		if a.good() || a.run != "not_run" || time.Now().After(until) {
			return a
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runServices calls every service twice with one idempotency key, through different VMs.
func (d *demo) runServices(ctx context.Context) {
	d.printf("\nservices that must run at most once\n")
	for i, name := range names(d.set.Services) {
		s := d.set.Services[name]
		if d.set.Stages[s.Stage].Repeatable {
			continue
		}
		c := call{
			path:         "/v1/services/" + name,
			organisation: d.callerOf(s.Organisations),
			body:         `{"order": "` + uuid.NewString() + `"}`,
			key:          uuid.NewString(),
		}
		first := d.sendUntilGranted(ctx, i, c)
		d.check(first.good(), "%s: first call, status %d, %s", name, first.status, brief(first))
		second := d.send(ctx, i+3, c)
		same := second.good() && second.replay && second.body == first.body
		d.check(same, "%s: resent through another VM, stored answer %t, %s", name, second.replay, brief(second))
		runs := d.runsWith(ctx, d.set.Stages[s.Stage].Pool, c.body)
		d.check(runs == 1, "%s: ran %d times", name, runs)
	}
}

// callerOf returns the organisation with the highest rate among those named, or among all when none are.
func (d *demo) callerOf(organisations []string) string {
	if len(organisations) == 0 {
		organisations = names(d.set.Organisations)
	}
	return slices.MaxFunc(organisations, func(a, b string) int {
		return cmp.Compare(d.set.Organisations[a].Rate, d.set.Organisations[b].Rate)
	})
}

// needsKey reports whether a pipeline has a stage that is not repeatable.
func (d *demo) needsKey(p *config.Pipeline) bool {
	for _, step := range p.Steps {
		for _, s := range step {
			if !d.set.Stages[s].Repeatable {
				return true
			}
		}
	}
	return false
}

// streams reports whether a pipeline ends in one chat stage and may be sent twice.
func (d *demo) streams(p *config.Pipeline) bool {
	last := p.Steps[len(p.Steps)-1]
	return len(last) == 1 && d.set.Stages[last[0]].Operation == "chat" && !d.needsKey(p)
}

func chatBody(pipeline string, stream bool) string {
	b, err := json.Marshal(map[string]any{
		"model":    pipeline,
		"stream":   stream,
		"messages": []map[string]string{{"role": "user", "content": "What came back today?"}},
	})
	if err != nil {
		return ""
	}
	return string(b)
}

// readStream counts the tokens of a streamed answer and reports whether it has its end mark.
func readStream(body string) (tokens int, whole bool) {
	sc := bufio.NewScanner(strings.NewReader(body))
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return tokens, true
		}
		tokens++
	}
	return tokens, false
}

func brief(a answer) string {
	if a.err != nil {
		return a.err.Error()
	}
	if a.status != http.StatusOK {
		return a.body
	}
	return fmt.Sprintf("%s, %s", a.took.Round(time.Millisecond), a.stages)
}
