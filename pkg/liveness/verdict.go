package liveness

import "time"

const (
	// returnWindow is how long after a call a server is watched. One that is replaced later is not taken to have ended
	// under the call.
	returnWindow = 15 * time.Second
	// clockTolerance is how far the clocks of servers and VMs may differ.
	clockTolerance = 500 * time.Millisecond
)

// observation is what is known of a server after a call to it that got no answer.
type observation struct {
	// endedAt is when the call ended.
	endedAt time.Time
	// probe is the state that the last connection attempt showed.
	probe State
	// leaving is true once the server has announced that it leaves.
	leaving bool
	// replaced is true once another incarnation is announced in the server's place, which started at born by its own clock.
	replaced bool
	born     time.Time
}

// judge returns the state of the server, and whether that is final. A server that was replaced ended under the call if it
// had been silent, or if its successor had started by the time the call ended: then the connection attempt may have reached
// the successor. Otherwise it was alive after the call.
func judge(o observation, now time.Time) (state State, final bool) {
	switch {
	case o.probe == Ended, o.replaced && o.probe == Silent, o.replaced && !startedAfter(o.born, o.endedAt):
		return Ended, true
	case o.replaced:
		return Reachable, true
	case o.leaving:
		return Leaving, true
	}
	return o.probe, now.Sub(o.endedAt) > returnWindow
}

// startedAfter reports whether a server that started at born, by its own clock, certainly did so after t, by this VM's.
func startedAfter(born, t time.Time) bool {
	return born.UnixMilli() > t.Add(clockTolerance).UnixMilli()
}
