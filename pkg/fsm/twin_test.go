package fsm_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
)

func name(prefix string) *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, 3).Draw(t, prefix)) })
}

// commands yields commands of all kinds over few names, so that they meet.
func command(t *rapid.T, now int64) *daisyhatchv1.Command {
	c := &daisyhatchv1.Command{
		TimeUnixMs: now + rapid.Int64Range(-5000, 5000).Draw(t, "skew"),
		Proposer:   name("vm").Draw(t, "proposer"),
	}
	kinds := []func(*rapid.T, *daisyhatchv1.Command){publish, leaseCommand, claim, complete, crash, orderCommand, orderResult, departureCommand, rolloutCommand}
	kind := rapid.IntRange(0, len(kinds)).Draw(t, "kind")
	if kind < len(kinds) {
		kinds[kind](t, c)
		return c
	}
	b := &daisyhatchv1.BatchCommand{}
	for range rapid.IntRange(0, 4).Draw(t, "batch") {
		inner := &daisyhatchv1.Command{}
		rapid.SampledFrom(kinds).Draw(t, "inner")(t, inner)
		b.Commands = append(b.Commands, inner)
	}
	c.Body = &daisyhatchv1.Command_Batch{Batch: b}
	return c
}

func departureCommand(t *rapid.T, c *daisyhatchv1.Command) {
	c.Body = &daisyhatchv1.Command_Departure{Departure: &daisyhatchv1.DepartureCommand{Server: &daisyhatchv1.AnnouncedServer{
		Id: name("i").Draw(t, "id"), BornUnixMs: rapid.Int64Range(0, 3).Draw(t, "born"),
		State: daisyhatchv1.AnnouncedState(rapid.IntRange(1, 3).Draw(t, "state")),
	}}}
}

func rolloutCommand(t *rapid.T, c *daisyhatchv1.Command) {
	service, number := name("service").Draw(t, "service"), rapid.Uint64Range(0, 4).Draw(t, "number")
	r := &daisyhatchv1.RolloutCommand{}
	switch rapid.IntRange(0, 3).Draw(t, "action") {
	case 0:
		r.Action = &daisyhatchv1.RolloutCommand_Start{Start: &daisyhatchv1.RolloutStart{
			Service: service, Version: name("v").Draw(t, "version"), DurationMs: rapid.Int64Range(900, 2000).Draw(t, "duration"),
		}}
		if rapid.Bool().Draw(t, "based") {
			r.Base = &daisyhatchv1.RolloutBase{Number: number, Phase: daisyhatchv1.RolloutPhase(rapid.IntRange(0, 4).Draw(t, "base phase"))}
		}
	case 1:
		r.Action = &daisyhatchv1.RolloutCommand_Decision{Decision: &daisyhatchv1.RolloutDecision{
			Service: service, Number: number, Phase: daisyhatchv1.RolloutPhase(rapid.IntRange(0, 5).Draw(t, "phase")),
		}}
	case 2:
		r.Action = &daisyhatchv1.RolloutCommand_Reservation{Reservation: &daisyhatchv1.RolloutReservation{
			Service: service, Number: number, Reserved: rapid.Uint64Range(0, 50).Draw(t, "reserved"),
			Base: rapid.Uint64Range(0, 2).Draw(t, "base"),
		}}
	}
	c.Body = &daisyhatchv1.Command_Rollout{Rollout: r}
}

func publish(t *rapid.T, c *daisyhatchv1.Command) {
	c.Body = &daisyhatchv1.Command_Publish{Publish: &daisyhatchv1.PublishCommand{
		ChangeId:      fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "change")),
		BaseVersion:   rapid.Uint64Range(0, 5).Draw(t, "base"),
		Operator:      name("operator").Draw(t, "operator"),
		Configuration: []byte("a" + name("text").Draw(t, "text") + "z"),
	}}
}

func leaseCommand(t *rapid.T, c *daisyhatchv1.Command) {
	c.Body = &daisyhatchv1.Command_Lease{Lease: &daisyhatchv1.LeaseCommand{
		Name:            name("lease").Draw(t, "lease"),
		Holder:          name("vm").Draw(t, "holder"),
		Incarnation:     name("i").Draw(t, "incarnation"),
		TtlMs:           1500,
		Release:         rapid.Bool().Draw(t, "release"),
		ObservedRenewal: rapid.Uint64Range(0, 6).Draw(t, "observed"),
	}}
}

func claim(t *rapid.T, c *daisyhatchv1.Command) {
	c.Body = &daisyhatchv1.Command_Claim{Claim: &daisyhatchv1.ClaimCommand{
		Organisation:   name("org").Draw(t, "org"),
		Key:            name("key").Draw(t, "key"),
		BodyHash:       rapid.Uint64Range(0, 1).Draw(t, "body"),
		Holder:         name("e").Draw(t, "holder"),
		Incarnation:    name("i").Draw(t, "incarnation"),
		Attempt:        name("a").Draw(t, "attempt"),
		DeadlineUnixMs: rapid.Int64Range(0, 10_000_000).Draw(t, "deadline"),
		CreatedUnixMs:  rapid.SampledFrom([]int64{0, 0, 1_000_000, 90_000_000}).Draw(t, "created"),
	}}
}

func complete(t *rapid.T, c *daisyhatchv1.Command) {
	cmd := &daisyhatchv1.CompleteCommand{
		Organisation: name("org").Draw(t, "org"),
		Key:          name("key").Draw(t, "key"),
		Holder:       name("e").Draw(t, "holder"),
		Incarnation:  name("i").Draw(t, "incarnation"),
		Attempt:      name("a").Draw(t, "attempt"),
	}
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		cmd.NotRun = true
	case 1:
		cmd.Unknown = true
	default:
		body := make([]byte, rapid.SampledFrom([]int{0, 3, 70_000}).Draw(t, "size"))
		cmd.Outcome = &daisyhatchv1.StoredOutcome{Status: 200, Body: body}
	}
	c.Body = &daisyhatchv1.Command_Complete{Complete: cmd}
}

func crash(t *rapid.T, c *daisyhatchv1.Command) {
	c.Body = &daisyhatchv1.Command_Crash{Crash: &daisyhatchv1.CrashCommand{
		Server:            name("server").Draw(t, "server"),
		ServerIncarnation: name("i").Draw(t, "incarnation"),
		Fingerprints:      rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 3).Draw(t, "fingerprints"),
		Alone:             rapid.Bool().Draw(t, "alone"),
	}}
}

func orderCommand(t *rapid.T, c *daisyhatchv1.Command) {
	c.Body = &daisyhatchv1.Command_Order{Order: &daisyhatchv1.OrderCommand{
		OrderId:  name("order").Draw(t, "order"),
		Pool:     name("pool").Draw(t, "pool"),
		Kind:     daisyhatchv1.OrderKind_ORDER_KIND_LOAD_MODEL,
		Value:    name("model").Draw(t, "value"),
		Withdraw: rapid.Bool().Draw(t, "withdraw"),
	}}
}

func orderResult(t *rapid.T, c *daisyhatchv1.Command) {
	c.Body = &daisyhatchv1.Command_OrderResult{OrderResult: &daisyhatchv1.OrderResultCommand{
		OrderId: name("order").Draw(t, "order"),
		Server:  name("server").Draw(t, "server"),
		Fence:   rapid.Uint64Range(0, 40).Draw(t, "fence"),
		InForce: rapid.Bool().Draw(t, "in force"),
	}}
}

func encoded(t require.TestingT, c *daisyhatchv1.Command) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	require.NoError(t, err)
	return data
}

func snapshot(t require.TestingT, m *fsm.Machine) []byte {
	data, err := m.Snapshot()
	require.NoError(t, err)
	return data
}

// A machine restored from a snapshot, at any point, goes on exactly like the one that the snapshot was taken of.
func TestRestoredMachineGoesOnAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := fsm.New(), fsm.New()
		now := int64(1_000_000)
		steps := rapid.Uint64Range(1, 150).Draw(t, "steps")
		for index := uint64(1); index <= steps; index++ {
			now += rapid.SampledFrom([]int64{0, 100, 3000, 400_000, 90_000_000}).Draw(t, "pass")
			c := encoded(t, command(t, now))
			require.Equal(t, a.Apply(index, c), b.Apply(index, c))
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				b = fsm.New()
				require.NoError(t, b.Restore(snapshot(t, a)))
			}
			require.Equal(t, snapshot(t, a), snapshot(t, b))
		}
	})
}

// A refused or malformed command, and a refused snapshot, change nothing but the index and the clock.
func TestDamagedInputChangesNothing(t *testing.T) {
	m := fsm.New()
	c := &daisyhatchv1.Command{TimeUnixMs: 1000}
	rapid.Check(t, func(t *rapid.T) { publish(t, c) })
	m.Apply(1, encoded(t, c))
	before := snapshot(t, m)
	require.ErrorIs(t, m.Restore([]byte("garbage")), fsm.ErrSnapshot)
	require.ErrorIs(t, m.Restore(nil), fsm.ErrSnapshot)
	_, err := fsm.DecodeResult(m.Apply(1, []byte{0xff}))
	require.ErrorIs(t, err, fsm.ErrCommand)
	require.Equal(t, before, snapshot(t, m))
}

func FuzzApply(f *testing.F) {
	f.Add([]byte{}, []byte{0xff})
	f.Add([]byte{8, 1}, []byte{8, 2, 74, 0})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a, b := fsm.New(), fsm.New()
		a.Apply(1, first)
		require.NoError(t, b.Restore(snapshot(t, a)))
		require.Equal(t, a.Apply(2, second), b.Apply(2, second))
		require.Equal(t, snapshot(t, a), snapshot(t, b))
	})
}

func FuzzRestore(f *testing.F) {
	m := fsm.New()
	data, err := m.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := fsm.New()
		if m.Restore(data) != nil {
			return
		}
		m.Apply(1, []byte{8, 1})
		again := fsm.New()
		require.NoError(t, again.Restore(snapshot(t, m)))
	})
}
