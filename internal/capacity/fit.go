package main

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// probe measures one quantity at several sizes.
type probe struct {
	name string
	// of says what the size counts, unit what is measured.
	of, unit string
	sizes    []int
	measure  func(size int) (float64, error)
}

// point is one measurement.
type point struct{ x, y float64 }

// slope is a line fitted to measurements by least squares.
type slope struct {
	probe     probe
	points    []point
	intercept float64
	slope     float64
	// residual is the largest distance of a measurement from the line, as a share of the largest measurement.
	residual float64
}

// at returns the line's value.
func (s slope) at(x float64) float64 { return s.intercept + s.slope*x }

func fit(p probe, points []point) slope {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	highest := 0.0
	for _, q := range points {
		sx, sy, sxx, sxy = sx+q.x, sy+q.y, sxx+q.x*q.x, sxy+q.x*q.y
		highest = max(highest, math.Abs(q.y))
	}
	s := slope{probe: p, points: points}
	s.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.intercept = (sy - s.slope*sx) / n
	for _, q := range points {
		s.residual = max(s.residual, math.Abs(q.y-s.at(q.x))/highest)
	}
	return s
}

// repeats is how often each size is measured; the least value counts, since other programs only add to it.
const repeats = 3

func measureAll(list []probe, only string, progress io.Writer) (map[string]slope, error) {
	slopes := make(map[string]slope)
	for _, p := range list {
		if only != "" && p.name != only {
			continue
		}
		var points []point
		for _, size := range p.sizes {
			least := math.Inf(1)
			for range repeats {
				v, err := p.measure(size)
				if err != nil {
					return nil, fmt.Errorf("capacity: %s at %d: %w", p.name, size, err)
				}
				least = min(least, v)
			}
			points = append(points, point{float64(size), least})
		}
		slopes[p.name] = fit(p, points)
		_, _ = fmt.Fprintf(progress, "%s: %s\n", p.name, describe(slopes[p.name]))
	}
	return slopes, nil
}

func describe(s slope) string {
	var values []string
	for _, q := range s.points {
		values = append(values, fmt.Sprintf("%s at %g", number(q.y), q.x))
	}
	return fmt.Sprintf("%s; %s + %s × n; residual %.1f %%", strings.Join(values, ", "), number(s.intercept), number(s.slope), 100*s.residual)
}

// number prints three significant digits.
func number(v float64) string {
	a := math.Abs(v)
	switch {
	case a == 0:
		return "0"
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 0.001:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.2e", v)
}

// cpu returns the processor time in seconds that f takes in this process, in user and system mode, the garbage
// collector's share included.
func cpu(f func() error) (float64, error) {
	runtime.GC()
	before := cpuTime()
	err := f()
	return cpuTime() - before, err
}

func cpuTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return math.NaN()
	}
	return seconds(u.Utime) + seconds(u.Stime)
}

func seconds(t syscall.Timeval) float64 {
	return float64(t.Sec) + float64(t.Usec)/float64(time.Second/time.Microsecond)
}

// heap returns the live bytes that the value returned by f holds.
func heap(f func() any) float64 {
	before := liveBytes()
	v := f()
	after := liveBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
