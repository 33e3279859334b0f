package liveness

import "time"

const (
	// settleTime is how long a server may go on with a request after its connection was closed.
	settleTime = 500 * time.Millisecond
	// returnWindow is how long after a call a server is watched. One that is replaced later is not taken to have ended
	// under the call.
	returnWindow = 15 * time.Second
	// stallTime is the longest time that a server may stand still before it ends.
	stallTime = 5 * time.Second
	// firstReprobe is the time between the first two connection attempts to a silent server; it doubles with each.
	firstReprobe = time.Second
	// announceTime is how long a new incarnation may answer calls before it is known here.
	announceTime = time.Second
	// clockTolerance is how far the clocks of servers and VMs may differ.
	clockTolerance = 500 * time.Millisecond
)

// observation is what is known of a server after a call to it that got no answer.
type observation struct {
	// endedAt is when the call was over: when its connection broke, or settleTime after this VM gave it up.
	endedAt time.Time
	// givenUp is true if this VM ended the call, which it did at givenUpAt.
	givenUp   bool
	givenUpAt time.Time
	// probe is the state that the last connection attempt since endedAt showed; empty before the first. silent is true if one of
	// them showed a silent server, and nextProbe is when the next one is due then.
	probe     State
	silent    bool
	nextProbe time.Time
	probes    int
	// aliveAt is the last sign of life of the server's process: an answer to a call or an announcement. It may be one of the
	// process that replaced it.
	aliveAt time.Time
	// certain is true if that came after a call that was given up, on a connection made before: it is no sign of a successor.
	certain bool
	// leaving is true once the server has announced that it leaves.
	leaving bool
	// replaced is true once another incarnation is announced in the server's place, which started at born by its own clock.
	replaced bool
	born     time.Time
}

// judge returns the state of the server, and whether that is final. A server that was replaced ended under the call if it
// had been silent, if its successor had started by the time the call was over, or if it had stood still since. Otherwise it
// was alive after the call.
func judge(o observation, now time.Time) (state State, final bool) {
	alive := o.alive()
	switch {
	case o.probe == Ended, o.replaced && o.endedUnder(alive):
		return Ended, true
	case o.replaced:
		return Reachable, true
	case o.leaving:
		return Leaving, true
	case o.certain, alive && now.Sub(o.endedAt) >= announceTime:
		return Reachable, true
	}
	return o.probe, now.Sub(o.endedAt) > returnWindow
}

// endedUnder reports whether a server that was replaced had ended under the call; alive is true if it gave a sign of life later.
func (o observation) endedUnder(alive bool) bool {
	if o.certain {
		return false
	}
	return o.silent || !startedAfter(o.born, o.endedAt) || !alive && !startedAfter(o.born, o.endedAt.Add(stallTime))
}

// answered notes that the server has answered another call, on a connection made at the time since.
func (o *observation) answered(since, now time.Time) {
	o.aliveAt = now
	o.certain = o.certain || o.givenUp && o.alive() && since.Before(o.givenUpAt)
}

// alive reports whether the server gave a sign of life after the call.
func (o observation) alive() bool { return !o.aliveAt.Before(o.endedAt) }

// open reports whether a connection attempt may tell what became of the server: the call is over, the server has given no sign of
// life since, and it has accepted no connection.
func (o observation) open(now time.Time) bool {
	return !now.Before(o.endedAt) && !o.alive() && (o.probe == "" || o.probe == Silent)
}

// needsProbe reports whether a connection attempt is due. A silent server is tried again: it may refuse by then, or the VM that
// confirms a refusal may have been slow.
func (o observation) needsProbe(now time.Time) bool {
	return o.open(now) && (o.probe == "" || !now.Before(o.nextProbe))
}

// probed notes what a connection attempt showed.
func (o *observation) probed(state State, now time.Time) {
	o.probe = state
	if state == Silent {
		o.silent, o.nextProbe = true, now.Add(firstReprobe<<o.probes)
		o.probes++
	}
}

// startedAfter reports whether a server that started at born, by its own clock, certainly did so after t, by this VM's.
func startedAfter(born, t time.Time) bool {
	return born.UnixMilli() > t.Add(clockTolerance).UnixMilli()
}
