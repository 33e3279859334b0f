package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startLimit is how long a daemon may take to start or to stop here.
const startLimit = 10 * time.Second

const fleetSettings = `[vm]
name = vm
failure-domain = a
roles = control
data-dir = data
[listen]
operators = 127.91.1.1:17301
peers = 127.91.1.1:17201
ops = 127.91.1.1:17401
[fleet]
interface = platform
seeds = 127.91.1.1:17301
first-start = yes
losses-borne = 0
`

const plainSettings = `[vm]
name = vm-1
failure-domain = a
region = r
roles = control, entry
data-dir = data
[listen]
callers = 127.91.1.2:17101
peers = 127.91.1.2:17201
operators = 127.91.1.2:17301
ops = 127.91.1.2:17401
[peer "vm-1"]
address = 127.91.1.2:17201
`

// output collects what a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// SIGHUP ends no daemon, whether it comes before the settings are read, while services start, or while they stop. Guards against a
// process that ends by itself since it asked for the signal too late, or no longer.
func TestHangupEndsNoDaemon(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "daisyhatchd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	for name, text := range map[string]string{"VM of a fleet": fleetSettings, "other VM": plainSettings} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "vm.ini")
			// A daemon waits for its settings until something is written to the pipe.
			require.NoError(t, syscall.Mkfifo(file, 0o600))
			var log output
			cmd := exec.Command(binary, file)
			cmd.Stdout, cmd.Stderr = &log, &log
			require.NoError(t, cmd.Start())
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			t.Cleanup(func() { _ = cmd.Process.Kill() })
			pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
			require.NoError(t, err)
			hangup := func() {
				// The process may have ended, which is seen from its exit code.
				_ = cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(time.Millisecond)
			}
			hangup()
			// Later readers find a file.
			require.NoError(t, os.Remove(file))
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			_, err = pipe.WriteString(text)
			require.NoError(t, err, log.String())
			require.NoError(t, pipe.Close())
			for begin := time.Now(); !strings.Contains(log.String(), `"started"`); hangup() {
				require.Less(t, time.Since(begin), startLimit, log.String())
			}
			for range 20 {
				hangup()
			}
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			for begin := time.Now(); ; hangup() {
				require.Less(t, time.Since(begin), startLimit, log.String())
				select {
				case err := <-ended:
					require.NoError(t, err, log.String())
					return
				default:
				}
			}
		})
	}
}
