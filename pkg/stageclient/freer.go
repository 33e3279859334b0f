package stageclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

const (
	// freeInterval is how long handles are collected for one message to an owner.
	freeInterval = 20 * time.Millisecond
	// freeTimeout limits a message to an owner. If it fails, the servers drop the results once they expire.
	freeTimeout = time.Second
)

// Owners finds the control VM that owns the calls of a server.
type Owners interface {
	// OwnerAt returns the owner of the calls of the server at an address; false if there is none.
	OwnerAt(address string) (stageowner.Owner, bool)
}

// Freer releases stage results through the control VMs that own the calls of the servers, since these VMs track the servers'
// memory for results. It is safe for concurrent use.
type Freer struct {
	owners     Owners
	ownAddress string
	http       *http.Client
	runner     *stagecall.Runner
	log        logr.Logger

	mu      sync.Mutex
	pending map[string][]string
	timer   *time.Timer
}

// NewFreer returns a Freer. ownAddress is the VM's own peer address, empty on a VM that can't own services. runner releases
// the results that have no other owner.
func NewFreer(owners Owners, ownAddress string, h *http.Client, runner *stagecall.Runner, log logr.Logger) *Freer {
	return &Freer{owners: owners, ownAddress: ownAddress, http: h, runner: runner, log: log, pending: make(map[string][]string)}
}

// Free releases results. It does not block.
func (f *Freer) Free(handles []string) {
	var own []string
	elsewhere := make(map[string][]string)
	for _, h := range handles {
		if o, ok := f.owners.OwnerAt(stagecall.AddressOf(h)); ok && o.Address != f.ownAddress {
			elsewhere[o.Address] = append(elsewhere[o.Address], h)
		} else {
			own = append(own, h)
		}
	}
	f.runner.Free(own)
	f.mu.Lock()
	defer f.mu.Unlock()
	for owner, h := range elsewhere {
		f.pending[owner] = append(f.pending[owner], h...)
	}
	if f.timer == nil && len(f.pending) > 0 {
		f.timer = time.AfterFunc(freeInterval, f.flush)
	}
}

func (f *Freer) flush() {
	f.mu.Lock()
	all := f.pending
	f.pending = make(map[string][]string)
	f.timer = nil
	f.mu.Unlock()
	for owner, handles := range all {
		go f.send(owner, handles)
	}
}

func (f *Freer) send(owner string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	client := daisyhatchv1connect.NewFleetServiceClient(f.http, "http://"+owner)
	if _, err := client.StageFree(ctx, connect.NewRequest(&daisyhatchv1.StageFreeRequest{Handles: handles})); err != nil {
		f.log.Info("results given up without the control VM that had them made", "control", owner, "count", len(handles),
			"reason", err.Error())
		f.runner.Free(handles)
	}
}
