package relay

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/bodylimit"
)

// endless repeats a text for ever, and counts what was read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := 0
	for n+len(e.text) <= len(p) {
		n += copy(p[n:], e.text)
	}
	e.read += n
	return n, nil
}

// An event is bounded whatever its lines are. Guards against a VM that keeps the lines of an event without end.
func TestEventIsBounded(t *testing.T) {
	for name, text := range map[string]string{"short lines": "data: x\n", "one line": "xxxxxxxx", "lines as long as the buffer": strings.Repeat("x", streamBufferBytes-1) + "\n"} {
		t.Run(name, func(t *testing.T) {
			e := &endless{text: text}
			_, err := readEvent(bufio.NewReaderSize(io.LimitReader(e, 4*maxEventBytes), streamBufferBytes), func() error { return nil })
			require.ErrorIs(t, err, errEventTooLarge)
			require.LessOrEqual(t, e.read, maxEventBytes+2*streamBufferBytes)
		})
	}
}

// A large event needs room once; without it the event is given up.
func TestLargeEventNeedsRoom(t *testing.T) {
	for size, want := range map[int]int{bodylimit.SmallBytes / 2: 0, bodylimit.SmallBytes * 3: 1} {
		asked := 0
		text := strings.Repeat("data: x\n", size/8) + "\n"
		event, err := readEvent(bufio.NewReaderSize(strings.NewReader(text), streamBufferBytes), func() error {
			asked++
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, text, string(event))
		require.Equal(t, want, asked)
	}
	_, err := readEvent(bufio.NewReaderSize(&endless{text: "data: x\n"}, streamBufferBytes), func() error { return bodylimit.ErrNoRoom })
	require.ErrorIs(t, err, bodylimit.ErrNoRoom)
}
