// Package holdoff keeps what backend servers say of themselves in their answers: that they leave, and for how long they
// want no calls from this VM. It is pure: the time comes in as an argument.
package holdoff

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxWait bounds what a server may ask for.
	maxWait = time.Hour
	// keptUnknown is how long the word of a server is kept that is not known any more: longer than late announcements of
	// it are under way.
	keptUnknown = 90 * time.Second
)

// Notice is what an answer says of its server.
type Notice struct {
	// Leaving is true when the server is about to end.
	Leaving bool
	// Wait is for how long the server wants no calls; 0 when it does not say.
	Wait time.Duration
}

// Parse reads the notice of an answer: leaving names the header that says that the server leaves, and one that turned the
// call away with 503 may tell a time in seconds in Retry-After. What can't be read says nothing.
func Parse(status int, h http.Header, leaving string) Notice {
	n := Notice{Leaving: h.Get(leaving) == "1"}
	if status == http.StatusServiceUnavailable {
		n.Wait = RetryAfter(h)
	}
	return n
}

// RetryAfter reads the seconds of a Retry-After header, fractions included; 0 when there is none, or what it holds is no
// number of seconds.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// Empty reports whether the answer says nothing.
func (n Notice) Empty() bool { return !n.Leaving && n.Wait <= 0 }

// Book holds the words of all servers. It isn't safe for concurrent use.
type Book struct{ servers map[string]word }

// word is what one incarnation of a server said.
type word struct {
	incarnation string
	leaving     bool
	until, at   time.Time
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{servers: make(map[string]word)} }

// Note takes an answer's notice over. A server that leaves does so for good, and a wait is not shortened by a later one. It
// reports whether the notice changed anything.
func (b *Book) Note(server, incarnation string, n Notice, now time.Time) bool {
	if n.Empty() {
		return false
	}
	w, known := b.servers[server]
	if !known || w.incarnation != incarnation {
		w = word{incarnation: incarnation}
	}
	before := w
	w.at = now
	w.leaving = w.leaving || n.Leaving
	if until := now.Add(min(n.Wait, maxWait)); n.Wait > 0 && until.After(w.until) {
		w.until = until
	}
	b.servers[server] = w
	return w.leaving != before.leaving || w.until != before.until
}

// Open reports whether an incarnation of a server takes calls, as far as its answers say.
func (b *Book) Open(server, incarnation string, now time.Time) bool {
	w, known := b.servers[server]
	return !known || w.incarnation != incarnation || !w.leaving && !now.Before(w.until)
}

// Back returns when an incarnation that wants no calls takes them again; false for one that is open, and for one that leaves.
func (b *Book) Back(server, incarnation string, now time.Time) (time.Time, bool) {
	w := b.servers[server]
	return w.until, !b.Open(server, incarnation, now) && !w.leaving
}

// Retain drops the words of servers that are not known any more.
func (b *Book) Retain(known func(server string) bool, now time.Time) {
	for id, w := range b.servers {
		if !known(id) && now.Sub(w.at) > keptUnknown && now.After(w.until) {
			delete(b.servers, id)
		}
	}
}
