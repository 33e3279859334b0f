//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as the sheet of qurum-ribs gives them.
const (
	contact     = 3000 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	callTimeout = time.Second
)

// Ports, the same on all machines.
const (
	portControl   = 8628
	portFrontend  = 8625
	portReadiness = 8621
	portPeers     = 7740
	portServer    = 8743
)

// world is the platform of one case: machines, their processes, and the record.
type world struct {
	trouble bool
	begin   time.Time
	dir     string
	net     string

	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File

	nodes []*node
	// started is true once all machines were started for the first time.
	started   bool
	numbersMu sync.Mutex
	hosts     int
	ends      []func()
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, begin: time.Now(), dir: dir, record: bufio.NewWriter(f), file: f}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.net, portControl))
		if err == nil {
			_ = ln.Close()
			return w, nil
		}
	}
	return nil, fmt.Errorf("no loopback address is free: %w", err)
}

func (w *world) close() {
	for _, end := range w.ends {
		end()
	}
	for _, n := range w.nodes {
		if os.Getenv("KEEP") != "" {
			// The process writes its stacks into its log.
			n.signal(syscall.SIGQUIT)
			time.Sleep(300 * time.Millisecond)
		}
		n.kill()
	}
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// now is the time since the case began.
func (w *world) now() time.Duration { return time.Since(w.begin) }

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// address returns a new loopback address.
func (w *world) address() string { return fmt.Sprintf("%s.%d", w.net, w.next()) }

// next returns a new number.
func (w *world) next() int {
	w.numbersMu.Lock()
	defer w.numbersMu.Unlock()
	w.hosts++
	return w.hosts
}

// node is one machine with one process.
type node struct {
	w         *world
	name      string
	ip        string
	zone      string
	control   bool
	bootstrap bool
	removed   bool
	disks     int

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

func (w *world) addNode(name, zone string, control, bootstrap bool) *node {
	n := &node{w: w, name: name, ip: w.address(), zone: zone, control: control, bootstrap: bootstrap}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) controls() []*node {
	var out []*node
	for _, n := range w.nodes {
		if n.control {
			out = append(out, n)
		}
	}
	return out
}

// seeds are the control addresses of the first three machines in the operator's list. Those that are down stand at its end.
func (w *world) seeds() string {
	var up, down []string
	for _, n := range w.controls() {
		address := fmt.Sprintf("%s:%d", n.ip, portControl)
		switch {
		case n.removed:
		case w.started && !n.running():
			down = append(down, address)
		default:
			up = append(up, address)
		}
	}
	return strings.Join(append(up, down...)[:3], ",")
}

func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// settings fills in the project's template as the platform does.
func (n *node) settings() string {
	b, err := os.ReadFile("deploy/vm.ini.tmpl")
	if err != nil {
		n.w.fail("%v", err)
	}
	v := map[string]string{
		"nodeName": n.name, "zone": n.zone, "region": "region-1", "ip": n.ip, "portRange.0": fmt.Sprint(portPeers),
		"seedNodes": n.w.seeds(), "faultTolerance.nodes": "2", "bounds.retryBudgetRatio": "0.2", "bounds.retryWindowS": "10",
		"bounds.retryMinExtra": "56", "bounds.coldOverrun": "1.5", "bounds.coldSlack": "5", "limits.memoryMb": "284",
	}
	if n.bootstrap {
		v["bootstrap"] = "true"
	}
	if n.control {
		v["listen.controlPlane"] = fmt.Sprintf("%s:%d", n.ip, portControl)
		v["dataDir"] = n.dataDir()
	} else {
		v["listen.frontend"] = fmt.Sprintf("%s:%d", n.ip, portFrontend)
		v["listen.readiness"] = fmt.Sprintf("%s:%d", n.ip, portReadiness)
	}
	return render(string(b), v)
}

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([^#^/}][^}]*)\}\}`)
)

// render fills in the sections and values that the project's template uses.
func render(text string, v map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if (v[m[2]] != "") == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return value.ReplaceAllStringFunc(text, func(s string) string { return v[value.FindStringSubmatch(s)[1]] })
}

// dataDir is the folder of the machine's disk; a lost disk is followed by an empty one.
func (n *node) dataDir() string { return filepath.Join(n.w.dir, n.name, fmt.Sprint("disk-", n.disks)) }

// start starts the process with the command of the deploy file.
func (n *node) start() {
	text := n.settings()
	n.mu.Lock()
	defer n.mu.Unlock()
	dir := filepath.Join(n.w.dir, n.name)
	if err := os.MkdirAll(n.dataDir(), 0o750); err != nil {
		n.w.fail("%v", err)
	}
	file := filepath.Join(dir, "node.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		n.w.fail("%v", err)
	}
	log, err := os.OpenFile(n.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.w.fail("%v", err)
	}
	cmd := exec.Command("target/daisyhatchd")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAISYHATCH_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the case, also when the case is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.w.fail("%v", err)
	}
	n.bootstrap = false
	n.cmd, n.end = cmd, make(chan struct{})
	end := n.end
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(end)
	}()
	n.w.note("%s starts in %s at %s", n.name, n.zone, n.ip)
}

func (n *node) logFile() string { return filepath.Join(n.w.dir, n.name, "log") }

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, end := n.cmd, n.end
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-end
	n.w.note("%s was killed", n.name)
}

var operator = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call to a control machine; status 0 means that no answer came in a second.
func (w *world) call(n *node, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.ip, portControl, path), bytes.NewReader(body))
	if err != nil {
		w.fail("%v", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Body, req.ContentLength = nil, 0
	}
	res, err := operator.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}

// order makes an operator's order: to the nodes one after the other until one acknowledges it. It returns when that was,
// and false when none did in time.
func (w *world) order(method, path string, body []byte, limit time.Duration, nodes ...*node) (time.Duration, bool) {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		n := nodes[i%len(nodes)]
		w.note("operator: %s %s to %s", method, path, n.name)
		status, _ := w.call(n, method, path, body)
		w.note("operator: %s %s: %s answers %d", method, path, n.name, status)
		if status/100 == 2 {
			return w.now(), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, false
}

// startFleet starts five control machines in three zones and one entry machine in each.
func (w *world) startFleet() {
	zones := []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}
	for i, z := range zones {
		w.addNode(fmt.Sprintf("core-%d", i+1), z, true, true)
	}
	for i, z := range []string{"zone-a", "zone-b", "zone-c"} {
		w.addNode(fmt.Sprintf("edge-%d", i+1), z, false, true)
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.started = true
}

func (w *world) edges() []*node {
	var out []*node
	for _, n := range w.nodes {
		if !n.control {
			out = append(out, n)
		}
	}
	return out
}

// waitReady waits until all entry machines are ready.
func (w *world) waitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, n := range w.edges() {
		for {
			res, err := operator.Get(fmt.Sprintf("http://%s:%d/-/readyz", n.ip, portReadiness))
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				w.fail("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.note("all entry machines are ready")
}
