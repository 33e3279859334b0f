package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func line(second int, vm, message, rest string) string {
	return fmt.Sprintf(`{"time":"2026-05-08T03:10:%02d.5Z","level":"INFO","msg":%q,"vm":%q%s}`, second, message, vm, rest)
}

func TestOneRequestsWayInTimeOrder(t *testing.T) {
	entry := strings.Join([]string{
		line(1, "edge-1", "state in force", `,"number":3`),
		line(2, "edge-1", "request", `,"id":"other","outcome":"answered"`),
		line(5, "edge-1", "request", `,"id":"abc","outcome":"refused","status":503`),
		line(9, "edge-1", "state in force", `,"number":4`),
		"not a line", `{"msg":"state in force","vm":`,
	}, "\n")
	control := "  12.5 core-1 " + line(4, "core-1", "stage call", `,"requests":["xyz","abc"],"failed":true`)
	c := NewCollector("abc")
	require.NoError(t, c.Read(strings.NewReader(entry)))
	require.NoError(t, c.Read(strings.NewReader(control)))
	var out strings.Builder
	require.NoError(t, c.Write(&out))
	require.Equal(t, `03:10:01.500 edge-1               state in force number=3
03:10:04.500 core-1               stage call requests=["xyz","abc"] failed=true
03:10:05.500 edge-1               request id="abc" outcome="refused" status=503
1 lines could not be read
`, out.String())
}

func TestUnknownRequest(t *testing.T) {
	c := NewCollector("abc")
	require.NoError(t, c.Read(strings.NewReader(line(1, "edge-1", "request", `,"id":"other"`))))
	require.ErrorIs(t, c.Write(&strings.Builder{}), ErrNotFound)
}

func TestOverlongLineIsAnError(t *testing.T) {
	require.Error(t, NewCollector("abc").Read(strings.NewReader(strings.Repeat("x", maxLine+1))))
}
