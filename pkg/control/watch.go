package control

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
)

// GrantorPrefix begins the name of each shard's grantor lease; the shard's number follows.
const GrantorPrefix = "grantor/"

// keepAlive is the longest time between two events of a watch.
const keepAlive = 500 * time.Millisecond

// watcher is what one watch has sent so far.
type watcher struct {
	s        *Server
	version  uint64
	suspects uint64
	leases   uint64
	begun    bool
}

// errStale ends the watches of a VM that no longer hears of what the quorum accepts.
var errStale = errors.New("control: this VM is cut off from the quorum; watch another control VM")

// Watch implements EntryService. It sends this VM's applied state, which may be behind the leader's: versions only
// grow, so a watcher never goes back by it. It ends when this VM is cut off from the quorum, so that the watcher
// turns to another control VM.
func (s *Server) Watch(
	ctx context.Context, req *connect.Request[daisyhatchv1.WatchRequest], stream *connect.ServerStream[daisyhatchv1.WatchEvent],
) error {
	w := &watcher{s: s, version: req.Msg.GetVersionInForce()}
	t := time.NewTicker(keepAlive)
	defer t.Stop()
	for {
		view, changed := s.o.Machine.View()
		if err := stream.Send(w.event(view)); err != nil {
			return err
		}
		if !s.fresh.current(ctx) {
			return outcomeError(connect.CodeUnavailable, OutcomeNotTaken, errStale)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-t.C:
		}
	}
}

// event returns what changed since the last event.
func (w *watcher) event(view fsm.View) *daisyhatchv1.WatchEvent {
	e := &daisyhatchv1.WatchEvent{AcceptedVersion: view.InForce.GetVersion()}
	if view.InForce.GetVersion() > w.version {
		w.configuration(e, view.InForce)
		w.version = view.InForce.GetVersion()
	}
	if !w.begun || view.SuspectsNumber != w.suspects {
		e.Suspects = view.Suspects
		e.SuspectsChanged = true
	}
	if !w.begun || view.LeasesNumber != w.leases {
		e.Shards = w.s.shards(view.Leases)
	}
	w.begun = true
	w.suspects = view.SuspectsNumber
	w.leases = view.LeasesNumber
	return e
}

// configuration fills in the version in force, as a delta when the watcher's version is still kept.
func (w *watcher) configuration(e *daisyhatchv1.WatchEvent, v *daisyhatchv1.ConfigurationVersion) {
	c, ok := w.s.deltas.get(w.version, v)
	if !ok {
		e.Configuration = publication.WithoutText(v)
		e.ConfigurationGzip = w.s.deltas.whole(v)
		return
	}
	e.Delta = c.delta
	e.DeltaMeta = publication.WithoutText(v)
	e.ConfigurationSha256 = c.sum
}

// shards returns who grants which shard, with the addresses of the control group.
func (s *Server) shards(leases []*daisyhatchv1.Lease) []*daisyhatchv1.ShardGrantor {
	addresses := make(map[string]string)
	for _, p := range s.o.Log.Status().Membership.GetPeers() {
		addresses[p.GetVm()] = p.GetAddress()
	}
	var out []*daisyhatchv1.ShardGrantor
	for _, l := range leases {
		number, ok := strings.CutPrefix(l.GetName(), GrantorPrefix)
		if !ok || l.GetHolder() == "" {
			continue
		}
		shard, err := strconv.ParseUint(number, 10, 32)
		if err != nil {
			continue
		}
		out = append(out, &daisyhatchv1.ShardGrantor{
			Shard:   uint32(shard),
			Vm:      l.GetHolder(),
			Address: addresses[l.GetHolder()],
			Fence:   l.GetFence(),
		})
	}
	return out
}
