package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
)

// errProgressTimeout is the cancellation cause when the server sends no data within the progress timeout.
var errProgressTimeout = errors.New("openai: no data within the progress timeout")

// maxErrorBody is the number of bytes kept of an error response's body.
const maxErrorBody = 8 << 10

// Call implements engine.Client.
func (c *Client) Call(ctx context.Context, t engine.Target, call engine.Call) (engine.Answer, error) {
	x, err := c.start(ctx, t, call, false)
	if err != nil {
		return engine.Answer{}, err
	}
	defer x.finish()
	body, err := x.readAll(c.maxResponseBytes(call))
	if err != nil {
		return engine.Answer{}, x.transportError(err)
	}
	if err := x.checkComplete(body); err != nil {
		return engine.Answer{}, err
	}
	return engine.Answer{
		AttemptID:   call.AttemptID,
		Status:      x.resp.StatusCode,
		ContentType: x.resp.Header.Get("Content-Type"),
		Body:        body,
		Usage:       usageOf(body, call.Operation),
		FirstByte:   x.tracker.firstByte(),
	}, nil
}

func (c *Client) maxResponseBytes(call engine.Call) int64 {
	if call.MaxAnswer > 0 {
		return call.MaxAnswer
	}
	return c.opts.MaxAnswer
}

// exchange is one HTTP request to a backend server and its response.
type exchange struct {
	target          engine.Target
	call            engine.Call
	resp            *http.Response
	tracker         *sendTracker
	parent          context.Context
	ctx             context.Context
	cancel          context.CancelCauseFunc
	progressTimer   *time.Timer
	progressTimeout time.Duration
}

// start sends the call and waits for the response headers, which it checks. Errors are *engine.Error.
func (c *Client) start(ctx context.Context, t engine.Target, call engine.Call, stream bool) (*exchange, error) {
	x := &exchange{target: t, call: call, progressTimeout: c.opts.ProgressTimeout}
	if call.ProgressTimeout > 0 {
		x.progressTimeout = call.ProgressTimeout
	}
	x.parent = ctx
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.progressTimer = time.AfterFunc(x.progressTimeout, func() { x.cancel(errProgressTimeout) })
	err := x.send(c, stream)
	x.progressTimer.Stop()
	if err != nil {
		failure := x.transportError(err)
		x.finish()
		return nil, failure
	}
	if err := x.checkHeaders(); err != nil {
		x.finish()
		return nil, err
	}
	return x, nil
}

// maxDiscardedConns is the maximum number of connections that one call discards because they are closed, too old or lead to
// another incarnation. Before the last try, all idle connections are closed, so that it gets a new one.
const maxDiscardedConns = 4

// send sends the request over a connection that is below the age limit and leads to the target's incarnation.
func (x *exchange) send(c *Client, stream bool) error {
	for try := 0; ; try++ {
		x.tracker = &sendTracker{startedAt: time.Now(), maxAge: c.opts.MaxConnAge}
		if reportsIncarnation(x.target) {
			x.tracker.incarnation = x.target.Incarnation
		}
		ctx := httptrace.WithClientTrace(withIdentify(x.ctx, x.target), x.tracker.trace())
		req, err := newRequest(ctx, x.target, x.call, stream)
		if err != nil {
			return err
		}
		resp, err := c.clientFor(x.call).Do(req) //nolint:bodyclose // closed by finish
		if err == nil {
			x.resp = resp
			c.reportNotice(x.target, resp)
			return nil
		}
		if x.tracker.wrongIncarnation() {
			return fmt.Errorf("%w: %w", errWrongIncarnation, err)
		}
		if !x.tracker.retryable() || try >= maxDiscardedConns {
			return err
		}
		if try == maxDiscardedConns-1 {
			c.http.CloseIdleConnections()
		}
	}
}

// reportNotice calls Options.OnNotice when a response says that its server is leaving or wants no calls for a time.
func (c *Client) reportNotice(t engine.Target, resp *http.Response) {
	n := holdoff.Parse(resp.StatusCode, resp.Header, HeaderLeaving)
	if c.opts.OnNotice != nil && !n.Empty() {
		c.opts.OnNotice(t, n)
	}
}

// clientFor returns the HTTP client for a call: the one without keep-alive if the call needs a new connection.
func (c *Client) clientFor(call engine.Call) *http.Client {
	if call.NewConnection {
		return c.noKeepAlive
	}
	return c.http
}

// finish cancels the request and closes the response body.
func (x *exchange) finish() {
	x.progressTimer.Stop()
	x.cancel(nil)
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
}

// Read reads the response body. The progress timeout runs only during a read, so that a slow reader is not mistaken for
// a silent server.
func (x *exchange) Read(p []byte) (int, error) {
	x.progressTimer.Reset(x.progressTimeout)
	n, err := x.resp.Body.Read(p)
	x.progressTimer.Stop()
	return n, err
}

// transportError ends the call and converts a transport error to an *engine.Error.
func (x *exchange) transportError(err error) error {
	e := &engine.Error{Server: x.target.Server, Err: err, Sent: x.tracker.abandon()}
	switch {
	case errors.Is(context.Cause(x.ctx), errProgressTimeout):
		e.Kind = engine.Silent
	case x.ctx.Err() != nil:
		e.Kind = engine.Canceled
	case !e.Sent:
		e.Kind = engine.Refused
	case x.resp != nil:
		e.Kind = engine.Truncated
	default:
		e.Kind = engine.Crashed
	}
	return e
}

// checkHeaders checks the response's attempt ID and status.
func (x *exchange) checkHeaders() error {
	id := x.resp.Header.Get(HeaderAttempt)
	if !x.acceptsAttemptID(id) {
		return x.responseError(engine.WrongAttempt, fmt.Errorf("response belongs to attempt %q", id))
	}
	if x.call.Operation == engine.HTTP && x.resp.StatusCode < http.StatusInternalServerError {
		return nil
	}
	if x.resp.StatusCode/100 == 2 {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(x, maxErrorBody))
	e := x.responseError(kindOfStatus(x.resp.StatusCode), fmt.Errorf("status %d", x.resp.StatusCode))
	e.Status = x.resp.StatusCode
	e.Body = body
	e.RetryAfter = holdoff.RetryAfter(x.resp.Header)
	return e
}

// acceptsAttemptID reports whether id is an acceptable attempt ID for a response to this call. It may be missing
// unless the server announced CapabilityAttemptID.
func (x *exchange) acceptsAttemptID(id string) bool {
	if id == "" {
		return !slices.Contains(x.target.Capabilities, CapabilityAttemptID)
	}
	return id == x.call.AttemptID
}

func (x *exchange) responseError(k engine.Kind, err error) *engine.Error {
	return &engine.Error{Kind: k, Server: x.target.Server, Sent: true, Err: err}
}

func kindOfStatus(status int) engine.Kind {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return engine.Overloaded
	case status >= http.StatusInternalServerError:
		return engine.Failed
	default:
		return engine.Rejected
	}
}

// readAll reads the whole body. A body above limit bytes is an error.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	var buf bytes.Buffer
	if n := x.resp.ContentLength; n > 0 && n <= limit {
		buf.Grow(int(n) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(x, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if n > limit {
		return nil, fmt.Errorf("response exceeds %d bytes", limit)
	}
	return buf.Bytes(), nil
}

// checkComplete checks that the body is complete. When the end of the connection delimits the body, only a valid
// JSON value proves that; a delimited body of a plain HTTP service needs no further check.
func (x *exchange) checkComplete(body []byte) error {
	delimited := x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
	if delimited && x.call.Operation == engine.HTTP {
		return nil
	}
	if json.Valid(body) {
		return nil
	}
	return x.responseError(engine.Truncated, errors.New("response is not a complete JSON value"))
}

func newRequest(ctx context.Context, t engine.Target, call engine.Call, stream bool) (*http.Request, error) {
	method, path := http.MethodPost, ""
	contentType := "application/json"
	switch call.Operation {
	case engine.Chat:
		path = PathChat
	case engine.Embed:
		path = PathEmbed
	case engine.Retrieve:
		path = PathRetrieve
	case engine.Rerank:
		path = PathRerank
	default:
		path = call.Path
		contentType = call.ContentType
		if call.Method != "" {
			method = call.Method
		}
	}
	body := call.Body
	if call.ResumeFrom > 0 {
		body = withResume(body, call)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, oneShotBody{bytes.NewReader(body)})
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.ContentLength = int64(len(body))
	setHeaders(req.Header, call, contentType, stream)
	return req, nil
}

func setHeaders(h http.Header, call engine.Call, contentType string, stream bool) {
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(HeaderAttempt, call.AttemptID)
	h.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.Remaining > 0 {
		h.Set(HeaderRemaining, strconv.FormatInt(call.Remaining.Milliseconds(), 10))
	}
	if call.ResumeFrom > 0 {
		h.Set(HeaderResumeFrom, strconv.Itoa(call.ResumeFrom))
	}
	if call.Prefill {
		h.Set(HeaderPrefill, "1")
	}
	if stream {
		h.Set("Accept", "text/event-stream")
	}
}

// withResume adds the text that the caller already has to a chat body.
func withResume(body []byte, call engine.Call) []byte {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	extra, err := json.Marshal(Extra{ResumeFrom: call.ResumeFrom, ResumeText: call.ResumeText})
	if err != nil {
		return body
	}
	fields[extraKey] = extra
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}

// usageOf returns the token usage in a response body; zero for plain HTTP services and if none is reported.
func usageOf(body []byte, op engine.Operation) engine.Usage {
	if op == engine.HTTP {
		return engine.Usage{}
	}
	var v struct {
		Usage *wireUsage `json:"usage"`
	}
	if err := json.Unmarshal(body, &v); err != nil || v.Usage == nil {
		return engine.Usage{}
	}
	return v.Usage.usage()
}

// isRefused reports whether err means that nothing listens at the address.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isTimeout reports whether err is a network timeout, for example while connecting.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
