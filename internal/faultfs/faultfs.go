// Package faultfs is a file system in memory for tests of durable storage. It can crash, losing or tearing what
// was not synced, run full, and fail syncs.
package faultfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

// Errors that the file system returns as a disk would.
var (
	ErrFull  = errors.New("faultfs: no space left on device")
	ErrSync  = errors.New("faultfs: sync failed")
	errStale = errors.New("faultfs: file was open during a crash")
)

// inode is a file's content, and how much of it is synced.
type inode struct {
	data   []byte
	synced int
}

// nameOp is a change of a directory that isn't synced yet.
type nameOp struct {
	name string
	node *inode
}

// FS implements wal.FS. Its methods are safe for concurrent use; its fields are set while nothing else runs.
type FS struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	ops     []nameOp
	locked  bool
	epoch   int

	// Room is how many more bytes can be written; negative means no limit.
	Room int
	// FailSync makes every sync fail and keep nothing.
	FailSync bool
}

var _ wal.FS = (*FS)(nil)

// New returns an empty file system without limits.
func New() *FS {
	return &FS{names: make(map[string]*inode), durable: make(map[string]*inode), Room: -1}
}

// Crash loses what was not synced: of each file's unsynced end a random part stays, at times with its last bytes
// zeroed; of the unsynced changes of names a random number of the first stay.
func (f *FS) Crash(r *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, op := range f.ops[:r.IntN(len(f.ops)+1)] {
		f.apply(f.durable, op)
	}
	f.ops = nil
	f.names = make(map[string]*inode, len(f.durable))
	for name, n := range f.durable {
		f.names[name] = n
	}
	for _, name := range f.sorted() {
		f.names[name].tear(r)
	}
	f.locked = false
	f.epoch++
}

func (n *inode) tear(r *rand.Rand) {
	lost := len(n.data) - n.synced
	if lost == 0 {
		return
	}
	keep := n.synced + r.IntN(lost+1)
	data := slices.Clone(n.data[:keep])
	if keep > n.synced && r.IntN(2) == 0 {
		clear(data[n.synced+r.IntN(keep-n.synced):])
	}
	n.data, n.synced = data, keep
}

func (f *FS) sorted() []string {
	names := make([]string, 0, len(f.names))
	for n := range f.names {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (f *FS) apply(m map[string]*inode, op nameOp) {
	if op.node == nil {
		delete(m, op.name)
	} else {
		m[op.name] = op.node
	}
}

func (f *FS) change(ops ...nameOp) {
	for _, op := range ops {
		f.apply(f.names, op)
	}
	f.ops = append(f.ops, ops...)
}

// Corrupt flips one bit of a file.
func (f *FS) Corrupt(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[name].data[offset] ^= 1
}

// Size returns a file's size, -1 when it doesn't exist.
func (f *FS) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[name]
	if !ok {
		return -1
	}
	return len(n.data)
}

// MkdirAll implements wal.FS. Directories exist without being made.
func (f *FS) MkdirAll(string) error { return nil }

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{}
	f.change(nameOp{name: name, node: n})
	return &file{fs: f, node: n, epoch: f.epoch}, nil
}

// OpenAppend implements wal.FS.
func (f *FS) OpenAppend(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[name]
	if !ok {
		return nil, fmt.Errorf("faultfs: %s: %w", name, fs.ErrNotExist)
	}
	return &file{fs: f, node: n, epoch: f.epoch}, nil
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[name]
	if !ok {
		return nil, fmt.Errorf("faultfs: %s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(n.data), nil
}

// Truncate implements wal.FS.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[name]
	if !ok {
		return fmt.Errorf("faultfs: %s: %w", name, fs.ErrNotExist)
	}
	n.data = slices.Clone(n.data[:size])
	n.synced = min(n.synced, len(n.data))
	return nil
}

// Rename implements wal.FS. A crash keeps either the old name or the new one.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[from]
	if !ok {
		return fmt.Errorf("faultfs: %s: %w", from, fs.ErrNotExist)
	}
	f.change(nameOp{name: to, node: n}, nameOp{name: from})
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.names[name]; !ok {
		return fmt.Errorf("faultfs: %s: %w", name, fs.ErrNotExist)
	}
	f.change(nameOp{name: name})
	return nil
}

// List implements wal.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, n := range f.sorted() {
		if filepath.Dir(n) == filepath.Clean(dir) {
			out = append(out, filepath.Base(n))
		}
	}
	return out, nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.FailSync {
		return ErrSync
	}
	for _, op := range f.ops {
		f.apply(f.durable, op)
	}
	f.ops = nil
	return nil
}

// Lock implements wal.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, fmt.Errorf("%w: %s", wal.ErrLocked, name)
	}
	f.locked = true
	return lock{fs: f, epoch: f.epoch}, nil
}

type lock struct {
	fs    *FS
	epoch int
}

// Close implements io.Closer.
func (l lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		l.fs.locked = false
	}
	return nil
}

type file struct {
	fs    *FS
	node  *inode
	epoch int
}

// Write implements io.Writer. On a full disk a part is written.
func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return 0, errStale
	}
	n := len(b)
	if f.fs.Room >= 0 {
		n = min(n, f.fs.Room)
		f.fs.Room -= n
	}
	f.node.data = append(f.node.data, b[:n]...)
	if n < len(b) {
		return n, ErrFull
	}
	return n, nil
}

// Sync implements wal.File.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return errStale
	}
	if f.fs.FailSync {
		return ErrSync
	}
	f.node.synced = len(f.node.data)
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
