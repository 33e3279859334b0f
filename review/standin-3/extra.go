//go:build review3

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// newExtraReplica starts a replica that reads and writes its connections itself. From trouble on, it sends share of its answers once more
// where the next answer on the connection is expected. The additional bytes lack the line with the id.
func (w *world) newExtraReplica(service, ip, zone string) (*extraReplica, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	e := &extraReplica{
		replica: &replica{
			w: w, id: fmt.Sprintf("i-%x", born*1000+int64(ln.Addr().(*net.TCPAddr).Port)), service: service, address: ln.Addr().String(),
			zone: zone, born: born, stop: make(chan struct{}), ran: make(map[string]int), server: &http.Server{},
		},
		ln: ln,
	}
	w.replicas = append(w.replicas, e.replica)
	go e.accept()
	go e.announce()
	return e, nil
}

type extraReplica struct {
	*replica
	ln net.Listener

	extraMu sync.Mutex
	share   float64
	sent    int
}

func (e *extraReplica) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *extraReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	before := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Daisyhatch-Attempt-Id")
		if t := req.Header.Get("X-Daisyhatch-Target-Replica"); t != "" && t != e.id || id == "" {
			status := "421 Misdirected Request"
			if id == "" {
				status = "200 OK"
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Daisyhatch-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", status, e.id); err != nil {
				return
			}
			continue
		}
		e.extraMu.Lock()
		extra := before != "" && rand.Float64() < e.share
		if extra {
			e.sent++
		}
		e.extraMu.Unlock()
		if extra {
			e.w.say("replica: %s sends additional bytes before its answer to %s: its answer before, without the id", e.id, id)
			if _, err := io.WriteString(c, before); err != nil {
				return
			}
		}
		e.mu.Lock()
		e.ran[id]++
		e.mu.Unlock()
		e.w.say("replica: %s of %s runs request %s %s", e.id, e.service, id, req.URL.Path)
		time.Sleep(20 * time.Millisecond)
		body := fmt.Sprintf(`{"ran":%q}`, id)
		rest := fmt.Sprintf("X-Daisyhatch-Response-Signature: %x.%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", e.born, id, len(body), body)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Daisyhatch-Attempt-Id: "+id+"\r\n"+rest); err != nil {
			return
		}
		before = "HTTP/1.1 200 OK\r\n" + rest
	}
}

// extra has faulty replicas send additional bytes after complete answers. No caller may get another caller's answer.
func extra(trouble bool) int {
	w, err := newWorld(78, 5, 3)
	if err != nil {
		return unable
	}
	defer w.end()
	for _, m := range w.all {
		if err := w.start(m, true); err != nil {
			w.say("can't start: %v", err)
			return unable
		}
	}
	var list []*extraReplica
	for i := range 3 {
		e, err := w.newExtraReplica("hut-desk", fmt.Sprintf("127.78.3.%d", i+1), zones[i])
		if err != nil {
			return unable
		}
		defer func() { close(e.stop); _ = e.ln.Close() }()
		list = append(list, e)
	}
	if status, _, err := w.order(http.MethodPut, "/-/config", configuration(1), 20*time.Second); err != nil || status != http.StatusOK {
		return unable
	}
	time.Sleep(3 * time.Second)
	if trouble {
		e := list[0]
		e.extraMu.Lock()
		e.share = 0.02
		e.extraMu.Unlock()
	}
	foreign, answered := 0, 0
	for i := range 1500 {
		id := fmt.Sprintf("a%015x", i)
		body, ok := w.check(i%3, id)
		if !ok {
			continue
		}
		answered++
		if !strings.Contains(body, id) {
			foreign++
			w.say("client: request %s got %s", id, body)
		}
	}
	w.say("result: %d requests of 1500 had a success, %d of these with the answer to another request", answered, foreign)
	if foreign > 0 {
		return broken
	}
	return held
}

// check sends one safe request and returns the body of a signed success.
func (w *world) check(edge int, id string) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.edges[edge].frontend()+"/check/a", nil)
	if err != nil {
		return "", false
	}
	req.Host = "hut.example"
	req.Header.Set("X-Daisyhatch-Attempt-Id", id)
	req.Header.Set("X-Daisyhatch-Deadline-Ms", "3000")
	req.Header.Set("Api-Key", "9dnn2ctnfzs989anu6ws")
	res, err := operatorClient.Do(req)
	if err != nil {
		w.say("client: request %s: %v", id, err)
		return "", false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	w.say("client: request %s: %d, %s, %v", id, res.StatusCode, bytes.TrimSpace(body), err)
	return string(body), err == nil && res.StatusCode == http.StatusOK && res.Header.Get("X-Daisyhatch-Response-Signature") != ""
}
