//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const header = "X-Daisyhatch-"

// deadly is the body of the request that crashes each replica which begins to run it.
const deadly = "deadly"

// crash is how a replica crashes under the deadly request.
type crash struct {
	// dark is true for a replica that falls silent: it neither answers nor breaks its connections off while it is down.
	dark bool
	down time.Duration
}

// server is a stand-in replica at one address, in one incarnation after the other.
type server struct {
	w       *world
	service string
	zone    string
	addr    string
	slots   int
	work    time.Duration
	crash   crash
	// crashed is called when the deadly request begins to run.
	crashed func(s *server, id, attempt string)

	mu       sync.Mutex
	id       string
	sequence int
	born     int64
	// down is closed when a replica that crashed is back; nil while it runs.
	down   chan struct{}
	http   *http.Server
	closed bool
}

func (w *world) addServer(service, zone string, slots int, work time.Duration) *server {
	return &server{w: w, service: service, zone: zone, slots: slots, work: work, addr: fmt.Sprintf("%s:%d", w.address(), portServer)}
}

// start begins a new incarnation, with a new id.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.born, s.sequence, s.down = time.Now().UnixMilli(), 0, nil
	s.id = fmt.Sprintf("i-%x", s.born*1000+int64(s.w.next()))
	s.http = &http.Server{Addr: s.addr, Handler: http.HandlerFunc(s.serve)}
	go s.listen(s.http)
	go s.beat(s.id)
	s.w.note("replica %s of %s starts in %s at %s", s.id, s.service, s.zone, s.addr)
}

// listen serves until the incarnation ends. The address may be taken for a moment by the connections of the one before.
func (s *server) listen(h *http.Server) {
	for range 50 {
		if err := h.ListenAndServe(); err == http.ErrServerClosed {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.http != nil {
		_ = s.http.Close()
	}
}

// serve runs a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, down := s.id, s.down
	s.mu.Unlock()
	if down != nil {
		<-down
		panic(http.ErrAbortHandler)
	}
	if t := r.Header.Get(header + "Target-Replica"); t != "" && t != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get(header + "Attempt-Id")
	h := w.Header()
	h.Set(header+"Attempt-Id", attempt)
	if attempt == "" {
		h.Set(header+"Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if strings.HasPrefix(string(body), deadly) {
		s.die(id, attempt)
		panic(http.ErrAbortHandler)
	}
	s.w.note("replica %s runs %s", id, attempt)
	time.Sleep(s.work)
	s.mu.Lock()
	down = s.down
	s.mu.Unlock()
	if down != nil {
		<-down
		panic(http.ErrAbortHandler)
	}
	h.Set(header+"Response-Signature", "sig."+attempt)
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s of %s\n", attempt, id)
}

// die crashes the replica under an attempt, and returns once it is back.
func (s *server) die(id, attempt string) {
	s.mu.Lock()
	if s.down != nil || s.id != id {
		down := s.down
		s.mu.Unlock()
		if down != nil {
			<-down
		}
		return
	}
	down := make(chan struct{})
	s.down = down
	old := s.http
	s.mu.Unlock()
	s.crashed(s, id, attempt)
	if !s.crash.dark {
		_ = old.Close()
	}
	time.AfterFunc(s.crash.down, func() {
		_ = old.Close()
		close(down)
		s.start()
	})
	<-down
}

// beat announces one incarnation of the replica until it has crashed.
func (s *server) beat(id string) {
	for {
		s.mu.Lock()
		over := s.id != id || s.down != nil || s.closed
		s.mu.Unlock()
		if over {
			return
		}
		s.announce(id)
		time.Sleep(heartbeat)
	}
}

func (s *server) announce(id string) {
	s.mu.Lock()
	s.sequence++
	n, born := s.sequence, s.born
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": n, "born": born,
	})
	nodes := s.w.controls()
	for i := range nodes {
		if status, _ := s.w.call(nodes[(n+i)%len(nodes)], http.MethodPut, "/-/replicas/"+id, body); status/100 == 2 {
			return
		}
	}
}
