// Package publication decides which configuration is in force. Each change names the version it is based on and is
// accepted only if that is the version in force (compare-and-set). A change that is sent again under its change ID gets
// its first outcome. The package does no I/O and is deterministic.
package publication

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

var (
	// ErrCommand means that a command is malformed; nothing was changed.
	ErrCommand = errors.New("publication: malformed command")
	// ErrNoVersion means that the version is unknown or its text is no longer stored.
	ErrNoVersion = errors.New("publication: version not stored")
	// ErrSnapshot means that a snapshot is inconsistent.
	ErrSnapshot = errors.New("publication: bad snapshot")
)

// Limits of the replicated state, which must be equal on all VMs.
const (
	// MaxChanges is the number of change IDs whose first outcome is stored.
	MaxChanges = 10_000
	// MaxHistory is the number of versions whose operator, time and reason are stored.
	MaxHistory = 10_000
	// MaxDeltas is the number of old versions whose text can be rebuilt.
	MaxDeltas = 1_000
	// MaxDeltaBytes is the total size in bytes of the stored deltas.
	MaxDeltaBytes = 2 << 20
	// MaxText is the size in bytes of the largest configuration.
	MaxText = 8 << 20
	// MaxChangeID, MaxOperator and MaxReason are the largest sizes in bytes of these fields of a change.
	MaxChangeID = 128
	MaxOperator = 128
	MaxReason   = 1 << 10
)

// Publication is the replicated state of the configuration. It isn't safe for concurrent use.
type Publication struct {
	inForce    *daisyhatchv1.ConfigurationVersion
	history    []*daisyhatchv1.ConfigurationVersion
	deltas     []*daisyhatchv1.ConfigurationDelta
	deltaBytes int
	changes    []*daisyhatchv1.ChangeRecord
	byID       map[string]*daisyhatchv1.ChangeRecord
	// A change with an unknown ID and a base version below expiredBase is refused: it may be a resent change whose
	// record was dropped.
	expiredBase uint64
	limits      limits
}

// limits bound the size of a Publication.
type limits struct {
	changes    int
	history    int
	deltas     int
	deltaBytes int
}

func defaultLimits() limits {
	return limits{changes: MaxChanges, history: MaxHistory, deltas: MaxDeltas, deltaBytes: MaxDeltaBytes}
}

// New returns a Publication at version 0, the empty configuration.
func New() *Publication {
	return &Publication{
		inForce: &daisyhatchv1.ConfigurationVersion{},
		byID:    make(map[string]*daisyhatchv1.ChangeRecord),
		limits:  defaultLimits(),
	}
}

// Publish applies one change at the replicated time nowMs, in Unix milliseconds. A change that is not accepted is
// reported in the result's outcome. It returns ErrCommand for a malformed command.
func (p *Publication) Publish(c *daisyhatchv1.PublishCommand, nowMs int64) (*daisyhatchv1.PublishResult, error) {
	if err := checkFields(c); err != nil {
		return nil, err
	}
	content := contentHash(c)
	if first, ok := p.byID[c.GetChangeId()]; ok {
		return p.resendResult(first, content), nil
	}
	if c.GetBaseVersion() < p.expiredBase {
		return p.refusal(daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CHANGE_ID_EXPIRED), nil
	}
	result, err := p.compareAndSet(c, nowMs)
	if err != nil {
		return nil, err
	}
	p.recordChange(&daisyhatchv1.ChangeRecord{
		ChangeId:    c.GetChangeId(),
		Content:     content,
		BaseVersion: c.GetBaseVersion(),
		Result:      result,
	})
	return proto.CloneOf(result), nil
}

func (p *Publication) compareAndSet(c *daisyhatchv1.PublishCommand, nowMs int64) (*daisyhatchv1.PublishResult, error) {
	if c.GetBaseVersion() != p.inForce.GetVersion() {
		return p.refusal(daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT), nil
	}
	text, err := p.newText(c)
	if err != nil {
		return nil, err
	}
	p.accept(c, text, nowMs)
	return &daisyhatchv1.PublishResult{
		Outcome:  daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED,
		Version:  p.inForce.GetVersion(),
		Operator: p.inForce.GetOperator(),
		ChangeId: p.inForce.GetChangeId(),
	}, nil
}

func (p *Publication) resendResult(first *daisyhatchv1.ChangeRecord, content []byte) *daisyhatchv1.PublishResult {
	if !bytes.Equal(first.GetContent(), content) {
		return p.refusal(daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CHANGE_ID_REUSED)
	}
	r := proto.CloneOf(first.GetResult())
	r.Resent = true
	return r
}

// refusal returns a result with the given outcome, the version in force and who published that.
func (p *Publication) refusal(o daisyhatchv1.PublishOutcome) *daisyhatchv1.PublishResult {
	return &daisyhatchv1.PublishResult{
		Outcome:  o,
		Version:  p.inForce.GetVersion(),
		Operator: p.inForce.GetOperator(),
		ChangeId: p.inForce.GetChangeId(),
	}
}

func (p *Publication) newText(c *daisyhatchv1.PublishCommand) ([]byte, error) {
	text := c.GetConfiguration()
	if d := c.GetDelta(); d != nil {
		patched, err := Patch(p.inForce.GetConfiguration(), d)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCommand, err)
		}
		if sum := sha256.Sum256(patched); !bytes.Equal(sum[:], c.GetConfigurationSha256()) {
			return nil, fmt.Errorf("%w: the patched configuration does not match its SHA-256 checksum", ErrCommand)
		}
		text = patched
	}
	return text, checkText(text)
}

func (p *Publication) accept(c *daisyhatchv1.PublishCommand, text []byte, nowMs int64) {
	old := p.inForce
	p.inForce = &daisyhatchv1.ConfigurationVersion{
		Version:        old.GetVersion() + 1,
		ChangeId:       c.GetChangeId(),
		Operator:       c.GetOperator(),
		Reason:         c.GetReason(),
		AcceptedUnixMs: nowMs,
		Configuration:  bytes.Clone(text),
	}
	p.history = append(p.history, WithoutText(p.inForce))
	if len(p.history) > p.limits.history {
		p.history = p.history[1:]
	}
	reverse := Diff(p.inForce.GetVersion(), text, old.GetConfiguration())
	p.deltas = append(p.deltas, reverse)
	p.deltaBytes += len(reverse.GetMiddle())
	for len(p.deltas) > 0 && (len(p.deltas) > p.limits.deltas || p.deltaBytes > p.limits.deltaBytes) {
		p.deltaBytes -= len(p.deltas[0].GetMiddle())
		p.deltas = p.deltas[1:]
	}
}

func (p *Publication) recordChange(r *daisyhatchv1.ChangeRecord) {
	p.changes = append(p.changes, r)
	p.byID[r.GetChangeId()] = r
	if len(p.changes) <= p.limits.changes {
		return
	}
	oldest := p.changes[0]
	p.changes = p.changes[1:]
	delete(p.byID, oldest.GetChangeId())
	// A resent change whose record was dropped can't be told from a new one, so unknown IDs are refused from now on with
	// this base version or an older one, unless it is the version in force.
	p.expiredBase = max(p.expiredBase, min(oldest.GetBaseVersion()+1, p.inForce.GetVersion()))
}

// InForce returns the version in force. The caller must not modify it.
func (p *Publication) InForce() *daisyhatchv1.ConfigurationVersion { return p.inForce }

// History returns up to limit versions without their text, newest first.
func (p *Publication) History(limit int) []*daisyhatchv1.ConfigurationVersion {
	n := min(limit, len(p.history))
	out := make([]*daisyhatchv1.ConfigurationVersion, 0, n)
	for i := range n {
		out = append(out, p.history[len(p.history)-1-i])
	}
	return out
}

// Version returns a version with its text. It returns ErrNoVersion when the text is not stored.
func (p *Publication) Version(version uint64) (*daisyhatchv1.ConfigurationVersion, error) {
	stored, err := p.StoredVersion(version)
	if err != nil {
		return nil, err
	}
	return stored.Configuration()
}

// StoredVersion holds what is needed to rebuild the text of a version later. It stays valid while the
// Publication changes.
type StoredVersion struct {
	meta *daisyhatchv1.ConfigurationVersion
	// text is the configuration that was in force when this was taken. The deltas lead from it to older texts, the last
	// one first.
	text   []byte
	deltas []*daisyhatchv1.ConfigurationDelta
}

// StoredVersion returns a version without rebuilding its text. It returns ErrNoVersion when the text is not stored.
func (p *Publication) StoredVersion(version uint64) (StoredVersion, error) {
	current := p.inForce.GetVersion()
	if version == current {
		return StoredVersion{meta: p.inForce, text: p.inForce.GetConfiguration()}, nil
	}
	back := current - version
	if version == 0 || version > current || back > uint64(len(p.deltas)) || back >= uint64(len(p.history)) {
		return StoredVersion{}, fmt.Errorf("%w: %d", ErrNoVersion, version)
	}
	return StoredVersion{
		meta:   p.history[uint64(len(p.history))-1-back],
		text:   p.inForce.GetConfiguration(),
		deltas: p.deltas[uint64(len(p.deltas))-back:],
	}, nil
}

// Configuration rebuilds the text and returns the version with it.
func (p StoredVersion) Configuration() (*daisyhatchv1.ConfigurationVersion, error) {
	text := p.text
	for _, d := range slices.Backward(p.deltas) {
		older, err := Patch(text, d)
		if err != nil {
			return nil, err
		}
		text = older
	}
	v := WithoutText(p.meta)
	v.Configuration = text
	return v, nil
}

// Snapshot returns the state, which shares memory with p: the caller must encode it before the next Publish.
func (p *Publication) Snapshot() *daisyhatchv1.PublicationSnapshot {
	return &daisyhatchv1.PublicationSnapshot{
		InForce:       p.inForce,
		History:       p.history,
		Deltas:        p.deltas,
		Changes:       p.changes,
		ForgottenBase: p.expiredBase,
	}
}

// Restore returns a Publication with the state of a snapshot. It returns ErrSnapshot when the snapshot is inconsistent.
func Restore(s *daisyhatchv1.PublicationSnapshot) (*Publication, error) {
	p := New()
	if s.GetInForce() != nil {
		p.inForce = s.GetInForce()
	}
	p.history = s.GetHistory()
	p.deltas = s.GetDeltas()
	p.changes = s.GetChanges()
	p.expiredBase = s.GetForgottenBase()
	if n := len(p.history); n > 0 && p.history[n-1].GetVersion() != p.inForce.GetVersion() {
		return nil, fmt.Errorf("%w: the last version in the history is not the version in force", ErrSnapshot)
	}
	if len(p.history) > MaxHistory || len(p.deltas) > MaxDeltas || len(p.changes) > MaxChanges {
		return nil, fmt.Errorf("%w: more records than the limits allow", ErrSnapshot)
	}
	for _, d := range p.deltas {
		p.deltaBytes += len(d.GetMiddle())
	}
	for _, r := range p.changes {
		if _, ok := p.byID[r.GetChangeId()]; ok {
			return nil, fmt.Errorf("%w: change ID %q appears twice", ErrSnapshot, r.GetChangeId())
		}
		p.byID[r.GetChangeId()] = r
	}
	return p, nil
}

// WithoutText returns a copy of a version without its text.
func WithoutText(v *daisyhatchv1.ConfigurationVersion) *daisyhatchv1.ConfigurationVersion {
	return &daisyhatchv1.ConfigurationVersion{
		Version:        v.GetVersion(),
		ChangeId:       v.GetChangeId(),
		Operator:       v.GetOperator(),
		Reason:         v.GetReason(),
		AcceptedUnixMs: v.GetAcceptedUnixMs(),
	}
}

func checkFields(c *daisyhatchv1.PublishCommand) error {
	switch {
	case c.GetChangeId() == "" || len(c.GetChangeId()) > MaxChangeID:
		return fmt.Errorf("%w: the change ID must have 1 to %d bytes", ErrCommand, MaxChangeID)
	case len(c.GetOperator()) > MaxOperator:
		return fmt.Errorf("%w: the operator's name is longer than %d bytes", ErrCommand, MaxOperator)
	case len(c.GetReason()) > MaxReason:
		return fmt.Errorf("%w: the reason is longer than %d bytes", ErrCommand, MaxReason)
	}
	return nil
}

// checkText must give the same verdict in every release of the software, so that all VMs accept the same texts during an
// upgrade. The full check of a configuration is made before a change is proposed.
func checkText(text []byte) error {
	switch {
	case len(text) == 0:
		return fmt.Errorf("%w: the configuration is empty", ErrCommand)
	case len(text) > MaxText:
		return fmt.Errorf("%w: the configuration is larger than %d bytes", ErrCommand, MaxText)
	case !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0:
		return fmt.Errorf("%w: the configuration is not UTF-8 text without NUL bytes", ErrCommand)
	}
	return nil
}

// contentHash returns a hash of all that two sendings of one change have in common: operator, base version, reason and
// the complete new text.
func contentHash(c *daisyhatchv1.PublishCommand) []byte {
	h := sha256.New()
	text := sha256.Sum256(c.GetConfiguration())
	if c.GetDelta() != nil {
		copy(text[:], c.GetConfigurationSha256())
	}
	h.Write(text[:])
	h.Write(binary.BigEndian.AppendUint64(nil, c.GetBaseVersion()))
	h.Write([]byte(c.GetOperator()))
	h.Write([]byte{0})
	h.Write([]byte(c.GetReason()))
	return h.Sum(nil)
}
