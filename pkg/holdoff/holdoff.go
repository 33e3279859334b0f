// Package holdoff records what backend servers say in their responses about taking further calls: that they are shutting
// down, or for how long they want no calls from this VM. The package does no I/O and reads no clock: callers pass the
// time.
package holdoff

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxWait is the longest wait that a server may ask for.
	maxWait = time.Hour
	// unknownRetention is how long the record of a server is kept after the server is no longer known: longer than a
	// delayed announcement may take to arrive, so that the announcement doesn't make a leaving server available again.
	unknownRetention = 90 * time.Second
)

// Notice is what a response says about the server's availability.
type Notice struct {
	// Leaving is true when the server is shutting down.
	Leaving bool
	// Wait is how long the server wants no calls; 0 when it doesn't say.
	Wait time.Duration
}

// Parse returns the notice in the status and header of a response. leaving is the name of the header whose value 1 means
// that the server is shutting down. Retry-After, in seconds, counts only with status 503. Values that can't be parsed are
// ignored.
func Parse(status int, h http.Header, leaving string) Notice {
	n := Notice{Leaving: h.Get(leaving) == "1"}
	if status == http.StatusServiceUnavailable {
		n.Wait = RetryAfter(h)
	}
	return n
}

// RetryAfter returns the duration in a Retry-After header, given in seconds with or without a fraction, up to an hour. It
// returns 0 when the header is missing or isn't a positive number of seconds.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// Empty reports whether the notice says nothing.
func (n Notice) Empty() bool { return !n.Leaving && n.Wait <= 0 }

// Tracker holds the latest record of each server, by id. It isn't safe for concurrent use.
type Tracker struct{ records map[string]record }

// record is what one incarnation of a server has said.
type record struct {
	incarnation          string
	leaving              bool
	waitUntil, updatedAt time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{records: make(map[string]record)} }

// Record records the notice of a response and reports whether it changed anything. An incarnation that has said that it is
// leaving stays so, and a later notice doesn't shorten a wait. A wait is cut off at an hour.
func (t *Tracker) Record(server, incarnation string, n Notice, now time.Time) bool {
	if n.Empty() {
		return false
	}
	rec, known := t.records[server]
	if !known || rec.incarnation != incarnation {
		rec = record{incarnation: incarnation}
	}
	before := rec
	rec.updatedAt = now
	rec.leaving = rec.leaving || n.Leaving
	if waitUntil := now.Add(min(n.Wait, maxWait)); n.Wait > 0 && waitUntil.After(rec.waitUntil) {
		rec.waitUntil = waitUntil
	}
	t.records[server] = rec
	return rec.leaving != before.leaving || rec.waitUntil != before.waitUntil
}

// Available reports whether an incarnation of a server takes calls, as far as its responses say.
func (t *Tracker) Available(server, incarnation string, now time.Time) bool {
	rec, known := t.records[server]
	return !known || rec.incarnation != incarnation || !rec.leaving && !now.Before(rec.waitUntil)
}

// AvailableAt returns when an incarnation that wants no calls takes them again. It returns false for one that takes calls now
// and for one that is leaving.
func (t *Tracker) AvailableAt(server, incarnation string, now time.Time) (time.Time, bool) {
	rec := t.records[server]
	return rec.waitUntil, !t.Available(server, incarnation, now) && !rec.leaving
}

// Retain drops the records of servers for which known returns false, once their wait is over and unknownRetention has
// passed since the last notice.
func (t *Tracker) Retain(known func(server string) bool, now time.Time) {
	for id, rec := range t.records {
		if !known(id) && now.Sub(rec.updatedAt) > unknownRetention && now.After(rec.waitUntil) {
			delete(t.records, id)
		}
	}
}
