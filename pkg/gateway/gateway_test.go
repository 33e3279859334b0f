package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/auth"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// fakeBackend implements the gateway's Executor, Admission, Announcer and Observer, and records their calls.
type fakeBackend struct {
	mu           sync.Mutex
	requests     []executor.Request
	events       []engine.Event
	result       executor.Result
	err          error
	admissionErr error
	announced    []*daisyhatchv1.Announcement
	good, bad    int
}

func (f *fakeBackend) Run(_ context.Context, r executor.Request, sink executor.Sink) (executor.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if !r.Stream {
		return f.result, f.err
	}
	for _, e := range f.events {
		if err := sink(e); err != nil {
			return executor.Result{}, err
		}
	}
	res := f.result
	res.Streamed = f.err == nil
	return res, f.err
}

func (f *fakeBackend) Enter(context.Context, admission.Request) (func(), error) {
	return func() {}, f.admissionErr
}

func (f *fakeBackend) Announce(_ context.Context, a *daisyhatchv1.Announcement) error {
	f.announced = append(f.announced, a)
	return nil
}

func (f *fakeBackend) Record(_, _ string, good bool, _ time.Time) {
	if good {
		f.good++
		return
	}
	f.bad++
}

func (f *fakeBackend) RecordCost(string, string, string, float64, float64) {}

func testSet() *config.Set {
	chat := &config.Stage{Name: "write", Pool: "writers", Operation: "chat", Repeatable: true}
	book := &config.Stage{Name: "book", Pool: "desk", Operation: "http", Path: "/bookings"}
	return &config.Set{
		FailureDomains: map[string]*config.FailureDomain{"a": {Name: "a"}, "b": {Name: "b"}},
		Pools: map[string]*config.Pool{
			"writers": {Name: "writers", FailureDomains: []string{"a"}, AnnounceKeyHashes: []string{auth.HashKey("announce")}},
			"desk":    {Name: "desk", AnnounceKeyHashes: []string{auth.HashKey("desk")}},
		},
		Stages: map[string]*config.Stage{"write": chat, "book": book},
		Pipelines: map[string]*config.Pipeline{
			"reports": {Name: "reports", Steps: [][]string{{"write"}}, Deadline: 5 * time.Second},
			"private": {Name: "private", Steps: [][]string{{"write"}}, Deadline: time.Second, Organisations: []string{"tamar"}},
		},
		Services: map[string]*config.Service{"bookings": {Name: "bookings", Stage: "book", Deadline: 3 * time.Second}},
		Organisations: map[string]*config.Organisation{
			"huon":  {Name: "huon", KeyHashes: []string{auth.HashKey("huon-key")}, MaxPriority: 5},
			"tamar": {Name: "tamar", KeyHashes: []string{auth.HashKey("tamar-key")}, MaxPriority: 9},
		},
	}
}

func newTestServer(t *testing.T, f *fakeBackend) (*httptest.Server, *Gateway) {
	t.Helper()
	set := testSet()
	inForce := &InForce{Version: 1, Set: set, Keys: auth.NewIndex(set)}
	g := New(Options{
		VM: "vm-1", Executor: f, Admission: f, Announcer: f, Observer: f,
		InForce: func() *InForce { return inForce },
		Limits:  Limits{MaxBody: 4096, BodyTimeout: 200 * time.Millisecond, WriteTimeout: time.Second},
		Log:     logr.Discard(),
	})
	ts := httptest.NewServer(g.Handler())
	t.Cleanup(ts.Close)
	return ts, g
}

func post(t *testing.T, url, key, body string, headers ...string) (*http.Response, errorDetail) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var e errorBody
	if resp.StatusCode >= http.StatusBadRequest {
		require.NoError(t, json.Unmarshal(b, &e), "error response is not JSON: %s", b)
	}
	return resp, e.Error
}

func newOpenAIClient(url string) openai.Client {
	return openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("huon-key"), option.WithMaxRetries(0))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "reports",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("What came back?")},
	}
}

const chatResponse = `{"id":"1","object":"chat.completion","created":1,"model":"reports","choices":[{"index":0,` +
	`"message":{"role":"assistant","content":"three bundles"},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2,"total_tokens":6}}`

func TestOpenAIClientCompletion(t *testing.T) {
	f := &fakeBackend{result: executor.Result{Status: 200, ContentType: "application/json", Body: []byte(chatResponse)}}
	ts, _ := newTestServer(t, f)
	c := newOpenAIClient(ts.URL)
	got, err := c.Chat.Completions.New(t.Context(), chatParams())
	require.NoError(t, err)
	require.Equal(t, "three bundles", got.Choices[0].Message.Content)
	require.Equal(t, "huon", f.requests[0].Organisation)
	require.Equal(t, 1, f.good)
	models, err := c.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Data, 1, "pipelines of other organisations must not be listed")
	require.Equal(t, "reports", models.Data[0].ID)
}

func TestOpenAIClientStreaming(t *testing.T) {
	f := &fakeBackend{events: []engine.Event{
		{Index: 0, Text: "three "},
		{Index: 1, Text: "bundles", FinishReason: "stop"},
		{End: true, Usage: engine.Usage{PromptTokens: 4, CompletionTokens: 2}},
	}}
	ts, _ := newTestServer(t, f)
	p := chatParams()
	p.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := newOpenAIClient(ts.URL)
	s := stream.Chat.Completions.NewStreaming(t.Context(), p)
	var acc openai.ChatCompletionAccumulator
	for s.Next() {
		acc.AddChunk(s.Current())
	}
	require.NoError(t, s.Err())
	require.Equal(t, "three bundles", acc.Choices[0].Message.Content)
	require.Equal(t, "stop", acc.Choices[0].FinishReason)
	require.EqualValues(t, 6, acc.Usage.TotalTokens)
}

// A stream that fails after its first token must end with an error event and without [DONE]; otherwise clients take the
// truncated response for a complete one.
func TestBrokenStreamEndsWithError(t *testing.T) {
	broken := (&apierr.Error{Status: 502, Code: apierr.StreamBroken, Run: apierr.MayHaveRun, Message: "the server died"})
	f := &fakeBackend{events: []engine.Event{{Index: 0, Text: "three "}}, err: broken}
	ts, _ := newTestServer(t, f)
	stream := newOpenAIClient(ts.URL)
	s := stream.Chat.Completions.NewStreaming(t.Context(), chatParams())
	for s.Next() {
		require.NotEmpty(t, s.Current().Choices)
	}
	require.Error(t, s.Err())
	require.Equal(t, 1, f.bad)

	resp, err := http.DefaultClient.Do(newStreamRequest(t, ts.URL))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NotContains(t, string(b), "[DONE]")
	require.Contains(t, string(b), `"run":"may_have_run"`)
}

func newStreamRequest(t *testing.T, url string) *http.Request {
	t.Helper()
	body := `{"model":"reports","stream":true,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer huon-key")
	return req
}

func TestOutOfOrderTokenAbortsStream(t *testing.T) {
	f := &fakeBackend{events: []engine.Event{{Index: 0, Text: "a"}, {Index: 2, Text: "c"}, {End: true}}}
	ts, _ := newTestServer(t, f)
	resp, err := http.DefaultClient.Do(newStreamRequest(t, ts.URL))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NotContains(t, string(b), "[DONE]")
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	chat := `{"model":"reports","messages":[{"role":"user","content":"x"}]}`
	for name, c := range map[string]struct {
		path, key, body string
		headers         []string
		status          int
		code            apierr.Code
	}{
		"no bearer key":                          {"/v1/chat/completions", "", chat, nil, 401, apierr.Unauthorised},
		"unknown bearer key":                     {"/v1/chat/completions", "nobody", chat, nil, 401, apierr.Unauthorised},
		"pipeline of another organisation":       {"/v1/pipelines/private", "huon-key", "{}", nil, 404, apierr.NotFound},
		"unknown pipeline":                       {"/v1/chat/completions", "huon-key", strings.Replace(chat, "reports", "none", 1), nil, 404, apierr.NotFound},
		"unknown path":                           {"/v2", "huon-key", chat, nil, 404, apierr.NotFound},
		"invalid JSON":                           {"/v1/chat/completions", "huon-key", "{", nil, 400, apierr.BadRequest},
		"no messages":                            {"/v1/chat/completions", "huon-key", `{"model":"reports"}`, nil, 400, apierr.BadRequest},
		"body too large":                         {"/v1/chat/completions", "huon-key", strings.Repeat(" ", 5000) + chat, nil, 413, apierr.TooLarge},
		"deadline not a number":                  {"/v1/chat/completions", "huon-key", chat, []string{HeaderDeadline, "soon"}, 400, apierr.BadRequest},
		"negative deadline":                      {"/v1/chat/completions", "huon-key", chat, []string{HeaderDeadline, "-1"}, 400, apierr.BadRequest},
		"priority out of range":                  {"/v1/chat/completions", "huon-key", chat, []string{HeaderPriority, "10"}, 400, apierr.BadRequest},
		"not-repeatable header not a boolean":    {"/v1/chat/completions", "huon-key", chat, []string{HeaderNotRepeatable, "perhaps"}, 400, apierr.BadRequest},
		"not repeatable without idempotency key": {"/v1/chat/completions", "huon-key", chat, []string{HeaderNotRepeatable, "true"}, 400, apierr.IdempotencyRequired},
		"service without idempotency key":        {"/v1/services/bookings", "huon-key", "{}", nil, 400, apierr.IdempotencyRequired},
		"idempotency key too long": {
			"/v1/services/bookings", "huon-key", "{}",
			[]string{HeaderIdempotencyKey, strings.Repeat("k", MaxIdempotencyKeyBytes+1)}, 400, apierr.BadRequest,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{}
			ts, _ := newTestServer(t, f)
			resp, e := post(t, ts.URL+c.path, c.key, c.body, c.headers...)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, c.code, e.Code)
			require.Equal(t, apierr.NotRun, e.Run)
			require.Equal(t, resp.Header.Get(HeaderRequestID), e.RequestID)
			require.Empty(t, f.requests, "a rejected request must not reach the executor")
		})
	}
}

func TestAdmissionErrorSetsRetryAfter(t *testing.T) {
	f := &fakeBackend{admissionErr: apierr.New(429, apierr.RateLimited, "too many").After(1500 * time.Millisecond)}
	ts, _ := newTestServer(t, f)
	resp, e := post(t, ts.URL+"/v1/pipelines/reports", "huon-key", "{}")
	require.Equal(t, 429, resp.StatusCode)
	require.Equal(t, "2", resp.Header.Get("Retry-After"))
	require.EqualValues(t, 1500, e.RetryAfterMs)
	require.Zero(t, f.bad, "rate limiting must not count against the service level")
}

func TestOptionsReachExecutor(t *testing.T) {
	f := &fakeBackend{result: executor.Result{Status: 201, ContentType: "text/plain", Body: []byte("booked")}}
	ts, _ := newTestServer(t, f)
	resp, _ := post(t, ts.URL+"/v1/services/bookings/huts/7", "huon-key", "blankets", HeaderIdempotencyKey, "k-1",
		HeaderDeadline, "60000", HeaderPriority, "9", "Content-Type", "text/plain")
	require.Equal(t, 201, resp.StatusCode)
	r := f.requests[0]
	require.Equal(t, "/huts/7", r.Path)
	require.Equal(t, http.MethodPost, r.Method)
	require.Equal(t, "k-1", r.IdempotencyKey)
	require.True(t, r.NotRepeatable)
	require.Equal(t, 5, r.Priority, "priority must be capped at the organisation's highest")
	require.LessOrEqual(t, time.Until(r.Deadline), 3*time.Second, "deadline must be capped at the service's deadline")
}

func TestDrainRejectsNewRequestsAsNotRun(t *testing.T) {
	f := &fakeBackend{}
	ts, g := newTestServer(t, f)
	g.Drain()
	resp, e := post(t, ts.URL+"/v1/pipelines/reports", "huon-key", "{}")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, apierr.ShuttingDown, e.Code)
	require.Equal(t, apierr.NotRun, e.Run)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, f.requests)
}

func TestUnexpectedErrorReportsMayHaveRun(t *testing.T) {
	f := &fakeBackend{err: errors.New("boom")}
	ts, _ := newTestServer(t, f)
	resp, e := post(t, ts.URL+"/v1/pipelines/reports", "huon-key", "{}")
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.Equal(t, apierr.MayHaveRun, e.Run)
	require.NotContains(t, e.Message, "boom", "the internal cause must not be sent to the caller")
}

func TestIncompleteBodyIsRejected(t *testing.T) {
	ts, _ := newTestServer(t, &fakeBackend{})
	c, err := net.Dial("tcp", ts.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer huon-key\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}

func TestAnnouncements(t *testing.T) {
	const good = `{"server":"w-1","incarnation":"1","pool":"writers","failureDomain":"a","address":"10.0.0.1:80","later":true}`
	for name, c := range map[string]struct {
		key, body string
		status    int
	}{
		"valid":                      {"announce", good, 200},
		"no bearer key":              {"", good, 401},
		"key of another pool":        {"desk", good, 403},
		"key of a caller":            {"huon-key", good, 403},
		"unknown failure domain":     {"announce", strings.Replace(good, `"a"`, `"z"`, 1), 400},
		"failure domain not in pool": {"announce", strings.Replace(good, `"a"`, `"b"`, 1), 400},
		"no incarnation":             {"announce", strings.Replace(good, `"incarnation":"1",`, "", 1), 400},
		"invalid JSON":               {"announce", "pool", 400},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{}
			ts, _ := newTestServer(t, f)
			resp, _ := post(t, ts.URL+"/v1/announce", c.key, c.body)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, c.status == 200, len(f.announced) == 1)
		})
	}
}

func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"model":"reports","messages":[]}`))
	f.Add([]byte(`{"model":7}`))
	set := testSet()
	inForce := &InForce{Version: 1, Set: set, Keys: auth.NewIndex(set)}
	backend := &fakeBackend{result: executor.Result{Status: 200, Body: []byte("{}")}}
	g := New(Options{
		Executor: backend, Admission: backend, Announcer: backend, Observer: backend, Log: logr.Discard(),
		InForce: func() *InForce { return inForce }, Limits: Limits{MaxBody: 1 << 20, BodyTimeout: time.Second},
	})
	h := g.Handler()
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/chat/completions", "/v1/announce", "/v1/pipelines/reports"} {
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
			r.Header.Set("Authorization", "Bearer huon-key")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			require.NotEqual(t, http.StatusInternalServerError, w.Code, "path %s", path)
		}
	})
}
