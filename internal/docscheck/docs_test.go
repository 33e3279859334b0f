// Package docscheck holds tests that the pages name what the code has.
package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	root    = "../.."
	logPage = "docs/operators/metrics-and-logs.md"
)

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	require.NoError(t, err)
	return string(text)
}

// sources returns all product code under pkg and cmd.
func sources(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	for _, dir := range []string{"pkg", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			b.Write(text)
			return err
		})
		require.NoError(t, err)
	}
	return b.String()
}

// requireAll demands that the page names each first submatch of rule in text, and that there are least of them.
func requireAll(t *testing.T, page, text, rule string, least int) {
	t.Helper()
	found := regexp.MustCompile(rule).FindAllStringSubmatch(text, -1)
	require.GreaterOrEqual(t, len(found), least)
	content := read(t, page)
	var missing []string
	for _, m := range found {
		if !strings.Contains(content, m[1]) {
			missing = append(missing, m[1])
		}
	}
	require.Empty(t, missing, "add a line for each to %s", page)
}

func TestEveryKeyIsDocumented(t *testing.T) {
	const page = "docs/CONFIGURATION.md"
	rule := `(?m)^\t\t"([a-z-]+)":\s`
	requireAll(t, page, read(t, "pkg/config/fields.go"), rule, 35)
	requireAll(t, page, read(t, "pkg/settings/fields.go"), rule, 25)
}

func TestEveryErrorCodeIsDocumented(t *testing.T) {
	requireAll(t, "docs/ERRORS.md", read(t, "pkg/apierr/apierr.go"), `Code = "([a-z_]+)"`, 20)
}

func TestEveryMetricIsDocumented(t *testing.T) {
	requireAll(t, logPage, sources(t), "[\"`](daisyhatch_[a-z]+_[a-z_]+)", 20)
}

// TestEveryLogLineIsDocumented demands that each message of a log line stands on one of the two pages that list them.
func TestEveryLogLineIsDocumented(t *testing.T) {
	rule := regexp.MustCompile(`[lL]og(?:\(\))?(?:\.V\(\d\))?(?:\.WithName\("\w+"\))?\.(?:Info\(|Error\([^,"]+, ?)\s*"([^"]+)"`)
	found := rule.FindAllStringSubmatch(sources(t), -1)
	require.Greater(t, len(found), 70)
	content := read(t, logPage) + read(t, "docs/OPERATIONS.md")
	var missing []string
	for _, m := range found {
		if !strings.Contains(content, m[1]) {
			missing = append(missing, m[1])
		}
	}
	require.Empty(t, missing, "add a line for each to %s or docs/OPERATIONS.md", logPage)
}

// TestLinksLead demands that links between the pages lead somewhere.
func TestLinksLead(t *testing.T) {
	rule := regexp.MustCompile(`\]\(([^):#]+)\)`)
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*", "*.md"))
	require.NoError(t, err)
	more, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	for _, page := range append(pages, more...) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range rule.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			require.NoError(t, err, page)
		}
	}
}
