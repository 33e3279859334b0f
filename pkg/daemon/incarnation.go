package daemon

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/daisyhatch/daisyhatch/pkg/settings"
)

// ErrIncarnation means that the count of starts can't be read or kept.
var ErrIncarnation = errors.New("daemon: bad incarnation file")

// newIncarnation names this start of the VM. With a data folder it holds the count of starts, synced before use.
func newIncarnation(s *settings.Settings) (string, error) {
	id, vm := uuid.NewString(), &s.VM
	// A VM of a fleet must start while its disk is full.
	if vm.DataDir == "" || s.Fleet != nil {
		return id, nil
	}
	count, err := readCount(vm.IncarnationFile)
	if err != nil {
		return "", err
	}
	count++
	if err := writeSynced(vm.IncarnationFile, strconv.FormatUint(count, 10)+"\n"); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d-%s", count, id), nil
}

func readCount(file string) (uint64, error) {
	b, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrIncarnation, err)
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrIncarnation, file, err)
	}
	return n, nil
}

// writeSynced replaces file by one with text, so that after a crash either the old or the new one is there.
func writeSynced(file, text string) error {
	dir := filepath.Dir(file)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return fmt.Errorf("%w: %w", ErrIncarnation, err)
	}
	tmp, err := os.CreateTemp(dir, filepath.Base(file)+".*")
	if err != nil {
		return fmt.Errorf("%w: %w", ErrIncarnation, err)
	}
	_, err = tmp.WriteString(text)
	err = errors.Join(err, tmp.Sync(), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), file)
	}
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrIncarnation, err)
	}
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
