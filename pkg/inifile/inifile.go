// Package inifile reads INI text into sections with line numbers and decodes them into typed fields. All problems
// of a file are reported at once, each with its file, line, section and key.
package inifile

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"gopkg.in/ini.v1"
)

// ErrTooLarge means that the text is above the size limit.
var ErrTooLarge = errors.New("inifile: text too large")

// Problem is one fault of a file.
type Problem struct {
	File string `json:"file"`
	// Line is the line number from 1; 0 when there is none to point to.
	Line int `json:"line,omitempty"`
	// Section is the section's header without brackets, such as pool "model".
	Section    string `json:"section,omitempty"`
	Key        string `json:"key,omitempty"`
	Message    string `json:"message"`
	Suggestion string `json:"suggestion,omitempty"`
}

// String returns the problem on one line: file:line: [section] key: message (did you mean "..."?).
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	if p.Suggestion != "" {
		fmt.Fprintf(&b, " (did you mean %q?)", p.Suggestion)
	}
	return strings.Map(printable, b.String())
}

// printable replaces control characters, so that a file can't steer the terminal that shows its problems.
func printable(r rune) rune {
	if unicode.IsControl(r) {
		return '?'
	}
	return r
}

// Problems is an error that holds all faults of a file.
type Problems struct {
	List []Problem
}

// Error implements error with one problem a line.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, x := range p.List {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Section is one section, in the order of the file.
type Section struct {
	// Kind is the first word of the header.
	Kind string
	// Name is the quoted part of the header; empty when there is none.
	Name string
	// Line is the line number of the header.
	Line int
	Keys []Key
	// header is kept, since a configuration of many sections asks for it often.
	header string
}

// Key is one key with its value. A key written twice appears twice.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Header returns the section's header without brackets.
func (s *Section) Header() string {
	if s.header == "" {
		s.header = Header(s.Kind, s.Name)
	}
	return s.header
}

// Header returns a section header without brackets, such as pool "model".
func Header(kind, name string) string {
	if name == "" {
		return kind
	}
	return kind + " " + strconv.Quote(name)
}

func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00",
		AllowShadows:               true,
		AllowNonUniqueSections:     true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}
}

// Read splits text into sections. It never panics, whatever the bytes. maxBytes bounds the text's size.
func Read(file string, text []byte, maxBytes int) (sections []Section, problems []Problem) {
	raws, problems := Split(file, text, maxBytes)
	sections, found := ReadRaws(file, raws)
	return sections, append(problems, found...)
}

// ReadGroup is how many sections the INI library reads at once; it bounds the memory that its tree takes.
const ReadGroup = 64

// ReadRaws reads the sections of raws, one for each. Those that can't be read have problems.
func ReadRaws(file string, raws []Raw) (sections []Section, problems []Problem) {
	sections = make([]Section, 0, len(raws))
	for group := range slices.Chunk(raws, ReadGroup) {
		read, found, ok := readTogether(file, group)
		if !ok {
			read, found = readOneByOne(file, group)
		}
		sections = append(sections, read...)
		problems = append(problems, found...)
	}
	return sections, problems
}

// readTogether reads sections in one go; false when the library did not find one section in each raw.
func readTogether(file string, raws []Raw) (sections []Section, problems []Problem, ok bool) {
	var text []byte
	for _, r := range raws {
		text = append(text, r.Text...)
		text = append(text, '\n')
	}
	parsed, err := load(text)
	if err != nil {
		return nil, nil, false
	}
	found := parsed.Sections()
	if len(found) != len(raws)+1 || len(found[0].Keys()) > 0 {
		return nil, nil, false
	}
	for i, f := range found[1:] {
		s, p := convert(file, f, raws[i])
		sections = append(sections, s)
		problems = append(problems, p...)
	}
	return sections, problems, true
}

func readOneByOne(file string, raws []Raw) (sections []Section, problems []Problem) {
	for i, r := range raws {
		read, found, ok := readTogether(file, raws[i:i+1])
		if !ok {
			message := "unreadable section"
			if _, err := load(r.Text); err != nil {
				message = err.Error()
			}
			read = []Section{{Line: r.Line}}
			found = []Problem{{File: file, Line: r.Line, Message: message}}
		}
		sections = append(sections, read...)
		problems = append(problems, found...)
	}
	return sections, problems
}

// load parses text. A panic of the parser is turned into an error, so that no input can stop the process.
func load(text []byte) (f *ini.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			f, err = nil, fmt.Errorf("unreadable text: %v", r)
		}
	}()
	f, err = ini.LoadSources(loadOptions(), text)
	if err != nil {
		return nil, fmt.Errorf("unreadable text: %s", shorten(err.Error()))
	}
	return f, nil
}

// maxQuoted bounds how much of a text an error quotes, in bytes.
const maxQuoted = 200

func shorten(message string) string {
	message = strings.TrimSpace(message)
	if len(message) > maxQuoted {
		return message[:maxQuoted] + "..."
	}
	return message
}

func convert(file string, r *ini.Section, raw Raw) (Section, []Problem) {
	var problems []Problem
	s := Section{Line: raw.Line}
	at := raw.locate()
	kind, name, err := splitHeader(r.Name())
	s.Kind, s.Name = kind, name
	if err != nil {
		problems = append(problems, Problem{File: file, Line: s.Line, Section: r.Name(), Message: err.Error()})
	}
	keys := r.Keys()
	s.Keys = make([]Key, 0, len(keys))
	for _, k := range keys {
		for i, v := range k.ValueWithShadows() {
			key := Key{Name: k.Name(), Value: v, Line: lineOf(at, k.Name(), i)}
			s.Keys = append(s.Keys, key)
			if strings.ContainsAny(v, "\n\r") {
				problems = append(problems, Problem{
					File: file, Line: key.Line, Section: s.Header(), Key: key.Name,
					Message: "values of several lines are not supported",
				})
			}
		}
	}
	return s, problems
}

// splitHeader splits a header such as pool "model" into its kind and name.
func splitHeader(header string) (kind, name string, err error) {
	kind, rest, found := strings.Cut(strings.TrimSpace(header), " ")
	if !found {
		return kind, "", nil
	}
	rest = strings.TrimSpace(rest)
	if len(rest) < 2 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return kind, rest, fmt.Errorf("a section is written [kind \"name\"]")
	}
	return kind, rest[1 : len(rest)-1], nil
}
