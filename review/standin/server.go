//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a replica began to run.
type arrival struct {
	at time.Duration
	id string
}

// server is a stand-in replica.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	slots   int
	handler http.Handler
	work    time.Duration

	mu       sync.Mutex
	sequence int
	born     int64
	arrivals []arrival
	silent   bool
	stop     chan struct{}
	http     *http.Server
}

const header = "X-Daisyhatch-"

func (w *world) addServer(service, zone string, slots int, work time.Duration) *server {
	s := &server{w: w, id: fmt.Sprintf("i-%06x", 0x7f3a00+w.hosts), service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	s.addr = fmt.Sprintf("%s:%d", w.address(), portServer)
	s.handler = http.HandlerFunc(s.serve)
	return s
}

func (s *server) start() {
	s.http = &http.Server{Addr: s.addr, Handler: s.handler}
	go func() { _ = s.http.ListenAndServe() }()
	s.w.note("replica %s of %s starts in %s at %s", s.id, s.service, s.zone, s.addr)
	go s.beat()
	s.w.ends = append(s.w.ends, func() { close(s.stop); _ = s.http.Close() })
}

// serve runs a request of a plain service.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if t := r.Header.Get(header + "Target-Replica"); t != "" && t != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(header + "Attempt-Id")
	h := w.Header()
	h.Set(header+"Attempt-Id", id)
	if id == "" {
		h.Set(header+"Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{s.w.now(), id})
	s.mu.Unlock()
	s.w.note("replica %s runs %s", s.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(s.work)
	h.Set(header+"Response-Signature", "sig."+id)
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s of %s\n", id, s.id)
}

// beat announces the replica until it is silent.
func (s *server) beat() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		s.announce("ready")
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) announce(state string) {
	s.mu.Lock()
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldRemainingMs": 0, "sequence": n, "born": s.born,
	})
	nodes := s.w.controls()
	for i := range nodes {
		if status, _ := s.w.call(nodes[(n+i)%len(nodes)], http.MethodPut, "/-/replicas/"+s.id, body); status/100 == 2 {
			return
		}
	}
}

// leave says that the replica leaves, without a state of draining before. It goes on to serve. It returns when that was
// acknowledged.
func (s *server) leave() (time.Duration, bool) {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	nodes := s.w.controls()
	for _, n := range nodes {
		status, _ := s.w.call(n, http.MethodDelete, "/-/replicas/"+s.id, nil)
		s.w.note("replica %s: DELETE to %s: %d", s.id, n.name, status)
		if status/100 == 2 {
			return s.w.now(), true
		}
	}
	return 0, false
}

func (s *server) ran() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
