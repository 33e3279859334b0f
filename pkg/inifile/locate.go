package inifile

import (
	"bytes"
	"fmt"
)

// Raw is the text of one section: its header's line and all lines up to the next header.
type Raw struct {
	// Line is the line number of the header.
	Line int
	Text []byte
}

var byteOrderMark = []byte("\xef\xbb\xbf")

// Split cuts text into its sections without reading them. maxBytes bounds the text's size.
func Split(file string, text []byte, maxBytes int) (raws []Raw, problems []Problem) {
	if len(text) > maxBytes {
		message := fmt.Sprintf("%v: %d bytes, at most %d are allowed", ErrTooLarge, len(text), maxBytes)
		return nil, []Problem{{File: file, Message: message}}
	}
	text = bytes.TrimPrefix(text, byteOrderMark)
	raws = make([]Raw, 0, bytes.Count(text, []byte("\n["))+1)
	number, at, start := 0, 0, 0
	for line := range bytes.Lines(text) {
		number++
		trimmed := bytes.TrimSpace(line)
		switch {
		case len(trimmed) > 0 && trimmed[0] == '[':
			if len(raws) > 0 {
				raws[len(raws)-1].Text = text[start:at]
			}
			raws = append(raws, Raw{Line: number})
			start = at
		case len(raws) == 0 && !blank(trimmed):
			problems = append(problems, Problem{File: file, Line: number, Message: "text stands before the first section"})
			return raws, problems
		}
		at += len(line)
	}
	if len(raws) > 0 {
		raws[len(raws)-1].Text = text[start:]
	}
	return raws, problems
}

// blank reports whether a trimmed line is empty or a comment.
func blank(line []byte) bool {
	return len(line) == 0 || line[0] == '#' || line[0] == ';'
}

// keyLine is where a key stands. Its name points into the text.
type keyLine struct {
	name []byte
	line int
}

// locate finds the lines of keys, since the INI library does not keep them.
func (r Raw) locate() []keyLine {
	var found []keyLine
	number := r.Line - 1
	for line := range bytes.Lines(r.Text) {
		number++
		line = bytes.TrimSpace(line)
		if blank(line) || line[0] == '[' {
			continue
		}
		if name, _, ok := bytes.Cut(line, []byte("=")); ok {
			found = append(found, keyLine{name: bytes.TrimSpace(name), line: number})
		}
	}
	return found
}

// lineOf returns the line of the i-th occurrence of a key, or 0.
func lineOf(keys []keyLine, name string, i int) int {
	for _, k := range keys {
		if string(k.name) != name {
			continue
		}
		if i == 0 {
			return k.line
		}
		i--
	}
	return 0
}
