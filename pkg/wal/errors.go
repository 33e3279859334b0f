package wal

import (
	"errors"
	"fmt"
)

// Errors of this package.
var (
	// ErrCorrupt means that a file is damaged other than by a write that a crash cut short.
	ErrCorrupt = errors.New("wal: corrupt")
	// ErrVersion means that a file has a format that this program doesn't know.
	ErrVersion = errors.New("wal: unknown format version")
	// ErrWrite means that the disk refused a write or a sync. The log takes no more writes until it is reopened,
	// since after a failed sync nobody knows what the disk holds.
	ErrWrite = errors.New("wal: write failed")
	// ErrLocked means that another process uses the data folder.
	ErrLocked = errors.New("wal: data folder is in use")
	// ErrIdentity means that the data folder belongs to another VM.
	ErrIdentity = errors.New("wal: data folder belongs to another VM")
	// ErrConfirm means that a recovery was asked for without the exact confirmation.
	ErrConfirm = errors.New("wal: recovery not confirmed")
	// ErrEmpty means that a data folder holds nothing to recover from.
	ErrEmpty = errors.New("wal: data folder is empty")
)

// CorruptError is an ErrCorrupt with its place.
type CorruptError struct {
	File string
	// Offset is the byte at which the first damaged frame starts.
	Offset int64
	Reason string
}

// Error implements error. It names the way back.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s; nothing is guessed: remove this VM from the control group, empty its"+
		" data folder, and add it again, so that it rejoins as a learner", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is makes errors.Is find ErrCorrupt.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// VersionError is an ErrVersion with its file.
type VersionError struct {
	File    string
	Version uint32
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%v: %s has version %d, this program knows %d", ErrVersion, e.File, e.Version, formatVersion)
}

// Is makes errors.Is find ErrVersion.
func (e *VersionError) Is(target error) bool { return target == ErrVersion }
