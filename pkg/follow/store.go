package follow

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ErrStore means that the stored configuration can't be read. If the file is removed, the VM starts without a
// configuration.
var ErrStore = errors.New("follow: stored configuration is damaged")

const (
	storeFileName = "in-force.bin"
	// fileMagic is the start of the file and names its format version.
	fileMagic  = "dhcfg001"
	headerSize = len(fileMagic) + 8
)

// save writes v so that after a crash the file holds either the old or the new version.
func save(path string, v *daisyhatchv1.ConfigurationVersion) error {
	data, err := proto.Marshal(v)
	if err != nil {
		return fmt.Errorf("follow: encode version %d: %w", v.GetVersion(), err)
	}
	out := binary.BigEndian.AppendUint64([]byte(fileMagic), xxhash.Sum64(data))
	if err := writeSynced(path, append(out, data...)); err != nil {
		return fmt.Errorf("follow: save version %d: %w", v.GetVersion(), err)
	}
	return nil
}

// writeSynced replaces a file atomically: it writes and syncs a temporary file, renames it and syncs the folder.
func writeSynced(path string, data []byte) error {
	next := path + ".next"
	f, err := os.Create(next)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// load reads the version that save wrote; nil if there is no file.
func load(path string) (*daisyhatchv1.ConfigurationVersion, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStore, err)
	}
	if len(data) < headerSize || string(data[:len(fileMagic)]) != fileMagic {
		return nil, fmt.Errorf("%w: %s has an unknown format", ErrStore, path)
	}
	if binary.BigEndian.Uint64(data[len(fileMagic):]) != xxhash.Sum64(data[headerSize:]) {
		return nil, fmt.Errorf("%w: %s has a wrong checksum", ErrStore, path)
	}
	v := &daisyhatchv1.ConfigurationVersion{}
	if err := proto.Unmarshal(data[headerSize:], v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStore, err)
	}
	return v, nil
}
