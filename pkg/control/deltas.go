package control

import (
	"crypto/sha256"
	"sync"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
)

const (
	// maxDeltaBases is the count of old versions whose delta to the version in force is kept ready.
	maxDeltaBases = 16
	// maxDeltaSpan is the count of versions that a watcher may be behind to be sent a delta; making the text of an
	// older one costs more than the whole text, which is compressed once.
	maxDeltaSpan = 32
	// maxDeltaShare is the part of the text, one in so many bytes, above which a delta isn't worth it: unlike the
	// whole text it is not compressed.
	maxDeltaShare = 8
	// smallDelta is the size in bytes up to which a delta is always worth it.
	smallDelta = 4 << 10
)

// deltas makes each delta to the version in force once for all watchers.
type deltas struct {
	machine *fsm.Machine

	mu      sync.Mutex
	version uint64
	sum     []byte
	gzip    []byte
	byBase  map[uint64]*daisyhatchv1.ConfigurationDelta
}

// deltaTo is a delta with the checksum of the text that it makes.
type deltaTo struct {
	delta *daisyhatchv1.ConfigurationDelta
	sum   []byte
}

// get returns the delta from base to v; false when the base is not kept or too old.
func (d *deltas) get(base uint64, v *daisyhatchv1.ConfigurationVersion) (deltaTo, bool) {
	if base == 0 || base+maxDeltaSpan < v.GetVersion() {
		return deltaTo{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(v)
	if v.GetVersion() != d.version {
		return deltaTo{}, false
	}
	if c, ok := d.byBase[base]; ok {
		return deltaTo{delta: c, sum: d.sum}, worthIt(c, v)
	}
	old, err := d.machine.Version(base)
	if err != nil {
		return deltaTo{}, false
	}
	c := publication.Diff(base, old.GetConfiguration(), v.GetConfiguration())
	if len(d.byBase) < maxDeltaBases {
		d.byBase[base] = c
	}
	return deltaTo{delta: c, sum: d.sum}, worthIt(c, v)
}

func worthIt(c *daisyhatchv1.ConfigurationDelta, v *daisyhatchv1.ConfigurationVersion) bool {
	return len(c.GetMiddle()) <= max(len(v.GetConfiguration())/maxDeltaShare, smallDelta)
}

// advance drops what was made for an older version.
func (d *deltas) advance(v *daisyhatchv1.ConfigurationVersion) {
	if v.GetVersion() <= d.version {
		return
	}
	sum := sha256.Sum256(v.GetConfiguration())
	d.version = v.GetVersion()
	d.sum = sum[:]
	d.gzip = nil
	d.byBase = make(map[uint64]*daisyhatchv1.ConfigurationDelta)
}

// whole returns the compressed text of v.
func (d *deltas) whole(v *daisyhatchv1.ConfigurationVersion) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(v)
	if v.GetVersion() != d.version {
		return publication.Compress(v.GetConfiguration())
	}
	if d.gzip == nil {
		d.gzip = publication.Compress(v.GetConfiguration())
	}
	return d.gzip
}
