package fleet

import (
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
)

// A configuration under which nobody has a key must be told from one that needs none by the log.
func TestStateInForceTellsWhetherKeysAreNeeded(t *testing.T) {
	line := ""
	log := funcr.NewJSON(func(text string) { line = text }, funcr.Options{})
	logInForce(log, 3, 2, nil, &catalog.Set{})
	require.Contains(t, line, `"keys_needed":true,"keys":0`)
	logInForce(log, 3, 2, nil, &catalog.Set{Keyless: true})
	require.Contains(t, line, `"keys_needed":false`)
	logInForce(log, 4, 2, []string{"a"}, nil)
	require.NotContains(t, line, "keys_needed", "the configuration is unchanged")
	require.Contains(t, line, `"domains_out":["a"]`)
}
