package burn

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ErrStore means that the burn store could not be read or written.
var ErrStore = errors.New("burn: store")

const (
	storeFileMode    = 0o600
	storeOpenTimeout = time.Second
)

var (
	storeBucket = []byte("burn")
	storeKey    = []byte("state")
)

// Store keeps an Aggregator's state in a file, so that it lasts over a restart. What was counted since the last
// Save is lost when the process dies.
type Store struct {
	db *bbolt.DB
}

// OpenStore opens or makes the file at path. It returns ErrStore when another process has it open.
func OpenStore(path string) (*Store, error) {
	db, err := bbolt.Open(path, storeFileMode, &bbolt.Options{Timeout: storeOpenTimeout})
	if err != nil {
		return nil, fmt.Errorf("%w: open %s: %w", ErrStore, path, err)
	}
	return &Store{db: db}, nil
}

// Close closes the file.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("%w: close: %w", ErrStore, err)
	}
	return nil
}

// Save writes a's state if it changed since the last Save, and syncs it.
func (s *Store) Save(a *Aggregator) error {
	state, changed := a.snapshot()
	if !changed {
		return nil
	}
	data, err := proto.Marshal(state)
	if err != nil {
		return fmt.Errorf("%w: encode: %w", ErrStore, err)
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(storeBucket)
		if err != nil {
			return err
		}
		return b.Put(storeKey, data)
	})
	if err != nil {
		a.markChanged()
		return fmt.Errorf("%w: write: %w", ErrStore, err)
	}
	return nil
}

// Load reads the saved state into a. Without any it changes nothing.
func (s *Store) Load(a *Aggregator) error {
	var state daisyhatchv1.BurnState
	err := s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(storeBucket)
		if b == nil {
			return nil
		}
		return proto.Unmarshal(b.Get(storeKey), &state)
	})
	if err != nil {
		return fmt.Errorf("%w: read: %w", ErrStore, err)
	}
	a.restore(&state)
	return nil
}

func (a *Aggregator) markChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed = true
}

func (a *Aggregator) snapshot() (*daisyhatchv1.BurnState, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.changed {
		return nil, false
	}
	a.changed = false
	state := &daisyhatchv1.BurnState{Burn: a.report(), Version: a.version, Out: slices.Clone(a.out)}
	for k, s := range a.sources {
		state.Sources = append(state.Sources, &daisyhatchv1.BurnSource{
			Vm: k.vm, Incarnation: k.incarnation, Sequence: s.sequence, HeardUnixS: s.heard,
		})
	}
	return state, true
}

func (a *Aggregator) restore(state *daisyhatchv1.BurnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version, a.out, a.events = state.GetVersion(), state.GetOut(), state.GetBurn().GetDomainEvents()
	for _, p := range state.GetBurn().GetSeries() {
		k := seriesKey{pipeline: p.GetPipeline(), organisation: p.GetOrganisation()}
		s, ok := a.series[k]
		if !ok {
			s = newSeries()
			a.series[k] = s
		}
		if p.GetSlotS() == int64(FineSlot/time.Second) {
			addProto(s.fine, p)
		} else {
			addProto(s.coarse, p)
		}
	}
	for _, c := range state.GetBurn().GetCosts() {
		addCostProto(a.costs, c)
	}
	for _, s := range state.GetSources() {
		a.sources[sourceKey{s.GetVm(), s.GetIncarnation()}] = source{sequence: s.GetSequence(), heard: s.GetHeardUnixS()}
	}
}
