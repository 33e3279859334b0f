// Command capacity measures what the parts of the system cost as they grow, fits a line to each, and works out what
// each role needs at the size that the system is designed for. Run it from the repository's root:
//
//	go run ./internal/capacity                          prints the tables
//	go run ./internal/capacity -write docs/CAPACITY.md  puts them into the page
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
)

// Marks between which the page's tables stand.
const (
	beginMark = "<!-- begin: go run ./internal/capacity -write docs/CAPACITY.md -->\n"
	endMark   = "<!-- end -->\n"
)

var errMarks = errors.New("capacity: the page has no place for the tables")

func main() {
	page := flag.String("write", "", "page whose tables are replaced")
	only := flag.String("only", "", "measure only this slope")
	flag.Parse()
	if err := run(*page, *only); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(page, only string) error {
	runtime.GOMAXPROCS(2)
	slopes, err := measureAll(probes(), only, os.Stderr)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	writeSlopes(&out, slopes)
	if only == "" {
		writeRoles(&out, roles(slopes))
	}
	if page == "" {
		_, err := io.Copy(os.Stdout, &out)
		return err
	}
	return replace(page, out.Bytes())
}

// replace puts tables between the marks of a page.
func replace(page string, tables []byte) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	begin, end := bytes.Index(text, []byte(beginMark)), bytes.Index(text, []byte(endMark))
	if begin < 0 || end < begin {
		return errMarks
	}
	var b bytes.Buffer
	b.Write(text[:begin+len(beginMark)])
	b.WriteByte('\n')
	b.Write(tables)
	b.WriteByte('\n')
	b.Write(text[end:])
	return os.WriteFile(page, b.Bytes(), 0o600)
}
