package workload

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/gateway"
)

const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 7 * time.Second
	// maxTries bounds the resends of one request.
	maxTries = 4
)

// Caller sends requests one after the other until the run ends.
type Caller struct {
	// Observe, unless nil, sees how each try ended.
	Observe func(k oracle.Kind, r oracle.Reply)

	system *System
	rng    *rand.Rand
	client *http.Client
	host   string
	name   string
	count  int
	// booked are the bookings that were answered.
	booked []string
}

// CallerHost is the IP number from which the n-th caller connects.
func CallerHost(n int) string { return "10.0.2." + strconv.Itoa(n+1) }

// NewCaller returns the n-th caller, counted from 0, at a host.
func NewCaller(s *System, host string, n int, seed uint64) *Caller {
	return &Caller{
		system: s, host: host, name: strconv.Itoa(n), client: s.client(host, 0), rng: rand.New(rand.NewPCG(seed, uint64(n))),
	}
}

// RunUntil sends requests until done is closed, each after a random pause of pace on average.
func (c *Caller) RunUntil(done <-chan struct{}, pace time.Duration) {
	defer c.Close()
	for {
		c.One(c.pick())
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(2 * pace)))):
		}
	}
}

// Book sends bookings, a few times each while they have no answer.
func (c *Caller) Book(count int) {
	for range count {
		c.One(oracle.Booking)
	}
}

// Again sends the last bookings that were answered once more, each up to tries times, and returns how many got their
// answer again.
func (c *Caller) Again(most, tries int) int {
	defer c.Close()
	good := 0
	for _, id := range c.booked[max(0, len(c.booked)-most):] {
		if c.resend(id, oracle.Booking, tries) {
			good++
		}
		c.system.Oracle.Count("answered bookings sent again")
	}
	return good
}

// Run sends requests until a time, each after a random pause of pace on average.
func (c *Caller) Run(until time.Time, pace time.Duration) {
	defer c.client.CloseIdleConnections()
	for time.Now().Before(until) {
		c.One(c.pick())
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * pace))))
	}
}

func (c *Caller) pick() oracle.Kind {
	switch n := c.rng.IntN(1000); {
	case n < 2:
		return oracle.Poison
	case n < 300:
		return oracle.Booking
	case n < 600:
		return oracle.Stream
	default:
		return oracle.Whole
	}
}

// Close closes the connections that nobody uses.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// One sends a request, and again through other VMs while it has no answer.
func (c *Caller) One(k oracle.Kind) bool {
	c.count++
	id := fmt.Sprintf("q-%s-%d", c.name, c.count)
	c.system.Oracle.Ask(id, k)
	good := c.resend(id, k, maxTries)
	if good && k == oracle.Booking {
		c.booked = append(c.booked, id)
	}
	return good
}

// resend sends a request until it has an answer, up to tries times.
func (c *Caller) resend(id string, k oracle.Kind, tries int) bool {
	for range tries {
		begun := time.Now()
		r := c.try(id, k)
		c.system.Oracle.Ended(id, begun, r)
		if c.Observe != nil {
			c.Observe(k, r)
		}
		if r.Good {
			return true
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(500 * time.Millisecond))))
	}
	return false
}

func (c *Caller) try(id string, k oracle.Kind) oracle.Reply {
	up := c.system.Entries(c.host)
	if len(up) == 0 {
		return oracle.Reply{Run: apierr.NotRun, Code: apierr.NoCapacity}
	}
	base := up[c.rng.IntN(len(up))]
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := c.request(ctx, base, id, k)
	if err != nil {
		return oracle.Reply{Err: err}
	}
	begun := time.Now()
	status, body, err := c.do(req)
	if err != nil {
		c.broke(base, begun, err)
		return oracle.Reply{Err: err}
	}
	return judge(id, k, status, body)
}

func (c *Caller) do(req *http.Request) (status int, body []byte, err error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// broke tells of a connection that broke; one that was too slow did not.
func (c *Caller) broke(base string, begun time.Time, err error) {
	if c.system.Broke != nil && !errors.Is(err, context.DeadlineExceeded) {
		c.system.Broke(base, begun, err)
	}
}

func (c *Caller) request(ctx context.Context, base, id string, k oracle.Kind) (*http.Request, error) {
	path, body := "/v1/services/bookings", id
	if k != oracle.Booking {
		path, body = "/v1/chat/completions", chatBody(question(id, k), k == oracle.Stream)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if k == oracle.Booking {
		req.Header.Set(gateway.HeaderIdempotencyKey, "key-"+id)
	}
	return req, nil
}

func question(id string, k oracle.Kind) string {
	if k == oracle.Poison {
		return id + " " + oracle.PoisonMark
	}
	return id
}

func chatBody(question string, stream bool) string {
	return fmt.Sprintf(`{"model":"ask","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, question)
}

// judge reads one answer.
func judge(id string, k oracle.Kind, status int, body []byte) oracle.Reply {
	if status != http.StatusOK {
		return refusal(body)
	}
	if k == oracle.Booking {
		// The stand-in's answer repeats what it was asked.
		if !strings.Contains(string(body), id) {
			return oracle.Reply{Good: true, Wrong: fmt.Sprintf("got another booking's answer: %s", body)}
		}
		return oracle.Reply{Good: true}
	}
	text, whole := wholeText(body)
	if k == oracle.Stream {
		text, whole = streamText(body)
	}
	if !whole {
		return oracle.Reply{Code: apierr.StreamBroken, Run: apierr.MayHaveRun}
	}
	if want := standin.AnswerText(question(id, k), tokens); text != want {
		return oracle.Reply{Good: true, Wrong: fmt.Sprintf("got %q, its answer is %q", text, want)}
	}
	return oracle.Reply{Good: true}
}

func refusal(body []byte) oracle.Reply {
	var e struct {
		Error struct {
			Code apierr.Code `json:"code"`
			Run  apierr.Run  `json:"run"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return oracle.Reply{Err: err}
	}
	return oracle.Reply{Code: e.Error.Code, Run: e.Error.Run}
}

func wholeText(body []byte) (string, bool) {
	var a struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &a); err != nil || len(a.Choices) == 0 {
		return "", false
	}
	return a.Choices[0].Message.Content, true
}

// streamText joins the tokens of a streamed answer; it is whole only with its end mark.
func streamText(body []byte) (text string, whole bool) {
	sc := bufio.NewScanner(strings.NewReader(string(body)))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var e struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return text, false
		}
		for _, ch := range e.Choices {
			text += ch.Delta.Content
		}
	}
	return text, false
}
