// Package ledger implements the replicated state of idempotency keys. The first claim of a key is granted. Later claims
// of it return the state of the first until its retention ends; after that, a key with a known creation time is refused
// as expired, and any other key may be granted again. The package is deterministic and does no I/O; all times are
// replicated time in Unix milliseconds.
package ledger

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed and was not applied.
	ErrCommand = errors.New("ledger: malformed command")
	// ErrSnapshot means that a snapshot is inconsistent or has more than MaxClaims claims.
	ErrSnapshot = errors.New("ledger: bad snapshot")
)

// Limits of the ledger. Durations are in milliseconds.
const (
	// MaxClaims is the maximum number of claims kept.
	MaxClaims = 65_536
	// MaxBody is the size in bytes of the largest response body that is stored.
	MaxBody = 64 << 10
	// MaxBodies is the total size in bytes of the stored response bodies. Above it, the oldest bodies are dropped and
	// their outcomes kept.
	MaxBodies = 4 << 20
	// RetentionMs is how long a claim is kept while the ledger is not full.
	RetentionMs = 24 * 60 * 60 * 1000
	// MinRetentionMs is how long a claim whose key has a known creation time is kept at least when the ledger is full.
	MinRetentionMs = 5 * 60 * 1000
	// ClockSlackMs is how far a key's creation time may lie in the future, for callers whose clocks are ahead. Times
	// beyond it are ignored.
	ClockSlackMs = 60 * 1000
	// MaxRunMs is the longest time from a claim to its holder's deadline.
	MaxRunMs = 60 * 60 * 1000
	// MinRunMs is the shortest time from a claim to its holder's deadline, for entry VMs whose clocks are behind.
	MinRunMs = 1000
	// DeadlineMarginMs is the time after the holder's deadline until a pending outcome is reported as unknown.
	DeadlineMarginMs = 2000
	// MaxKey, MaxOrganisation and MaxName are maximum lengths in bytes; MaxName applies to holder, incarnation and
	// attempt.
	MaxKey          = 256
	MaxOrganisation = 128
	MaxName         = 128
)

// Key identifies a claim: an idempotency key within an organisation.
type Key struct {
	Organisation string
	Key          string
}

// id is a truncated SHA-256 hash of a Key, which is stored instead of the Key to keep claims small.
type id [16]byte

func (k Key) id() id {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(k.Organisation))))
	h.Write([]byte(k.Organisation))
	h.Write([]byte(k.Key))
	return id(h.Sum(nil)[:len(id{})])
}

// claim is a recorded claim. Its times are in Unix milliseconds.
type claim struct {
	id       id
	bodyHash uint64
	process  *process
	// attempt is the XXH64 hash of the holder's attempt ID.
	attempt uint64
	// deadline is the time after which a pending claim is reported as unknown.
	deadline int64
	// created is the creation time of the key; 0 if unknown.
	created int64
	// accepted is the time of the claim.
	accepted int64
	state    daisyhatchv1.ClaimState
	outcome  *outcome
	// bodySequence orders the stored bodies by completion; 0 if no body is stored.
	bodySequence uint64
	// position is the claim's element in Ledger.timed or Ledger.untimed.
	position *list.Element
	// bodyPosition is the claim's element in Ledger.bodies; nil if no body is stored.
	bodyPosition *list.Element
}

// process is one incarnation of an entry VM that holds claims in the ledger.
type process struct {
	holder      string
	incarnation string
	// latest is true if the holder made its last claim in this incarnation.
	latest bool
	// claims is the number of recorded claims.
	claims int
}

// processKey identifies a process.
type processKey struct {
	holder      string
	incarnation string
}

// Ledger is the state of all recorded claims. It isn't safe for concurrent use.
type Ledger struct {
	claims    map[id]*claim
	processes map[processKey]*process
	// timed lists the claims whose keys have a known creation time, untimed the others; both in the order in which the
	// claims were accepted.
	timed, untimed *list.List
	// bodies lists the claims with a stored body, in the order in which they were completed.
	bodies *list.List
	// bodyBytes is the total size of the stored bodies in bytes.
	bodyBytes int
	// bodySequence is the number of the body stored last.
	bodySequence uint64
	// watermark is the latest creation time, in Unix milliseconds, among the keys that were dropped early to make room.
	// An unrecorded key created at or before it may be one of them and is refused as expired.
	watermark int64
	// contentTypes interns content types, so that claims share one copy of each.
	contentTypes map[string]string
	// maxClaims and maxBodies are MaxClaims and MaxBodies, except in tests.
	maxClaims int
	maxBodies int
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{
		claims:    make(map[id]*claim),
		processes: make(map[processKey]*process),

		contentTypes: make(map[string]string),
		timed:        list.New(),
		untimed:      list.New(),
		bodies:       list.New(),
		maxClaims:    MaxClaims,
		maxBodies:    MaxBodies,
	}
}

// Claim applies a claim at time nowMs. A repeated claim by the same holder, incarnation and attempt is granted again
// while it is pending. It returns ErrCommand for a malformed command.
func (l *Ledger) Claim(c *daisyhatchv1.ClaimCommand, nowMs int64) (*daisyhatchv1.ClaimResult, error) {
	if err := checkClaim(c); err != nil {
		return nil, err
	}
	l.Expire(nowMs)
	l.noteIncarnation(c.GetHolder(), c.GetIncarnation())
	key := Key{c.GetOrganisation(), c.GetKey()}.id()
	if old, ok := l.claims[key]; ok {
		return repeatClaim(old, c, nowMs), nil
	}
	if l.maybeDropped(c, nowMs) {
		return &daisyhatchv1.ClaimResult{State: daisyhatchv1.ClaimState_CLAIM_STATE_EXPIRED}, nil
	}
	if !l.makeRoom(nowMs) {
		return &daisyhatchv1.ClaimResult{State: daisyhatchv1.ClaimState_CLAIM_STATE_FULL}, nil
	}
	l.addClaim(key, c, nowMs)
	return &daisyhatchv1.ClaimResult{State: daisyhatchv1.ClaimState_CLAIM_STATE_GRANTED, Holder: c.GetHolder()}, nil
}

// repeatClaim returns the result of claiming a key that is already recorded.
func repeatClaim(old *claim, c *daisyhatchv1.ClaimCommand, nowMs int64) *daisyhatchv1.ClaimResult {
	if old.bodyHash != c.GetBodyHash() {
		return &daisyhatchv1.ClaimResult{State: daisyhatchv1.ClaimState_CLAIM_STATE_KEY_REUSED}
	}
	r := old.result(nowMs)
	pending := r.GetState() == daisyhatchv1.ClaimState_CLAIM_STATE_PENDING
	if pending && old.isHeldBy(c.GetHolder(), c.GetIncarnation(), c.GetAttempt()) {
		r.State = daisyhatchv1.ClaimState_CLAIM_STATE_GRANTED
	}
	return r
}

// result returns the claim's state at time nowMs. A pending claim is reported as unknown once its deadline has passed
// or its holder has made a claim in another incarnation. It stays unknown unless that holder still completes it.
func (c *claim) result(nowMs int64) *daisyhatchv1.ClaimResult {
	r := &daisyhatchv1.ClaimResult{State: c.state, Holder: c.process.holder}
	switch c.state {
	case daisyhatchv1.ClaimState_CLAIM_STATE_DONE:
		r.Outcome = c.outcome.toProto()
	case daisyhatchv1.ClaimState_CLAIM_STATE_PENDING:
		if nowMs > c.deadline || !c.process.latest {
			r.State = daisyhatchv1.ClaimState_CLAIM_STATE_UNKNOWN
		}
	}
	return r
}

func (c *claim) isHeldBy(holder, incarnation, attempt string) bool {
	p := c.process
	return p.holder == holder && p.incarnation == incarnation && c.attempt == xxhash.Sum64String(attempt)
}

// maybeDropped reports whether an unrecorded key may have had a claim that was dropped since.
func (l *Ledger) maybeDropped(c *daisyhatchv1.ClaimCommand, nowMs int64) bool {
	created := createdMs(c, nowMs)
	return created != 0 && (created <= l.watermark || created <= nowMs-RetentionMs+ClockSlackMs)
}

// createdMs returns the creation time of the claimed key; 0 if it is not set or more than ClockSlackMs after nowMs.
func createdMs(c *daisyhatchv1.ClaimCommand, nowMs int64) int64 {
	if t := c.GetCreatedUnixMs(); t > 0 && t <= nowMs+ClockSlackMs {
		return t
	}
	return 0
}

func (l *Ledger) addClaim(key id, c *daisyhatchv1.ClaimCommand, nowMs int64) {
	run := min(max(c.GetDeadlineUnixMs()-nowMs, MinRunMs), MaxRunMs)
	n := &claim{
		id:       key,
		bodyHash: c.GetBodyHash(),
		attempt:  xxhash.Sum64String(c.GetAttempt()),
		deadline: nowMs + run + DeadlineMarginMs,
		created:  createdMs(c, nowMs),
		accepted: nowMs,
		state:    daisyhatchv1.ClaimState_CLAIM_STATE_PENDING,
	}
	l.insert(n, l.processOf(c.GetHolder(), c.GetIncarnation()))
	l.noteIncarnation(c.GetHolder(), c.GetIncarnation())
}

// noteIncarnation marks the latest incarnation of a holder. It scans all processes, since only a few hold
// claims at any time.
func (l *Ledger) noteIncarnation(holder, incarnation string) {
	if p, ok := l.processes[processKey{holder, incarnation}]; ok && p.latest {
		return
	}
	for _, p := range l.processes {
		if p.holder == holder {
			p.latest = p.incarnation == incarnation
		}
	}
}

// processOf returns the process of a holder's incarnation, which it adds if it is new.
func (l *Ledger) processOf(holder, incarnation string) *process {
	k := processKey{holder, incarnation}
	p, ok := l.processes[k]
	if !ok {
		p = &process{holder: holder, incarnation: incarnation}
		l.processes[k] = p
	}
	return p
}

func (l *Ledger) insert(n *claim, p *process) {
	p.claims++
	n.process = p
	n.position = l.queue(n).PushBack(n)
	l.claims[n.id] = n
}

func (l *Ledger) queue(c *claim) *list.List {
	if c.created != 0 {
		return l.timed
	}
	return l.untimed
}

func (l *Ledger) remove(c *claim) {
	l.dropBody(c)
	l.queue(c).Remove(c.position)
	delete(l.claims, c.id)
	c.process.claims--
	if c.process.claims == 0 {
		delete(l.processes, processKey{c.process.holder, c.process.incarnation})
	}
}

// makeRoom drops the oldest claims if the ledger is full, and reports whether one more claim fits. It drops only claims
// that are not pending, are older than MinRetentionMs and whose keys have a known creation time: the watermark tells
// those keys from new ones.
func (l *Ledger) makeRoom(nowMs int64) bool {
	for len(l.claims) >= l.maxClaims {
		front := l.timed.Front()
		if front == nil {
			return false
		}
		c := front.Value.(*claim)
		pending := c.result(nowMs).GetState() == daisyhatchv1.ClaimState_CLAIM_STATE_PENDING
		if pending || nowMs < c.accepted+MinRetentionMs {
			return false
		}
		l.watermark = max(l.watermark, c.created)
		l.remove(c)
	}
	return true
}

// Expire drops the claims whose retention has ended at nowMs.
func (l *Ledger) Expire(nowMs int64) {
	for _, q := range []*list.List{l.timed, l.untimed} {
		for e := q.Front(); e != nil && e.Value.(*claim).accepted+RetentionMs <= nowMs; e = q.Front() {
			l.remove(e.Value.(*claim))
		}
	}
}

// Complete records the end of a claim: its outcome, that the outcome is unknown, or that the request did not run, which
// removes the claim. It changes nothing if the claim belongs to another holder, incarnation or attempt. It returns
// ErrCommand for a malformed command.
func (l *Ledger) Complete(c *daisyhatchv1.CompleteCommand, nowMs int64) (*daisyhatchv1.CompleteResult, error) {
	if c.GetNotRun() && (c.GetUnknown() || c.GetOutcome() != nil) {
		return nil, fmt.Errorf("%w: not_run is set together with unknown or an outcome", ErrCommand)
	}
	l.Expire(nowMs)
	old, ok := l.claims[Key{c.GetOrganisation(), c.GetKey()}.id()]
	if !ok || !old.isHeldBy(c.GetHolder(), c.GetIncarnation(), c.GetAttempt()) {
		return &daisyhatchv1.CompleteResult{}, nil
	}
	if old.state == daisyhatchv1.ClaimState_CLAIM_STATE_DONE {
		return &daisyhatchv1.CompleteResult{Stored: !c.GetNotRun() && !c.GetUnknown()}, nil
	}
	switch {
	case c.GetNotRun() && old.state == daisyhatchv1.ClaimState_CLAIM_STATE_PENDING:
		l.remove(old)
	case c.GetNotRun():
		return &daisyhatchv1.CompleteResult{}, nil
	case c.GetUnknown() || c.GetOutcome() == nil:
		old.state = daisyhatchv1.ClaimState_CLAIM_STATE_UNKNOWN
	default:
		l.storeOutcome(old, c.GetOutcome())
	}
	return &daisyhatchv1.CompleteResult{Stored: true}, nil
}

func (l *Ledger) storeOutcome(c *claim, o *daisyhatchv1.StoredOutcome) {
	c.state = daisyhatchv1.ClaimState_CLAIM_STATE_DONE
	c.outcome = l.newOutcome(o)
	if len(c.outcome.body) > MaxBody {
		c.outcome.body = nil
		c.outcome.omitted = true
	}
	if len(c.outcome.body) == 0 {
		return
	}
	l.bodySequence++
	l.addBody(c, l.bodySequence)
	for l.bodyBytes > l.maxBodies {
		oldest := l.bodies.Front().Value.(*claim)
		l.dropBody(oldest)
		oldest.outcome.omitted = true
	}
}

func (l *Ledger) addBody(c *claim, number uint64) {
	c.bodySequence = number
	c.bodyPosition = l.bodies.PushBack(c)
	l.bodyBytes += len(c.outcome.body)
}

func (l *Ledger) dropBody(c *claim) {
	if c.bodyPosition == nil {
		return
	}
	l.bodyBytes -= len(c.outcome.body)
	l.bodies.Remove(c.bodyPosition)
	c.bodyPosition = nil
	c.bodySequence = 0
	c.outcome.body = nil
}

// Lookup returns a claim's state at time nowMs; nil if the key is not recorded.
func (l *Ledger) Lookup(k Key, nowMs int64) *daisyhatchv1.ClaimResult {
	c, ok := l.claims[k.id()]
	if !ok {
		return nil
	}
	return c.result(nowMs)
}

// Len returns the number of recorded claims.
func (l *Ledger) Len() int { return len(l.claims) }

// BodyBytes returns the total size of the stored response bodies in bytes.
func (l *Ledger) BodyBytes() int { return l.bodyBytes }

func checkClaim(c *daisyhatchv1.ClaimCommand) error {
	switch {
	case c.GetOrganisation() == "" || len(c.GetOrganisation()) > MaxOrganisation:
		return fmt.Errorf("%w: organisation must have 1 to %d bytes", ErrCommand, MaxOrganisation)
	case c.GetKey() == "" || len(c.GetKey()) > MaxKey:
		return fmt.Errorf("%w: key must have 1 to %d bytes", ErrCommand, MaxKey)
	case c.GetHolder() == "" || c.GetIncarnation() == "" || c.GetAttempt() == "":
		return fmt.Errorf("%w: holder, incarnation and attempt must be set", ErrCommand)
	case len(c.GetHolder()) > MaxName || len(c.GetIncarnation()) > MaxName || len(c.GetAttempt()) > MaxName:
		return fmt.Errorf("%w: holder, incarnation and attempt must have at most %d bytes", ErrCommand, MaxName)
	}
	return nil
}
