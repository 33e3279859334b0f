package follow

import (
	"crypto/sha256"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
)

// newClient returns a Client that keeps versions in dir and can't parse the text "unreadable".
func newClient(t *testing.T, dir string) *Client {
	t.Helper()
	c, err := New(Options{DataDir: dir, Parse: func(text []byte) (*config.Set, error) {
		if string(text) == "unreadable" {
			return nil, errors.New("unreadable")
		}
		return &config.Set{}, nil
	}})
	require.NoError(t, err)
	return c
}

func fullEvent(version uint64, text string) *daisyhatchv1.WatchEvent {
	v := &daisyhatchv1.ConfigurationVersion{Version: version, Configuration: []byte(text)}
	return &daisyhatchv1.WatchEvent{Configuration: v, AcceptedVersion: version}
}

// A version that is not higher, as sent by a control VM that lags behind, changes nothing; nor does one that can't be parsed.
func TestOnlyHigherVersionsAreApplied(t *testing.T) {
	dir := t.TempDir()
	c := newClient(t, dir)
	require.NoError(t, c.handleEvent(fullEvent(5, "five")))
	require.NoError(t, c.handleEvent(fullEvent(5, "other five")))
	require.NoError(t, c.handleEvent(fullEvent(4, "four")))
	require.NoError(t, c.handleEvent(fullEvent(6, "unreadable")))
	require.Equal(t, "five", string(c.Current().Text))
	require.EqualValues(t, 6, c.Accepted())
	require.Equal(t, "five", string(newClient(t, dir).Current().Text), "a version that can't be parsed isn't saved")
	require.NoError(t, c.handleEvent(fullEvent(7, "seven")))
	restarted := newClient(t, dir)
	require.Equal(t, "seven", string(restarted.Current().Text))
	require.NoError(t, restarted.handleEvent(fullEvent(5, "five")))
	require.EqualValues(t, 7, restarted.Current().Version)
}

func TestMismatchedDeltaIsRejected(t *testing.T) {
	c := newClient(t, "")
	require.NoError(t, c.handleEvent(fullEvent(1, "a text")))
	next := []byte("a longer text")
	sum := sha256.Sum256(next)
	e := &daisyhatchv1.WatchEvent{
		Delta: publication.Diff(1, []byte("a text"), next), ConfigurationSha256: sum[:],
		DeltaMeta: &daisyhatchv1.ConfigurationVersion{Version: 2},
	}
	e.ConfigurationSha256[0]++
	require.ErrorIs(t, c.handleEvent(e), ErrDeltaMismatch)
	require.EqualValues(t, 1, c.Current().Version)
	e.ConfigurationSha256[0]--
	require.NoError(t, c.handleEvent(e))
	require.Equal(t, string(next), string(c.Current().Text))
	require.ErrorIs(t, c.handleEvent(e), ErrDeltaMismatch, "the base is no longer in force")
}

func TestDamagedFileIsRejected(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, newClient(t, dir).handleEvent(fullEvent(3, "three")))
	path := filepath.Join(dir, storeFileName)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, damaged := range [][]byte{data[:len(data)-1], data[:5], {}, append([]byte("dhcfg999"), data[8:]...)} {
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		_, err := New(Options{DataDir: dir})
		require.ErrorIs(t, err, ErrStore)
	}
}

func TestSuspectsAndGrantorsAreApplied(t *testing.T) {
	c := newClient(t, "")
	shard := func(vm string, fence uint64) []*daisyhatchv1.ShardGrantor {
		return []*daisyhatchv1.ShardGrantor{{Shard: 3, Vm: vm, Fence: fence}}
	}
	suspects := []*daisyhatchv1.Suspect{
		{Fingerprint: 1, State: daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT},
		{Fingerprint: 2, State: daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED},
	}
	require.NoError(t, c.handleEvent(&daisyhatchv1.WatchEvent{Suspects: suspects, SuspectsChanged: true, Shards: shard("c1", 2)}))
	require.NoError(t, c.handleEvent(&daisyhatchv1.WatchEvent{Shards: shard("c0", 1)}))
	g, ok := c.Grantor(3)
	require.True(t, ok)
	require.Equal(t, "c1", g.VM, "a grantor with a lower fence doesn't replace one with a higher fence")
	require.Equal(t, dispatch.Suspect, c.Verdict(1))
	require.Equal(t, dispatch.Convicted, c.Verdict(2))
	require.NoError(t, c.handleEvent(&daisyhatchv1.WatchEvent{SuspectsChanged: true}))
	require.Equal(t, dispatch.Clear, c.Verdict(2))
}
