package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file that is written at its end.
type File interface {
	io.Writer
	// Sync returns once everything written will outlast a crash.
	Sync() error
	Close() error
}

// FS is the part of a file system that the log needs. Tests replace it to lose unsynced writes, tear them, fill
// the disk or slow it.
type FS interface {
	MkdirAll(dir string) error
	// Create makes an empty file for writing and drops what it held.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names in a directory.
	List(dir string) ([]string, error)
	// SyncDir makes created, renamed and removed names of a directory outlast a crash.
	SyncDir(dir string) error
	// Lock takes a lock that ends with the process. It returns ErrLocked when another process holds it.
	Lock(name string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Clean(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// OpenAppend implements FS.
func (OS) OpenAppend(name string) (File, error) {
	return os.OpenFile(filepath.Clean(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(filepath.Clean(name)) }

// Truncate implements FS. The new size is synced.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(filepath.Clean(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%w: %s: %w", ErrLocked, name, err)
	}
	return f, nil
}
