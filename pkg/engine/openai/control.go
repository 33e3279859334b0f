package openai

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Response limits in bytes and the content encoding of control calls.
const (
	// maxControlResponse is the maximum size of a JSON response.
	maxControlResponse = 1 << 20
	// maxKV is the maximum size in bytes of an exported KV cache handle.
	maxKV        = 1 << 20
	encodingGzip = "gzip"
)

// LoadReport is the response body of PathLoad. See engine.Load for the fields.
type LoadReport struct {
	AgeMS    int64 `json:"age_ms"`
	Running  int   `json:"running"`
	Queued   int   `json:"queued"`
	Capacity int   `json:"capacity"`
	Cold     bool  `json:"cold"`
}

// CacheReport is the response body of PathCache.
type CacheReport struct {
	Events []CacheReportEvent `json:"events"`
}

// CacheReportEvent is the JSON form of an engine.CacheEvent.
type CacheReportEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
	Cleared  bool     `json:"cleared,omitempty"`
}

// OrderBody is the request and response body of PathOrders.
type OrderBody struct {
	ID    string `json:"id,omitempty"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
	Fence uint64 `json:"fence"`
}

// CancelBody is the request body of PathCancel.
type CancelBody struct {
	Attempt string `json:"attempt"`
}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, t engine.Target, attemptID string) error {
	r := controlCall{method: http.MethodPost, path: PathCancel, in: CancelBody{Attempt: attemptID}}
	err := c.control(ctx, t, r)
	var e *engine.Error
	if errors.As(err, &e) && e.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, t engine.Target) (engine.Load, error) {
	var v LoadReport
	if err := c.control(ctx, t, controlCall{method: http.MethodGet, path: PathLoad, out: &v}); err != nil {
		return engine.Load{}, err
	}
	return engine.Load{
		Age:      time.Duration(max(v.AgeMS, 0)) * time.Millisecond,
		Running:  max(v.Running, 0),
		Queued:   max(v.Queued, 0),
		Capacity: max(v.Capacity, 0),
		Cold:     v.Cold,
	}, nil
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, t engine.Target, after uint64, limit int) (engine.CachePage, error) {
	var v CacheReport
	var size int
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
	r := controlCall{
		method: http.MethodGet, path: PathCache + "?" + query.Encode(), out: &v, maxBytes: engine.MaxCachePage, size: &size, compressed: true,
	}
	if err := c.control(ctx, t, r); err != nil {
		return engine.CachePage{}, err
	}
	newest := v.Events[max(0, len(v.Events)-limit):]
	page := engine.CachePage{Events: make([]engine.CacheEvent, len(newest)), Bytes: size}
	for i, e := range newest {
		page.Events[i] = engine.CacheEvent(e)
	}
	return page, nil
}

// Order implements engine.Client.
func (c *Client) Order(ctx context.Context, t engine.Target, o engine.Order) (engine.OrderState, error) {
	var v OrderBody
	r := controlCall{method: http.MethodPost, path: PathOrders, in: OrderBody(o), out: &v}
	if err := c.control(ctx, t, r); err != nil {
		return engine.OrderState{}, err
	}
	return engine.OrderState{Kind: v.Kind, Value: v.Value, Fence: v.Fence}, nil
}

// ReadOrder implements engine.Client.
func (c *Client) ReadOrder(ctx context.Context, t engine.Target, kind string) (engine.OrderState, error) {
	var v OrderBody
	r := controlCall{method: http.MethodGet, path: PathOrders + "?kind=" + url.QueryEscape(kind), out: &v}
	if err := c.control(ctx, t, r); err != nil {
		return engine.OrderState{}, err
	}
	return engine.OrderState{Kind: v.Kind, Value: v.Value, Fence: v.Fence}, nil
}

// ExportKV implements engine.Client.
func (c *Client) ExportKV(ctx context.Context, t engine.Target, attemptID string) ([]byte, error) {
	var data []byte
	err := c.control(ctx, t, controlCall{method: http.MethodGet, path: kvPath(attemptID), rawOut: &data})
	return data, err
}

// ImportKV implements engine.Client.
func (c *Client) ImportKV(ctx context.Context, t engine.Target, attemptID string, data []byte) error {
	return c.control(ctx, t, controlCall{method: http.MethodPut, path: kvPath(attemptID), rawIn: data})
}

func kvPath(attemptID string) string {
	return PathKV + "/" + url.PathEscape(attemptID)
}

// Probe implements engine.Client.
func (c *Client) Probe(ctx context.Context, t engine.Target) error {
	return c.control(ctx, t, controlCall{method: http.MethodGet, path: PathHealth, newConnection: true})
}

// controlCall is a call to a server other than a stage call. Bodies are JSON (in, out) or raw bytes (rawIn, rawOut).
type controlCall struct {
	method string
	path   string
	in     any
	out    any
	rawIn  []byte
	rawOut *[]byte
	// maxBytes is the maximum size of the response body in bytes; 0 uses the limit for raw or JSON bodies.
	maxBytes int
	// size, if not nil, receives the transmitted size of the response body in bytes.
	size *int
	// compressed requests a gzip-compressed response.
	compressed bool
	// newConnection sends the call on a new connection, without asking for the incarnation first.
	newConnection bool
}

func (c *Client) control(ctx context.Context, t engine.Target, r controlCall) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProgressTimeout)
	defer cancel()
	s := &sendTracker{startedAt: time.Now(), maxAge: c.opts.MaxConnAge}
	traced := httptrace.WithClientTrace(ctx, s.trace())
	if !r.newConnection {
		traced = withIdentify(traced, t)
	}
	req, err := r.request(traced, t)
	if err != nil {
		return &engine.Error{Kind: engine.Rejected, Server: t.Server, Err: err}
	}
	client := c.http
	if r.newConnection {
		client = c.noKeepAlive
	}
	resp, err := client.Do(req)
	if err != nil {
		return controlError(ctx, t, s.abandon(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.reportNotice(t, resp)
	body, err := r.read(resp)
	if err != nil {
		return controlError(ctx, t, true, err)
	}
	if err := r.check(t, resp, body); err != nil {
		return err
	}
	return r.decode(t, body)
}

func (r controlCall) request(ctx context.Context, t engine.Target) (*http.Request, error) {
	body := r.rawIn
	if r.in != nil {
		b, err := json.Marshal(r.in)
		if err != nil {
			return nil, fmt.Errorf("encode control call: %w", err)
		}
		body = b
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+t.Address+r.path, oneShotBody{bytes.NewReader(body)})
	if err != nil {
		return nil, fmt.Errorf("build control call: %w", err)
	}
	req.ContentLength = int64(len(body))
	if r.in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.compressed {
		req.Header.Set("Accept-Encoding", encodingGzip)
	}
	return req, nil
}

// countingReader is a reader that counts the bytes read.
type countingReader struct {
	io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += n
	return n, err
}

// read reads and if necessary decompresses the response body, up to one byte above the limit so that decode can detect
// a body that is too large.
func (r controlCall) read(resp *http.Response) ([]byte, error) {
	sent := &countingReader{Reader: resp.Body}
	var body io.Reader = sent
	if r.compressed && resp.Header.Get("Content-Encoding") == encodingGzip {
		z, err := gzip.NewReader(sent)
		if err != nil {
			return nil, fmt.Errorf("decompress response: %w", err)
		}
		body = z
	}
	b, err := io.ReadAll(io.LimitReader(body, int64(r.limit())+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if r.size != nil {
		*r.size = sent.n
	}
	return b, nil
}

// limit returns the maximum response body size in bytes.
func (r controlCall) limit() int {
	switch {
	case r.maxBytes > 0:
		return r.maxBytes
	case r.rawOut != nil:
		return maxKV
	}
	return maxControlResponse
}

func (r controlCall) check(t engine.Target, resp *http.Response, body []byte) error {
	got := resp.Header.Get(HeaderIncarnation)
	if got != "" && t.Incarnation != "" && got != t.Incarnation {
		return &engine.Error{Kind: engine.Crashed, Server: t.Server, Sent: true, Err: fmt.Errorf("server now has incarnation %q", got)}
	}
	if resp.StatusCode/100 == 2 {
		return nil
	}
	e := &engine.Error{Kind: kindOfStatus(resp.StatusCode), Server: t.Server, Sent: true, Status: resp.StatusCode}
	if resp.StatusCode == http.StatusConflict {
		e.Kind = engine.Stale
	}
	e.Body = body[:min(len(body), maxErrorBody)]
	e.Err = fmt.Errorf("%s %s: status %d", r.method, r.path, resp.StatusCode)
	return e
}

func (r controlCall) decode(t engine.Target, body []byte) error {
	if len(body) > r.limit() {
		return &engine.Error{Kind: engine.Failed, Server: t.Server, Sent: true, Err: errors.New("response too large")}
	}
	if r.rawOut != nil {
		*r.rawOut = body
		return nil
	}
	if r.out == nil {
		return nil
	}
	if err := json.Unmarshal(body, r.out); err != nil {
		return &engine.Error{Kind: engine.Failed, Server: t.Server, Sent: true, Err: fmt.Errorf("decode response: %w", err)}
	}
	return nil
}

func controlError(ctx context.Context, t engine.Target, sent bool, err error) error {
	e := &engine.Error{Server: t.Server, Sent: sent, Err: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Kind = engine.Silent
	case ctx.Err() != nil:
		e.Kind = engine.Canceled
	case isRefused(err):
		e.Kind = engine.Refused
	case isTimeout(err):
		e.Kind = engine.Silent
	default:
		e.Kind = engine.Crashed
	}
	return e
}
