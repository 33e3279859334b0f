package executor_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/cost"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

const question = "are the blankets dry?"

const chatRequest = `{"model":"reports","messages":[{"role":"user","content":"` + question + `"}]}`

func TestPipelineRunsAllStages(t *testing.T) {
	f := newFixture(t, standin.Options{})
	res, err := f.run(t, f.chain(), executor.Request{Body: []byte(chatRequest)}, nil)
	require.NoError(t, err)
	require.Equal(t, standin.AnswerText(question, 16), chatAnswer(t, res.Body))
	require.Len(t, res.Stages, 4)
	for _, s := range res.Stages {
		require.NotEmpty(t, s.Server)
		require.Positive(t, s.Cost)
	}
	sent := f.bodiesByPath()
	require.Equal(t, `{"model":"encoder","input":"`+question+`"}`, sent[openai.PathEmbed][0])
	require.Contains(t, sent[openai.PathRetrieve][0], `"embedding":[`)
	require.Contains(t, sent[openai.PathChat][0], `[1] document 2 on `+question)
}

func TestStreamDeliversEachTokenOnce(t *testing.T) {
	f := newFixture(t, standin.Options{})
	f.forEachServer(func(s *standin.Server) { s.SetFault(standin.FaultDuplicate, -1) })
	var sink tokenSink
	res, err := f.run(t, f.chat(), executor.Request{Body: []byte(chatRequest), Stream: true}, sink.receive)
	require.NoError(t, err)
	require.True(t, res.Streamed)
	require.Equal(t, standin.AnswerText(question, 16), sink.text.String())
	require.True(t, sink.ended)
	require.Equal(t, "stop", sink.finish)
}

func TestStreamResumesOnAnotherServer(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultTruncate, standin.FaultCrashMidStream, standin.FaultSilentMidStream} {
		t.Run(standin.FaultNames[fault], func(t *testing.T) {
			f := newFixture(t, standin.Options{})
			f.servers[0].SetFault(fault, 1)
			var sink tokenSink
			_, err := f.run(t, f.chat(), executor.Request{Body: []byte(chatRequest), Stream: true}, sink.receive)
			require.NoError(t, err)
			require.Equal(t, standin.AnswerText(question, 16), sink.text.String())
			require.Equal(t, 1, sink.ends)
			require.Len(t, f.servers[1].Records(), 1)
		})
	}
}

// A broken stream went on at servers of any software version, whose text doesn't fit.
func TestStreamResumesOnlyAtItsVersion(t *testing.T) {
	for _, tc := range []struct {
		name     string
		versions [3]string
		// resumedAt is the server at which the stream goes on; 0 for none.
		resumedAt int
	}{
		{"another server of the version", [3]string{"old", "new", "old"}, 2},
		{"no other server of the version", [3]string{"old", "new", "new"}, 0},
		{"servers that name no version", [3]string{"", "", ""}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, standin.Options{})
			f.addServer(t, standin.Options{Name: "c"})
			for i, v := range tc.versions {
				f.slots.targets[i].Version = v
			}
			f.servers[0].SetFault(standin.FaultTruncate, 1)
			var sink tokenSink
			_, err := f.run(t, f.chat(), executor.Request{Body: []byte(chatRequest), Stream: true}, sink.receive)
			for i, s := range f.servers[1:] {
				require.Equal(t, i+1 == tc.resumedAt, len(s.Records()) > 0, "server %d", i+1)
			}
			if tc.resumedAt > 0 {
				require.NoError(t, err)
				require.Equal(t, standin.AnswerText(question, 16), sink.text.String())
				return
			}
			require.Equal(t, apierr.StreamBroken, apierr.From(err).Code)
		})
	}
}

func TestNonRepeatableStageIsNotRetried(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultCrash, standin.FaultError, standin.FaultTruncate, standin.FaultCross, standin.FaultSilent} {
		t.Run(standin.FaultNames[fault], func(t *testing.T) {
			f := newFixture(t, standin.Options{})
			f.servers[0].SetFault(fault, 1)
			_, err := f.run(t, f.booking(), executor.Request{Body: []byte("book"), IdempotencyKey: "k"}, nil)
			e := apierr.From(err)
			require.Equal(t, apierr.MayHaveRun, e.Run)
			require.Equal(t, apierr.OutcomeUnknown, e.Code)
			require.NoError(t, f.exec.Wait(t.Context()))
			require.Equal(t, "unknown", f.ledger.state("k"))
			require.Empty(t, f.servers[1].Records())
		})
	}
}

func TestResendReturnsStoredOutcome(t *testing.T) {
	f := newFixture(t, standin.Options{})
	req := executor.Request{Body: []byte("book"), IdempotencyKey: "k"}
	first, err := f.run(t, f.booking(), req, nil)
	require.NoError(t, err)
	again, err := f.run(t, f.booking(), req, nil)
	require.NoError(t, err)
	require.True(t, again.Replayed)
	require.Equal(t, first.Body, again.Body)
	require.Len(t, f.bodiesByPath()["/book"], 1)
}

func TestRefusedConnectionReportsNotRun(t *testing.T) {
	f := newFixture(t, standin.Options{})
	f.forEachServer(func(s *standin.Server) { s.Crash() })
	_, err := f.run(t, f.booking(), executor.Request{Body: []byte("book"), IdempotencyKey: "k"}, nil)
	e := apierr.From(err)
	require.Equal(t, apierr.NotRun, e.Run)
	require.NoError(t, f.exec.Wait(t.Context()))
	require.Equal(t, "", f.ledger.state("k"))
}

func TestRefusedSecondStageReportsMayHaveRun(t *testing.T) {
	f := newFixture(t, standin.Options{})
	plan := f.chain()
	f.slots.refusedPool = "retrievers"
	_, err := f.run(t, plan, executor.Request{Body: []byte(chatRequest)}, nil)
	e := apierr.From(err)
	require.Equal(t, apierr.NoCapacity, e.Code)
	require.Equal(t, apierr.MayHaveRun, e.Run)
}

func TestFailedCallIsRetriedOnAnotherServer(t *testing.T) {
	for _, fault := range []standin.Fault{
		standin.FaultCrash, standin.FaultTruncate, standin.FaultCross, standin.FaultError, standin.FaultRefuse, standin.FaultSilent,
	} {
		t.Run(standin.FaultNames[fault], func(t *testing.T) {
			f := newFixture(t, standin.Options{})
			f.servers[0].SetFault(fault, 1)
			res, err := f.run(t, f.chat(), executor.Request{Body: []byte(chatRequest)}, nil)
			require.NoError(t, err)
			require.Equal(t, standin.AnswerText(question, 16), chatAnswer(t, res.Body))
			require.Equal(t, 2, res.Stages[0].Attempts)
			require.NotEqual(t, f.servers[0].Target().Server, res.Stages[0].Server)
		})
	}
}

func TestCallerDisconnectEndsRequest(t *testing.T) {
	f := newFixture(t, standin.Options{FirstToken: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	f.slots.onAcquire = cancel
	_, err := f.exec.Run(ctx, f.fillRequest(f.chat(), executor.Request{Body: []byte(chatRequest)}), nil)
	require.Equal(t, apierr.CallerGone, apierr.From(err).Code)
	require.NoError(t, f.exec.Wait(t.Context()))
}

// TestNonRepeatableRequestOutlivesCaller resends a booking whose caller disconnected while it ran: the resend gets
// the stored outcome.
func TestNonRepeatableRequestOutlivesCaller(t *testing.T) {
	f := newFixture(t, standin.Options{FirstToken: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	req := f.fillRequest(f.booking(), executor.Request{Body: []byte("book"), IdempotencyKey: "k"})
	f.slots.onAcquire = cancel
	first, err := f.exec.Run(ctx, req, nil)
	require.NoError(t, err)
	f.slots.onAcquire = nil
	again, err := f.exec.Run(t.Context(), req, nil)
	require.NoError(t, err)
	require.True(t, again.Replayed)
	require.Equal(t, first.Body, again.Body)
}

// tokenSink collects the events of a stream.
type tokenSink struct {
	text   strings.Builder
	finish string
	ended  bool
	ends   int
}

func (k *tokenSink) receive(ev engine.Event) error {
	k.text.WriteString(ev.Text)
	if ev.End {
		k.ended = true
		k.ends++
		k.finish = ev.FinishReason
	}
	return nil
}

func chatAnswer(t *testing.T, body []byte) string {
	t.Helper()
	var v struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	require.NoError(t, json.Unmarshal(body, &v))
	return v.Choices[0].Message.Content
}

// fixture is an executor in front of two stand-in servers.
type fixture struct {
	exec    *executor.Executor
	servers []*standin.Server
	slots   *fakeSlots
	ledger  *fakeLedger
	costs   *cost.Book
	set     *config.Set
}

func newFixture(t *testing.T, o standin.Options) *fixture {
	t.Helper()
	f := &fixture{slots: &fakeSlots{}, ledger: newFakeLedger(), costs: cost.NewBook(), set: testSet()}
	for _, name := range []string{"a", "b"} {
		o.Name = name
		f.addServer(t, o)
	}
	client := openai.New(openai.Options{ConnectTimeout: time.Minute})
	t.Cleanup(client.Close)
	f.exec = executor.New(executor.Options{Slots: f.slots, Ledger: f.ledger, Engine: client, Costs: f.costs})
	return f
}

func (f *fixture) addServer(t *testing.T, o standin.Options) {
	t.Helper()
	s := standin.New(o)
	require.NoError(t, s.Start())
	t.Cleanup(s.Crash)
	f.servers = append(f.servers, s)
	f.slots.targets = append(f.slots.targets, s.Target())
}

func (f *fixture) forEachServer(do func(*standin.Server)) {
	for _, s := range f.servers {
		do(s)
	}
}

// bodiesByPath returns the request bodies that the servers handled, by path.
func (f *fixture) bodiesByPath() map[string][]string {
	out := make(map[string][]string)
	for _, s := range f.servers {
		for _, r := range s.Records() {
			out[r.Path] = append(out[r.Path], r.Body)
		}
	}
	return out
}

func (f *fixture) run(t *testing.T, p *executor.Plan, r executor.Request, sink executor.Sink) (executor.Result, error) {
	t.Helper()
	return f.exec.Run(t.Context(), f.fillRequest(p, r), sink)
}

// fillRequest sets the fields that all requests of a test share.
func (f *fixture) fillRequest(p *executor.Plan, r executor.Request) executor.Request {
	r.ID = "r"
	r.Organisation = "huts"
	r.Plan = p
	r.Deadline = time.Now().Add(20 * time.Second)
	return r
}

func (f *fixture) chain() *executor.Plan   { return must(executor.PlanPipeline(f.set, "chain")) }
func (f *fixture) chat() *executor.Plan    { return must(executor.PlanPipeline(f.set, "chat")) }
func (f *fixture) booking() *executor.Plan { return must(executor.PlanService(f.set, "bookings")) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// testSet returns a configuration with the pipelines chain, wide and chat, and the service bookings.
func testSet() *config.Set {
	set := &config.Set{
		Pools:     map[string]*config.Pool{},
		Stages:    map[string]*config.Stage{},
		Pipelines: map[string]*config.Pipeline{},
		Services:  map[string]*config.Service{},
	}
	stage := func(name, pool, op, model string, repeatable bool) {
		set.Pools[pool] = &config.Pool{Name: pool, CostPerSecond: 1}
		set.Stages[name] = &config.Stage{
			Name: name, Pool: pool, Operation: op, Model: model, Path: "/book",
			Repeatable: repeatable, Hedge: repeatable, ProgressTimeout: 250 * time.Millisecond,
		}
	}
	stage("encode", "encoders", "embed", "encoder", true)
	stage("find", "retrievers", "retrieve", "", true)
	stage("order", "rerankers", "rerank", "", true)
	stage("generate", "engines", "chat", "llm", true)
	stage("book", "desk", "http", "", false)
	set.Pipelines["chain"] = &config.Pipeline{Name: "chain", Steps: [][]string{{"encode"}, {"find"}, {"order"}, {"generate"}}}
	stage("find-b", "retrievers-b", "retrieve", "", true)
	set.Pipelines["wide"] = &config.Pipeline{Name: "wide", Steps: [][]string{{"encode"}, {"find", "find-b"}, {"generate"}}}
	set.Pipelines["chat"] = &config.Pipeline{Name: "chat", Steps: [][]string{{"generate"}}}
	set.Services["bookings"] = &config.Service{Name: "bookings", Stage: "book"}
	return set
}

func discard() logr.Logger { return logr.Discard() }

// fakeSlots grants the first target that is not in Avoid. It refuses requests for refusedPool and calls onAcquire,
// if set, before each grant.
type fakeSlots struct {
	targets     []engine.Target
	refusedPool string
	onAcquire   func()
}

func (f *fakeSlots) Acquire(_ context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	if f.onAcquire != nil {
		f.onAcquire()
	}
	for _, t := range f.targets {
		if r.Pool != f.refusedPool && !contains(r.Avoid, t.Server) {
			return fakeSlot{t}, nil
		}
	}
	return nil, apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "no server")
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

type fakeSlot struct{ target engine.Target }

func (s fakeSlot) Target() engine.Target { return s.target }
func (fakeSlot) Cold() bool              { return false }
func (fakeSlot) Valid() bool             { return true }
func (fakeSlot) Done(dispatch.Report)    {}
