package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// poisonMark in a request's body crashes each server that runs it.
const poisonMark = "poison"

// maxServersLost is how many servers one request may crash in the whole system.
const maxServersLost = 2

// TestPoisonCrashesAtMostTwoServers resends a request that crashes every server through several entry VMs, while
// innocent requests run beside it.
func TestPoisonCrashesAtMostTwoServers(t *testing.T) {
	var innocents, suspected int
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			completed, suspects := runPoison(t, seed, 0, false)
			innocents += completed
			suspected += suspects
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d innocent requests completed, %d requests became suspects", innocents, suspected)
	require.Greater(t, suspected, 60, "no innocent request ever ran beside the poison request")
}

// TestPoisonWithDelayedWatch checks the same bound when the entry VMs receive updates of the suspect list 50 ms
// late.
func TestPoisonWithDelayedWatch(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			runPoison(t, seed, 50*time.Millisecond, false)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestPoisonWithHandover checks the same bound when each request runs on a prefill and a decode server.
func TestPoisonWithHandover(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			runPoison(t, seed, 0, true)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestPoisonWithoutWatchUpdates checks the same bound when the entry VMs receive no updates of the suspect list and
// have to fetch it.
func TestPoisonWithoutWatchUpdates(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			runPoison(t, seed, time.Hour, false)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// runPoison runs one random scenario and checks the number of crashed servers and the verdicts. It returns how many
// innocent requests completed and how many requests became suspects.
func runPoison(t *testing.T, seed uint64, updateDelay time.Duration, roles bool) (innocents, suspected int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := newSimBackends(seed, 0)
	w.poison = poisonMark
	w.roles = roles
	shared := &fakeControlVMs{updateDelay: updateDelay, suspects: map[uint64]*daisyhatchv1.Suspect{}}
	ledger := newFakeLedger()
	entries := make([]*executor.Executor, 4)
	for i := range entries {
		q := quarantine.New(quarantine.Options{Reporter: shared, Source: shared, Ledger: ledger, Log: discard()})
		shared.entries = append(shared.entries, q)
		entries[i] = executor.New(executor.Options{Slots: w, Engine: w, Ledger: ledger, Quarantine: q, Log: discard()})
	}
	plan := must(executor.PlanPipeline(testSet(), "chat"))
	run := func(entry int, id string) error {
		body := fmt.Sprintf(`{"messages":[{"role":"user","content":"#%s#%s"}]}`, id, w.padding())
		req := executor.Request{ID: id + time.Now().String(), Organisation: "huts", Plan: plan, Body: []byte(body)}
		req.Deadline = time.Now().Add(8 * time.Second)
		res, err := entries[entry].Run(t.Context(), req, nil)
		if err == nil {
			assert.Contains(t, string(res.Body), id+".7")
		}
		return err
	}
	var completed atomic.Int64
	var wg sync.WaitGroup
	for i := range 40 {
		entry, begin := rng.IntN(len(entries)), time.Duration(rng.IntN(300))*time.Millisecond
		wg.Go(func() {
			time.Sleep(begin)
			assert.NoError(t, run(entry, fmt.Sprintf("i%d", i)), "innocent request")
			completed.Add(1)
		})
	}
	wg.Go(func() {
		time.Sleep(50 * time.Millisecond)
		for range 6 {
			e := apierr.From(run(rng.IntN(len(entries)), poisonMark))
			assert.NotNil(t, e)
		}
	})
	wg.Wait()
	crashes := 0
	for _, n := range w.crashes {
		crashes += n
	}
	assert.LessOrEqual(t, crashes, maxServersLost)
	shared.checkConvicted(t, suspect.Fingerprint("huts", "chat", []byte(`{"messages":[{"role":"user","content":"#poison#`+w.padding()+`"}]}`)))
	for _, e := range entries {
		require.NoError(t, e.Wait(t.Context()))
	}
	return int(completed.Load()), len(shared.suspects)
}

// fakeControlVMs stands in for the control VMs: the first crash makes a request a suspect, and a later crash of the
// request running alone convicts it.
type fakeControlVMs struct {
	updateDelay time.Duration

	mu       sync.Mutex
	suspects map[uint64]*daisyhatchv1.Suspect
	// entries are the quarantines of the entry VMs, which receive each update of the list after updateDelay.
	entries []*quarantine.Quarantine
}

func (s *fakeControlVMs) ReportCrash(_ context.Context, c *daisyhatchv1.CrashCommand) (*daisyhatchv1.CrashResult, error) {
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range c.GetFingerprints() {
		p, ok := s.suspects[f]
		if !ok {
			p = &daisyhatchv1.Suspect{Fingerprint: f, State: daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT}
			p.ExpiresUnixMs = time.Now().Add(time.Minute).UnixMilli()
			s.suspects[f] = p
		}
		p.Crashes++
		if c.GetAlone() && ok {
			p.State = daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
		}
	}
	list := s.list()
	push := func() {
		for _, q := range s.entries {
			q.Update(list)
		}
	}
	if s.updateDelay == 0 {
		push()
	} else {
		time.AfterFunc(s.updateDelay, push)
	}
	return &daisyhatchv1.CrashResult{Suspects: list}, nil
}

// Suspects implements quarantine.Source.
func (s *fakeControlVMs) Suspects(context.Context) ([]*daisyhatchv1.Suspect, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(), nil
}

func (s *fakeControlVMs) list() []*daisyhatchv1.Suspect {
	list := make([]*daisyhatchv1.Suspect, 0, len(s.suspects))
	for _, p := range s.suspects {
		list = append(list, &daisyhatchv1.Suspect{Fingerprint: p.Fingerprint, State: p.State, ExpiresUnixMs: p.ExpiresUnixMs})
	}
	return list
}

// checkConvicted checks that the given fingerprint, and no other, is convicted.
func (s *fakeControlVMs) checkConvicted(t *testing.T, only uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, p := range s.suspects {
		convicted := p.State == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
		assert.Equal(t, f == only, convicted, "verdict on %x", f)
	}
}

// TestInnocentRequestMayBeResent resends a request that completed when run alone, after a server had crashed while
// running it.
func TestInnocentRequestMayBeResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimBackends(1, 0)
		w.fixedFault = crash
		time.AfterFunc(60*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.fixedFault = noFault
		})
		ledger := newFakeLedger()
		q := quarantine.New(quarantine.Options{Reporter: &fakeControlVMs{suspects: map[uint64]*daisyhatchv1.Suspect{}}, Ledger: ledger, Log: discard()})
		exec := executor.New(executor.Options{Slots: w, Engine: w, Ledger: ledger, Quarantine: q, Log: discard()})
		for range 2 {
			req := executor.Request{ID: time.Now().String(), Organisation: "huts", Plan: must(executor.PlanPipeline(testSet(), "chat"))}
			req.Body = []byte(`{"messages":[{"role":"user","content":"#a#"}]}`)
			req.Deadline = time.Now().Add(8 * time.Second)
			_, err := exec.Run(t.Context(), req, nil)
			require.NoError(t, err)
			require.NoError(t, exec.Wait(t.Context()))
		}
	})
}
