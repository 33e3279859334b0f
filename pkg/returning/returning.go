// Package returning decides what the caller of a refused request is told: when to return, or that its request can't be served in
// the time that it has left.
//
// Load pattern: a burst of requests beyond what the servers can do, refused within moments. Told the same time, all of them return
// together; told a time that they can't wait for, they return before it, and nearly all are refused once more.
package returning

import "time"

const (
	// honouredShare is the share of its remaining time up to which a caller waits as it is told, as the inverse.
	honouredShare = 3
	// maxSpread is by how much of itself a time to return is lengthened at most, as the inverse, so that callers refused together
	// don't return together.
	maxSpread = 5
)

// TextInVain is added to the reason that the caller of a refused request is told if Told.InVain.
const TextInVain = "; it can't be served in the time left"

// Told is what a refused caller is told.
type Told struct {
	// After is the time after which to return.
	After time.Duration
	// InVain is true if the request can't be served in the time that its caller has left. After then lies beyond that time: it
	// holds for new requests.
	InVain bool
}

// Longest returns how long a caller with some time left waits at most before it returns.
func Longest(left time.Duration) time.Duration { return max(left, 0) / honouredShare }

// Tell returns what to tell a caller for whom there is room after a time, as far as that can be forecast. left is the time that the
// caller has; 0 if that isn't known. random in [0, 1) spreads callers that are refused together.
func Tell(room, left time.Duration, random float64) Told {
	return Room{After: room}.Tell(left, random)
}

// Room is what is known of when there is room for a request.
type Room struct {
	After time.Duration
	// Need is how long the request takes at least once there is room.
	Need time.Duration
	// Least is told at least, as long as the caller waits for that.
	Least time.Duration
	// Guess is true if After isn't forecast: there usually is room then. Nobody is told that a request is in vain by that.
	Guess bool
	// Fixed is true if there is no room before After for certain, which holds for new requests as well: it is told as it is.
	Fixed bool
	// Unpromised is true if the room was promised to nobody: the caller is told a guess if the request still fits then.
	Unpromised bool
}

// Tell is the function Tell for what is known of the room.
func (r Room) Tell(left time.Duration, random float64) Told {
	room := max(r.After, 0)
	if left <= 0 || r.Fixed {
		room = max(room, r.Least)
		return Told{After: room + spread(room/maxSpread, random)}
	}
	most := min(Longest(left), left-r.Need)
	if !r.Guess && room > most {
		room = max(room, left)
		return Told{After: room + spread(room/maxSpread, random), InVain: true}
	}
	if r.Guess || r.Unpromised {
		// Many are told the same, so that there has to be room for the spread.
		most = Longest(left)
		room = min(room, most*maxSpread/(maxSpread+1))
	}
	room = max(room, min(r.Least, most))
	return Told{After: room + spread(min(room/maxSpread, most-room), random)}
}

func spread(most time.Duration, random float64) time.Duration {
	return time.Duration(random * float64(most))
}

// Pacer spreads the returns that it promises over the time in which the servers can do their work. It isn't safe for concurrent use.
// The zero value is ready to use.
type Pacer struct {
	// until is when the work of all promised returns can be done.
	until time.Time
	// rate is the rate at which the servers did work when until was computed.
	rate float64
}

// SetRate tells the rate at which the servers do work now, in any unit: what was promised takes as much longer or shorter.
func (p *Pacer) SetRate(rate float64, now time.Time) {
	if left := p.until.Sub(now); left > 0 && p.rate > 0 && rate > 0 {
		p.until = now.Add(time.Duration(float64(left) * p.rate / rate))
	}
	p.rate = rate
}

// Room returns when there is room for work that takes the servers a time: once they have done what waits, which takes backlog, and
// what was promised to others. It is promised if that is not after most; callers to whom nothing is promised take nobody's room.
func (p *Pacer) Room(backlog, work, most time.Duration, now time.Time) time.Duration {
	at := now.Add(backlog)
	if p.until.After(at) {
		at = p.until
	}
	room := at.Sub(now)
	if room <= most {
		// One request alone never takes all that callers wait for.
		p.until = at.Add(min(work, most))
	}
	return room
}
