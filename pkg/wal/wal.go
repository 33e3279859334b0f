// Package wal keeps a consensus node's log, hard state and snapshots in files under one data folder.
//
// The log is a row of segment files. Each Save is one checksummed frame, written and synced as a whole. On
// opening, a frame at the very end that a crash cut short is dropped; any other damage is refused.
package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	// DefaultSegmentBytes is the size at which a new segment is begun.
	DefaultSegmentBytes = 4 << 20
	// MaxEntryBytes is the largest entry that is taken.
	MaxEntryBytes = 16 << 20
	// recordBytes is how many bytes of entries go into one record, unless a single one is larger.
	recordBytes = 4 << 20
)

// Names in the data folder.
const (
	lockName       = "lock"
	identityName   = "identity"
	foundingName   = "founding"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

// Options tell how to open a log.
type Options struct {
	// FS defaults to OS.
	FS FS
	// Dir is the data folder.
	Dir string
	// SegmentBytes defaults to DefaultSegmentBytes.
	SegmentBytes int64
	Log          logr.Logger
}

// Snapshot is a state of the state machine with its place in the log.
type Snapshot struct {
	Meta *daisyhatchv1.SnapshotMeta
	Data []byte
}

// Batch is one write.
type Batch struct {
	// Snapshot replaces the whole log when set.
	Snapshot  *Snapshot
	HardState *daisyhatchv1.HardState
	// Entries replace those written before from the first one's index on.
	Entries []*daisyhatchv1.LogEntry
}

// State is what a data folder holds.
type State struct {
	HardState *daisyhatchv1.HardState
	// Snapshot is the newest one; nil when there is none.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*daisyhatchv1.LogEntry
}

type segment struct {
	seq uint64
	// maxIndex is the highest entry index that the segment holds.
	maxIndex uint64
}

// WAL is an open log. It is not safe for concurrent use.
type WAL struct {
	opts     Options
	lock     io.Closer
	file     File
	size     int64
	segments []segment
	hard     *daisyhatchv1.HardState
	snap     *daisyhatchv1.SnapshotMeta
	err      error
	buf      []byte
}

// Open locks the data folder, which it makes when missing, and returns what it holds. Errors: ErrLocked,
// ErrCorrupt, ErrVersion, ErrWrite.
func Open(o Options) (*WAL, State, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := o.FS.MkdirAll(o.Dir); err != nil {
		return nil, State{}, fmt.Errorf("%w: make data folder: %w", ErrWrite, err)
	}
	lock, err := o.FS.Lock(filepath.Join(o.Dir, lockName))
	if err != nil {
		return nil, State{}, fmt.Errorf("wal: lock: %w", err)
	}
	w := &WAL{opts: o, lock: lock}
	s, err := w.load()
	if err != nil {
		return nil, State{}, errors.Join(err, w.Close())
	}
	return w, s, nil
}

func (w *WAL) load() (State, error) {
	names, err := w.opts.FS.List(w.opts.Dir)
	if err != nil {
		return State{}, fmt.Errorf("wal: list data folder: %w", err)
	}
	for _, n := range names {
		if strings.HasSuffix(n, tempSuffix) {
			if err := w.opts.FS.Remove(w.path(n)); err != nil {
				return State{}, fmt.Errorf("%w: remove %s: %w", ErrWrite, n, err)
			}
		}
	}
	s := State{HardState: &daisyhatchv1.HardState{}}
	if s.Snapshot, err = w.loadSnapshot(names); err != nil {
		return State{}, err
	}
	w.snap = s.Snapshot.meta()
	r, err := w.replaySegments(names)
	if err != nil {
		return State{}, err
	}
	w.hard = r.hard
	s.HardState = r.hard
	reset, err := r.followSnapshot(s.Snapshot.meta())
	if err != nil {
		return State{}, err
	}
	s.Entries = r.entries
	if err := w.startWriting(reset); err != nil {
		return State{}, err
	}
	return s, nil
}

func (s *Snapshot) meta() *daisyhatchv1.SnapshotMeta {
	if s == nil {
		return nil
	}
	return s.Meta
}

func (w *WAL) path(name string) string { return filepath.Join(w.opts.Dir, name) }

// startWriting opens the newest segment, or the first, for writing.
func (w *WAL) startWriting(reset bool) error {
	if len(w.segments) == 0 {
		if err := w.roll(1); err != nil {
			return err
		}
	} else {
		f, err := w.opts.FS.OpenAppend(w.path(segmentName(w.current().seq)))
		if err != nil {
			return w.fail("open segment", err)
		}
		w.file = f
	}
	if !reset {
		return nil
	}
	return w.writeRecord(&daisyhatchv1.LogRecord{HardState: w.hard, Reset_: true, ResetIndex: w.snap.GetIndex()})
}

func (w *WAL) current() *segment { return &w.segments[len(w.segments)-1] }

// Save writes a batch and returns once it is synced. After an error the batch counts as not written, and every
// later call fails. Errors: ErrWrite.
func (w *WAL) Save(b Batch) error {
	if w.err != nil {
		return w.err
	}
	r := &daisyhatchv1.LogRecord{HardState: b.HardState, Entries: b.Entries}
	if b.Snapshot != nil {
		if err := w.writeSnapshot(b.Snapshot); err != nil {
			return err
		}
		r.Reset_, r.ResetIndex = true, b.Snapshot.Meta.GetIndex()
	}
	if w.size >= w.opts.SegmentBytes {
		if err := w.roll(w.current().seq + 1); err != nil {
			return err
		}
	}
	if err := w.writeRecords(r); err != nil {
		return err
	}
	if b.HardState != nil {
		w.hard = b.HardState
	}
	if b.Snapshot != nil {
		return w.dropOldSnapshots()
	}
	return nil
}

// writeRecords writes a record in parts that each fit well into a frame. Each part is synced before the next
// is written, so that at most one frame can be unfinished after a crash.
func (w *WAL) writeRecords(r *daisyhatchv1.LogRecord) error {
	rest := r.GetEntries()
	for {
		n, size := 0, 0
		for n < len(rest) && (n == 0 || size+proto.Size(rest[n]) <= recordBytes) {
			size += proto.Size(rest[n])
			n++
		}
		r.Entries, rest = rest[:n], rest[n:]
		if err := w.writeRecord(r); err != nil || len(rest) == 0 {
			return err
		}
		r = &daisyhatchv1.LogRecord{}
	}
}

func (w *WAL) writeRecord(r *daisyhatchv1.LogRecord) error {
	payload, err := proto.Marshal(r)
	if err != nil {
		return w.fail("encode", err)
	}
	w.buf = appendFrame(w.buf[:0], payload)
	if _, err := w.file.Write(w.buf); err != nil {
		return w.fail("write", err)
	}
	if err := w.file.Sync(); err != nil {
		return w.fail("sync", err)
	}
	w.size += int64(len(w.buf))
	if n := len(r.GetEntries()); n > 0 {
		w.current().maxIndex = max(w.current().maxIndex, r.GetEntries()[n-1].GetIndex())
	}
	return nil
}

// roll begins a new segment. It starts with the hard state, so that older segments can go.
func (w *WAL) roll(seq uint64) error {
	name := w.path(segmentName(seq))
	f, err := w.opts.FS.Create(name)
	if err != nil {
		return w.fail("create segment", err)
	}
	hard := w.hard
	if hard == nil {
		hard = &daisyhatchv1.HardState{}
	}
	payload, err := proto.Marshal(&daisyhatchv1.LogRecord{HardState: hard})
	if err != nil {
		return w.fail("encode", errors.Join(err, f.Close()))
	}
	b := appendFrame(appendHeader(nil, magicLog), payload)
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = w.opts.FS.SyncDir(w.opts.Dir)
	}
	if err != nil {
		return w.fail("begin segment", errors.Join(err, f.Close()))
	}
	if w.file != nil {
		if err := w.file.Close(); err != nil {
			return w.fail("close segment", errors.Join(err, f.Close()))
		}
	}
	w.file = f
	w.size = int64(len(b))
	w.segments = append(w.segments, segment{seq: seq})
	return nil
}

// Compact removes the segments that hold nothing after index upTo, which a synced snapshot covers.
func (w *WAL) Compact(upTo uint64) error {
	if w.err != nil {
		return w.err
	}
	n := 0
	for n < len(w.segments)-1 && w.segments[n].maxIndex <= upTo {
		n++
	}
	for _, s := range w.segments[:n] {
		if err := w.opts.FS.Remove(w.path(segmentName(s.seq))); err != nil {
			return w.fail("remove segment", err)
		}
		// Synced one by one, so that a crash never leaves a hole in the row of segments.
		if err := w.opts.FS.SyncDir(w.opts.Dir); err != nil {
			return w.fail("sync data folder", err)
		}
	}
	w.segments = slices.Delete(w.segments, 0, n)
	return nil
}

// fail makes the log refuse all later writes.
func (w *WAL) fail(step string, err error) error {
	w.err = fmt.Errorf("%w: %s: %w", ErrWrite, step, err)
	return w.err
}

// Close releases the data folder.
func (w *WAL) Close() error {
	var errs []error
	if w.file != nil {
		errs = append(errs, w.file.Close())
		w.file = nil
	}
	if w.err == nil {
		w.err = fmt.Errorf("%w: closed", ErrWrite)
	}
	errs = append(errs, w.lock.Close())
	return errors.Join(errs...)
}

// Probe writes and syncs a record that changes nothing, to learn whether the disk takes writes. Errors: ErrWrite.
func (w *WAL) Probe() error { return w.Save(Batch{HardState: w.hard}) }
