package operator

import (
	"errors"
	"fmt"
	"strings"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

// rolloutInterval is the time between two looks at a roll-out that is watched.
const rolloutInterval = time.Second

// ErrRolledBack means that a roll-out that was watched ended with the version taken out again.
var ErrRolledBack = errors.New("operator: the version was rolled back")

type rolloutCmd struct {
	Start  rolloutStartCmd  `cmd:"" help:"Order that a service's requests move to a version; the roll-out ends by itself."`
	Status rolloutStatusCmd `cmd:"" help:"Show the latest roll-out of each service."`
	Watch  rolloutWatchCmd  `cmd:"" help:"Show a roll-out's progress until it has ended."`
}

type rolloutStartCmd struct {
	Service string        `arg:"" help:"Name of the service."`
	To      string        `arg:"" help:"Version that the requests move to."`
	For     time.Duration `help:"Time for the roll-out; it ends before." default:"5m"`
}

// Help shows examples.
func (rolloutStartCmd) Help() string {
	return `Start servers of the version beside the others first. The version gets a bounded share of the requests and is
compared with the others; then it gets all, or none. After exit code 4 run the same command again: an order that was
accepted has the same outcome.

Examples:
  daisyhatch rollout start desk v2 --for 10m
  daisyhatch rollout watch desk`
}

// Run orders the roll-out.
func (r *rolloutStartCmd) Run(s *session) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	answer, err := call(s.ctx, c, daisyhatchv1connect.OperatorServiceClient.StartRollout, &daisyhatchv1.StartRolloutRequest{
		Rollout: &daisyhatchv1.RolloutStart{Service: r.Service, Version: r.To, DurationMs: r.For.Milliseconds()},
	})
	if err != nil {
		return err
	}
	if s.json() {
		return s.printProto(answer)
	}
	s.printf("roll-out of service %s to version %s ordered\n", r.Service, r.To)
	return nil
}

type rolloutStatusCmd struct{}

// Help shows examples.
func (rolloutStatusCmd) Help() string {
	return `Examples:
  daisyhatch rollout status
  daisyhatch rollout status --output json`
}

// Run shows the roll-outs.
func (rolloutStatusCmd) Run(s *session) error {
	answer, err := s.rollouts()
	if err != nil {
		return err
	}
	if s.json() {
		return s.printProto(answer)
	}
	rows := [][]string{{"SERVICE", "TO", "STATE", "ORDERED", "CHANGED", "REASON"}}
	for _, r := range answer.GetRollouts() {
		rows = append(rows, []string{
			r.GetService(), r.GetVersion(), phaseName(r.GetPhase()), formatTime(r.GetStartedUnixMs()), formatTime(r.GetChangedUnixMs()), r.GetReason(),
		})
	}
	s.table(rows)
	return nil
}

func (s *session) rollouts() (*daisyhatchv1.ListRolloutsResponse, error) {
	c, err := s.connect()
	if err != nil {
		return nil, err
	}
	return read(s.ctx, c, daisyhatchv1connect.OperatorServiceClient.ListRollouts, &daisyhatchv1.ListRolloutsRequest{})
}

type rolloutWatchCmd struct {
	Service string `arg:"" help:"Name of the service."`
}

// Help shows examples.
func (rolloutWatchCmd) Help() string {
	return `Prints a line whenever the roll-out enters another state. Exit code 1 means that the version was rolled back.

Examples:
  daisyhatch rollout watch desk`
}

// Run watches the roll-out until it has ended.
func (w *rolloutWatchCmd) Run(s *session) error {
	phase := daisyhatchv1.RolloutPhase_ROLLOUT_PHASE_UNSPECIFIED
	for {
		answer, err := s.rollouts()
		if err != nil {
			return err
		}
		var r *daisyhatchv1.Rollout
		for _, one := range answer.GetRollouts() {
			if one.GetService() == w.Service {
				r = one
			}
		}
		if r == nil {
			return fmt.Errorf("%w: there is no roll-out of service %q", ErrRefused, w.Service)
		}
		if r.GetPhase() != phase {
			phase = r.GetPhase()
			s.printf("%s  version %s: %s: %s\n", formatTime(r.GetChangedUnixMs()), r.GetVersion(), phaseName(phase), r.GetReason())
		}
		switch phase {
		case daisyhatchv1.RolloutPhase_ROLLOUT_PHASE_COMPLETED:
			return nil
		case daisyhatchv1.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK:
			return ErrRolledBack
		}
		if err := s.sleep(s.ctx, rolloutInterval); err != nil {
			return err
		}
	}
}

func phaseName(p daisyhatchv1.RolloutPhase) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(p.String(), "ROLLOUT_PHASE_")), "_", " ")
}
