package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/internal/faultfs"
	"github.com/daisyhatch/daisyhatch/pkg/raft"
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

// memNet carries calls between the nodes of one process, with delays and one-way cuts.
type memNet struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[[2]string]bool
	// resets is the share of calls whose connection breaks after the peer has carried them out.
	resets float64
	// noSteps names an address that consensus messages don't reach, while other calls do.
	noSteps string
}

func (n *memNet) serve(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

func (n *memNet) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *memNet) setResets(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resets = share
}

// heal ends all faults of the network.
func (n *memNet) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.resets = 0
}

func (n *memNet) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// memLink is one node's way out. Calls and answers on a cut way go silent.
type memLink struct {
	net  *memNet
	from string
}

func (l memLink) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(rand.N(int64(2 * time.Millisecond))))
	to := req.URL.Host
	l.net.mu.Lock()
	h := l.net.handlers[to]
	resets := l.net.resets
	lost := l.net.noSteps == to && strings.HasSuffix(req.URL.Path, "/Step")
	l.net.mu.Unlock()
	if !lost && !l.net.isCut(l.from, to) {
		if h == nil {
			return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, req)
		if rand.Float64() < resets {
			return nil, io.ErrUnexpectedEOF
		}
		time.Sleep(time.Duration(rand.N(int64(2 * time.Millisecond))))
		if !l.net.isCut(to, l.from) {
			return rec.Result(), nil
		}
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// history records calls for porcupine. A call's input is the value written, or "" for a read; its output is
// how many commands the state machine then held, and the last of them.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	// written maps each value that was acknowledged to its place, and to 0 each that was refused as not taken.
	written map[string]uint64
}

func (h *history) note(value string, place uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.written[value] = place
}

// check compares the acknowledgements with what the state machine holds in the end.
func (h *history) check(t *testing.T, list []string) {
	count := make(map[string]int)
	for _, v := range list {
		count[v]++
		require.Equal(t, 1, count[v], "%s was applied twice", v)
	}
	for v, place := range h.written {
		if place == 0 {
			require.Zero(t, count[v], "%s was refused as not taken, and applied", v)
		} else {
			require.Equal(t, v, list[place-1], "acknowledged at %d", place)
		}
	}
}

type seen struct {
	unknown bool
	last    string
}

func (h *history) add(client int, input string, call time.Time, out seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	back := time.Now().UnixNano()
	if out.unknown {
		back = 1 << 62
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: input, Call: call.UnixNano(), Output: out, Return: back,
	})
}

var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input.(string) == "" {
			return output.(seen).last == state.(string), state
		}
		return true, input
	},
}

// client writes and reads through random nodes. A write that is refused with ErrNoLeader must not show up, so
// it is left out of the history.
func (g *group) client(id int, until time.Time, h *history) {
	r := rand.New(rand.NewPCG(uint64(id), 3))
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(time.Duration(r.Int64N(int64(60 * time.Millisecond))))
		node, sm := g.get(g.members[r.IntN(len(g.members))])
		if node == nil {
			continue
		}
		limit := []time.Duration{300 * time.Millisecond, 2 * time.Second}[r.IntN(2)]
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		call := time.Now()
		if r.IntN(2) == 0 {
			if node.ReadBarrier(ctx) == nil {
				h.add(id, "", call, seen{last: sm.last()})
			}
		} else {
			value := fmt.Sprintf("%d-%d", id, i)
			a, err := node.Propose(ctx, []byte(value))
			if err == nil || errors.Is(err, ErrUnknownOutcome) {
				h.add(id, value, call, seen{unknown: err != nil})
			}
			switch {
			case err == nil:
				h.note(value, binary.LittleEndian.Uint64(a.Result))
			case !errors.Is(err, ErrUnknownOutcome):
				h.note(value, 0)
			}
		}
		cancel()
	}
}

func (c *counter) last() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 {
		return ""
	}
	return c.list[len(c.list)-1]
}

// faults kills, cuts, fills disks and heals until the given time.
func (g *group) faults(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(r.Int64N(int64(600 * time.Millisecond))))
		m, o := g.members[r.IntN(len(g.members))], g.members[r.IntN(len(g.members))]
		g.mem.setCut(m.peer.Address, o.peer.Address, m != o && r.IntN(2) == 0)
		if r.IntN(3) > 0 {
			continue
		}
		g.kill(m, r)
		time.Sleep(time.Duration(r.Int64N(int64(600 * time.Millisecond))))
		g.start(m)
	}
}

var linSeeds = flag.Int("lin-seeds", 4, "seeds of TestLinearizableUnderKillsAndCuts")

func TestLinearizableUnderKillsAndCuts(t *testing.T) {
	for seed := range uint64(*linSeeds) {
		synctest.Test(t, func(t *testing.T) {
			g := newMemGroup(t, 3, Options{SnapshotEntries: 50, KeptEntries: 10})
			g.mem.setResets(0.05)
			until := time.Now().Add(40 * time.Second)
			h := &history{written: make(map[string]uint64)}
			var clients sync.WaitGroup
			for id := range 5 {
				clients.Go(func() { g.client(id, until, h) })
			}
			g.faults(rand.New(rand.NewPCG(seed, 5)), until)
			clients.Wait()
			g.mem.heal()
			time.Sleep(10 * time.Second)
			require.NoError(t, g.members[0].node.ReadBarrier(t.Context()))
			h.check(t, g.members[0].sm.commands())
			res := porcupine.CheckOperationsTimeout(register, h.ops, 0)
			require.Equal(t, porcupine.Ok, res, "seed %d, %d calls", seed, len(h.ops))
			require.Greater(t, len(h.ops), 100)
		})
	}
}

func TestFollowerAnswersOnlyOnceItHasApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newMemGroup(t, 3, Options{})
		lead := g.leader()
		g.propose(lead, 3)
		behind := g.members[0]
		if behind == lead {
			behind = g.members[1]
		}
		require.NoError(t, behind.node.ReadBarrier(t.Context()))
		g.mem.mu.Lock()
		g.mem.noSteps = behind.peer.Address
		g.mem.mu.Unlock()
		g.propose(lead, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		require.Error(t, behind.node.ReadBarrier(ctx))
		ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := behind.node.Propose(ctx, []byte("x"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
	})
}

// A command that a cut-off leader took is replaced by its successor's entries; their results are not its own.
func TestReplacedCommandIsNotAnsweredByAnothersEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newMemGroup(t, 3, Options{})
		old := g.leader()
		g.propose(old, 3)
		cut := func(on bool) {
			for _, m := range g.members {
				g.mem.setCut(m.peer.Address, old.peer.Address, on && m != old)
				g.mem.setCut(old.peer.Address, m.peer.Address, on && m != old)
			}
		}
		cut(true)
		place := make(chan uint64, 1)
		go func() {
			a, err := old.node.Propose(t.Context(), []byte("mine"))
			if err != nil || len(a.Result) != 8 {
				place <- 0
				return
			}
			place <- binary.LittleEndian.Uint64(a.Result)
		}()
		time.Sleep(2 * time.Second)
		next := g.members[0]
		if next == old {
			next = g.members[1]
		}
		g.propose(next, 5)
		cut(false)
		at := <-place
		require.NotZero(t, at, "it was replaced before it could be applied, so it is taken by the next leader")
		require.NoError(t, next.node.ReadBarrier(t.Context()))
		require.Equal(t, "mine", next.sm.commands()[at-1])
	})
}

func TestStopHandsLeadershipOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newMemGroup(t, 3, Options{})
		lead := g.leader()
		g.propose(lead, 3)
		begin := time.Now()
		g.stop(lead)
		next := g.leader()
		require.NotEqual(t, lead.peer.Vm, next.peer.Vm)
		g.propose(next, 1)
		require.Less(t, time.Since(begin), raft.DefaultElectionTimeout, "nobody had to miss the old leader first")
	})
}

// wipe ends a node and starts it again on an empty disk.
func (g *group) wipe(m *member, r *rand.Rand) {
	g.kill(m, r)
	m.fs = faultfs.New()
	m.opts.FS = m.fs
	g.start(m)
}

func (g *group) propose(m *member, n int) {
	for i := range n {
		_, err := m.node.Propose(g.tb.Context(), fmt.Append(nil, i))
		require.NoError(g.tb, err)
	}
}

func (g *group) voters(m *member) string {
	var vms []string
	for _, p := range m.node.Status().Membership.GetPeers() {
		if !p.GetLearner() {
			vms = append(vms, p.GetVm())
		}
	}
	return strings.Join(vms, " ")
}

func TestLostDiskRejoinsOnlyThroughRemovalAndAddition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 1))
		g := newMemGroup(t, 3, Options{SnapshotEntries: 20, KeptEntries: 5})
		lead := g.leader()
		g.propose(lead, 50)
		lost, other := g.members[0], g.members[1]
		if lost == lead {
			lost, other = other, lost
		}
		g.wipe(lost, r)
		time.Sleep(5 * time.Second)
		require.True(t, lost.node.Status().Learner, "an empty disk doesn't vote")
		require.ErrorIs(t, lead.node.ChangeMembership(t.Context(), lost.peer, ""), ErrMembership)

		require.NoError(t, lead.node.ChangeMembership(t.Context(), nil, lost.peer.Vm))
		require.NoError(t, lead.node.ChangeMembership(t.Context(), lost.peer, ""))
		time.Sleep(5 * time.Second)
		require.Len(t, strings.Fields(g.voters(lead)), 3)
		require.False(t, lost.node.Status().Learner)
		require.Equal(t, lead.sm.commands(), lost.sm.commands())

		// A second VM is lost right after the repair: the repaired one is enough for a quorum.
		for _, m := range g.members {
			if m != lost && m != lead {
				other = m
			}
		}
		g.kill(other, r)
		g.propose(lost, 5)
	})
}

func TestMembershipChangesThroughAFollowerAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newMemGroup(t, 3, Options{})
		lead := g.leader()
		g.propose(lead, 3)
		extra := g.newMember("vm3", Options{})
		g.start(extra)
		g.members = append(g.members, extra)
		follower := g.members[0]
		if follower == lead {
			follower = g.members[1]
		}
		require.NoError(t, follower.node.ChangeMembership(t.Context(), extra.peer, ""))
		time.Sleep(time.Second)
		require.Equal(t, "vm0 vm1 vm2 vm3", g.voters(follower))
		require.NoError(t, follower.node.ChangeMembership(t.Context(), nil, lead.peer.Vm), "a leader hands over first")
		time.Sleep(time.Second)
		require.NotContains(t, g.voters(follower), lead.peer.Vm)

		r := rand.New(rand.NewPCG(1, 1))
		for _, m := range g.members {
			if m != follower && m != extra && m != lead {
				g.kill(m, r)
				time.Sleep(time.Second)
			}
		}
		err := follower.node.ChangeMembership(t.Context(), nil, extra.peer.Vm)
		require.ErrorIs(t, err, ErrMembership, "one of the two left is dead")
		require.ErrorIs(t, follower.node.ChangeMembership(t.Context(), nil, "vm9"), ErrMembership)
		require.ErrorIs(t, follower.node.ChangeMembership(t.Context(), nil, ""), ErrMembership)
	})
}

func TestFullDiskStopsTheNodeAndKeepsThePast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newMemGroup(t, 1, Options{})
		m := g.members[0]
		g.leader()
		g.propose(m, 10)
		require.NoError(t, m.node.call(t.Context(), func() error { m.fs.Room = 3; return nil }))
		_, err := m.node.Propose(t.Context(), []byte("x"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		require.ErrorIs(t, err, ErrStorage)
		_, err = m.node.Propose(t.Context(), []byte("y"))
		require.Error(t, err)
		require.False(t, m.node.IsLeader())
		g.kill(m, rand.New(rand.NewPCG(1, 1)))
		g.start(m)
		g.leader()
		require.NoError(t, m.node.ReadBarrier(t.Context()))
		require.Len(t, m.sm.commands(), 10)
	})
}

func TestForcedRecoveryFromOneSurvivor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 1))
		g := newMemGroup(t, 3, Options{SnapshotEntries: 8})
		g.leader()
		survivor := g.members[0]
		g.propose(survivor, 20)
		for _, m := range g.members {
			g.kill(m, r)
		}
		o := wal.Options{FS: survivor.fs, Dir: survivor.dir, Log: logr.Discard()}
		_, err := wal.ForceNewCluster(o, "vm0", survivor.peer, "yes")
		require.ErrorIs(t, err, wal.ErrConfirm)
		_, err = wal.ForceNewCluster(o, "vm0", survivor.peer, wal.ConfirmText("vm0"))
		require.NoError(t, err)
		g.start(survivor)
		g.leader()
		g.propose(survivor, 1)
		require.Len(t, survivor.sm.commands(), 21)
		want := &daisyhatchv1.ConsensusPeer{Vm: "vm0", Address: survivor.peer.Address, Instance: survivor.node.instance}
		require.True(t, proto.Equal(want, survivor.node.Status().Membership.GetPeers()[0]))
	})
}

func TestDiskThatWasFullIsUsedAgainWithoutARestart(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader %v", leads), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fullDisk(t, leads) })
		})
	}
}

// fullDisk fills the disk of the leader, or of a follower, and gives it room again.
func fullDisk(t *testing.T, leads bool) {
	g := newMemGroup(t, 3, Options{})
	m := g.leader()
	other := g.members[0]
	for _, x := range g.members {
		if x != m {
			other = x
		}
	}
	if !leads {
		m, other = other, m
	}
	g.propose(m, 10)
	require.NoError(t, m.node.call(t.Context(), func() error { m.fs.Room = 3; return nil }))
	if leads {
		_, err := m.node.Propose(t.Context(), []byte("lost"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		time.Sleep(3 * time.Second)
	}
	before := len(other.sm.commands())
	g.propose(other, 5)
	time.Sleep(2 * time.Second)
	require.True(t, m.node.Status().StorageFailed)
	require.NoError(t, m.node.call(t.Context(), func() error { m.fs.Room = -1; return nil }))
	time.Sleep(2 * time.Second)
	require.False(t, m.node.Status().StorageFailed)
	require.NoError(t, m.node.ReadBarrier(t.Context()))
	require.Len(t, m.sm.commands(), before+5)
	require.Equal(t, other.sm.commands(), m.sm.commands())
}
