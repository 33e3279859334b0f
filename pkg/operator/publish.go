package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// baseLine starts the line by which a fetched configuration tells its version.
const baseLine = "# daisyhatch base-version: "

// changeFlags are common to all commands that publish.
type changeFlags struct {
	Reason      string        `help:"Why, for the history." short:"m"`
	ChangeID    string        `help:"Change ID of an earlier try to resend; a new one is made otherwise." name:"change-id"`
	Wait        bool          `help:"Wait until the change is in force on all live VMs."`
	WaitTimeout time.Duration `help:"Longest wait." default:"30s"`
}

type publishCmd struct {
	changeFlags
	File string  `arg:"" help:"Configuration file."`
	Base *uint64 `help:"Version that the file was made from; 0 for the first one. Files written by daisyhatch show tell it themselves."`
}

// Help shows examples.
func (publishCmd) Help() string {
	return `The change is accepted only while the version in force is still the one that the file was made from; else
another operator was first and nothing changes (exit code 3). The change ID is printed first: when no answer comes
(exit code 4), resend the same file with it and get the first try's outcome.

Examples:
  daisyhatch show > tas-south.ini                          fetch the version in force
  daisyhatch publish tas-south.ini -m "more replicas"      publish the edited file
  daisyhatch publish tas-south.ini --base 0                publish the first version
  daisyhatch publish tas-south.ini --change-id 5f0c... --wait`
}

// publication is what a publishing command prints at its end.
type publication struct {
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
	Operator string `json:"operator,omitempty"`
	Resent   bool   `json:"resent,omitempty"`
	// Unchanged is true when the system was as wanted already.
	Unchanged bool `json:"unchanged,omitempty"`
	// InForce is true when the wait saw it in force on all live VMs.
	InForce bool `json:"in_force,omitempty"`
}

// Run publishes the file.
func (p *publishCmd) Run(s *session) error {
	text, err := os.ReadFile(p.File)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	base, text, err := splitBase(text)
	if err != nil {
		return err
	}
	if p.Base != nil {
		base = p.Base
	}
	if base == nil {
		return fmt.Errorf("%w: say with --base which version %s was made from, or fetch it by daisyhatch show", ErrUsage, p.File)
	}
	if _, err := config.Parse(p.File, text); err != nil {
		return fmt.Errorf("%w, nothing was sent:\n%w", ErrRefused, err)
	}
	c, err := s.connect()
	if err != nil {
		return err
	}
	done, err := s.publish(c, &p.changeFlags, *base, text)
	if err != nil {
		return err
	}
	return s.accepted(c, &p.changeFlags, done)
}

// splitBase takes the line that tells the base version off a text; the version is nil without such a line.
func splitBase(text []byte) (*uint64, []byte, error) {
	if !bytes.HasPrefix(text, []byte(baseLine)) {
		return nil, text, nil
	}
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	value := strings.TrimSpace(string(line[len(baseLine):]))
	base, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %q in the first line is no version", ErrUsage, value)
	}
	return &base, rest, nil
}

// publish sends one change and prints its ID before.
func (s *session) publish(c *client, f *changeFlags, base uint64, text []byte) (publication, error) {
	id := f.ChangeID
	if id == "" {
		id = uuid.NewString()
	}
	fprintf(s.err, "change ID %s\n", id)
	answer, err := call(s.ctx, c, daisyhatchv1connect.OperatorServiceClient.Publish, &daisyhatchv1.PublishRequest{
		ChangeId: id, BaseVersion: base, Reason: f.Reason, Configuration: text,
	})
	if errors.Is(err, ErrUnknownOutcome) {
		return publication{}, fmt.Errorf("%w\nResend the same command with --change-id %s to learn the outcome", err, id)
	}
	if err != nil {
		return publication{}, err
	}
	return outcome(id, base, answer.GetResult())
}

// outcome turns the system's answer into a publication or an error.
func outcome(id string, base uint64, r *daisyhatchv1.PublishResult) (publication, error) {
	switch r.GetOutcome() {
	case daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED:
		return publication{ChangeID: id, Version: r.GetVersion(), Operator: r.GetOperator(), Resent: r.GetResent()}, nil
	case daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT:
		return publication{}, fmt.Errorf("%w: the change was made from version %d, but version %d by %s (change ID %s) was accepted first",
			ErrConflict, base, r.GetVersion(), r.GetOperator(), r.GetChangeId())
	case daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CHANGE_ID_REUSED:
		return publication{}, fmt.Errorf("%w: %s", ErrReused, id)
	case daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_CHANGE_ID_EXPIRED:
		return publication{}, fmt.Errorf("%w: the first outcome of change ID %s is no longer recorded; nothing was changed now; look at daisyhatch history",
			ErrRefused, id)
	case daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_INVALID:
		return publication{}, fmt.Errorf("%w, the configuration is not valid:\n%s", ErrRefused, strings.Join(r.GetProblems(), "\n"))
	}
	return publication{}, fmt.Errorf("%w: the answer's outcome %v is not known to this client", ErrUnknownOutcome, r.GetOutcome())
}

// accepted waits if asked to and prints the publication.
func (s *session) accepted(c *client, f *changeFlags, done publication) error {
	var waitErr error
	if f.Wait {
		waitErr = s.waitInForce(c, done.Version, f.WaitTimeout)
		done.InForce = waitErr == nil
	}
	if s.json() {
		return errors.Join(s.printJSON(done), waitErr)
	}
	switch {
	case done.Unchanged:
		s.printf("nothing to change: version %d is so already\n", done.Version)
	case done.Resent:
		s.printf("accepted earlier as version %d\n", done.Version)
	default:
		s.printf("accepted as version %d\n", done.Version)
	}
	if done.InForce {
		s.printf("in force on all live VMs\n")
	}
	return waitErr
}

const waitInterval = 200 * time.Millisecond

// waitInForce shows the progress until all live VMs have a version.
func (s *session) waitInForce(c *client, version uint64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	end := s.now().Add(limit)
	shown := ""
	for {
		status, err := getStatus(ctx, c)
		switch {
		case errors.Is(err, ErrRefused):
			return fmt.Errorf("%w, or this key can't see it: %w", ErrNotInForce, err)
		case err != nil:
			shown = err.Error()
		default:
			behind, live := behindVersion(status, version)
			if live > 0 && len(behind) == 0 {
				return nil
			}
			if line := progressLine(version, behind, live); line != shown {
				fprintf(s.err, "%s\n", line)
				shown = line
			}
		}
		if !s.now().Add(waitInterval).Before(end) {
			return fmt.Errorf("%w: %s", ErrNotInForce, shown)
		}
		if err := s.sleep(ctx, waitInterval); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrNotInForce, shown, err)
		}
	}
}

// behindVersion returns the live VMs without the version and the count of live VMs.
func behindVersion(status *daisyhatchv1.StatusResponse, version uint64) (behind []string, live int) {
	for _, vm := range status.GetVms() {
		if !vm.GetAlive() {
			continue
		}
		live++
		if vm.GetVersionInForce() < version {
			behind = append(behind, vm.GetVm())
		}
	}
	return behind, live
}

const maxNamesShown = 8

func progressLine(version uint64, behind []string, live int) string {
	line := fmt.Sprintf("version %d is in force on %d of %d live VMs", version, live-len(behind), live)
	if len(behind) == 0 {
		return line
	}
	more := ""
	if len(behind) > maxNamesShown {
		more = fmt.Sprintf(" and %d more", len(behind)-maxNamesShown)
		behind = behind[:maxNamesShown]
	}
	return fmt.Sprintf("%s; waiting for %s%s", line, strings.Join(behind, ", "), more)
}
