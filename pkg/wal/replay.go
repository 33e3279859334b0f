package wal

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, segmentSuffix) }

// numbered returns the hexadecimal numbers of the files with the given suffix, in order.
func numbered(names []string, suffix string) []uint64 {
	var out []uint64
	for _, n := range names {
		digits, ok := strings.CutSuffix(n, suffix)
		if !ok {
			continue
		}
		if v, err := strconv.ParseUint(digits, 16, 64); err == nil {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// replay rebuilds the log from its records.
type replay struct {
	hard    *daisyhatchv1.HardState
	entries []*daisyhatchv1.LogEntry
	file    string
}

func (w *WAL) replaySegments(names []string) (*replay, error) {
	r := &replay{hard: &daisyhatchv1.HardState{}}
	seqs := numbered(names, segmentSuffix)
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return nil, &CorruptError{File: w.path(segmentName(seq)), Reason: "the segment before it is missing"}
		}
		if err := w.replaySegment(r, seq, i == len(seqs)-1); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (w *WAL) replaySegment(r *replay, seq uint64, last bool) error {
	name := w.path(segmentName(seq))
	b, err := w.opts.FS.ReadFile(name)
	if err != nil {
		return fmt.Errorf("wal: read %s: %w", name, err)
	}
	r.file = name
	if err := checkHeader(name, b, magicLog); err != nil {
		if last && errors.Is(err, ErrCorrupt) && !hasFrame(b) {
			return w.dropSegment(name)
		}
		return err
	}
	seg := segment{seq: seq}
	off := headerBytes
	for off < len(b) {
		payload, size, ok := readFrame(b[off:])
		if !ok {
			break
		}
		if err := r.record(payload, int64(off), &seg); err != nil {
			return err
		}
		off += size
	}
	if off < len(b) {
		if !last || hasFrame(b[off:]) {
			return &CorruptError{File: name, Offset: int64(off), Reason: "a frame fails its checksum and more follow"}
		}
		if off == headerBytes {
			return w.dropSegment(name)
		}
		if err := w.dropTail(name, int64(off), int64(len(b))); err != nil {
			return err
		}
	}
	if off == headerBytes {
		return w.dropSegment(name)
	}
	w.segments = append(w.segments, seg)
	w.size = int64(off)
	return nil
}

// dropSegment removes a segment whose beginning a crash cut short. Nothing in it was ever synced.
func (w *WAL) dropSegment(name string) error {
	w.opts.Log.Info("dropped a log segment that was never begun in full", "file", name)
	if err := w.opts.FS.Remove(name); err != nil {
		return w.fail("remove segment", err)
	}
	if err := w.opts.FS.SyncDir(w.opts.Dir); err != nil {
		return w.fail("sync data folder", err)
	}
	return nil
}

// dropTail cuts off the last frame, which a crash cut short before it was synced.
func (w *WAL) dropTail(name string, keep, size int64) error {
	w.opts.Log.Info("dropped an unfinished write at the end of the log", "file", name, "offset", keep, "bytes", size-keep)
	if err := w.opts.FS.Truncate(name, keep); err != nil {
		return w.fail("truncate", err)
	}
	return nil
}

// record takes up one record at offset off.
func (r *replay) record(payload []byte, off int64, seg *segment) error {
	rec := &daisyhatchv1.LogRecord{}
	if err := proto.Unmarshal(payload, rec); err != nil {
		return &CorruptError{File: r.file, Offset: off, Reason: err.Error()}
	}
	if rec.GetHardState() != nil {
		r.hard = rec.GetHardState()
	}
	if rec.GetReset_() {
		r.entries = nil
	}
	for _, e := range rec.GetEntries() {
		if err := r.entry(e, off); err != nil {
			return err
		}
		seg.maxIndex = max(seg.maxIndex, e.GetIndex())
	}
	return nil
}

func (r *replay) entry(e *daisyhatchv1.LogEntry, off int64) error {
	if len(r.entries) > 0 {
		first := r.entries[0].GetIndex()
		next := first + uint64(len(r.entries))
		switch {
		case e.GetIndex() > next:
			return &CorruptError{File: r.file, Offset: off, Reason: fmt.Sprintf("entry %d follows %d", e.GetIndex(), next-1)}
		case e.GetIndex() <= first:
			r.entries = nil
		default:
			r.entries = r.entries[:e.GetIndex()-first]
		}
	}
	r.entries = append(r.entries, e)
	return nil
}

// followSnapshot cuts the entries down to those behind the snapshot. It reports whether the log on disk must
// be restarted: a snapshot from the leader was synced, and a crash came before the log was restarted behind it.
func (r *replay) followSnapshot(snap *daisyhatchv1.SnapshotMeta) (bool, error) {
	if len(r.entries) == 0 {
		return false, nil
	}
	first, index := r.entries[0].GetIndex(), snap.GetIndex()
	last := first + uint64(len(r.entries)) - 1
	switch {
	case first == index+1:
		return false, nil
	case first > index+1:
		reason := fmt.Sprintf("the log begins at entry %d, the snapshot ends at %d", first, index)
		return false, &CorruptError{File: r.file, Reason: reason}
	case last < index || r.entries[index-first].GetTerm() != snap.GetTerm():
		r.entries = nil
		return true, nil
	}
	r.entries = slices.Clone(r.entries[index-first+1:])
	return false, nil
}
