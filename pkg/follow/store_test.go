package follow

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// A VM that starts with an empty data folder keeps the version in force, and serves it after a restart.
func TestNewDataFolderKeepsTheVersion(t *testing.T) {
	o := Options{
		DataDir: filepath.Join(t.TempDir(), "data", "configuration"),
		Parse:   func([]byte) (*config.Set, error) { return &config.Set{}, nil },
	}
	c, err := New(o)
	require.NoError(t, err)
	c.take(&daisyhatchv1.ConfigurationVersion{Version: 7, Configuration: []byte("x")})
	again, err := New(o)
	require.NoError(t, err)
	require.EqualValues(t, 7, again.Current().Version)
}
