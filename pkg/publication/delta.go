package publication

import (
	"bytes"
	"errors"
	"fmt"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ErrDelta means that a delta reaches beyond the text that it is applied to.
var ErrDelta = errors.New("publication: delta does not fit its base")

// Diff returns the delta that turns base into text: the lengths of the common prefix and suffix, and the bytes between.
func Diff(baseVersion uint64, base, text []byte) *daisyhatchv1.ConfigurationDelta {
	prefix := commonPrefix(base, text)
	suffix := commonSuffix(base[prefix:], text[prefix:])
	return &daisyhatchv1.ConfigurationDelta{
		BaseVersion: baseVersion,
		Prefix:      uint64(prefix),
		Suffix:      uint64(suffix),
		Middle:      bytes.Clone(text[prefix : len(text)-suffix]),
	}
}

// Patch applies a delta to its base. It returns ErrDelta when the delta reaches beyond the base.
func Patch(base []byte, d *daisyhatchv1.ConfigurationDelta) ([]byte, error) {
	size := uint64(len(base))
	if d.GetPrefix() > size || d.GetSuffix() > size-d.GetPrefix() {
		return nil, fmt.Errorf("%w: prefix of %d and suffix of %d bytes, base of %d bytes", ErrDelta, d.GetPrefix(), d.GetSuffix(), size)
	}
	out := make([]byte, 0, d.GetPrefix()+d.GetSuffix()+uint64(len(d.GetMiddle())))
	out = append(out, base[:d.GetPrefix()]...)
	out = append(out, d.GetMiddle()...)
	out = append(out, base[size-d.GetSuffix():]...)
	return out, nil
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
