package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Server: fmt.Sprint("s", i), FailureDomain: "a", Units: 8}
	}
	return out
}

// count picks 1000 times and returns how often each server was chosen.
func count(p *Picker, c Call, k []Candidate, now time.Time) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	out := make(map[string]int)
	for range 1000 {
		out[k[p.Pick(c, k, now, rng)].Server]++
	}
	return out
}

func TestPickAvoidsTheBusierServer(t *testing.T) {
	p := NewPicker()
	k := candidates(2)
	k[0].InFlight = 6
	require.Less(t, count(p, Call{FailureDomain: "a"}, k, start)["s0"], 300)
	require.Equal(t, -1, p.Pick(Call{}, nil, start, rand.New(rand.NewPCG(1, 2))))
}

func TestReportIsCorrectedByLaterCalls(t *testing.T) {
	s := &server{reported: 3, reportedAt: start}
	s.record(+1, start.Add(-time.Millisecond))
	s.record(+1, start.Add(time.Millisecond))
	s.record(+1, start.Add(2*time.Millisecond))
	s.record(-1, start.Add(3*time.Millisecond))
	now := start.Add(4 * time.Millisecond)
	require.InDelta(t, 4, s.outstanding(2, now), 0.01)
	require.InDelta(t, 3, s.outstanding(2, start.Add(reportTTL/2)), 0.01, "other VMs' calls are discounted with the report's age")
	require.InDelta(t, 2, s.outstanding(2, start.Add(reportTTL)), 0, "own calls always count")
}

// TestLaggingReportsDoNotHerd sends a burst of calls between two load reports. Without the correction for calls started
// since, the whole burst would go to the server that was idle in the last report.
func TestLaggingReportsDoNotHerd(t *testing.T) {
	p, k := NewPicker(), candidates(3)
	for i := range k {
		k[i].Units = 64
		p.Report(k[i].Server, []int{0, 8, 8}[i], 0, start)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	now := start
	for range 40 {
		now = now.Add(time.Millisecond)
		i := p.Pick(Call{FailureDomain: "a"}, k, now, rng)
		k[i].InFlight++
		p.Start(k[i].Server, nil, now)
	}
	require.Less(t, k[0].InFlight, 28)
	require.Greater(t, k[0].InFlight, k[1].InFlight)
}

func TestLocalDomainIsPreferredWhileItHasRoom(t *testing.T) {
	p, k := NewPicker(), candidates(2)
	k[1].FailureDomain = "b"
	local := count(p, Call{FailureDomain: "a"}, k, start)["s0"]
	require.Greater(t, local, 700)
	k[0].InFlight = 7
	require.Less(t, count(p, Call{FailureDomain: "a"}, k, start)["s0"], 300)
}

func TestStragglerGetsLittleAndRecovers(t *testing.T) {
	p, k := NewPicker(), candidates(8)
	for range 100 {
		for i := range k {
			latency := 10 * time.Millisecond
			if i == 3 {
				latency *= 10
			}
			p.End(k[i].Server, Latency{Time: latency}, start)
		}
	}
	require.Less(t, count(p, Call{FailureDomain: "a"}, k, start)["s3"], 40)
	later := start.Add(ejectionTime)
	require.Greater(t, count(p, Call{FailureDomain: "a"}, k, later)["s3"], 80, "a straggler is tried again after ejectionTime")
	p.End("s3", Latency{Time: 100 * time.Millisecond}, later)
	p.rank()
	require.Less(t, count(p, Call{FailureDomain: "a"}, k, later)["s3"], 40, "one slow call ejects it again")
	later = later.Add(ejectionTime)
	p.End("s3", Latency{Time: 10 * time.Millisecond}, later)
	p.rank()
	require.Greater(t, count(p, Call{FailureDomain: "a"}, k, later)["s3"], 80, "one fast call restores it")
}

func TestShareOfStragglersIsCapped(t *testing.T) {
	p, k := NewPicker(), candidates(10)
	for range 40 {
		for i := range k {
			latency := 10 * time.Millisecond
			if i < 4 {
				latency *= 50
			}
			p.End(k[i].Server, Latency{Time: latency}, start)
		}
	}
	slow := 0
	for _, s := range p.servers {
		if s.slowRatio > 0 {
			slow++
		}
	}
	require.Equal(t, 3, slow)
}

func TestPrefixAffinityIsTradedAgainstLoad(t *testing.T) {
	p, k := NewPicker(), candidates(8)
	call := Call{FailureDomain: "a", Prefix: []uint64{1, 2, 3, 4}}
	p.Start("s5", call.Prefix, start)
	p.End("s5", Latency{}, start)
	require.Greater(t, count(p, call, k, start)["s5"], 950)
	k[5].InFlight = 8
	idle := count(p, Call{FailureDomain: "a"}, k, start)["s5"]
	require.Less(t, idle, 100)
	call.Prefix = []uint64{1, 9, 8, 7}
	require.Less(t, count(p, call, k, start)["s5"], 150, "a cached quarter of the prefix doesn't outweigh a full server")
}

func TestGapInvalidatesEntries(t *testing.T) {
	x := NewIndex(100)
	x.Event("s", 1, []uint64{1, 2}, nil, false)
	x.Event("s", 2, []uint64{3}, []uint64{2}, false)
	require.InDelta(t, 1.0, x.cachedShare("s", []uint64{1, 3}), 0)
	require.False(t, x.holds("s", 2))
	x.Event("s", 2, []uint64{7}, nil, false)
	require.False(t, x.holds("s", 7), "a repeated event is ignored")
	x.Event("s", 5, []uint64{9}, nil, false)
	require.False(t, x.holds("s", 1), "events 3 and 4 may have removed it")
	require.True(t, x.holds("s", 9))
	x.Sent("s", []uint64{1})
	require.True(t, x.holds("s", 1), "the entry is valid again after a call")
	x.Event("s", 6, nil, nil, true)
	require.False(t, x.holds("s", 1))
	x.Forget("s")
	x.Event("s", 1, []uint64{4}, nil, false)
	require.True(t, x.holds("s", 4), "a restarted server's events start from 1")
}

func TestIndexIsBounded(t *testing.T) {
	x := NewIndex(100)
	for i := range uint64(1000) {
		x.Sent(fmt.Sprint(i%7), []uint64{i})
		x.Sent(fmt.Sprint(i%5), []uint64{5000})
	}
	require.Equal(t, 100, x.Len())
	require.True(t, x.blocks[5000] != nil, "a recently used block isn't evicted")
	require.LessOrEqual(t, len(x.blocks[5000].Value.(*block).holders), serversPerBlock)
}

// TestHedgedCallsRevealStraggler ends every call to the straggler without a first byte, as when the hedged call wins.
func TestHedgedCallsRevealStraggler(t *testing.T) {
	p, k := NewPicker(), candidates(8)
	for range 40 {
		for i := range k {
			if i == 3 {
				p.End(k[i].Server, Latency{Time: 50 * time.Millisecond, AtLeast: true}, start)
			} else {
				p.End(k[i].Server, Latency{Time: 10 * time.Millisecond}, start)
				p.End(k[i].Server, Latency{Time: time.Millisecond, AtLeast: true}, start)
			}
		}
	}
	p.Retain(func(name string) bool { return name != "s7" })
	require.Len(t, p.servers, 7)
	require.Greater(t, p.servers["s3"].slowRatio, stragglerRatio)
	require.Zero(t, p.servers["s2"].slowRatio)
	for range 10 {
		p.End("s2", Latency{Time: time.Millisecond, AtLeast: true}, start)
	}
	require.Greater(t, p.servers["s2"].latency, 9*time.Millisecond, "a call abandoned early doesn't lower the average")
}

func TestRestartInvalidatesEntries(t *testing.T) {
	x := NewIndex(100)
	x.Follow("s", "1")
	require.True(t, x.Event("s", 900, []uint64{1}, nil, false))
	x.Follow("s", "1")
	require.True(t, x.holds("s", 1))
	x.Follow("s", "2")
	require.False(t, x.holds("s", 1))
	require.True(t, x.Event("s", 1, []uint64{2}, nil, false), "sequence numbers of a new incarnation start from 1")
	require.True(t, x.holds("s", 2))
	require.False(t, x.Event("s", 3, nil, nil, false), "event 2 is missing")
	require.False(t, x.holds("s", 2))
}

func TestUnfollowedServerKeepsItsEntries(t *testing.T) {
	x := NewIndex(100)
	x.Event("s", 5, []uint64{1}, nil, false)
	x.Unfollow("s")
	x.Sent("s", []uint64{2})
	require.True(t, x.Event("s", 50, []uint64{3}, nil, false))
	for _, h := range []uint64{1, 2, 3} {
		require.True(t, x.holds("s", h))
	}
}

// TestTrackedServersAreBounded tracks more servers than maxViews. A server that was evicted and is added again must not get
// its old entries back.
func TestTrackedServersAreBounded(t *testing.T) {
	x := NewIndex(10 * maxViews)
	for i := range uint64(3 * maxViews) {
		x.Event(fmt.Sprint("s", i), 1, []uint64{i}, nil, false)
		x.Sent(fmt.Sprint("s", i), []uint64{i})
	}
	require.Len(t, x.servers, maxViews)
	x.Follow("s0", "1")
	require.False(t, x.holds("s0", 0))
}
