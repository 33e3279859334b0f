package operator

import (
	"encoding/json"
	"errors"

	"connectrpc.com/connect"

	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// Exit codes of the command.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnknown     = 4
	exitUnreachable = 5
	exitReused      = 6
	exitNotInForce  = 7
)

// Errors of this package.
var (
	// ErrRefused means that the system or a check refused.
	ErrRefused = errors.New("refused")
	// ErrUsage means that the command line is wrong.
	ErrUsage = errors.New("wrong usage")
	// ErrConflict means that another change was accepted first.
	ErrConflict = errors.New("conflict")
	// ErrUnknownOutcome means that a change may or may not have been accepted.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrUnreachable means that no control VM was reached; nothing was changed.
	ErrUnreachable = errors.New("no control VM reached")
	// ErrReused means that a change ID was used before with other content.
	ErrReused = errors.New("change ID used before with other content")
	// ErrNotInForce means that an accepted change was not in force everywhere when the wait ended.
	ErrNotInForce = errors.New("accepted, but not yet in force everywhere")
)

type exitCode struct {
	err  error
	code int
	name string
}

func exitCodes() []exitCode {
	return []exitCode{
		{ErrUsage, exitUsage, "usage"},
		{ErrConflict, exitConflict, "conflict"},
		{ErrUnknownOutcome, exitUnknown, "outcome_unknown"},
		{ErrUnreachable, exitUnreachable, "unreachable"},
		{ErrReused, exitReused, "change_id_reused"},
		{ErrNotInForce, exitNotInForce, "not_in_force"},
	}
}

// failure is an error as --output json shows it.
type failure struct {
	Error    string           `json:"error"`
	Message  string           `json:"message"`
	ExitCode int              `json:"exit_code"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// finish prints err and returns the exit code.
func (s *session) finish(err error) int {
	if err == nil {
		return exitOK
	}
	f := failure{Error: "refused", Message: err.Error(), ExitCode: exitFailed}
	for _, c := range exitCodes() {
		if errors.Is(err, c.err) {
			f.Error, f.ExitCode = c.name, c.code
			break
		}
	}
	var problems *config.Problems
	if errors.As(err, &problems) {
		f.Problems = problems.List
	}
	if s.json() {
		e := json.NewEncoder(s.err)
		e.SetIndent("", "  ")
		_ = e.Encode(f)
		return f.ExitCode
	}
	fprintf(s.err, "daisyhatch: %s\n", f.Message)
	if hint := hintOf(err); hint != "" {
		fprintf(s.err, "%s\n", hint)
	}
	return f.ExitCode
}

// hintOf says what to do about an error.
func hintOf(err error) string {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		return "Set DAISYHATCH_KEY or --key-file to your operator key."
	case connect.CodePermissionDenied:
		return "Your operator's role in the configuration does not allow this."
	}
	switch {
	case errors.Is(err, ErrConflict):
		return "Fetch the version in force (daisyhatch show), make your change on it and publish again."
	case errors.Is(err, ErrNotInForce):
		return "Run daisyhatch status to see which VMs are behind."
	}
	return ""
}
