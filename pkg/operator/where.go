package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
	"github.com/daisyhatch/daisyhatch/pkg/where"
)

type whereCmd struct {
	VM     string   `arg:"" help:"Ops address of the entry VM, IP:port."`
	Host   string   `required:"" help:"The request's host."`
	Path   string   `required:"" help:"The request's path."`
	Header []string `help:"A header of the request, 'Name: value'; repeat it." short:"H" sep:"none"`
}

// Help shows examples.
func (whereCmd) Help() string {
	return `Shows where a request would go now from an entry VM, and why: the servers of its service, best first, with what the VM knows of
each and how old that is, or why the request would be refused. Nothing is sent.

Examples:
  daisyhatch where 10.1.0.4:9464 --host a.example --path /v1/ -H 'X-Deadline-Ms: 2000'`
}

// Run shows where the request would go.
func (c *whereCmd) Run(s *session) error {
	if _, err := inifile.ParseAddress(c.VM); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	query := url.Values{"host": {c.Host}, "path": {c.Path}}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+c.VM+"/where?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return fmt.Errorf("%w: --header %q is not 'Name: value'", ErrUsage, h)
		}
		req.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	w, err := s.askWhere(req)
	if err != nil {
		return err
	}
	if s.flags.Output == "json" {
		return s.printJSON(w)
	}
	s.printWhere(w)
	return nil
}

func (s *session) askWhere(req *http.Request) (*where.Answer, error) {
	res, err := (&http.Client{Timeout: s.flags.Timeout}).Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() {
		// The answer was read.
		_ = res.Body.Close()
	}()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s answers %s", ErrRefused, req.URL.Host, res.Status)
	}
	w := &where.Answer{}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(w); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrRefused, req.URL.Host, err)
	}
	return w, nil
}

func (s *session) printWhere(w *where.Answer) {
	s.printf("VM %s in %s, configuration version %d, confirmed %d ms ago\n", w.VM, w.FailureDomain, w.ConfigurationVersion, w.StateAgeMs)
	if w.Route != "" {
		s.printf("route %s, service %s, priority %d, %d ms left, target %d ms\n", w.Route, w.Service, w.Priority, w.DeadlineMs, w.TargetMs)
	}
	if len(w.Stages) > 0 {
		s.printf("after stages at %s\n", strings.Join(w.Stages, ", "))
	}
	if w.Server != "" {
		s.printf("goes to %s\n", w.Server)
	} else {
		s.printf("refused with %d: %s; return after %d ms\n", w.Status, w.Reason, w.RetryAfterMs)
	}
	if len(w.Candidates) == 0 {
		return
	}
	rows := [][]string{{"SERVER", "DOMAIN", "HEARD MS", "ANSWERED MS", "IN FLIGHT", "SLOWNESS", "FAILURES", "LIMIT", "PASSED OVER"}}
	for _, c := range w.Candidates {
		limit := "-"
		if c.LimitShare+c.LimitSent > 0 {
			limit = fmt.Sprintf("%d of %d", c.LimitSent, c.LimitShare)
		}
		rows = append(rows, []string{
			c.Server, c.FailureDomain, strconv.FormatInt(c.HeardMs, 10), strconv.FormatInt(c.AnsweredMs, 10), strconv.Itoa(c.InFlight),
			strconv.FormatFloat(c.Slowness, 'g', 3, 64), strconv.FormatFloat(c.Failures, 'g', 3, 64), limit, c.Passed,
		})
	}
	s.table(rows)
}
