package operator

import (
	"fmt"
	"os"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/burnreport"
)

type reportCmd struct {
	Burn reportBurnCmd `cmd:"" help:"Service-level burn by pipeline and organisation, stage costs and failure domain changes."`
}

type reportBurnCmd struct {
	HTML string `help:"Write a page with plots to this file as well." name:"html" placeholder:"FILE"`
}

// Help shows examples.
func (reportBurnCmd) Help() string {
	return `Examples:
  daisyhatch report burn
  daisyhatch report burn --output json
  daisyhatch report burn --html burn.html`
}

const reportFileMode = 0o644

// Run prints the report.
func (c *reportBurnCmd) Run(s *session) error {
	cl, err := s.connect()
	if err != nil {
		return err
	}
	answer, err := read(s.ctx, cl, daisyhatchv1connect.OperatorServiceClient.Burn, &daisyhatchv1.BurnRequest{})
	if err != nil {
		return err
	}
	report := burnreport.New(answer, s.now())
	if c.HTML != "" {
		if err := writePage(report, c.HTML); err != nil {
			return err
		}
		fprintf(s.err, "page written to %s\n", c.HTML)
	}
	if s.json() {
		return s.printJSON(report)
	}
	return report.Text(s.out)
}

func writePage(report *burnreport.Report, path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, reportFileMode)
	if err != nil {
		return fmt.Errorf("%w: --html: %w", ErrUsage, err)
	}
	if err := report.HTML(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("operator: --html: %w", err)
	}
	return nil
}
