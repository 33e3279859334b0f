package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// ErrNoDomain means that a configuration has no such failure domain.
var ErrNoDomain = errors.New("config: no such failure domain")

// ErrEdit means that a text could not be changed without touching anything else.
var ErrEdit = errors.New("config: text could not be edited safely")

// Change is one difference between two configurations.
type Change struct {
	// Section is the header without brackets.
	Section string `json:"section"`
	// Key is empty when the whole section was added or removed.
	Key string `json:"key,omitempty"`
	// Old and New are the values; Old is empty for an added key and New for a removed one.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Added and Removed are true when the section or key stands on one side only.
	Added   bool `json:"added,omitempty"`
	Removed bool `json:"removed,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	what := "[" + c.Section + "]"
	if c.Key != "" {
		what += " " + c.Key
	}
	switch {
	case c.Added && c.Key == "":
		return "+ " + what
	case c.Removed && c.Key == "":
		return "- " + what
	case c.Added:
		return fmt.Sprintf("+ %s = %s", what, c.New)
	case c.Removed:
		return fmt.Sprintf("- %s = %s", what, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", what, c.Old, c.New)
}

// Diff returns the changes from one text to another, sorted by section and key. It compares sections and keys,
// not comments or order. Its error is a *Problems when a text can't be read.
func Diff(from, to []byte) ([]Change, error) {
	before, err := readSections("from", from)
	if err != nil {
		return nil, err
	}
	after, err := readSections("to", to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for header, old := range before {
		now, ok := after[header]
		if !ok {
			changes = append(changes, Change{Section: header, Removed: true})
			continue
		}
		changes = append(changes, diffKeys(header, old, now)...)
	}
	for header := range after {
		if _, ok := before[header]; !ok {
			changes = append(changes, Change{Section: header, Added: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if c := strings.Compare(a.Section, b.Section); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	return changes, nil
}

func readSections(file string, text []byte) (map[string]map[string]string, error) {
	sections, problems := inifile.Read(file, text, MaxBytes)
	if len(problems) > 0 {
		return nil, &Problems{List: problems}
	}
	out := make(map[string]map[string]string, len(sections))
	for i := range sections {
		keys := make(map[string]string, len(sections[i].Keys))
		for _, k := range sections[i].Keys {
			keys[k.Name] = k.Value
		}
		out[sections[i].Header()] = keys
	}
	return out, nil
}

func diffKeys(header string, before, after map[string]string) []Change {
	var changes []Change
	for k, old := range before {
		now, ok := after[k]
		switch {
		case !ok:
			changes = append(changes, Change{Section: header, Key: k, Old: old, Removed: true})
		case now != old:
			changes = append(changes, Change{Section: header, Key: k, Old: old, New: now})
		}
	}
	for k, now := range after {
		if _, ok := before[k]; !ok {
			changes = append(changes, Change{Section: header, Key: k, New: now, Added: true})
		}
	}
	return changes
}

// SetDomainState returns text with the failure domain's key state changed and every other byte as it was. It
// returns text itself when the domain is in that state already. Errors: *Problems when text is not valid,
// ErrNoDomain with the nearest name, ErrEdit.
func SetDomainState(text []byte, domain string, out bool) ([]byte, error) {
	set, err := Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	d, ok := set.FailureDomains[domain]
	if !ok {
		return nil, noDomain(set, domain)
	}
	if d.Out == out {
		return text, nil
	}
	state := StateIn
	if out {
		state = StateOut
	}
	edited, err := setKey(text, inifile.Header(string(KindFailureDomain), domain), KeyState, state)
	if err != nil {
		return nil, err
	}
	changes, err := Diff(text, edited)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEdit, err)
	}
	if len(changes) != 1 || changes[0].Key != KeyState || changes[0].New != state {
		return nil, fmt.Errorf("%w: %d sections or keys would change", ErrEdit, len(changes))
	}
	return edited, nil
}

func noDomain(set *Set, domain string) error {
	names := make([]string, 0, len(set.FailureDomains))
	for n := range set.FailureDomains {
		names = append(names, n)
	}
	if near := inifile.Nearest(domain, names); near != "" {
		return fmt.Errorf("%w: %q (did you mean %q?)", ErrNoDomain, domain, near)
	}
	slices.Sort(names)
	return fmt.Errorf("%w: %q (there are %s)", ErrNoDomain, domain, strings.Join(names, ", "))
}

// setKey replaces the line of a key, or adds one after the section's header.
func setKey(text []byte, header, key, value string) ([]byte, error) {
	sections, problems := inifile.Read("configuration", text, MaxBytes)
	if len(problems) > 0 {
		return nil, &Problems{List: problems}
	}
	i := slices.IndexFunc(sections, func(s inifile.Section) bool { return s.Header() == header })
	if i < 0 || sections[i].Line == 0 {
		return nil, fmt.Errorf("%w: section [%s] not found", ErrEdit, header)
	}
	line, old := sections[i].Line, ""
	for _, k := range sections[i].Keys {
		if k.Name == key {
			line, old = k.Line, k.Value
		}
	}
	var out bytes.Buffer
	number := 0
	for l := range bytes.Lines(text) {
		number++
		switch {
		case number != line:
			out.Write(l)
		case old != "":
			out.Write(replaceValue(l, old, value))
		default:
			out.Write(bytes.TrimRight(l, "\n"))
			fmt.Fprintf(&out, "\n%s = %s\n", key, value)
		}
	}
	return out.Bytes(), nil
}

// replaceValue changes a line's value and keeps its spaces and comment.
func replaceValue(line []byte, old, value string) []byte {
	at := bytes.IndexByte(line, '=') + 1
	changed := bytes.Replace(line[at:], []byte(old), []byte(value), 1)
	return slices.Concat(line[:at], changed)
}
