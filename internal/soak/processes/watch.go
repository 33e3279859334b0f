package processes

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
)

const (
	// watchEvery is the time between two looks at a VM's metrics.
	watchEvery = 200 * time.Millisecond
	// metricsTimeout bounds one look.
	metricsTimeout = time.Second

	versionMetric   = "daisyhatch_configuration_version "
	invariantMetric = "daisyhatch_invariant_violations_total{"
)

// look is what a VM's metrics tell.
type look struct {
	// version is the configuration version in force; 0 while there is none.
	version uint64
	// invariants are the lines of broken invariants.
	invariants []string
}

// lookAt reads a VM's metrics.
func lookAt(ops string) (look, error) {
	resp, err := (&http.Client{Timeout: metricsTimeout}).Get("http://" + ops + "/metrics")
	if err != nil {
		return look{}, fmt.Errorf("processes: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out look
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), invariantMetric) {
			out.invariants = append(out.invariants, sc.Text())
		}
		value, ok := strings.CutPrefix(sc.Text(), versionMetric)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return look{}, fmt.Errorf("processes: %w", err)
		}
		out.version = uint64(v)
	}
	if err := sc.Err(); err != nil {
		return look{}, fmt.Errorf("processes: %w", err)
	}
	return out, nil
}

// watchVM tells the oracle of a VM's version in force and of broken invariants until the run ends.
func (f *fleet) watchVM(v *vm) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	told := make(map[string]bool)
	for {
		select {
		case <-t.C:
		case <-f.system.Stop:
			return
		}
		// A VM that is down or paused tells nothing.
		l, err := lookAt(v.Ops)
		if err != nil {
			continue
		}
		if l.version > 0 {
			f.oracle.InForce(v.Name, l.version, time.Now())
		}
		for _, line := range l.invariants {
			if !told[line] {
				f.oracle.Violate(oracle.Invariant, "%s: %s", v.Name, line)
			}
			told[line] = true
		}
	}
}
