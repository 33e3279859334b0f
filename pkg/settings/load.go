package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// MaxBytes is the largest settings file.
const MaxBytes = 1 << 20

// Problem is one fault of a settings file.
type Problem = inifile.Problem

// Problems is the error of Load and Parse: all faults of a settings file.
type Problems = inifile.Problems

// ErrRead means that the settings file could not be read.
var ErrRead = errors.New("settings: file not read")

// Defaults of values.
const (
	defaultIncarnationFile   = "incarnation"
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout   = 500 * time.Millisecond
	defaultMaxHeader         = 16 << 10
	defaultMaxBody           = 1 << 20
	defaultHeaderTimeout     = 5 * time.Second
	defaultBodyTimeout       = 10 * time.Second
	defaultIdleTimeout       = 60 * time.Second
	defaultWriteTimeout      = 10 * time.Second
	defaultMaxConnections    = 4096
	defaultBalancerDelay     = 5 * time.Second
	defaultStopLimit         = 60 * time.Second
	defaultLogLevel          = "info"
)

// Bounds of values.
const (
	maxHeaderLimit = 1 << 20
	maxBodyLimit   = 256 << 20
	maxCount       = 1 << 20
	// minMemory is the least memory of a VM in MiB.
	minMemory   = 16
	maxDuration = time.Hour
)

// Load reads, parses and validates a settings file and makes sure that the files it names can be read. Errors:
// ErrRead, or *Problems with all faults.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRead, err)
	}
	s, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	s.File = path
	s.resolve(filepath.Dir(path))
	if missing := s.checkFiles(path); len(missing) > 0 {
		return nil, &Problems{List: missing}
	}
	return s, nil
}

// Parse reads settings from text and validates them whole; it opens no file. Its error is a *Problems.
func Parse(file string, text []byte) (*Settings, error) {
	sections, problems := inifile.Read(file, text, MaxBytes)
	if len(problems) > 0 {
		return nil, &Problems{List: problems}
	}
	p := &parser{file: file, settings: defaults(), seen: make(map[string]*inifile.Section)}
	for i := range sections {
		p.section(&sections[i])
	}
	p.missing()
	p.validate()
	if len(p.problems) > 0 {
		return nil, &Problems{List: p.problems}
	}
	return p.settings, nil
}

func defaults() *Settings {
	return &Settings{
		VM:      VM{IncarnationFile: defaultIncarnationFile},
		Control: Control{HeartbeatInterval: defaultHeartbeatInterval, ElectionTimeout: defaultElectionTimeout},
		Limits: Limits{
			MaxHeader:      defaultMaxHeader,
			MaxBody:        defaultMaxBody,
			HeaderTimeout:  defaultHeaderTimeout,
			BodyTimeout:    defaultBodyTimeout,
			IdleTimeout:    defaultIdleTimeout,
			WriteTimeout:   defaultWriteTimeout,
			MaxConnections: defaultMaxConnections,
		},
		Shutdown: Shutdown{BalancerDelay: defaultBalancerDelay, StopLimit: defaultStopLimit},
		Log:      Log{Level: defaultLogLevel},
	}
}

type parser struct {
	file     string
	settings *Settings
	problems []Problem
	seen     map[string]*inifile.Section
}

func (p *parser) report(section *inifile.Section, key, format string, args ...any) {
	found := Problem{File: p.file, Key: key, Message: fmt.Sprintf(format, args...)}
	if section != nil {
		found.Section, found.Line = section.Header(), section.Line
		for _, k := range section.Keys {
			if k.Name == key {
				found.Line = k.Line
			}
		}
	}
	p.problems = append(p.problems, found)
}

func (p *parser) section(s *inifile.Section) {
	fields, ok := p.fields(s)
	if !ok {
		return
	}
	if first, twice := p.seen[s.Header()]; twice {
		p.report(s, "", "section is written twice; the first is at line %d", first.Line)
		return
	}
	p.seen[s.Header()] = s
	p.problems = append(p.problems, s.Decode(p.file, fields)...)
}

// fields returns the keys of a section; false when there is no such section.
func (p *parser) fields(s *inifile.Section) (inifile.Fields, bool) {
	if s.Kind == sectionPeer && s.Name != "" {
		p.settings.Control.Peers = append(p.settings.Control.Peers, Peer{Name: s.Name})
		last := &p.settings.Control.Peers[len(p.settings.Control.Peers)-1]
		return inifile.Fields{"address": inifile.Address(&last.Address).Must()}, true
	}
	if s.Header() == sectionFleet {
		f := defaultFleet()
		p.settings.Fleet = &f
		return p.settings.Fleet.fields(), true
	}
	known := p.settings.sections()
	fields, ok := known[s.Header()]
	if !ok {
		p.report(s, "", "unknown section")
		p.problems[len(p.problems)-1].Suggestion = nearestSection(s.Header(), known)
	}
	return fields, ok
}

func nearestSection(header string, known map[string]inifile.Fields) string {
	names := make([]string, 0, len(known)+1)
	for name := range known {
		names = append(names, name)
	}
	return inifile.Nearest(header, append(names, sectionPeer, sectionFleet))
}

// missing reports required keys of sections that are absent.
func (p *parser) missing() {
	for _, name := range []string{sectionVM, sectionListen} {
		if p.seen[name] == nil {
			p.report(nil, "", "section [%s] is missing", name)
		}
	}
}

// resolve makes relative paths start at dir.
func (s *Settings) resolve(dir string) {
	paths := []*string{&s.VM.DataDir}
	for _, c := range s.certificates() {
		paths = append(paths, &c.cert.Cert, &c.cert.Key, &c.cert.CA)
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	if s.VM.DataDir != "" && !filepath.IsAbs(s.VM.IncarnationFile) {
		s.VM.IncarnationFile = filepath.Join(s.VM.DataDir, s.VM.IncarnationFile)
	}
}

// checkFiles reports files that can't be read.
func (s *Settings) checkFiles(file string) []Problem {
	var problems []Problem
	for _, c := range s.certificates() {
		for key, path := range map[string]string{"cert": c.cert.Cert, "key": c.cert.Key, "ca": c.cert.CA} {
			if path == "" {
				continue
			}
			if _, err := os.ReadFile(path); err != nil {
				problems = append(problems, Problem{File: file, Section: c.header(), Key: key, Message: err.Error()})
			}
		}
	}
	slices.SortFunc(problems, compareProblems)
	return problems
}

func (v *VM) has(r Role) bool { return slices.Contains(v.Roles, r) }
