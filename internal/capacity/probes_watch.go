package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/control"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// watchedChanges is how many changes are published in one measurement.
const watchedChanges = 5

// broadcast is one control VM with a configuration of the design size, and watchers of it over loopback, each on a
// connection of its own.
type broadcast struct {
	wire   *wire
	log    *replica.Local
	texts  [2][]byte
	cancel context.CancelFunc
	done   sync.WaitGroup
	// arrived gets the version of each event with a change.
	arrived chan uint64
}

func newBroadcast(watchers int) (*broadcast, error) {
	m := fsm.New()
	base := configurationText(organisations)
	b := &broadcast{
		log:     replica.NewLocal("vm-1", m),
		texts:   [2][]byte{base, bytes.Replace(base, []byte("weight = 2"), []byte("weight = 3"), 1)},
		arrived: make(chan uint64, watchers*watchedChanges),
	}
	if err := b.propose(publish(0, &daisyhatchv1.PublishCommand{Configuration: base})); err != nil {
		return nil, err
	}
	server := control.New(control.Options{VM: "vm-1", Log: b.log, Machine: m, Logr: logr.Discard()})
	h := server.EntryHandler()
	mux := func() (string, http.Handler) { return h.Path, h.Handler }
	w, err := newWire(false, mux)
	if err != nil {
		return nil, err
	}
	b.wire = w
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	begun := make(chan error, watchers)
	for range watchers {
		b.done.Go(func() { b.watch(ctx, begun) })
	}
	for range watchers {
		if err := <-begun; err != nil {
			b.close()
			return nil, err
		}
	}
	return b, nil
}

func (b *broadcast) close() {
	b.cancel()
	b.done.Wait()
	b.wire.close()
}

func (b *broadcast) propose(c *daisyhatchv1.Command) error {
	data, err := proto.Marshal(c)
	if err != nil {
		return err
	}
	out, err := b.log.Propose(context.Background(), data)
	if err != nil {
		return err
	}
	_, err = fsm.DecodeResult(out.Result)
	return err
}

// watch tells once whether the stream began, and then of each change.
func (b *broadcast) watch(ctx context.Context, begun chan<- error) {
	client := daisyhatchv1connect.NewEntryServiceClient(listen.NewClient(nil, b.wire.network()), b.wire.url())
	stream, err := client.Watch(ctx, connect.NewRequest(&daisyhatchv1.WatchRequest{Vm: "vm", VersionInForce: 1}))
	if err != nil {
		begun <- err
		return
	}
	defer func() { _ = stream.Close() }() // the stream ends with its context
	if !stream.Receive() {
		begun <- stream.Err()
		return
	}
	begun <- nil
	for stream.Receive() {
		if d := stream.Msg().GetDelta(); d != nil {
			b.arrived <- stream.Msg().GetDeltaMeta().GetVersion()
		}
	}
}

// publishAll publishes changes of one line, each once the one before has arrived everywhere.
func (b *broadcast) publishAll(watchers int) error {
	for i := range watchedChanges {
		base, next := b.texts[i%2], b.texts[(i+1)%2]
		sum := sha256.Sum256(next)
		version := uint64(i + 1)
		err := b.propose(publish(version, &daisyhatchv1.PublishCommand{
			Delta: publication.Diff(version, base, next), ConfigurationSha256: sum[:],
		}))
		if err != nil {
			return err
		}
		for range watchers {
			if got := <-b.arrived; got != version+1 {
				return fmt.Errorf("capacity: version %d arrived, not %d", got, version+1)
			}
		}
	}
	return nil
}

// measureWatchCPU returns the processor time of one change, both ends, until n watchers have it.
func measureWatchCPU(n int) (float64, error) {
	b, err := newBroadcast(n)
	if err != nil {
		return 0, err
	}
	defer b.close()
	total, err := cpu(func() error { return b.publishAll(n) })
	return total / watchedChanges, err
}

// measureWatchTime returns the time of one change until n watchers have it.
func measureWatchTime(n int) (float64, error) {
	b, err := newBroadcast(n)
	if err != nil {
		return 0, err
	}
	defer b.close()
	begun := time.Now()
	err = b.publishAll(n)
	return time.Since(begun).Seconds() / watchedChanges, err
}

// measureSuspectsWire returns the bytes of n questions for a list of suspects that has not changed.
func measureSuspectsWire(n int) (float64, error) {
	m := fsm.New()
	server := control.New(control.Options{VM: "vm-1", Log: replica.NewLocal("vm-1", m), Machine: m, Logr: logr.Discard()})
	h := server.EntryHandler()
	w, err := newWire(false, func() (string, http.Handler) { return h.Path, h.Handler })
	if err != nil {
		return 0, err
	}
	defer w.close()
	source := quarantine.NewSource(w.client, []string{w.server.Address()})
	each, err := w.perCall(func() error {
		_, err := source.Suspects(context.Background())
		return err
	})
	return each * float64(n), err
}

// measureWatchWire returns the bytes of one watcher in n seconds without a change.
func measureWatchWire(n int) (float64, error) {
	b, err := newBroadcast(1)
	if err != nil {
		return 0, err
	}
	defer b.close()
	before := b.wire.bytes.Load()
	time.Sleep(time.Duration(n) * time.Second)
	return float64(b.wire.bytes.Load() - before), nil
}
