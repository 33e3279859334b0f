// Package serverlimit keeps the request rates to which backend servers in need limit all VMs together. Servers name such a
// limit in their responses for as long as it applies. The package does no I/O and reads no clock: callers pass the time.
package serverlimit

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

const (
	// window is the time over which a limit is averaged.
	window = 4 * time.Second
	// minUnits is the number of requests that a limit allows at least; low limits are averaged over a longer window for
	// that, up to MaxWindow. Several VMs then hold a share, so that one that fails doesn't cut off the server.
	minUnits = 4
	// MaxWindow is the longest time over which a limit is averaged.
	MaxWindow = 20 * time.Second
	// minRate and maxRate bound a limit in requests per second. A server that wants none still gets one request per
	// MaxWindow, since only its response can say that the limit has ended.
	minRate = 1 / float64(MaxWindow/time.Second)
	maxRate = 1e6
	// retention is how long a limit applies after the latest response that is known to name it.
	retention = time.Minute
	// ConfirmInterval is how often the other VMs are told of a limit that goes on: several times within retention.
	ConfirmInterval = 20 * time.Second
	// endMargin is how much later than the latest response with the limit a request must have been sent for its response
	// to end the limit: responses overtake each other, and reports of other VMs arrive with a delay.
	endMargin = 500 * time.Millisecond
)

// Notice is what a response says about the server's limit.
type Notice struct {
	// Named is true when the response names a limit; Rate is the limit in requests per second, at least 0.
	Named bool
	Rate  float64
	// Malformed is true when there are values and none can be parsed; Value is one of them.
	Malformed bool
	Value     string
}

// Parse returns the notice in the values of a response's limit header. Of several limits the lowest counts. A response
// with only malformed values, among them negative ones, neither names a limit nor ends one.
func Parse(values []string) Notice {
	var n Notice
	for _, v := range values {
		rate, ok := parseRate(v)
		switch {
		case !ok && !n.Named:
			n = Notice{Malformed: true, Value: v}
		case ok && (!n.Named || rate < n.Rate):
			n = Notice{Named: true, Rate: rate}
		}
	}
	return n
}

// parseRate parses a decimal number of requests per second; larger ones than maxRate are cut off.
func parseRate(v string) (float64, bool) {
	v = strings.TrimSpace(v)
	rate, err := strconv.ParseFloat(v, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || strings.ContainsAny(v, "xXiInN") || !(rate >= 0) {
		return 0, false
	}
	return min(rate, maxRate), true
}

// Statement returns what a response with this notice says of the limit of a server's incarnation; false when it says
// nothing. sent is when the request was sent, now is when its response arrived. own is true when the response is certain
// to be the server's own; only such a response ends a limit.
func (n Notice) Statement(server string, born int64, own bool, sent, now time.Time) (Limit, bool) {
	if n.Named {
		return Limit{Server: server, Born: born, Rate: n.Rate, At: now}, true
	}
	return Limit{Server: server, Born: born, Ended: true, At: sent}, own && !n.Malformed
}

// Limit is the latest known statement of one incarnation of a server about its limit.
type Limit struct {
	Server string
	// Born identifies the incarnation; a later one has a greater value.
	Born int64
	// Rate is in requests per second.
	Rate float64
	// Ended is true when a response no longer named a limit.
	Ended bool
	// At is when the response that named the limit arrived or, for an ended limit, when the request was sent whose
	// response did not name it.
	At time.Time
}

// Window returns the time over which the limit is averaged.
func (l Limit) Window() time.Duration {
	rate := max(l.Rate, minRate)
	w := time.Duration(minUnits / rate * float64(time.Second))
	return min(max(w, window), MaxWindow)
}

// Units returns how many requests all VMs together may send within any Window, at least 1.
func (l Limit) Units() int {
	return max(int(max(l.Rate, minRate)*l.Window().Seconds()+roundingError), 1)
}

// roundingError keeps a product that should be a whole number from being rounded down to the one before.
const roundingError = 1e-9

// LogFields returns the keys and values that describe the limit in a log line.
func (l Limit) LogFields(now time.Time) []any {
	return []any{
		"server", l.Server, "incarnation", strconv.FormatInt(l.Born, 10), "rate", l.Rate, "ended", l.Ended,
		"limit_age_ms", now.Sub(l.At).Milliseconds(),
	}
}

// Use is a limit and this VM's share of it.
type Use struct {
	Limit
	// Share is the number of requests that this VM may send within the limit's Window, and Sent the number that it has.
	Share, Sent int
	// Senders is the number of VMs that share the limit.
	Senders int
	// RoomAt is when this VM may send the next request; it has no meaning when Share is 0.
	RoomAt time.Time
}

// HasRoom reports whether this VM may send a request now. A nil Use stands for a server without a limit.
func (u *Use) HasRoom(now time.Time) bool {
	return u == nil || u.Sent < u.Share && !u.RoomAt.After(now)
}

// Exceeded reports whether this VM has sent more than its share.
func (u *Use) Exceeded() bool { return u != nil && u.Sent > u.Share }

// ShareRate returns this VM's share in requests per second.
func (u *Use) ShareRate() float64 { return float64(u.Share) / u.Window().Seconds() }

// RoomBy returns at least how many requests this VM may send until the time by.
func (u *Use) RoomBy(by time.Time) int {
	switch {
	case u.Share <= 0 || u.RoomAt.After(by):
		return 0
	case u.Sent < u.Share:
		return u.Share - u.Sent
	}
	return 1
}

// LogFields returns the keys and values that describe the use in a log line.
func (u Use) LogFields(now time.Time) []any {
	return append(u.Limit.LogFields(now), "window_ms", u.Window().Milliseconds(), "share", u.Share,
		"senders", u.Senders, "sent", u.Sent)
}

// Tracker holds the latest limit of each server, by id. It isn't safe for concurrent use.
type Tracker struct{ limits map[string]Limit }

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{limits: make(map[string]Limit)} }

// Change is the effect of a statement on a Tracker.
type Change int

const (
	// Ignored statements are older than what is known, or end a limit that is not in force.
	Ignored Change = iota
	// Confirmed statements repeat what is known.
	Confirmed
	// Changed statements name a new limit or end one.
	Changed
)

// Record records a statement.
func (t *Tracker) Record(l Limit) Change {
	known, ok := t.limits[l.Server]
	switch {
	case ok && l.Born < known.Born, !ok && l.Ended:
		return Ignored
	case !ok || l.Born > known.Born:
	case l.Ended && known.Ended, !l.At.After(known.At), l.Ended && l.At.Sub(known.At) < endMargin:
		return Ignored
	}
	t.limits[l.Server] = l
	if ok && l.Born == known.Born && !known.Ended && !l.Ended && l.Rate == known.Rate {
		return Confirmed
	}
	return Changed
}

// InForce returns the limit that applies to an incarnation of a server; false when there is none.
func (t *Tracker) InForce(server string, born int64) (Limit, bool) {
	l, ok := t.limits[server]
	return l, ok && !l.Ended && l.Born == born
}

// Latest returns the latest statement about a server; false when there is none.
func (t *Tracker) Latest(server string) (Limit, bool) {
	l, ok := t.limits[server]
	return l, ok
}

// Count returns the number of limits in force.
func (t *Tracker) Count() int {
	n := 0
	for _, l := range t.limits {
		if !l.Ended {
			n++
		}
	}
	return n
}

// Expire drops the statements that are older than retention, and returns them. A VM that hears nothing from the others must
// not call it: the limits may have been confirmed meanwhile.
func (t *Tracker) Expire(now time.Time) []Limit {
	var out []Limit
	for id, l := range t.limits {
		if now.Sub(l.At) >= retention {
			delete(t.limits, id)
			out = append(out, l)
		}
	}
	return out
}
