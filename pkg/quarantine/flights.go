package quarantine

import (
	"context"
	"slices"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Bounds of what is kept of crashes.
const (
	// keptCrashes bounds the crash reports kept for requests that find out late.
	keptCrashes = 256
	// maxNamed bounds the requests that one report names.
	maxNamed = 1024
)

// serverKey names one incarnation of a server.
type serverKey struct {
	server      string
	incarnation string
}

func keyOf(t engine.Target) serverKey {
	return serverKey{t.Server, t.Incarnation}
}

// flight is one request in flight on a server.
type flight struct {
	id          uint64
	fingerprint uint64
	alone       bool
	// run is what was known of the request when it began; nil when that is not noted. own is the same of the crashes that
	// were not in the log yet.
	run *daisyhatchv1.CrashRun
	own uint32
}

// crash is the report of one server's crash.
type crash struct {
	key     serverKey
	command *daisyhatchv1.CrashCommand
	// own is what flight.own says of each fingerprint.
	own []uint32
	// done is closed when the report was committed, or failed with err.
	done chan struct{}
	err  error
}

// wait returns true when the report is done, and false when ctx ended before.
func (c *crash) wait(ctx context.Context) bool {
	select {
	case <-c.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// inFlight holds the requests in flight by server, and recent crashes.
type inFlight struct {
	on      map[serverKey][]flight
	crashes []*crash
	next    uint64
}

func newInFlight() inFlight { return inFlight{on: make(map[serverKey][]flight)} }

func (s *inFlight) begin(k serverKey, f flight) uint64 {
	s.next++
	f.id = s.next
	s.on[k] = append(s.on[k], f)
	return f.id
}

func (s *inFlight) end(k serverKey, id uint64) {
	left := slices.DeleteFunc(s.on[k], func(f flight) bool { return f.id == id })
	if len(left) == 0 {
		delete(s.on, k)
		return
	}
	s.on[k] = left
}

// crashed returns the report that covers a request on a crashed server. first is true when the caller has to send it.
func (s *inFlight) crashed(k serverKey, f flight) (c *crash, first bool) {
	for _, c := range s.crashes {
		if c.key == k && slices.Contains(c.command.GetFingerprints(), f.fingerprint) {
			return c, false
		}
	}
	c = &crash{key: k, done: make(chan struct{})}
	c.command = s.command(c, f)
	s.crashes = append(s.crashes, c)
	if len(s.crashes) > keptCrashes {
		s.crashes = s.crashes[1:]
	}
	return c, true
}

// command lists a request and all others in flight on the server. One that ran alone is marked so only if nothing else was
// there.
func (s *inFlight) command(of *crash, first flight) *daisyhatchv1.CrashCommand {
	flights := s.on[of.key]
	c := &daisyhatchv1.CrashCommand{Server: of.key.server, ServerIncarnation: of.key.incarnation, Alone: len(flights) > 0}
	of.name(c, first)
	for _, f := range flights {
		c.Alone = c.Alone && f.alone && f.fingerprint == first.fingerprint
		of.name(c, f)
	}
	return c
}

// name adds a request to a report.
func (c *crash) name(report *daisyhatchv1.CrashCommand, f flight) {
	if len(report.Fingerprints) >= maxNamed || slices.Contains(report.Fingerprints, f.fingerprint) {
		return
	}
	report.Fingerprints = append(report.Fingerprints, f.fingerprint)
	c.own = append(c.own, f.own)
	if f.run != nil {
		report.Runs = append(report.Runs, f.run)
	}
}

// forget drops a report that failed, so that the next request tries again.
func (s *inFlight) forget(c *crash) {
	s.crashes = slices.DeleteFunc(s.crashes, func(o *crash) bool { return o == c })
}
