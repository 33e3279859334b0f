package wal

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// Describe returns the description of a snapshot with its size and checksum.
func Describe(index, term uint64, m *daisyhatchv1.Membership, data []byte) *daisyhatchv1.SnapshotMeta {
	return &daisyhatchv1.SnapshotMeta{
		Index:      index,
		Term:       term,
		Membership: m,
		SizeBytes:  uint64(len(data)),
		Checksum:   xxhash.Sum64(data),
	}
}

// Verify reports whether data is the one that meta describes.
func Verify(meta *daisyhatchv1.SnapshotMeta, data []byte) bool {
	return meta.GetSizeBytes() == uint64(len(data)) && meta.GetChecksum() == xxhash.Sum64(data)
}

// SaveSnapshot writes a snapshot of the applied state; the log behind it stays. Errors: ErrWrite.
func (w *WAL) SaveSnapshot(s *Snapshot) error {
	if w.err != nil {
		return w.err
	}
	if err := w.StageSnapshot(s); err != nil {
		return w.fail("write snapshot", err)
	}
	return w.AdoptSnapshot(s.Meta)
}

// StageSnapshot writes and syncs a snapshot of the applied state beside the log. It may run while the log is
// written; AdoptSnapshot then puts the snapshot into force. Errors: ErrWrite.
func (w *WAL) StageSnapshot(s *Snapshot) error {
	head, err := snapshotHead(s.Meta)
	if err != nil {
		return err
	}
	return w.stage(snapshotName(s.Meta.GetIndex()), head, s.Data)
}

// AdoptSnapshot puts the staged snapshot that meta describes into force. One that is older than the snapshot in
// force is dropped. Errors: ErrWrite.
func (w *WAL) AdoptSnapshot(meta *daisyhatchv1.SnapshotMeta) error {
	if w.err != nil {
		return w.err
	}
	name := snapshotName(meta.GetIndex())
	if w.snap != nil && meta.GetIndex() <= w.snap.GetIndex() {
		if err := w.opts.FS.Remove(w.path(name + tempSuffix)); err != nil {
			return w.fail("remove "+name, err)
		}
		return nil
	}
	if err := w.unstage(name); err != nil {
		return w.fail("adopt "+name, err)
	}
	w.snap = meta
	return w.dropOldSnapshots()
}

// ReadSnapshot returns the newest snapshot from disk; nil when there is none.
func (w *WAL) ReadSnapshot() (*Snapshot, error) {
	if w.snap == nil {
		return nil, nil
	}
	return w.readSnapshot(w.snap.GetIndex())
}

// snapshotHead returns what stands before the data in a snapshot's file.
func snapshotHead(m *daisyhatchv1.SnapshotMeta) ([]byte, error) {
	meta, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%w: encode snapshot: %w", ErrWrite, err)
	}
	// A founding snapshot has an empty description but for its members; a frame is never empty.
	return appendFrame(appendHeader(nil, magicSnapshot), append([]byte{0}, meta...)), nil
}

// writeSnapshot writes a received snapshot at once.
func (w *WAL) writeSnapshot(s *Snapshot) error {
	head, err := snapshotHead(s.Meta)
	if err != nil {
		return w.fail("snapshot", err)
	}
	if err := w.writeWhole(snapshotName(s.Meta.GetIndex()), head, s.Data); err != nil {
		return err
	}
	w.snap = s.Meta
	return nil
}

// writeWhole writes a file so that it is there whole or not at all after a crash.
func (w *WAL) writeWhole(name string, parts ...[]byte) error {
	if err := w.stage(name, parts...); err != nil {
		return w.fail("write "+name, err)
	}
	if err := w.unstage(name); err != nil {
		return w.fail("rename "+name, err)
	}
	return nil
}

// stage writes and syncs a file, given in parts, under a temporary name.
func (w *WAL) stage(name string, parts ...[]byte) error {
	f, err := w.opts.FS.Create(w.path(name + tempSuffix))
	if err != nil {
		return fmt.Errorf("%w: create %s: %w", ErrWrite, name, err)
	}
	for _, b := range parts {
		if err == nil {
			_, err = f.Write(b)
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("%w: write %s: %w", ErrWrite, name, err)
	}
	return nil
}

// unstage gives a staged file its name.
func (w *WAL) unstage(name string) error {
	if err := w.opts.FS.Rename(w.path(name+tempSuffix), w.path(name)); err != nil {
		return err
	}
	return w.opts.FS.SyncDir(w.opts.Dir)
}

func (w *WAL) dropOldSnapshots() error {
	names, err := w.opts.FS.List(w.opts.Dir)
	if err != nil {
		return w.fail("list data folder", err)
	}
	for _, i := range numbered(names, snapshotSuffix) {
		if i >= w.snap.GetIndex() {
			continue
		}
		if err := w.opts.FS.Remove(w.path(snapshotName(i))); err != nil {
			return w.fail("remove snapshot", err)
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot. A snapshot gets its name only once it is synced, so one that is
// damaged was damaged later and is refused.
func (w *WAL) loadSnapshot(names []string) (*Snapshot, error) {
	all := numbered(names, snapshotSuffix)
	if len(all) == 0 {
		return nil, nil
	}
	return w.readSnapshot(all[len(all)-1])
}

func (w *WAL) readSnapshot(index uint64) (*Snapshot, error) {
	name := w.path(snapshotName(index))
	b, err := w.opts.FS.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("wal: read %s: %w", name, err)
	}
	return decodeSnapshot(name, b)
}

func decodeSnapshot(name string, b []byte) (*Snapshot, error) {
	if err := checkHeader(name, b, magicSnapshot); err != nil {
		return nil, err
	}
	payload, size, ok := readFrame(b[headerBytes:])
	if !ok {
		return nil, &CorruptError{File: name, Offset: headerBytes, Reason: "the description fails its checksum"}
	}
	meta := &daisyhatchv1.SnapshotMeta{}
	if err := proto.Unmarshal(payload[1:], meta); err != nil {
		return nil, &CorruptError{File: name, Offset: headerBytes, Reason: err.Error()}
	}
	data := b[headerBytes+size:]
	if !Verify(meta, data) {
		return nil, &CorruptError{File: name, Offset: int64(headerBytes + size), Reason: "the data fails its checksum"}
	}
	return &Snapshot{Meta: meta, Data: data}, nil
}
