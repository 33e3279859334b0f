package operator

import (
	"errors"
	"fmt"
	"os"

	"github.com/daisyhatch/daisyhatch/pkg/config"
)

type checkCmd struct {
	Files []string `arg:"" help:"Configuration files; each is one whole configuration."`
}

// Help shows examples.
func (checkCmd) Help() string {
	return `Reports all faults at once, each with its file, line, section and key. Exits with 0 only if all files are valid.

Examples:
  daisyhatch check examples/tas-south.ini examples/muscat.ini
  daisyhatch check --output json examples/muscat.ini`
}

type checkedFile struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// Run checks the files.
func (c *checkCmd) Run(s *session) error {
	var checked []checkedFile
	bad := 0
	for _, file := range c.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUsage, err)
		}
		result := checkedFile{File: file, Valid: true}
		_, text, err = splitBase(text)
		if err == nil {
			_, err = config.Parse(file, text)
		}
		if err != nil {
			bad++
			result.Valid = false
			result.Problems = problemsOf(file, err)
		}
		checked = append(checked, result)
	}
	if err := s.printChecked(checked); err != nil {
		return err
	}
	if bad > 0 {
		return fmt.Errorf("%w: %d of %d files are not valid", ErrRefused, bad, len(c.Files))
	}
	return nil
}

func problemsOf(file string, err error) []config.Problem {
	var p *config.Problems
	if errors.As(err, &p) {
		return p.List
	}
	return []config.Problem{{File: file, Line: 1, Message: err.Error()}}
}

func (s *session) printChecked(checked []checkedFile) error {
	if s.json() {
		return s.printJSON(checked)
	}
	for _, f := range checked {
		if f.Valid {
			s.printf("%s: valid\n", f.File)
		}
		for _, p := range f.Problems {
			s.printf("%s\n", p)
		}
	}
	return nil
}
