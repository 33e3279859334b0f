package follow

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"path/filepath"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
)

// ErrDeltaMismatch means that a delta doesn't apply to the version in force here, or didn't produce the version that
// it was sent for. The client then asks for the full text.
var ErrDeltaMismatch = errors.New("follow: delta does not apply")

// handleEvent applies one watch event. It returns ErrDeltaMismatch if the event's delta doesn't apply.
func (c *Client) handleEvent(e *daisyhatchv1.WatchEvent) error {
	c.raiseAccepted(e.GetAcceptedVersion())
	if e.GetSuspectsChanged() {
		c.setSuspects(e.GetSuspects())
	}
	if len(e.GetShards()) > 0 {
		c.setShards(e.GetShards())
	}
	v, err := c.decodeVersion(e)
	if err != nil || v == nil {
		return err
	}
	c.applyIfNewer(v)
	return nil
}

// raiseAccepted raises the highest accepted version known.
func (c *Client) raiseAccepted(version uint64) {
	for old := c.accepted.Load(); version > old; old = c.accepted.Load() {
		c.accepted.CompareAndSwap(old, version)
	}
}

// decodeVersion returns the configuration that an event carries; nil if it carries none.
func (c *Client) decodeVersion(e *daisyhatchv1.WatchEvent) (*daisyhatchv1.ConfigurationVersion, error) {
	d := e.GetDelta()
	if d == nil {
		return decodeFullVersion(e)
	}
	current := c.Current()
	if current.Version != d.GetBaseVersion() {
		return nil, fmt.Errorf("%w: delta is based on version %d, version %d is in force", ErrDeltaMismatch, d.GetBaseVersion(), current.Version)
	}
	text, err := publication.Patch(current.Text, d)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDeltaMismatch, err)
	}
	if sum := sha256.Sum256(text); !bytes.Equal(sum[:], e.GetConfigurationSha256()) {
		return nil, fmt.Errorf("%w: wrong checksum for version %d", ErrDeltaMismatch, e.GetDeltaMeta().GetVersion())
	}
	v := publication.WithoutText(e.GetDeltaMeta())
	v.Configuration = text
	return v, nil
}

// decodeFullVersion returns the configuration that an event carries in full; nil if it carries none.
func decodeFullVersion(e *daisyhatchv1.WatchEvent) (*daisyhatchv1.ConfigurationVersion, error) {
	v := e.GetConfiguration()
	if v == nil || len(e.GetConfigurationGzip()) == 0 {
		return v, nil
	}
	text, err := publication.Decompress(e.GetConfigurationGzip())
	if err != nil {
		return nil, fmt.Errorf("follow: decompress version %d: %w", v.GetVersion(), err)
	}
	v.Configuration = text
	return v, nil
}

// applyIfNewer applies a version that is higher than the one in force, after saving it to disk. One that can't be
// parsed leaves the earlier version in force and on disk.
func (c *Client) applyIfNewer(v *daisyhatchv1.ConfigurationVersion) {
	if v.GetVersion() <= c.Current().Version {
		return
	}
	set, err := c.opts.Parse(v.GetConfiguration())
	if err != nil {
		c.opts.Logr.Error(err, "configuration cannot be parsed; the earlier one stays in force", "version", v.GetVersion())
		return
	}
	if c.opts.DataDir != "" {
		if err := save(filepath.Join(c.opts.DataDir, storeFileName), v); err != nil {
			c.opts.Logr.Error(err, "configuration not saved to disk", "version", v.GetVersion())
		}
	}
	c.apply(v, set)
}

// apply puts a version in force.
func (c *Client) apply(v *daisyhatchv1.ConfigurationVersion, set *config.Set) {
	f := &InForce{
		Version:        v.GetVersion(),
		ChangeID:       v.GetChangeId(),
		Operator:       v.GetOperator(),
		AcceptedUnixMs: v.GetAcceptedUnixMs(),
		Text:           v.GetConfiguration(),
		Set:            set,
	}
	c.inForce.Store(f)
	c.raiseAccepted(f.Version)
	c.opts.Logr.Info("configuration in force", "version", f.Version, "operator", f.Operator, "changeID", f.ChangeID)
	c.notify(f)
}

// setSuspects replaces the list of suspects.
func (c *Client) setSuspects(list []*daisyhatchv1.Suspect) {
	m := make(map[uint64]dispatch.Verdict, len(list))
	for _, s := range list {
		switch s.GetState() {
		case daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT:
			m[s.GetFingerprint()] = dispatch.Suspect
		case daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED:
			m[s.GetFingerprint()] = dispatch.Convicted
		}
	}
	c.suspects.Store(&m)
	if f := c.onSuspects.Load(); f != nil {
		(*f)(list)
	}
}

// setShards records the grantors of shards. Of two grantors for one shard, the one with the higher fence wins.
func (c *Client) setShards(list []*daisyhatchv1.ShardGrantor) {
	m := maps.Clone(*c.shards.Load())
	for _, s := range list {
		if s.GetFence() >= m[s.GetShard()].Fence {
			m[s.GetShard()] = Grantor{VM: s.GetVm(), Address: s.GetAddress(), Fence: s.GetFence()}
		}
	}
	c.shards.Store(&m)
}
