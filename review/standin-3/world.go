//go:build review3

// Command standin-3 starts the programs of a small deployment on loopback addresses, plays the platform, the operator, clients and
// replicas beside them, and checks one rule. Its first argument names the case.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the daemon as the deploy file builds it.
const program = "target/daisyhatchd"

// exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// machine is one machine with its only process.
type machine struct {
	name, ip, zone string
	core           bool
	dir            string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// world is the deployment.
type world struct {
	root   string
	record *os.File
	recMu  sync.Mutex
	began  time.Time
	cores  []*machine
	edges  []*machine
	all    []*machine
	// replicas are those that were started.
	replicas []*replica
	seeds    []string
	// added receives core machines that were added.
	added chan *machine
}

var zones = []string{"derwent-a", "derwent-b", "derwent-c"}

// Ports are the same on all machines of a deployment.
const (
	portFrontend  = 8625
	portReadiness = 8621
	portControl   = 8628
	portPeers     = 7740
	portOps       = 9464
)

// newWorld lays out a deployment on addresses 127.net.1.n (core) and 127.net.2.n (edge).
func newWorld(net, cores, edges int) (*world, error) {
	root, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(caseDir(), "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{root: root, record: f, began: time.Now(), added: make(chan *machine, 4)}
	for i := range cores {
		w.cores = append(w.cores, w.machine(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("127.%d.1.%d", net, i+1), zones[i%3], true))
	}
	for i := range edges {
		w.edges = append(w.edges, w.machine(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.%d.2.%d", net, i+1), zones[i%3], false))
	}
	for _, m := range w.cores[:min(3, len(w.cores))] {
		w.seeds = append(w.seeds, m.control())
	}
	return w, nil
}

func caseDir() string {
	if d := os.Getenv("CASE_DIR"); d != "" {
		return d
	}
	return "."
}

// machine returns a new machine, which is ended with the world.
func (w *world) machine(name, ip, zone string, core bool) *machine {
	m := &machine{name: name, ip: ip, zone: zone, core: core, dir: filepath.Join(w.root, name)}
	w.all = append(w.all, m)
	return m
}

func (m *machine) control() string  { return fmt.Sprintf("%s:%d", m.ip, portControl) }
func (m *machine) frontend() string { return fmt.Sprintf("%s:%d", m.ip, portFrontend) }

// say writes a line with the time since the start to record.txt.
func (w *world) say(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		_, _ = os.Stderr.WriteString(line)
	}
}

// settings renders deploy/vm.ini.tmpl for a machine: the few placeholders and sections that it holds.
func (w *world) settings(m *machine, bootstrap bool) (string, error) {
	text, err := os.ReadFile("deploy/vm.ini.tmpl")
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"nodeName": m.name, "zone": m.zone, "region": "tas-south", "ip": m.ip, "dataDir": filepath.Join(m.dir, "data"),
		"portRange.0": strconv.Itoa(portPeers), "seedNodes": strings.Join(w.seeds, ","), "faultTolerance.nodes": "2",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryWindowS": "10", "bounds.retryMinExtra": "54", "bounds.coldOverrun": "1.5",
		"bounds.coldSlack": "5",
	}
	if bootstrap {
		values["bootstrap"] = "true"
	}
	if m.core {
		values["listen.controlPlane"], values["limits.memoryMb"] = m.control(), "280"
	} else {
		values["listen.frontend"], values["listen.readiness"] = m.frontend(), fmt.Sprintf("%s:%d", m.ip, portReadiness)
		values["limits.memoryMb"] = "284"
	}
	return render(string(text), values), nil
}

// render fills in {{name}}, {{#name}} .. {{/name}} and {{^name}} .. {{/name}}.
func render(text string, values map[string]string) string {
	for {
		i := strings.Index(text, "{{")
		if i < 0 {
			return text
		}
		j := i + strings.Index(text[i:], "}}")
		tag := text[i+2 : j]
		rest := text[j+2:]
		switch tag[0] {
		case '#', '^':
			end := "{{/" + tag[1:] + "}}"
			k := strings.Index(rest, end)
			inner := rest[:k]
			if (values[tag[1:]] != "") != (tag[0] == '#') {
				inner = ""
			}
			text = text[:i] + inner + rest[k+len(end):]
		default:
			text = text[:i] + values[tag] + rest
		}
	}
}

// start starts a machine's process.
func (w *world) start(m *machine, bootstrap bool) error {
	text, err := w.settings(m, bootstrap)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
		return err
	}
	file := filepath.Join(m.dir, "node.ini")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "DAISYHATCH_NODE_FILE="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	w.say("platform: %s starts, process %d, bootstrap %v", m.name, cmd.Process.Pid, bootstrap)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		w.say("platform: %s process %d has ended: %v", m.name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to a machine's process.
func (w *world) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		w.say("platform: %s gets %s", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends a machine's process at once and waits for its end.
func (w *world) kill(m *machine) {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// running reports whether a machine's process runs.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// rss returns the resident memory of a machine's process in MB.
func (m *machine) rss() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / 1e6
}

// disk returns the size of a machine's data folder in MB.
func (m *machine) disk() float64 {
	sum := int64(0)
	_ = filepath.Walk(filepath.Join(m.dir, "data"), func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			sum += i.Size()
		}
		return nil
	})
	return float64(sum) / 1e6
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, m := range w.all {
		w.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.root)
	}
	_ = w.record.Close()
}

var errNoAnswer = errors.New("no clear answer")

// order sends an order to the core machines in turn until one answers 2xx, or a final refusal, or limit is over. A call waits for a
// second.
func (w *world) order(method, path string, body []byte, limit time.Duration) (int, []byte, error) {
	end := time.Now().Add(limit)
	list := append([]*machine(nil), w.cores...)
	for i := 0; time.Now().Before(end); i++ {
		select {
		case m := <-w.added:
			list = append(list, m)
		default:
		}
		m := list[i%len(list)]
		status, answer, err := w.callOnce(m.control(), method, path, body, time.Second+time.Duration(len(body)/1000)*time.Millisecond)
		switch {
		case err != nil:
		case status >= 200 && status < 300:
			return status, answer, nil
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return status, answer, nil
		}
		if i%len(list) == len(list)-1 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return 0, nil, errNoAnswer
}

var operatorClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// callOnce makes one call.
func (w *world) callOnce(address, method, path string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
