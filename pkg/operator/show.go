package operator

import (
	"fmt"
	"os"
	"strconv"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

type showCmd struct {
	Number uint64 `arg:"" optional:"" name:"version" help:"Version; the one in force by default."`
}

// Help shows examples.
func (showCmd) Help() string {
	return `The first line of the text tells publish which version the file was made from.

Examples:
  daisyhatch show > tas-south.ini
  daisyhatch show 17`
}

// shown is a configuration version as --output json shows it.
type shown struct {
	Version       uint64 `json:"version"`
	ChangeID      string `json:"change_id"`
	Operator      string `json:"operator"`
	Reason        string `json:"reason"`
	AcceptedAt    string `json:"accepted_at"`
	Configuration string `json:"configuration,omitempty"`
}

func shownOf(v *daisyhatchv1.ConfigurationVersion) shown {
	return shown{
		Version: v.GetVersion(), ChangeID: v.GetChangeId(), Operator: v.GetOperator(), Reason: v.GetReason(),
		AcceptedAt: formatTime(v.GetAcceptedUnixMs()), Configuration: string(v.GetConfiguration()),
	}
}

// Run shows the version.
func (c *showCmd) Run(s *session) error {
	cl, err := s.connect()
	if err != nil {
		return err
	}
	v, err := getConfiguration(s.ctx, cl, c.Number)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(shownOf(v))
	}
	s.printf("%s%d\n%s", baseLine, v.GetVersion(), v.GetConfiguration())
	return nil
}

type historyCmd struct {
	Limit uint32 `help:"Most versions to list." default:"50"`
}

// Help shows examples.
func (historyCmd) Help() string {
	return `Examples:
  daisyhatch history --limit 10
  daisyhatch history --output json`
}

// Run lists the versions.
func (c *historyCmd) Run(s *session) error {
	cl, err := s.connect()
	if err != nil {
		return err
	}
	answer, err := read(s.ctx, cl, daisyhatchv1connect.OperatorServiceClient.History, &daisyhatchv1.HistoryRequest{Limit: c.Limit})
	if err != nil {
		return err
	}
	list := make([]shown, 0, len(answer.GetVersions()))
	for _, v := range answer.GetVersions() {
		list = append(list, shownOf(v))
	}
	if s.json() {
		return s.printJSON(list)
	}
	rows := [][]string{{"VERSION", "ACCEPTED", "OPERATOR", "CHANGE ID", "REASON"}}
	for _, v := range list {
		rows = append(rows, []string{strconv.FormatUint(v.Version, 10), v.AcceptedAt, v.Operator, v.ChangeID, v.Reason})
	}
	s.table(rows)
	return nil
}

type diffCmd struct {
	File string `arg:"" optional:"" help:"File to compare with the version in force."`
	From uint64 `help:"Older version; the one in force by default."`
	To   uint64 `help:"Newer version, in place of a file."`
}

// Help shows examples.
func (diffCmd) Help() string {
	return `Compares sections and keys; comments and order do not count.

Examples:
  daisyhatch diff tas-south.ini              version in force against a file
  daisyhatch diff --from 16 --to 17          two versions
  daisyhatch diff --from 16 tas-south.ini    an older version against a file`
}

// Run shows the differences.
func (c *diffCmd) Run(s *session) error {
	if (c.File == "") == (c.To == 0) {
		return fmt.Errorf("%w: name either a file or a version with --to", ErrUsage)
	}
	cl, err := s.connect()
	if err != nil {
		return err
	}
	from, err := getConfiguration(s.ctx, cl, c.From)
	if err != nil {
		return err
	}
	to, err := c.target(s, cl)
	if err != nil {
		return err
	}
	changes, err := config.Diff(from.GetConfiguration(), to)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if s.json() {
		return s.printJSON(changes)
	}
	if len(changes) == 0 {
		s.printf("no differences\n")
	}
	for _, x := range changes {
		s.printf("%s\n", x)
	}
	return nil
}

func (c *diffCmd) target(s *session, cl *client) ([]byte, error) {
	if c.To != 0 {
		v, err := getConfiguration(s.ctx, cl, c.To)
		return v.GetConfiguration(), err
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	_, text, err = splitBase(text)
	return text, err
}
