package workload

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
)

// ErrNoAnswer means that no control VM gave an outcome in time.
var ErrNoAnswer = errors.New("workload: no outcome of a change")

// OperatorHost is the IP number from which operators connect.
const OperatorHost = "10.0.3.1"

// Operator publishes through any control VM and resends until it knows the outcome.
type Operator struct {
	system  *System
	key     string
	client  *http.Client
	changes int
	name    string
}

// NewOperator returns an operator at a host with a key.
func NewOperator(s *System, host, name, key string) *Operator {
	return &Operator{system: s, name: name, key: key, client: s.client(host, 3*time.Second)}
}

// Close closes the connections that nobody uses.
func (o *Operator) Close() { o.client.CloseIdleConnections() }

// Publish publishes text on base under one change ID until a control VM tells the outcome.
func (o *Operator) Publish(base uint64, text string, until time.Time) (*daisyhatchv1.PublishResult, error) {
	o.changes++
	id := fmt.Sprintf("%s-%d", o.name, o.changes)
	last := context.DeadlineExceeded
	for time.Now().Before(until) {
		for _, url := range o.system.Operators {
			r, err := o.publishTo(url, id, base, text)
			if err != nil {
				last = err
				continue
			}
			if r.GetOutcome() == daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED {
				o.system.Oracle.PublishedAs(r.GetVersion(), id)
				o.system.Oracle.Count("changes accepted")
			}
			return r, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("%w: %w", ErrNoAnswer, last)
}

func (o *Operator) publishTo(url, id string, base uint64, text string) (*daisyhatchv1.PublishResult, error) {
	c := daisyhatchv1connect.NewOperatorServiceClient(o.client, url)
	req := connect.NewRequest(&daisyhatchv1.PublishRequest{
		ChangeId: id, BaseVersion: base, Reason: "soak", Configuration: []byte(text),
	})
	req.Header().Set("Authorization", "Bearer "+o.key)
	resp, err := c.Publish(context.Background(), req)
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetResult(), nil
}

// DomainKeeper takes failure domains out and brings them back; two operators race for each change.
type DomainKeeper struct {
	ann, bob *Operator
	version  uint64
	out      map[string]bool
}

// NewDomainKeeper returns a keeper; version 1 with all failure domains in service is in force.
func NewDomainKeeper(s *System) *DomainKeeper {
	return &DomainKeeper{
		ann: NewOperator(s, OperatorHost, "ann", OperatorKey), bob: NewOperator(s, OperatorHost, "bob", OperatorKey),
		version: 1, out: make(map[string]bool),
	}
}

// Version returns the last version that was accepted as far as the operators know.
func (k *DomainKeeper) Version() uint64 { return k.version }

// Close closes the connections that nobody uses.
func (k *DomainKeeper) Close() {
	k.ann.Close()
	k.bob.Close()
}

// Set publishes the state of one failure domain and notes the outage for the oracle.
func (k *DomainKeeper) Set(domain string, out bool, until time.Time) bool {
	next := maps.Clone(k.out)
	next[domain] = out
	text := Configuration(next)
	var results [2]*daisyhatchv1.PublishResult
	var errs [2]error
	var wg sync.WaitGroup
	begun := time.Now()
	for i, op := range []*Operator{k.ann, k.bob} {
		wg.Go(func() { results[i], errs[i] = op.Publish(k.version, text, until) })
	}
	wg.Wait()
	won := 0
	for i, r := range results {
		if errs[i] == nil && r.GetOutcome() == daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED {
			won++
		}
	}
	if errors.Join(errs[:]...) != nil {
		k.resolve(until)
		return false
	}
	if won != 1 {
		k.ann.system.Oracle.Violate(oracle.VersionsGrow, "%d of two racing changes on version %d were accepted", won, k.version)
	}
	k.version = max(results[0].GetVersion(), results[1].GetVersion())
	k.out = next
	if out {
		k.ann.system.Oracle.TakenOut(domain, time.Now())
	} else {
		k.ann.system.Oracle.BroughtBack(domain, begun)
	}
	return true
}

// resolve finds the state again after an outcome stayed unknown. No outage is noted then.
func (k *DomainKeeper) resolve(until time.Time) {
	k.ann.system.Oracle.Count("changes without an outcome")
	k.ann.system.Oracle.ForgetOutages()
	r, err := k.ann.Publish(0, "", until)
	if err == nil {
		k.version = max(k.version, r.GetVersion())
	}
}
