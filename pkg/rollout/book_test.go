package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Guards against an order that stood still on its way and starts a roll-out after a later one has ended.
func TestOrderIsOvertakenByWhatIsRecordedAfterItsBase(t *testing.T) {
	const duration = time.Minute
	ended := []*daisyhatchv1.RolloutCommand{startCommand("v2", duration), decideCommand(1, RolledBack)}
	for name, c := range map[string]struct {
		before, between []*daisyhatchv1.RolloutCommand
		want            daisyhatchv1.RolloutOutcome
	}{
		"nothing":                       {nil, nil, daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED},
		"after one that ended":          {ended, nil, daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED},
		"one that ended since":          {nil, ended, daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_OVERTAKEN},
		"the end of one since":          {ended[:1], ended[1:], daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_OVERTAKEN},
		"one that began since":          {nil, ended[:1], daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_CONFLICT},
		"the same order, given since":   {nil, []*daisyhatchv1.RolloutCommand{startCommand("v3", duration)}, daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_KNOWN},
		"the same order, ended quickly": {nil, []*daisyhatchv1.RolloutCommand{startCommand("v3", duration), decideCommand(1, RolledBack)}, daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_KNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			b := applied(t, c.before...)
			order := startCommand("v3", duration)
			order.Base = BaseOf(b.Rollouts(), service)
			for _, between := range c.between {
				_, err := b.Apply(between, epoch.UnixMilli())
				require.NoError(t, err)
			}
			_, number, changes := b.Snapshot()
			list := b.Rollouts()
			r, err := b.Apply(order, epoch.UnixMilli())
			require.NoError(t, err)
			require.Equal(t, c.want, r.GetOutcome())
			if c.want == daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_OVERTAKEN {
				require.Equal(t, list, b.Rollouts())
				_, numberAfter, changesAfter := b.Snapshot()
				require.Equal(t, []uint64{number + 1, changes + 1}, []uint64{numberAfter, changesAfter}, "replicas that don't know the base start a roll-out")
			}
		})
	}
}
