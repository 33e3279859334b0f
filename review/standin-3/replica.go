//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a sound replica of a service whose requests take a few ms. It announces itself about every heartbeatMs, to one core machine
// after the other until one acknowledges.
type replica struct {
	w       *world
	id      string
	service string
	address string
	zone    string
	born    int64
	server  *http.Server
	stop    chan struct{}

	mu       sync.Mutex
	sequence int
	ran      map[string]int
	// fails is the share of requests that the replica runs and answers with 503.
	fails float64
}

func (r *replica) setFails(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = share
	r.w.say("replica: %s fails %.1f of its requests from now on", r.id, share)
}

// runs returns how often a request was run by the world's replicas.
func (w *world) runs(id string) int {
	n := 0
	for _, r := range w.replicas {
		r.mu.Lock()
		n += r.ran[id]
		r.mu.Unlock()
	}
	return n
}

const heartbeat = 1200 * time.Millisecond

// newReplica starts a replica on a free port of a loopback address.
func (w *world) newReplica(service, ip, zone string) (*replica, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	r := &replica{
		w: w, id: fmt.Sprintf("i-%x", born*1000+int64(ln.Addr().(*net.TCPAddr).Port)), service: service, address: ln.Addr().String(), zone: zone,
		born: born, stop: make(chan struct{}), ran: make(map[string]int),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	w.replicas = append(w.replicas, r)
	go r.announce()
	return r, nil
}

// announce sends heartbeats until the replica ends.
func (r *replica) announce() {
	for i := 0; ; i++ {
		r.mu.Lock()
		r.sequence++
		body := mustJSON(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0,
			"sequence": r.sequence, "born": r.born,
		})
		r.mu.Unlock()
		for k := range r.w.cores {
			m := r.w.cores[(i+k)%len(r.w.cores)]
			status, _, err := r.w.callOnce(m.control(), http.MethodPut, "/-/replicas/"+r.id, body, time.Second)
			if err == nil && status >= 200 && status < 300 {
				break
			}
		}
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Daisyhatch-Attempt-Id")
	h := w.Header()
	h.Set("X-Daisyhatch-Replica-Id", r.id)
	if id != "" {
		h.Set("X-Daisyhatch-Attempt-Id", id)
	}
	if req.URL.Path == "/healthz" {
		return
	}
	if t := req.Header.Get("X-Daisyhatch-Target-Replica"); t != "" && t != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Daisyhatch-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.ran[id]++
	n := r.ran[id]
	fail := rand.Float64() < r.fails
	r.mu.Unlock()
	r.w.say("replica: %s of %s runs request %s %s, time %d", r.id, r.service, id, req.URL.Path, n)
	time.Sleep(20 * time.Millisecond)
	h.Set("X-Daisyhatch-Response-Signature", strconv.FormatInt(r.born, 16)+"."+id)
	h.Set("Content-Type", "application/json")
	if fail {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"ran": id})
}

func (r *replica) end() {
	close(r.stop)
	_ = r.server.Close()
}
