package operator

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/daisyhatch/daisyhatch/pkg/explain"
)

type explainCmd struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" help:"Log files of the VMs; - is standard input."`
}

// Help shows examples.
func (explainCmd) Help() string {
	return `Prints in time order what the VMs logged of a request, and what they came to believe shortly before.

Examples:
  daisyhatch explain 9c41d07be2a35f68 /var/log/daisyhatch/*.log`
}

// Run prints the request's way.
func (c *explainCmd) Run(s *session) error {
	collector := explain.NewCollector(c.ID)
	for _, name := range c.Files {
		if err := readLog(collector, name); err != nil {
			return err
		}
	}
	err := collector.Write(s.out)
	if errors.Is(err, explain.ErrNotFound) {
		return fmt.Errorf("%w: %q in %d files", err, c.ID, len(c.Files))
	}
	return err
}

func readLog(c *explain.Collector, name string) error {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUsage, err)
		}
		defer func() {
			// The file was only read.
			_ = f.Close()
		}()
		r = f
	}
	if err := c.Read(r); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
