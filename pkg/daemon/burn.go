package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/burn"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
)

const (
	// burnCheckEvery is the time between two looks for windows that burn too fast.
	burnCheckEvery = 10 * time.Second
	// burnSaveEvery is the time between two writes of the counts to disk.
	burnSaveEvery = 30 * time.Second
)

// burnReport adds the entry VMs' counts of service level up on a control VM.
type burnReport struct {
	*process
	replica    *replicated
	aggregator *burn.Aggregator
	watcher    *burn.Watcher
	store      *burn.Store
	kernel     *kernel.Kernel
	cancel     context.CancelFunc
	done       chan struct{}
}

func (b *burnReport) Name() string       { return serviceBurn }
func (b *burnReport) Requires() []string { return []string{serviceReplica} }
func (b *burnReport) Validate() error    { return nil }

// Provision implements kernel.Service.
func (b *burnReport) Provision(k *kernel.Kernel) error {
	var err error
	if b.replica, err = kernel.Lookup[*replicated](k, serviceReplica); err != nil {
		return err
	}
	b.kernel = k
	b.aggregator = burn.NewAggregator()
	b.watcher = burn.NewWatcher(k.Log().WithName("burn"))
	dir := b.dataDir("burn")
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	if b.store, err = burn.OpenStore(filepath.Join(dir, "burn.db")); err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	if err := b.store.Load(b.aggregator); err != nil {
		return errors.Join(fmt.Errorf("daemon: %w", err), b.store.Close())
	}
	return nil
}

// observe adds one heartbeat's counts.
func (b *burnReport) observe(h *daisyhatchv1.HeartbeatRequest) {
	batch := burn.Batch{Sequence: h.GetBurnSequence(), Series: h.GetBurn(), Costs: h.GetCosts()}
	if batch.Empty() {
		return
	}
	b.aggregator.Merge(time.Now(), h.GetVm(), h.GetIncarnation(), batch)
}

// Start implements kernel.Service.
func (b *burnReport) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	b.cancel = cancel
	b.done = make(chan struct{})
	go func() {
		defer close(b.done)
		b.run(run)
	}()
	return nil
}

func (b *burnReport) run(ctx context.Context) {
	check := time.NewTicker(burnCheckEvery)
	defer check.Stop()
	saved := time.Now()
	for {
		changed := b.configure()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-check.C:
			b.watcher.Check(b.aggregator.Report(), now)
			if now.Sub(saved) >= burnSaveEvery {
				b.save()
				saved = now
			}
		}
	}
}

// configure takes the objectives and the failure domains of the configuration in force over, as of its acceptance. The
// channel is closed when the state machine has changed.
func (b *burnReport) configure() <-chan struct{} {
	view, changed := b.replica.machine.View()
	if version, set := b.replica.parsed.get(view.InForce); set != nil {
		b.aggregator.Configure(time.UnixMilli(view.InForce.GetAcceptedUnixMs()), version, set)
	}
	return changed
}

func (b *burnReport) save() {
	if err := b.store.Save(b.aggregator); err != nil {
		b.kernel.Log().Error(err, "burn counts not kept on disk")
	}
}

// Stop implements kernel.Service.
func (b *burnReport) Stop(context.Context) error {
	b.cancel()
	<-b.done
	b.save()
	return b.store.Close()
}

// combineBurn adds up the reports of several control VMs.
func combineBurn(reports []*daisyhatchv1.BurnResponse) *daisyhatchv1.BurnResponse {
	return burn.Combine(reports...)
}
