package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// operatorPrefix begins the key of each operator of the examples.
const operatorPrefix = "demo-operator-"

// load sends requests until stopped and counts how they end.
type load struct {
	stop   context.CancelFunc
	done   sync.WaitGroup
	good   atomic.Int64
	failed atomic.Int64
	// again counts refusals that said "not run" and were sent again as told.
	again atomic.Int64
	mu    sync.Mutex
	last  string
}

const (
	// maxResends bounds the resends of one call.
	maxResends = 3
	// resendAfter is the least time that refusals name.
	resendAfter = 200 * time.Millisecond
)

// loadWorkers is the count of callers that send one request after another.
const loadWorkers = 8

func (d *demo) startLoad(ctx context.Context) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{stop: cancel}
	pipeline := names(d.set.Pipelines)[0]
	c := call{
		path:         "/v1/chat/completions",
		organisation: d.callerOf(d.set.Pipelines[pipeline].Organisations),
		body:         chatBody(pipeline, false),
	}
	for w := range loadWorkers {
		l.done.Go(func() {
			for i := w; ctx.Err() == nil; i++ {
				l.count(ctx, d.sendAgain(ctx, l, i, c))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return l
}

// sendAgain sends a call, and again through the next VM while the answer is that it was not run, as a client does.
func (d *demo) sendAgain(ctx context.Context, l *load, vm int, c call) answer {
	a := d.send(ctx, vm, c)
	for range maxResends {
		if a.good() || a.run != "not_run" || ctx.Err() != nil {
			return a
		}
		l.again.Add(1)
		time.Sleep(resendAfter)
		vm++
		a = d.send(ctx, vm, c)
	}
	return a
}

func (l *load) count(ctx context.Context, a answer) {
	if ctx.Err() != nil {
		return
	}
	if a.good() {
		l.good.Add(1)
		return
	}
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = brief(a)
}

// orderTimeout bounds the wait for an order to be in force on a whole pool.
const orderTimeout = 20 * time.Second

// giveOrder orders the engines of one pool to load an adapter and waits until it is in force on all of them.
func (d *demo) giveOrder(ctx context.Context) error {
	pool := d.enginePool()
	key := operatorPrefix + names(d.set.Operators)[1]
	d.printf("\norder to all engines of pool %s\n", pool)
	begin := time.Now()
	_, err := d.cluster.Command(ctx, key, "order", "submit", "--kind", "load-adapter", "--value", "demo", "--pool", pool)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	done := 0
	for done < d.set.Pools[pool].Replicas && time.Since(begin) < orderTimeout {
		time.Sleep(200 * time.Millisecond)
		if done, err = d.ordered(ctx, key); err != nil {
			return err
		}
	}
	d.check(done == d.set.Pools[pool].Replicas, "in force on %d of %d engines after %s", done, d.set.Pools[pool].Replicas, since(begin))
	return nil
}

// ordered returns on how many servers the first order is in force.
func (d *demo) ordered(ctx context.Context, key string) (int, error) {
	out, err := d.cluster.Command(ctx, key, "order", "list", "--output", "json")
	if err != nil {
		return 0, fmt.Errorf("demo: %w", err)
	}
	list := new(daisyhatchv1.ListOrdersResponse)
	if err := protojson.Unmarshal([]byte(out), list); err != nil {
		return 0, fmt.Errorf("demo: order list: %w", err)
	}
	n := 0
	for _, o := range list.GetOrders() {
		for _, p := range o.GetProgress() {
			if p.GetInForce() {
				n++
			}
		}
	}
	return n, nil
}

func (d *demo) enginePool() string {
	for _, name := range names(d.set.Pools) {
		if d.set.Pools[name].Kind == config.PoolEngine {
			return name
		}
	}
	return ""
}

// takeOutAndBack takes a failure domain out under load and brings it back.
func (d *demo) takeOutAndBack(ctx context.Context) error {
	domain := names(d.set.FailureDomains)[0]
	key := operatorPrefix + names(d.set.Operators)[1]
	d.printf("\nfailure domain %s out and back, under load\n", domain)
	l := d.startLoad(ctx)
	defer l.stop()
	time.Sleep(observeFor)
	begin := time.Now()
	if _, err := d.cluster.Command(ctx, key, "take-out", domain, "-m", "demo", "--wait"); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d.printf("     taken out: accepted and in force everywhere after %s\n", since(begin))
	time.Sleep(dryLimit - time.Since(begin))
	before, others := d.started(ctx, domain)
	time.Sleep(observeFor)
	after, othersAfter := d.started(ctx, domain)
	d.check(after == before, "%s began %d calls in the %s from %s after the order on", domain, after-before, observeFor, dryLimit)
	d.check(othersAfter > others, "the other failure domains began %d calls meanwhile", othersAfter-others)
	begin = time.Now()
	if _, err := d.cluster.Command(ctx, key, "bring-back", domain, "-m", "demo", "--wait"); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d.printf("     brought back: accepted and in force everywhere after %s\n", since(begin))
	time.Sleep(rampTime)
	again, _ := d.started(ctx, domain)
	d.check(again > after, "%s began %d calls in the %s after its return", domain, again-after, rampTime)
	l.stop()
	l.done.Wait()
	d.check(l.failed.Load() == 0, "%d requests answered meanwhile, %d resent after \"not run\", %d failed %s",
		l.good.Load(), l.again.Load(), l.failed.Load(), l.last)
	return nil
}

// started returns how many calls the servers of a failure domain and those of the others began.
func (d *demo) started(ctx context.Context, domain string) (inside, outside int) {
	for _, s := range d.servers {
		n := len(d.records(ctx, s))
		if s.failureDomain == domain {
			inside += n
		} else {
			outside += n
		}
	}
	return inside, outside
}

// runsWith returns how often the servers of a pool ran a call with this body.
func (d *demo) runsWith(ctx context.Context, pool, body string) int {
	n := 0
	for _, s := range d.servers {
		if s.pool != pool {
			continue
		}
		for _, r := range d.records(ctx, s) {
			if r.Body == body {
				n++
			}
		}
	}
	return n
}

// records asks a stand-in which calls it began to run.
func (d *demo) records(ctx context.Context, s *server) []standin.Record {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+standin.PathRecords, nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.check(false, "%s does not answer: %v", s.name, err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out []standin.Record
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(b, &out)
	}
	if err != nil {
		d.check(false, "%s: %v", s.name, err)
	}
	return out
}
