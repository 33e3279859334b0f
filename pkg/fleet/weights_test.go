package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/serverload"
	"github.com/daisyhatch/daisyhatch/pkg/serverweight"
)

var engineSet = &catalog.Set{Services: map[string]*catalog.Service{"s": {Name: "s", Engine: &catalog.Engine{Slots: 64}}}}

// engineFleet is a control VM whose engines hold what held says; an error of fail is the answer to each read.
type engineFleet struct {
	state *State
	w     *weigher
	now   time.Time
	held  func(id string) int
	fail  error
}

func newEngineFleet(now time.Time, engines int) *engineFleet {
	f := &engineFleet{state: NewState(StateOptions{}), now: now}
	for i := range engines {
		f.state.Merge([]directory.Server{{
			ID: fmt.Sprint("e", i), Born: 1, Sequence: 1, Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), State: directory.Ready, Heard: now,
		}})
	}
	f.w = newWeigher(NewControl(ControlOptions{State: f.state, Log: logr.Discard(), ReadEngine: func(_ context.Context, v directory.Server) (serverload.Figures, error) {
		return serverload.Figures{Running: f.held(v.ID), At: f.now}, f.fail
	}}, nil))
	return f
}

// run lets seconds pass in which this VM leads in a term; 0 while it doesn't.
func (f *engineFleet) run(term uint64, seconds int) {
	for range seconds * 4 {
		f.now = f.now.Add(engineReadTick)
		f.w.tick(context.Background(), engineSet, term, f.now)
		f.w.reads.Wait()
	}
}

func (f *engineFleet) weights(s *State) map[string]float64 {
	s.confirm(f.now)
	out := map[string]float64{}
	for _, c := range s.Serving("s", f.now) {
		out[c.ID] = c.Weight
	}
	return out
}

func slowAndFast(id string) int {
	if id == "e0" || id == "e1" {
		return 30
	}
	return 8
}

// Two engines of six are slow and hold more: the leader lowers their weights, all entry VMs are told the same, and it costs
// next to nothing.
func TestEntryVMsAreToldTheSameWeights(t *testing.T) {
	f := newEngineFleet(time.Now(), 6)
	f.held = slowAndFast
	peer, entry := NewState(StateOptions{}), NewState(StateOptions{})
	toPeer, toEntry := &feed{control: f.w.control, peer: true, snapshotSent: true}, &feed{control: NewControl(ControlOptions{State: peer}, nil)}
	bytes := 0
	pass := func(from *feed, to *State) {
		m := &daisyhatchv1.FollowResponse{}
		from.fillWeights(m)
		bytes += proto.Size(m)
		to.mergeWeights(weightsFromWire(m.GetWeights()), false)
	}
	for _, s := range []*State{peer, entry} {
		all, _ := f.state.all()
		s.Merge(all)
	}
	for range 30 {
		f.run(1, 1)
		pass(toPeer, peer)
		pass(toEntry, entry)
	}
	want := f.weights(f.state)
	require.Less(t, want["e0"], 0.75)
	require.Greater(t, want["e3"]/want["e0"], 2.0)
	require.Equal(t, want, f.weights(peer))
	require.Equal(t, want, f.weights(entry))
	require.Less(t, bytes, 2*30*100, "bytes on two streams in 30 s")
	again, _ := f.state.weightsSince(0, false)
	peer.mergeWeights(again, false)
	require.Equal(t, want, f.weights(peer), "what is told twice changes nothing")
}

// The reader is lost, reads fail, its successor begins: weights stay, and a decision of an earlier term changes nothing.
func TestWeightsOutliveTheirReader(t *testing.T) {
	f := newEngineFleet(time.Now(), 6)
	f.held = slowAndFast
	f.run(1, 30)
	want := f.weights(f.state)
	f.run(0, 3)
	require.Equal(t, want, f.weights(f.state), "no leader for 3 s")
	f.fail = errors.New("no report")
	f.run(2, 10)
	require.Equal(t, want, f.weights(f.state), "the successor reads nothing")
	f.state.mergeWeights([]serverweight.Weight{{Server: "e0", Born: 1, Step: 8, Number: 1<<termShift + 1}}, false)
	require.Equal(t, want, f.weights(f.state))
	f.run(2, 120)
	for id, w := range f.weights(f.state) {
		require.EqualValues(t, 1, w, "%s without reports for minutes", id)
	}
}

// Weights are those of one incarnation, and a VM that hears no control VM for long goes by equal ones.
func TestWeightsOfFormerIncarnationsAndWithoutContact(t *testing.T) {
	f := newEngineFleet(time.Now(), 2)
	f.state.mergeWeights([]serverweight.Weight{{Server: "e0", Born: 1, Step: -4, Number: 1}, {Server: "e1", Born: 0, Step: -4, Number: 1}}, false)
	require.Equal(t, map[string]float64{"e0": 0.5, "e1": 1}, f.weights(f.state))
	for _, c := range f.state.Serving("s", f.now.Add(weightsKeptFor+time.Second)) {
		require.EqualValues(t, 1, c.Weight)
	}
}

// With many engines each is read less often; those asked longest ago come first.
func TestReadsAreBounded(t *testing.T) {
	f, read, mu := newEngineFleet(time.Now(), 100), map[string]int{}, sync.Mutex{}
	f.held = func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		read[id]++
		return 1
	}
	f.run(1, 10)
	require.Len(t, read, 100)
	for id, n := range read {
		require.InDelta(t, 10*engineReadsPerTick*4/100, n, 1, id)
	}
}

// At 2,800 engines, with as many changes as there can be, the weights cost a stream little of the 14 KB a second that a VM has for
// everything.
func TestNewsOfWeightsStaysSmall(t *testing.T) {
	state := NewState(StateOptions{})
	f := &feed{control: NewControl(ControlOptions{State: state}, nil), snapshotSent: true}
	number, bytes := uint64(3)<<termShift, 0
	for range 100 {
		var changes []serverweight.Weight
		for range serverweight.MaxChanges {
			number++
			changes = append(changes, serverweight.Weight{Server: fmt.Sprintf("i-%010x", number*7919%2800), Born: 1780587600123, Step: int(number % 9), Number: number})
		}
		state.mergeWeights(changes, true)
		m := &daisyhatchv1.FollowResponse{}
		f.fillWeights(m)
		bytes += proto.Size(m)
	}
	perSecond := float64(bytes) / 100 / serverweight.Interval.Seconds()
	t.Logf("%.0f bytes a second on one stream, %.1f for each change", perSecond, float64(bytes)/100/serverweight.MaxChanges)
	require.Less(t, perSecond, 1500.0)
}

// The control group can't be reached for a moment, and no other VM is elected: weights decided after that in the same term are in
// force as those before.
func TestWeightsFollowALeaderThatComesBackInItsTerm(t *testing.T) {
	f := newEngineFleet(time.Now(), 6)
	f.held = slowAndFast
	f.run(1, 30)
	require.Less(t, f.weights(f.state)["e0"], 0.75)
	f.run(0, 3)
	f.held = func(id string) int { return 38 - slowAndFast(id) }
	decided, told := weightChanges.Get(), f.state.weights.count
	f.run(1, 30)
	require.Greater(t, weightChanges.Get(), decided)
	require.Equal(t, weightChanges.Get()-decided, f.state.weights.count-told, "what is decided is in force")
}

// Engines are replaced under new ids for as long as a leader leads: what it keeps of them doesn't grow.
func TestReaderForgetsReplacedEngines(t *testing.T) {
	f := newEngineFleet(time.Now(), 6)
	f.held = slowAndFast
	f.run(1, 3)
	require.Len(t, f.w.readAt, 6)
	for i := range 6 {
		f.state.Leave(fmt.Sprint("e", i), 1, f.now)
	}
	f.now = f.now.Add(24 * time.Hour)
	f.state.Expire(f.now)
	f.run(1, 1)
	require.Empty(t, f.w.readAt)
	f.w.tick(context.Background(), &catalog.Set{}, 1, f.now)
	require.Empty(t, f.w.controllers, "the service is gone")
}

// An engine gets no requests while another VM is elected: its weight goes on from where it was once it is back.
func TestSuccessorGoesOnFromWeightsOfEnginesThatWereAway(t *testing.T) {
	f := newEngineFleet(time.Now(), 6)
	f.held = slowAndFast
	f.run(1, 30)
	want := f.weights(f.state)
	require.Less(t, want["e0"], 0.75)
	f.state.Noticed(directory.Server{ID: "e0", Born: 1}, holdoff.Notice{Wait: 3 * time.Second}, f.now)
	require.NotContains(t, f.weights(f.state), "e0")
	f.run(2, 4)
	require.Equal(t, want["e0"], f.weights(f.state)["e0"])
	f.fail = errors.New("no report")
	f.run(2, 120)
	require.EqualValues(t, 1, f.weights(f.state)["e0"], "without reports for minutes")
}
