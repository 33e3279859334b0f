// Package origin remembers which software version of a service began a stream, and decides where a stream goes on that a
// caller takes up again: what two versions write doesn't fit together. It does no I/O and reads no clock.
package origin

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxTakeUp is how long after its first event a stream may be taken up again. It is longer than callers wait.
	MaxTakeUp = 30 * time.Second
	// maxStreams bounds the streams remembered within MaxTakeUp; beyond it, the older half is dropped.
	maxStreams = 131_072
)

// Origin is what began a stream.
type Origin struct {
	Service string
	// Version is the version of the server's software; empty when servers name none.
	Version string
}

// StreamID returns the number by which a stream is remembered: that of the caller's attempt that brought its first event.
func StreamID(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// Table holds the origins of streams for MaxTakeUp at least, and for twice that at most. It isn't safe for concurrent use.
type Table struct {
	recent, older map[uint64]Origin
	rotatedAt     time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{recent: make(map[uint64]Origin), older: make(map[uint64]Origin)}
}

// Record remembers the origin of a stream.
func (t *Table) Record(stream uint64, o Origin, now time.Time) {
	t.rotate(now)
	t.recent[stream] = o
}

// Find returns the origin of a stream; false when it isn't known.
func (t *Table) Find(stream uint64, now time.Time) (Origin, bool) {
	t.rotate(now)
	if o, ok := t.recent[stream]; ok {
		return o, true
	}
	o, ok := t.older[stream]
	return o, ok
}

// Len returns the number of streams remembered.
func (t *Table) Len() int { return len(t.recent) + len(t.older) }

// rotate drops the older streams once those of the last MaxTakeUp are in recent alone, or the table is full.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotatedAt) < MaxTakeUp && len(t.recent) < maxStreams/2 {
		return
	}
	if now.Sub(t.rotatedAt) >= 2*MaxTakeUp {
		t.recent = make(map[uint64]Origin)
	}
	t.recent, t.older = make(map[uint64]Origin), t.recent
	t.rotatedAt = now
}

// Answer is what one VM knows of a stream.
type Answer struct {
	// Origin is the stream's origin if Known is true.
	Origin Origin
	Known  bool
	// Versions are the versions of the service's servers that the VM knows to have been in service within MaxTakeUp.
	Versions []string
	// Complete is true if the VM has followed the service's servers for all of that time.
	Complete bool
}

// Errors of this package.
var (
	// ErrUnconfirmed means that this VM can't find out where a stream began, while another one may.
	ErrUnconfirmed = errors.New("origin: no control VM tells which software version began the stream")
	// ErrUnknown means that a stream may have begun at more than one version, or that nobody has known the service for
	// MaxTakeUp.
	ErrUnknown = errors.New("origin: it isn't known which software version began the stream")
)

// Decide returns where a stream of a service goes on, from the answers of several VMs: at its origin if one of them knows it,
// and else at the only version, if no VM knows of another one and one VM would. Otherwise it returns ErrUnknown.
func Decide(service string, answers []Answer) (Origin, error) {
	versions, complete := []string(nil), false
	for _, a := range answers {
		if a.Known {
			return a.Origin, nil
		}
		complete = complete || a.Complete
		for _, v := range a.Versions {
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
	}
	if !complete || len(versions) != 1 {
		return Origin{}, ErrUnknown
	}
	return Origin{Service: service, Version: versions[0]}, nil
}
