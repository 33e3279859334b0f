// Package departure records which backend servers drain or have left, so that an acknowledged departure outlives the processes
// that know of it. It is pure and deterministic: part of the replicated state machine.
package departure

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ErrCommand means that a command is malformed; nothing was changed.
var ErrCommand = errors.New("departure: malformed command")

const (
	// Retention is how long a departure is kept.
	Retention = 90 * time.Second
	// maxRecords bounds the table. Beyond it the oldest record is dropped.
	maxRecords = 16384
	// maxID is the longest id of a server in bytes.
	maxID = 256
)

// Table holds the departures by the id of the server. It isn't safe for concurrent use.
type Table struct {
	records map[string]*daisyhatchv1.Departure
	// queue holds the records by number, and those that were replaced until they come to its front.
	queue  []*daisyhatchv1.Departure
	number uint64
}

// New returns an empty Table.
func New() *Table { return &Table{records: make(map[string]*daisyhatchv1.Departure)} }

// Apply records a departure at the replicated time nowMs, in Unix milliseconds, and drops those older than Retention. A state that
// is recorded already, or was overtaken by a later one of the server, changes nothing.
func (t *Table) Apply(c *daisyhatchv1.DepartureCommand, nowMs int64) (*daisyhatchv1.DepartureResult, error) {
	s := c.GetServer()
	if s.GetId() == "" || len(s.GetId()) > maxID {
		return nil, fmt.Errorf("%w: server %.32q", ErrCommand, s.GetId())
	}
	if st := s.GetState(); st != daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_DRAINING && st != daisyhatchv1.AnnouncedState_ANNOUNCED_STATE_GONE {
		return nil, fmt.Errorf("%w: state %v of server %.32q", ErrCommand, st, s.GetId())
	}
	t.dropFront(func(d *daisyhatchv1.Departure) bool { return nowMs-d.GetRecordedUnixMs() > Retention.Milliseconds() })
	if covers(t.records[s.GetId()].GetServer(), s) {
		return &daisyhatchv1.DepartureResult{Known: true}, nil
	}
	t.add(&daisyhatchv1.Departure{Server: proto.CloneOf(s), RecordedUnixMs: nowMs, Number: t.number + 1})
	t.dropFront(func(*daisyhatchv1.Departure) bool { return len(t.records) > maxRecords })
	return &daisyhatchv1.DepartureResult{}, nil
}

func (t *Table) add(d *daisyhatchv1.Departure) {
	t.number = d.GetNumber()
	t.records[d.GetServer().GetId()] = d
	t.queue = append(t.queue, d)
}

// dropFront drops records from the front of the queue, and with them those that were replaced, until expired is false for one.
func (t *Table) dropFront(expired func(d *daisyhatchv1.Departure) bool) {
	for len(t.queue) > 0 {
		d := t.queue[0]
		if t.isLatest(d) {
			if !expired(d) {
				return
			}
			delete(t.records, d.GetServer().GetId())
		}
		t.queue = t.queue[1:]
	}
}

// isLatest reports whether a record was not replaced by a later one of its server.
func (t *Table) isLatest(d *daisyhatchv1.Departure) bool {
	return t.records[d.GetServer().GetId()] == d
}

// covers reports whether a recorded state says as much as another one of the same server. An incarnation of 0 is unknown, and may be
// any.
func covers(recorded, s *daisyhatchv1.AnnouncedServer) bool {
	switch {
	case recorded == nil:
		return false
	case recorded.GetBornUnixMs() == s.GetBornUnixMs():
		return recorded.GetState() >= s.GetState()
	}
	return s.GetBornUnixMs() != 0 && recorded.GetBornUnixMs() > s.GetBornUnixMs()
}

// Known reports whether this or a later state of a server is recorded.
func (t *Table) Known(s *daisyhatchv1.AnnouncedServer) bool {
	return covers(t.records[s.GetId()].GetServer(), s)
}

// Number returns the number of the latest record; 0 while there was none.
func (t *Table) Number() uint64 { return t.number }

// Since returns the records with a higher number, by number. They must not be changed.
func (t *Table) Since(number uint64) []*daisyhatchv1.Departure {
	var out []*daisyhatchv1.Departure
	for _, d := range t.queue {
		if d.GetNumber() > number && t.isLatest(d) {
			out = append(out, d)
		}
	}
	return out
}

// Restore returns the Table of a snapshot, which is the result of Since(0).
func Restore(records []*daisyhatchv1.Departure) *Table {
	t := New()
	for _, d := range records {
		t.add(d)
	}
	return t
}
