// Package explain finds what the processes of a fleet logged of one request, and the changes of belief around it, in log
// files of any size.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("explain: no line names the request")

const (
	// maxLine is the longest line that is read; longer ones are skipped.
	maxLine = 1 << 20
	// kept is how many changes of belief before the request are kept for each VM.
	kept = 4
)

// Line is one log line.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	// Fields are the line's other fields in the order in which they stand.
	Fields []Field
}

// Field is one key with its value as JSON text.
type Field struct{ Key, Value string }

// beliefs are the messages of changed beliefs and lost or regained dependencies.
var beliefs = map[string]bool{
	"state in force": true, "server announced": true, "server left": true, "server fell silent": true,
	"server is quiet": true, "control VM found": true, "control VM lost": true, "control group changed": true, "leader changed": true,
	"control group confirms this VM's state": true, "settings reloaded": true, "started": true, "stopping": true,
	"disk is in use again": true,
}

// Collector gathers lines from several files. It holds the lines of the request and a few others for each VM.
type Collector struct {
	id      []byte
	found   []Line
	around  map[string][]Line
	skipped int
}

// NewCollector returns a Collector for a request.
func NewCollector(id string) *Collector {
	return &Collector{id: []byte(`"` + id + `"`), around: make(map[string][]Line)}
}

// Read reads one file. A line that is no JSON object is skipped and counted. Lines may stand behind other text.
func (c *Collector) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		c.take(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: read: %w", err)
	}
	return nil
}

// take keeps a line if it names the request or tells of a changed belief before the request ended.
func (c *Collector) take(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	text = text[start:]
	names := bytes.Contains(text, c.id)
	if !names && !isBelief(text) {
		return
	}
	line, err := parse(text)
	if err != nil {
		c.skipped++
		return
	}
	if names {
		c.found = append(c.found, line)
		return
	}
	c.around[line.VM] = append(c.around[line.VM], line)
}

// isBelief looks at the message without reading the whole line.
func isBelief(text []byte) bool {
	_, rest, ok := bytes.Cut(text, []byte(`"msg":"`))
	if !ok {
		return false
	}
	message, _, _ := bytes.Cut(rest, []byte(`"`))
	return beliefs[string(message)]
}

func parse(text []byte) (Line, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	var l Line
	if _, err := d.Token(); err != nil {
		return l, fmt.Errorf("explain: line: %w", err)
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return l, fmt.Errorf("explain: line: %w", err)
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return l, fmt.Errorf("explain: line: %w", err)
		}
		l.set(fmt.Sprint(key), raw)
	}
	return l, nil
}

func (l *Line) set(key string, raw json.RawMessage) {
	var s string
	isText := json.Unmarshal(raw, &s) == nil
	switch {
	case key == "time" && isText:
		// A time that can't be read sorts first; the line is shown all the same.
		l.Time, _ = time.Parse(time.RFC3339Nano, s)
	case key == "vm" && isText:
		l.VM = s
	case key == "msg" && isText:
		l.Message = s
	case key == "level" || key == "logger":
	default:
		l.Fields = append(l.Fields, Field{key, string(raw)})
	}
}

// Write writes the request's lines in time order, with the last changes of belief before its end on the VMs that logged
// it. It returns ErrNotFound when there is none.
func (c *Collector) Write(w io.Writer) error {
	if len(c.found) == 0 {
		return ErrNotFound
	}
	end := c.found[0].Time
	lines := slices.Clone(c.found)
	vms := make(map[string]bool)
	for _, l := range c.found {
		vms[l.VM] = true
		if l.Time.After(end) {
			end = l.Time
		}
	}
	for vm := range vms {
		var before []Line
		for _, l := range c.around[vm] {
			if !l.Time.After(end) {
				before = append(before, l)
			}
		}
		slices.SortStableFunc(before, func(a, b Line) int { return a.Time.Compare(b.Time) })
		lines = append(lines, before[max(0, len(before)-kept):]...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.VM, b.VM)) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l.String()); err != nil {
			return fmt.Errorf("explain: write: %w", err)
		}
	}
	if c.skipped > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", c.skipped)
		return err
	}
	return nil
}

// String returns the line as it is shown.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.Time.Format("15:04:05.000"), l.VM, l.Message)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
	}
	return b.String()
}
