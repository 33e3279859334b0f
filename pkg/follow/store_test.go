package follow

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// A VM whose data folder doesn't exist yet creates it, saves the version in force there, and has it in force after a restart.
func TestVersionInNewDataFolderSurvivesRestart(t *testing.T) {
	o := Options{
		DataDir: filepath.Join(t.TempDir(), "data", "configuration"),
		Parse:   func([]byte) (*config.Set, error) { return &config.Set{}, nil },
	}
	c, err := New(o)
	require.NoError(t, err)
	c.applyIfNewer(&daisyhatchv1.ConfigurationVersion{Version: 7, Configuration: []byte("x")})
	restarted, err := New(o)
	require.NoError(t, err)
	require.EqualValues(t, 7, restarted.Current().Version)
}
