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
	// freeBatch is how long results to give up are gathered for one message.
	freeBatch = 20 * time.Millisecond
	// freeTimeout bounds the message; servers release what stays after a time.
	freeTimeout = time.Second
)

// Owners tells who owns the calls of servers.
type Owners interface {
	// OwnerAt returns the owner of the calls of the server at an address.
	OwnerAt(address string) (stageowner.Owner, bool)
}

// Freer gives results of stages up through the control VMs that keep the books on the servers' room. It is safe for
// concurrent use.
type Freer struct {
	known Owners
	own   string
	http  *http.Client
	local *stagecall.Runner
	log   logr.Logger

	mu    sync.Mutex
	free  map[string][]string
	timer *time.Timer
}

// NewFreer returns a Freer. own is the VM's peer address, empty on a VM that owns nothing; local tells servers itself.
func NewFreer(known Owners, own string, h *http.Client, local *stagecall.Runner, log logr.Logger) *Freer {
	return &Freer{known: known, own: own, http: h, local: local, log: log, free: make(map[string][]string)}
}

// Free gives results up; it doesn't wait.
func (f *Freer) Free(handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		if o, ok := f.known.OwnerAt(stagecall.AddressOf(h)); ok && o.Address != f.own {
			f.free[o.Address] = append(f.free[o.Address], h)
		} else {
			f.local.Free([]string{h})
		}
	}
	if f.timer == nil && len(f.free) > 0 {
		f.timer = time.AfterFunc(freeBatch, f.flush)
	}
}

func (f *Freer) flush() {
	f.mu.Lock()
	all := f.free
	f.free = make(map[string][]string)
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
		f.local.Free(handles)
	}
}
