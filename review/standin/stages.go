//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign-inputs"] = foreignInputs }

// piece is what a result was made for.
type piece struct {
	request        string
	phase, segment int
}

// shelf knows what each result was made for.
type shelf struct {
	mu   sync.Mutex
	made map[string]piece
	n    int
}

func (s *shelf) add(addr string, p piece) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	h := fmt.Sprintf("%s/%011x", addr, 0x91bd3f00000+s.n)
	s.made[h] = p
	return h
}

func (s *shelf) find(h string) (piece, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.made[h]
	return p, ok
}

const (
	perCall  = 200 * time.Millisecond
	perPiece = 21 * time.Millisecond
	// episode is how long a grey server fails, and how long it is well after that. failEvery is one call in 36 during the
	// episodes: 2.8 in 100.
	episode   = 5 * time.Second
	failEvery = 36
)

// stageServer is a stand-in for a replica that makes pieces: one call at a time, and two that wait. On a grey server one call
// in failEvery fails for some seconds at a time: its pieces have the reason "error". With the disruption it sends the answer to such a call once more,
// late: when the next request comes on the connection.
type stageServer struct {
	*server
	shelf  *shelf
	grey   bool
	faulty bool
	// quiet leaves the calls out of the record.
	quiet    bool
	perPiece time.Duration
	slot     chan struct{}
	room     chan struct{}

	mu     sync.Mutex
	calls  int
	copies int
	// greyCalls are the calls during the episodes.
	greyCalls int
}

func (w *world) addStageServer(service, zone string, sh *shelf) *stageServer {
	return &stageServer{server: w.addServer(service, zone, 1, 0), shelf: sh, faulty: w.trouble, perPiece: perPiece, slot: make(chan struct{}, 1), room: make(chan struct{}, 3)}
}

func (s *stageServer) start() {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.w.fail("%v", err)
	}
	s.w.note("replica %s of %s starts in %s at %s", s.id, s.service, s.zone, s.addr)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	go s.beat()
	s.w.ends = append(s.w.ends, func() { close(s.stop); _ = ln.Close() })
}

// serveConn serves one request at a time.
func (s *stageServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var again []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if again != nil {
			s.w.note("replica %s sends its last answer again", s.id)
			if _, err := c.Write(again); err != nil {
				return
			}
			again = nil
		}
		answer, failed := s.answer(req, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if failed && s.faulty {
			again = answer
			s.mu.Lock()
			s.copies++
			s.mu.Unlock()
		}
	}
}

func response(status int, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

func (s *stageServer) answer(req *http.Request, body []byte) (answer []byte, failed bool) {
	if t := req.Header.Get(header + "Target-Replica"); t != "" && t != s.id {
		return response(http.StatusMisdirectedRequest, "", "{}"), false
	}
	switch req.URL.Path {
	case "/-/report":
		return response(http.StatusOK, "", `{"queued":0,"busy":false,"freeMb":18}`), false
	case "/-/stage-free":
		return response(http.StatusOK, "", "{}"), false
	case "/-/stage-run":
	default:
		return response(http.StatusNotFound, "", "{}"), false
	}
	select {
	case s.room <- struct{}{}:
	default:
		return response(http.StatusServiceUnavailable, header+"Not-Executed: 1\r\n", "{}"), false
	}
	s.slot <- struct{}{}
	defer func() { <-s.slot; <-s.room }()
	var call struct {
		Items []struct {
			ID             string
			Phase, Segment int
		}
	}
	if json.Unmarshal(body, &call) != nil {
		return response(http.StatusBadRequest, "", "{}"), false
	}
	s.mu.Lock()
	s.calls++
	if s.grey && s.w.now()%(2*episode) < episode {
		s.greyCalls++
		failed = s.greyCalls%failEvery == failEvery/2
	}
	s.mu.Unlock()
	time.Sleep(perCall + time.Duration(len(call.Items))*s.perPiece)
	var items, ids []string
	for _, i := range call.Items {
		ids = append(ids, fmt.Sprintf("%s.%d", i.ID, i.Segment))
		if failed {
			items = append(items, `{"reason":"error"}`)
			continue
		}
		items = append(items, fmt.Sprintf(`{"handle":%q}`, s.shelf.add(s.addr, piece{i.ID, i.Phase, i.Segment})))
	}
	if s.quiet {
		return response(http.StatusOK, header+"Replica-Load: 0,0,1\r\n", `{"items":[`+strings.Join(items, ",")+`]}`), failed
	}
	s.w.note("replica %s answers a call, failed %v: %s", s.id, failed, strings.Join(ids, " "))
	return response(http.StatusOK, header+"Replica-Load: 0,0,1\r\n", `{"items":[`+strings.Join(items, ",")+`]}`), failed
}

const (
	piecesEach = 1
	streamHost = "report.example"
)

// stagedConfig is a configuration with one stream whose stage makes the inputs.
func stagedConfig(version int) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-report", "host": streamHost, "pathPrefix": "/report/", "routeType": "streaming", "timeoutMs": 6000,
			"targetLatencyMs": 2000, "priority": 1, "service": "engine", "maxAttempts": 2, "public": false, "sessionAffinity": true,
			"streamResume": true, "itlTargetMs": 400, "stages": []any{map[string]any{"service": "roll", "after": []int{}, "length": 8000}},
		}},
		"services": []any{
			map[string]any{
				"name": "engine", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
				"engine": map[string]any{
					"slots": 64, "kvCapacity": 382993, "kvBytes": 18432, "linkMbps": 550000, "moves": true, "backups": true, "stride": 6,
					"most": 12, "pinMs": 4000, "holdMs": 2000, "handleTtlS": 5, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{
				"name": "roll", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
				"segments": map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 200, "itemMs": 21, "headroomMb": 18, "handleTtlS": 4, "linkMbps": 10000},
			},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

// inputsChecker checks the inputs that engines are given.
type inputsChecker struct {
	w     *world
	shelf *shelf
	// want is how many inputs a run has.
	want int

	mu       sync.Mutex
	runs     int
	foreign  int
	firstBad string
}

func (k *inputsChecker) check(id string, handles []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs++
	seen := make(map[int]bool)
	bad := ""
	for _, h := range handles {
		p, ok := k.shelf.find(h)
		switch {
		case !ok:
			bad = fmt.Sprintf("%s was never made", h)
		case p.request != id:
			bad = fmt.Sprintf("%s was made for %s.%d", h, p.request, p.segment)
		case seen[p.segment]:
			bad = fmt.Sprintf("%s is segment %d once more", h, p.segment)
		}
		seen[p.segment] = true
	}
	if len(handles) != k.want && bad == "" {
		bad = fmt.Sprintf("%d inputs of %d", len(handles), k.want)
	}
	if bad == "" {
		return
	}
	k.foreign++
	if k.firstBad == "" {
		k.firstBad = id + ": " + bad
	}
	k.w.note("WRONG INPUTS: %s: %s", id, bad)
}

// addEngine returns a stand-in for a model replica.
func (w *world) addEngine(service, zone string, k *inputsChecker) *server {
	s := w.addServer(service, zone, 64, 0)
	s.handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		h, id := rw.Header(), r.Header.Get(header+"Attempt-Id")
		h.Set(header+"Attempt-Id", id)
		if t := r.Header.Get(header + "Target-Replica"); t != "" && t != s.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		inputs := r.Header.Get(header + "Inputs")
		if id == "" || inputs == "" {
			h.Set(header+"Not-Executed", "1")
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.note("replica %s runs %s with %.60s", s.id, id, inputs)
		k.check(id, strings.Split(inputs, ","))
		_, _ = io.Copy(io.Discard, r.Body)
		h.Set(header+"Response-Signature", "sig."+id)
		h.Set(header+"Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
		for n := 1; n <= 3; n++ {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, id)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	return s
}

// foreignInputs: three of five servers of a stage send a few of their answers twice, for 5 s at a time.
func foreignInputs(w *world) verdict {
	w.startFleet()
	if _, ok := w.order(http.MethodPut, "/-/config", stagedConfig(1), 20*time.Second, w.controls()...); !ok {
		w.fail("the first configuration is not accepted")
	}
	sh := &shelf{made: make(map[string]piece)}
	k := &inputsChecker{w: w, shelf: sh, want: piecesEach}
	var stages []*stageServer
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		w.addEngine("engine", z, k).start()
	}
	for i, z := range []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"} {
		s := w.addStageServer("roll", z, sh)
		s.grey = i%2 == 0
		s.start()
		stages = append(stages, s)
	}
	w.waitReady(20 * time.Second)
	time.Sleep(6 * time.Second)
	c := w.startClients(180*time.Millisecond, 6*time.Second, func(id string, n int) *http.Request {
		r, _ := http.NewRequest(http.MethodPost, "http://x/report/1", strings.NewReader("bundle "+id))
		r.Host = streamHost
		r.Header.Set(header+"Model", "m")
		r.Header.Set(header+"Token-Usage", "1460,80")
		r.Header.Set(header+"Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%08x:660", 0x91bd0000+n))
		r.Header.Set(header+"Chunks", fmt.Sprint(piecesEach))
		r.Header.Set(header+"Chunk-Key", fmt.Sprintf("7c1e%08x", n))
		return r
	})
	time.Sleep(60 * time.Second)
	c.end()
	good, all := c.served()
	calls, copies := 0, 0
	for _, s := range stages {
		calls, copies = calls+s.calls, copies+s.copies
	}
	w.note("%d of %d requests were served; %d stage calls, %d answers sent twice", good, all, calls, copies)
	if good < all/2 {
		w.fail("only %d of %d requests are served", good, all)
	}
	why := fmt.Sprintf("MIXED: %d of %d runs were given inputs of another request, or not all; first: %s", k.foreign, k.runs, k.firstBad)
	return verdict{broken: k.foreign > 0, why: why}
}
