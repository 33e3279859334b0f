package main

import (
	"crypto/sha256"
	"fmt"
	"os"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

func stateProbes() []probe {
	return []probe{
		{slopeClaimCPU, "claims", "s", []int{4000, 16_000, 60_000}, measureClaims},
		{slopeClaimHeap, "claims", "byte", []int{4000, 16_000, 60_000}, measureClaimHeap},
		{slopeLease, "renewals", "s", []int{5000, 15_000, 45_000}, measureLeases},
		{slopePublish, "organisations", "s", []int{2000, 7000, 21_000}, measurePublish},
		{slopeSnapshot, "claims", "byte", []int{4000, 16_000, 60_000}, measureSnapshot},
		{slopeSync, "entries of 300 bytes", "s", []int{1, 16, 64}, measureSync},
	}
}

func claim(i int) *daisyhatchv1.Command {
	return &daisyhatchv1.Command{
		TimeUnixMs: epoch.UnixMilli(), Proposer: "vm-1",
		Body: &daisyhatchv1.Command_Claim{Claim: &daisyhatchv1.ClaimCommand{
			Organisation: fmt.Sprintf("organisation-%05d", i%organisations), Key: fmt.Sprintf("0190a1b2-c3d4-7e5f-8a9b-%012d", i),
			BodyHash: uint64(i), Holder: fmt.Sprint("vm-", i%entryVMs), Incarnation: "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b",
			DeadlineUnixMs: epoch.UnixMilli() + 5000, CreatedUnixMs: epoch.UnixMilli(), Attempt: fmt.Sprint("attempt-", i),
		}},
	}
}

func encodeAll(n int, command func(int) *daisyhatchv1.Command) ([][]byte, error) {
	list := make([][]byte, n)
	for i := range list {
		data, err := proto.Marshal(command(i))
		if err != nil {
			return nil, err
		}
		list[i] = data
	}
	return list, nil
}

func applyAll(m *fsm.Machine, list [][]byte) error {
	for i, c := range list {
		if _, err := fsm.DecodeResult(m.Apply(uint64(i+1), c)); err != nil {
			return err
		}
	}
	return nil
}

func measureClaims(n int) (float64, error) {
	list, err := encodeAll(n, claim)
	if err != nil {
		return 0, err
	}
	return cpu(func() error { return applyAll(fsm.New(), list) })
}

func claimed(n int) (*fsm.Machine, error) {
	list, err := encodeAll(n, claim)
	if err != nil {
		return nil, err
	}
	m := fsm.New()
	return m, applyAll(m, list)
}

func measureClaimHeap(n int) (float64, error) {
	var failed error
	bytes := heap(func() any {
		m, err := claimed(n)
		failed = err
		return m
	})
	return bytes, failed
}

func measureSnapshot(n int) (float64, error) {
	m, err := claimed(n)
	if err != nil {
		return 0, err
	}
	data, err := m.Snapshot()
	return float64(len(data)), err
}

// measureLeases renews the leases of all shards in turn.
func measureLeases(n int) (float64, error) {
	list, err := encodeAll(n, func(i int) *daisyhatchv1.Command {
		return &daisyhatchv1.Command{
			TimeUnixMs: epoch.UnixMilli() + int64(i), Proposer: "vm-1",
			Body: &daisyhatchv1.Command_Lease{Lease: &daisyhatchv1.LeaseCommand{
				Name: grant.LeaseName(uint32(i % grant.Shards)), Holder: "vm-1", Incarnation: "1", TtlMs: grant.LeaseTTL.Milliseconds(),
			}},
		}
	})
	if err != nil {
		return 0, err
	}
	return cpu(func() error { return applyAll(fsm.New(), list) })
}

// measurePublish applies changes of one line as deltas to a configuration with n organisations.
func measurePublish(n int) (float64, error) {
	base := configurationText(n)
	changed := append(append([]byte{}, base...), "# changed\n"...)
	m := fsm.New()
	first, err := encodeAll(1, func(int) *daisyhatchv1.Command { return publish(0, &daisyhatchv1.PublishCommand{Configuration: base}) })
	if err != nil {
		return 0, err
	}
	if err := applyAll(m, first); err != nil {
		return 0, err
	}
	texts := [][]byte{base, changed}
	list, err := encodeAll(rounds, func(i int) *daisyhatchv1.Command {
		v := uint64(i + 1)
		next := texts[(i+1)%2]
		sum := sha256.Sum256(next)
		return publish(v, &daisyhatchv1.PublishCommand{Delta: publication.Diff(v, texts[i%2], next), ConfigurationSha256: sum[:]})
	})
	if err != nil {
		return 0, err
	}
	total, err := cpu(func() error { return applyAll(m, list) })
	if v, _ := m.View(); v.InForce.GetVersion() != rounds+1 {
		return 0, fmt.Errorf("version %d in force, not %d", v.InForce.GetVersion(), rounds+1)
	}
	return total / rounds, err
}

func publish(base uint64, c *daisyhatchv1.PublishCommand) *daisyhatchv1.Command {
	c.ChangeId, c.BaseVersion, c.Operator = fmt.Sprint("change-", base), base, "lead"
	return &daisyhatchv1.Command{
		TimeUnixMs: epoch.UnixMilli(), Proposer: "vm-1", Body: &daisyhatchv1.Command_Publish{Publish: c},
	}
}

// measureSync returns the time, not processor time, of one synced write; the disk of the temporary folder counts.
func measureSync(n int) (float64, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w, _, err := wal.Open(wal.Options{Dir: dir, Log: logr.Discard()})
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Close() }()
	index := uint64(1)
	begin := time.Now()
	for range rounds {
		var b wal.Batch
		for range n {
			b.Entries = append(b.Entries, &daisyhatchv1.LogEntry{
				Term: 1, Index: index, Kind: daisyhatchv1.EntryKind_ENTRY_KIND_COMMAND, Data: make([]byte, 300),
			})
			index++
		}
		if err := w.Save(b); err != nil {
			return 0, err
		}
	}
	return time.Since(begin).Seconds() / rounds, nil
}
