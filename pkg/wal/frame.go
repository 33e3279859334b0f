package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// Every file starts with a header: 8 bytes of magic that name the kind, the format version and a CRC-32C of
// both. Frames follow: the payload's length, a CRC-32C of length and payload, the payload. Numbers are
// little-endian and 4 bytes long.
const (
	magicLog      = "dhatch-L"
	magicSnapshot = "dhatch-S"
	magicIdentity = "dhatch-I"
	magicFounding = "dhatch-F"

	// formatVersion is raised by each incompatible change of the files.
	formatVersion = 1

	headerBytes      = 16
	frameHeaderBytes = 8
	// maxFrameBytes bounds a frame's payload.
	maxFrameBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendHeader(b []byte, magic string) []byte {
	start := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

// checkHeader verifies the start of a file. It returns ErrVersion for an intact header of another version.
func checkHeader(name string, b []byte, magic string) error {
	if len(b) < headerBytes {
		return &CorruptError{File: name, Reason: "header cut short"}
	}
	sum := binary.LittleEndian.Uint32(b[headerBytes-4:])
	if crc32.Checksum(b[:headerBytes-4], castagnoli) != sum || string(b[:len(magic)]) != magic {
		return &CorruptError{File: name, Reason: "header damaged"}
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v != formatVersion {
		return &VersionError{File: name, Version: v}
	}
	return nil
}

func appendFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	sum := crc32.Checksum(b[len(b)-4:], castagnoli)
	sum = crc32.Update(sum, castagnoli, payload)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, payload...)
}

// readFrame returns the payload of the frame at the start of b and the frame's whole size; false when it isn't
// intact. A frame has at least one byte of payload, so that zeros are no frame.
func readFrame(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < frameHeaderBytes {
		return nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || n > maxFrameBytes || int(n) > len(b)-frameHeaderBytes {
		return nil, 0, false
	}
	size = frameHeaderBytes + int(n)
	payload = b[frameHeaderBytes:size]
	sum := crc32.Update(crc32.Checksum(b[:4], castagnoli), castagnoli, payload)
	return payload, size, sum == binary.LittleEndian.Uint32(b[4:])
}

// hasFrame reports whether an intact frame starts anywhere in b.
func hasFrame(b []byte) bool {
	for i := range b {
		if _, _, ok := readFrame(b[i:]); ok {
			return true
		}
	}
	return false
}
