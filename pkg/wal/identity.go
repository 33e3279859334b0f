package wal

import (
	"errors"
	"fmt"
	"io/fs"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Identity returns the data folder's random identity. A folder that has none gets fresh, which is synced before
// it is returned. Errors: ErrIdentity when the folder belongs to another VM, ErrCorrupt, ErrWrite.
func (w *WAL) Identity(vm, fresh string) (string, error) {
	p := &daisyhatchv1.ConsensusPeer{}
	ok, err := w.readMessage(identityName, magicIdentity, p)
	if err != nil {
		return "", err
	}
	if !ok {
		p = &daisyhatchv1.ConsensusPeer{Vm: vm, Instance: fresh}
		return fresh, w.writeMessage(identityName, magicIdentity, p)
	}
	if p.GetVm() != vm {
		return "", fmt.Errorf("%w: it was made for %q, this VM is %q", ErrIdentity, p.GetVm(), vm)
	}
	return p.GetInstance(), nil
}

// Founding returns the membership that the data folder was founded with; nil when it wasn't. Errors: ErrCorrupt.
func (w *WAL) Founding() (*daisyhatchv1.Membership, error) {
	m := &daisyhatchv1.Membership{}
	ok, err := w.readMessage(foundingName, magicFounding, m)
	if err != nil || !ok {
		return nil, err
	}
	return m, nil
}

// Found makes m the membership from which the log starts, in a data folder without a snapshot. Errors: ErrWrite.
func (w *WAL) Found(m *daisyhatchv1.Membership) (*daisyhatchv1.SnapshotMeta, error) {
	if w.err != nil {
		return nil, w.err
	}
	if err := w.writeMessage(foundingName, magicFounding, m); err != nil {
		return nil, err
	}
	meta := Describe(0, 0, m, nil)
	return meta, w.SaveSnapshot(&Snapshot{Meta: meta})
}

// readMessage reads a file of one frame; false when there is no such file.
func (w *WAL) readMessage(name, magic string, m proto.Message) (bool, error) {
	path := w.path(name)
	b, err := w.opts.FS.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("wal: read %s: %w", path, err)
	}
	if err := checkHeader(path, b, magic); err != nil {
		return false, err
	}
	payload, _, ok := readFrame(b[headerBytes:])
	if !ok || proto.Unmarshal(payload, m) != nil {
		return false, &CorruptError{File: path, Offset: headerBytes, Reason: "the content fails its checksum"}
	}
	return true, nil
}

func (w *WAL) writeMessage(name, magic string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return w.fail("encode "+name, err)
	}
	return w.writeWhole(name, appendFrame(appendHeader(nil, magic), payload))
}
