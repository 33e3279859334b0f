package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
)

const (
	// startTime is how long after its start a VM may be about to get its first configuration. Later it is cut off from the control VMs, and
	// callers are better off at another VM.
	startTime = 3 * time.Second
	// configurationPoll is the time between two looks for the first configuration.
	configurationPoll = 10 * time.Millisecond
)

// startWaits counts the requests that waited for the VM's first configuration.
var startWaits = metrics.NewCounter("daisyhatch_relay_start_waits_total")

// startWait returns how long a request may wait for the VM's first configuration; up is the time since the VM's start.
//
// It answers the requests that come right after all VMs were started anew: the configuration comes within a second, and the only thing
// that a refusal could tell is to come back after a second. Waiting for that long costs no caller more, and most of them less.
func startWait(up time.Duration) time.Duration {
	return max(0, min(noConfigurationRetryAfter, startTime-up))
}

// awaitConfiguration returns the configuration in force, nil if the VM has none and won't have one soon.
func (x *exchange) awaitConfiguration() *catalog.Set {
	known := func() *catalog.Set {
		if !x.relay.opts.View.Current() {
			return nil
		}
		return x.relay.opts.View.Catalog()
	}
	wait := startWait(x.start.Sub(x.relay.startedAt))
	if set := known(); set != nil || wait == 0 {
		return set
	}
	startWaits.Inc()
	limit := time.NewTimer(wait)
	defer limit.Stop()
	poll := time.NewTicker(configurationPoll)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			if set := known(); set != nil {
				return set
			}
		case <-limit.C:
			return nil
		case <-x.relay.sends.Done():
			return nil
		case <-x.req.Context().Done():
			return nil
		}
	}
}
