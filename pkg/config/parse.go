package config

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"regexp"
	"slices"
	"sync"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// MaxBytes is the largest configuration text that Parse reads.
const MaxBytes = 8 << 20

// maxProblems bounds the list of problems of one text.
const maxProblems = 1000

// Problem is one fault of a configuration.
type Problem = inifile.Problem

// Problems is the error of Parse: all faults of a configuration.
type Problems = inifile.Problems

// Parse reads a whole configuration and checks it. Its error is a *Problems with all faults found. It never
// panics, whatever the bytes. file names the text in problems.
func Parse(file string, text []byte) (*Set, error) {
	return NewParser().Parse(file, text)
}

// Parser reads configurations and remembers the sections of the last one, so that the next one costs little when few
// sections differ. Sets that it returns share the objects of equal sections. It is safe for concurrent use.
type Parser struct {
	mu    sync.Mutex
	known map[sectionSum]*object
}

// sectionSum is the SHA-256 hash of a section's text.
type sectionSum [sha256.Size]byte

// object is what a section without problems was decoded into.
type object struct {
	kind Kind
	name string
	// value is a pointer to one of the model's types.
	value any
}

// NewParser returns a Parser that knows nothing.
func NewParser() *Parser {
	return &Parser{known: make(map[sectionSum]*object)}
}

// Parse is like the function Parse.
func (p *Parser) Parse(file string, text []byte) (*Set, error) {
	raws, problems := inifile.Split(file, text, MaxBytes)
	if len(problems) > 0 {
		return nil, &Problems{List: problems}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &reading{file: file, raws: raws, set: newSet(), sums: make([]sectionSum, len(raws)), objects: make([]*object, len(raws))}
	r.recall(p.known)
	r.readNew()
	r.join()
	for _, found := range Check(r.set) {
		r.problems = append(r.problems, r.locate(found))
	}
	if len(r.problems) > 0 {
		return nil, &Problems{List: r.limited()}
	}
	p.known = r.toRemember()
	return r.set, nil
}

func newSet() *Set {
	return &Set{
		Regions:        make(map[string]*Region),
		FailureDomains: make(map[string]*FailureDomain),
		Models:         make(map[string]*Model),
		Pools:          make(map[string]*Pool),
		Stages:         make(map[string]*Stage),
		Pipelines:      make(map[string]*Pipeline),
		Services:       make(map[string]*Service),
		Organisations:  make(map[string]*Organisation),
		Operators:      make(map[string]*Operator),
	}
}

// reading is the reading of one text.
type reading struct {
	file string
	raws []inifile.Raw
	set  *Set
	sums []sectionSum
	// objects has one entry for each raw; nil for those that could not be decoded.
	objects  []*object
	problems []Problem
	// places finds the first section of each header; it is filled when there is something to report.
	places map[string]int
}

// recall takes over the sections that are known from the last text.
func (r *reading) recall(known map[sectionSum]*object) {
	for i, raw := range r.raws {
		r.sums[i] = sha256.Sum256(raw.Text)
		r.objects[i] = known[r.sums[i]]
	}
}

// readNew reads and decodes all others, a group at a time.
func (r *reading) readNew() {
	raws := make([]inifile.Raw, 0, inifile.ReadGroup)
	places := make([]int, 0, inifile.ReadGroup)
	for i, o := range r.objects {
		if o != nil {
			continue
		}
		raws = append(raws, r.raws[i])
		places = append(places, i)
		if len(raws) == inifile.ReadGroup {
			r.readGroup(raws, places)
			raws, places = raws[:0], places[:0]
		}
	}
	r.readGroup(raws, places)
}

// readGroup reads and decodes some sections. What was read of them is garbage afterwards, which bounds the heap.
func (r *reading) readGroup(raws []inifile.Raw, places []int) {
	sections, problems := inifile.ReadRaws(r.file, raws)
	r.problems = append(r.problems, problems...)
	for i := range sections {
		r.objects[places[i]] = r.decode(&sections[i])
	}
}

var nameRule = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// decode returns nil for a section without a known kind or a valid name.
func (r *reading) decode(s *inifile.Section) *object {
	if s.Kind == "" {
		return nil // unreadable, and reported already
	}
	if !slices.Contains(kinds, s.Kind) {
		r.report(s.Line, s.Header(), "unknown kind of section", inifile.Nearest(s.Kind, kinds))
		return nil
	}
	if !nameRule.MatchString(s.Name) {
		r.report(s.Line, s.Header(), "a name has 1 to 63 lower-case letters, digits, '.', '_' and '-', and starts with a letter or digit", "")
		return nil
	}
	o := &object{kind: Kind(s.Kind), name: s.Name}
	value, fields := newObject(o.kind, o.name)
	o.value = value
	problems := s.Decode(r.file, fields)
	r.problems = append(r.problems, problems...)
	afterDecode(s, value)
	return o
}

// afterDecode sets the defaults that depend on other keys.
func afterDecode(s *inifile.Section, value any) {
	stage, ok := value.(*Stage)
	if !ok {
		return
	}
	hedged := slices.ContainsFunc(s.Keys, func(k inifile.Key) bool { return k.Name == "hedge" })
	if !hedged {
		stage.Hedge = stage.Repeatable
	}
}

// join puts all objects into the set.
func (r *reading) join() {
	for i, o := range r.objects {
		if o == nil || r.set.put(o) {
			continue
		}
		header := inifile.Header(string(o.kind), o.name)
		first, _ := r.place(header)
		r.report(r.raws[i].Line, header, fmt.Sprintf("section is written twice; the first is at line %d", r.raws[first].Line), "")
	}
}

func (r *reading) report(line int, header, message, suggestion string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Section: header, Message: message, Suggestion: suggestion})
}

// place returns the place of the first section with a header.
func (r *reading) place(header string) (int, bool) {
	if r.places == nil {
		r.places = make(map[string]int, len(r.objects))
		for i, o := range slices.Backward(r.objects) {
			if o != nil {
				r.places[inifile.Header(string(o.kind), o.name)] = i
			}
		}
	}
	i, ok := r.places[header]
	return i, ok
}

// locate fills in the file and line of a problem that Check found.
func (r *reading) locate(found Problem) Problem {
	found.File = r.file
	i, ok := r.place(found.Section)
	if !ok {
		return found
	}
	found.Line = r.raws[i].Line
	sections, _ := inifile.ReadRaws(r.file, r.raws[i:i+1])
	for _, k := range sections[0].Keys {
		if k.Name == found.Key {
			found.Line = k.Line
			break
		}
	}
	return found
}

// limited returns the problems in the order of the file, at most maxProblems of them.
func (r *reading) limited() []Problem {
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	if more := len(r.problems) - maxProblems; more > 0 {
		message := fmt.Sprintf("and %d more problems", more)
		return append(r.problems[:maxProblems], Problem{File: r.file, Message: message})
	}
	return r.problems
}

func (r *reading) toRemember() map[sectionSum]*object {
	known := make(map[sectionSum]*object, len(r.objects))
	for i, o := range r.objects {
		known[r.sums[i]] = o
	}
	return known
}

var kinds = []string{
	string(KindRegion), string(KindFailureDomain), string(KindModel), string(KindPool), string(KindStage),
	string(KindPipeline), string(KindService), string(KindOrganisation), string(KindOperator),
}
