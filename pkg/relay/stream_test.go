package relay

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
			_, err := readEvent(bufio.NewReaderSize(io.LimitReader(e, 4*maxEventBytes), streamBufferBytes))
			require.ErrorIs(t, err, errEventTooLarge)
			require.LessOrEqual(t, e.read, maxEventBytes+2*streamBufferBytes)
		})
	}
}
