//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// deployment starts a small deployment with three replicas, whose first configuration is accepted. It returns nil if that doesn't work.
func deployment(net int, first []byte) (*world, func()) {
	w, err := newWorld(net, 5, 3)
	if err != nil {
		return nil, func() {}
	}
	end := w.end
	for _, m := range w.all {
		if err := w.start(m, true); err != nil {
			w.say("can't start: %v", err)
			return nil, end
		}
	}
	for i := range 3 {
		r, err := w.newReplica("hut-desk", fmt.Sprintf("127.%d.3.%d", net, i+1), zones[i])
		if err != nil {
			return nil, end
		}
		before := end
		end = func() { r.end(); before() }
	}
	status, _, err := w.order(http.MethodPut, "/-/config", first, 20*time.Second)
	w.say("operator: first configuration: %d, %v", status, err)
	if err != nil || status != http.StatusOK {
		return nil, end
	}
	// Entry machines have the configuration and the replicas within two heartbeats.
	time.Sleep(3 * time.Second)
	return w, end
}
