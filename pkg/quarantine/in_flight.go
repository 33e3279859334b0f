package quarantine

import (
	"context"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Limits on the crash reports.
const (
	// maxReportsKept bounds the crash reports kept for requests that detect the same crash later.
	maxReportsKept = 256
	// maxReportFingerprints bounds the fingerprints in one report.
	maxReportFingerprints = 1024
)

// serverKey identifies one incarnation of a server.
type serverKey struct {
	server      string
	incarnation string
}

func serverKeyOf(t engine.Target) serverKey {
	return serverKey{t.Server, t.Incarnation}
}

// runningRequest is one request in flight on a server.
type runningRequest struct {
	id          uint64
	fingerprint uint64
	alone       bool
	// parts are the parts of the request's prompt that others may share, and began is when it was sent; neither is tracked by
	// a Quarantine.
	parts []uint64
	began time.Duration
	// known is what was known of the request's crashes when it started; nil when this isn't tracked. localCrashes is how
	// many crashes of it were known then that were not in the replicated log yet.
	known        *daisyhatchv1.CrashRun
	localCrashes uint32
}

// crashReport is the report of one server's crash.
type crashReport struct {
	key     serverKey
	command *daisyhatchv1.CrashCommand
	// localCrashes holds runningRequest.localCrashes for each fingerprint in command.
	localCrashes []uint32
	// done is closed when the report was committed, or has failed with err.
	done chan struct{}
	err  error
}

// wait returns true once the report is done, and false when ctx ends first.
func (c *crashReport) wait(ctx context.Context) bool {
	select {
	case <-c.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// inFlight holds the requests in flight by server, and the latest crash reports.
type inFlight struct {
	byServer map[serverKey][]runningRequest
	reports  []*crashReport
	lastID   uint64
}

func newInFlight() inFlight { return inFlight{byServer: make(map[serverKey][]runningRequest)} }

func (s *inFlight) begin(k serverKey, f runningRequest) uint64 {
	s.lastID++
	f.id = s.lastID
	s.byServer[k] = append(s.byServer[k], f)
	return f.id
}

func (s *inFlight) end(k serverKey, id uint64) {
	left := slices.DeleteFunc(s.byServer[k], func(f runningRequest) bool { return f.id == id })
	if len(left) == 0 {
		delete(s.byServer, k)
		return
	}
	s.byServer[k] = left
}

// reportFor returns the report that covers a request on a crashed server. first is true when the report is new and the
// caller has to send it.
func (s *inFlight) reportFor(k serverKey, f runningRequest) (c *crashReport, first bool) {
	for _, c := range s.reports {
		if c.key == k && slices.Contains(c.command.GetFingerprints(), f.fingerprint) {
			return c, false
		}
	}
	c = &crashReport{key: k, done: make(chan struct{})}
	c.command = s.newCommand(c, f)
	s.reports = append(s.reports, c)
	if len(s.reports) > maxReportsKept {
		s.reports = s.reports[1:]
	}
	return c, true
}

// newCommand returns the command that reports a request and all others in flight on the server. Alone is set only if
// nothing else was in flight there and the request ran alone.
func (s *inFlight) newCommand(report *crashReport, first runningRequest) *daisyhatchv1.CrashCommand {
	requests := s.byServer[report.key]
	c := &daisyhatchv1.CrashCommand{Server: report.key.server, ServerIncarnation: report.key.incarnation, Alone: len(requests) > 0}
	report.add(c, first)
	for _, f := range requests {
		c.Alone = c.Alone && f.alone && f.fingerprint == first.fingerprint
		report.add(c, f)
	}
	return c
}

// add adds a request to a report, unless it is there already or the report is full.
func (c *crashReport) add(command *daisyhatchv1.CrashCommand, f runningRequest) {
	if len(command.Fingerprints) >= maxReportFingerprints || slices.Contains(command.Fingerprints, f.fingerprint) {
		return
	}
	command.Fingerprints = append(command.Fingerprints, f.fingerprint)
	c.localCrashes = append(c.localCrashes, f.localCrashes)
	if f.known != nil {
		command.Runs = append(command.Runs, f.known)
	}
}

// removeReport drops a report that failed, so that the next request that detects the crash reports it again.
func (s *inFlight) removeReport(c *crashReport) {
	s.reports = slices.DeleteFunc(s.reports, func(o *crashReport) bool { return o == c })
}
