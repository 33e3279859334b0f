// Package quantile learns quantiles of durations over a sliding window, one histogram for each key, in bounded memory.
package quantile

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a Set.
const (
	// MaxKeys bounds the count of keys; samples of further keys are dropped.
	MaxKeys = 256
	// span is the length of one half of the window.
	span = 30 * time.Second
	// lowest and highest are the bounds of samples; samples outside are clamped.
	lowest  = 10 * time.Microsecond
	highest = 10 * time.Minute
	// digits is the count of significant decimal digits kept.
	digits = 2
	// MinSamples is the count of samples below which nothing is known.
	MinSamples = 20
)

// Set holds a sliding histogram for each key. It is safe for concurrent use.
type Set struct {
	mu   sync.RWMutex
	keys map[string]*series
}

type series struct {
	mu      sync.Mutex
	current *hdrhistogram.Histogram
	former  *hdrhistogram.Histogram
	began   time.Time
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{keys: make(map[string]*series)}
}

// Record adds a sample taken at time now. It returns false when the set is full and the key is new.
func (s *Set) Record(now time.Time, key string, d time.Duration) bool {
	h := s.find(key)
	if h == nil {
		h = s.add(now, key)
	}
	if h == nil {
		return false
	}
	h.record(now, d)
	return true
}

// Quantile returns the duration below which the share q, 0 to 1, of recent samples lies. It returns false while fewer
// than MinSamples are known.
func (s *Set) Quantile(now time.Time, key string, q float64) (time.Duration, bool) {
	h := s.find(key)
	if h == nil {
		return 0, false
	}
	return h.quantile(now, q)
}

func (s *Set) find(key string) *series {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keys[key]
}

func (s *Set) add(now time.Time, key string) *series {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.keys[key]; ok {
		return h
	}
	if len(s.keys) >= MaxKeys {
		return nil
	}
	h := &series{current: newHistogram(), former: newHistogram(), began: now}
	s.keys[key] = h
	return h
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest.Microseconds(), highest.Microseconds(), digits)
}

func (h *series) record(now time.Time, d time.Duration) {
	us := min(max(d, lowest), highest).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	// Clamped values are always in range.
	_ = h.current.RecordValue(us)
}

func (h *series) quantile(now time.Time, q float64) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	from := h.current
	if from.TotalCount() < MinSamples {
		if h.former.TotalCount() < MinSamples {
			return 0, false
		}
		from = h.former
	}
	return time.Duration(from.ValueAtQuantile(q*100)) * time.Microsecond, true
}

// rotate drops what is older than the window.
func (h *series) rotate(now time.Time) {
	age := now.Sub(h.began)
	if age < span {
		return
	}
	h.former, h.current = h.current, h.former
	h.current.Reset()
	if age >= 2*span {
		h.former.Reset()
	}
	h.began = now
}
