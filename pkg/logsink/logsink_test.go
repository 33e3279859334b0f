package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalled is a reader of standard output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

func (s *stalled) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begin := time.Now()
	for range 4 * MaxQueued / len(line) {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Less(t, time.Since(begin), time.Second)
	require.LessOrEqual(t, s.queued, MaxQueued)
	close(out.release)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), `"log lines left out","count":`) },
		2*time.Second, time.Millisecond)
	s.Close()
	require.LessOrEqual(t, len(out.String()), 2*MaxQueued+200)
}

func TestLinesKeepTheirOrder(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	close(out.release)
	s := New(out)
	var want strings.Builder
	for i := range 500 {
		line := strings.Repeat("l", i%7) + "\n"
		want.WriteString(line)
		_, _ = s.Write([]byte(line))
	}
	s.Close()
	require.Equal(t, want.String(), out.String())
	_, err := s.Write([]byte("after the end\n"))
	require.NoError(t, err)
}

func TestBudgetCountsWhatItLeavesOut(t *testing.T) {
	b, now := NewBudget(2), time.Unix(100, 0)
	for i := range 5 {
		ok, _ := b.Allow(now.Add(time.Duration(i) * time.Millisecond))
		require.Equal(t, i < 2, ok)
	}
	ok, before := b.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.EqualValues(t, 3, before)
}
