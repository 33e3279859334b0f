//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is a request that a client sent.
type sent struct {
	at     time.Duration
	node   *node
	path   string
	status int
	took   time.Duration
}

// clients are stand-in clients: a steady number of requests a second to each entry machine.
type clients struct {
	w    *world
	mu   sync.Mutex
	sent map[string]*sent
	n    int
	wg   sync.WaitGroup
	stop context.CancelFunc
}

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, IdleConnTimeout: 10 * time.Second}}

// startClients sends requests made by build to each entry machine, one each interval on average.
func (w *world) startClients(interval, deadline time.Duration, build func(id string, n int) *http.Request) *clients {
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{w: w, sent: make(map[string]*sent), stop: cancel}
	for _, n := range w.edges() {
		c.wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(interval))):
					c.wg.Go(func() { c.send(n, deadline, build) })
				}
			}
		})
	}
	w.ends = append(w.ends, cancel)
	return c
}

func (c *clients) send(n *node, deadline time.Duration, build func(id string, n int) *http.Request) {
	c.mu.Lock()
	c.n++
	k := c.n
	id := fmt.Sprintf("9c41d07b%08x", 0xe2a30000+k)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req := build(id, k).WithContext(ctx)
	s := &sent{at: c.w.now(), node: n, path: req.URL.Path}
	c.sent[id] = s
	c.mu.Unlock()
	req.URL.Scheme, req.URL.Host = "http", fmt.Sprintf("%s:%d", n.ip, portFrontend)
	req.Header.Set(header+"Attempt-Id", id)
	req.Header.Set(header+"Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.w.note("client sends %s for %s to %s", id, s.path, n.name)
	status, text := 0, ""
	res, err := caller.Do(req)
	if err == nil {
		status = res.StatusCode
		b, rerr := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if rerr != nil {
			status = 0
		}
		text = strings.TrimSpace(string(b[:min(len(b), 80)]))
	}
	c.mu.Lock()
	s.status, s.took = status, c.w.now()-s.at
	c.mu.Unlock()
	c.w.note("client gets %d for %s after %d ms: %s", status, id, s.took.Milliseconds(), strings.ReplaceAll(text, "\n", " "))
}

// end stops the traffic and waits for the answers.
func (c *clients) end() {
	c.stop()
	c.wg.Wait()
}

func (c *clients) find(id string) *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// servedIn is served for the requests that were sent in a span of time.
func (c *clients) servedIn(from, to time.Duration) (ok, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		if s.at < from || s.at > to {
			continue
		}
		all++
		if s.status/100 == 2 {
			ok++
		}
	}
	return ok, all
}

// served returns how many requests had a 2xx answer, of how many.
func (c *clients) served() (ok, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		all++
		if s.status/100 == 2 {
			ok++
		}
	}
	return ok, all
}
