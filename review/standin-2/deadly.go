//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["dark-crashes"] = darkCrashes }

const (
	host = "desk.example"
	// replicas are as many as the largest pool of the site has.
	replicas = 9
	// darkTime is how long a replica is silent, plainTime how long one is down that only crashes.
	darkTime, plainTime = 4 * time.Second, 700 * time.Millisecond
	// again is the time between two attempts with the deadly request.
	again = 400 * time.Millisecond
	// playTime is how long the deadly request comes.
	playTime = 25 * time.Second
	// allowedRetries is how many retries may reach replicas later than contact after the third crash.
	allowedRetries = 3
)

// plainConfig is a configuration with one safe route to one plain service.
func plainConfig(version int) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": host, "pathPrefix": "/desk/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": "desk", "maxAttempts": 2, "public": false, "sessionAffinity": false, "streamResume": false,
		}},
		"services": []any{map[string]any{
			"name": "desk", "healthPath": "/healthz", "maxConnections": 280, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

func request(path, body string) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, "http://x"+path, bytes.NewReader([]byte(body)))
	r.Host = host
	return r
}

// deaths are the crashes under the deadly request.
type deaths struct {
	mu sync.Mutex
	at []time.Duration
}

// darkCrashes lets one request come again at one entry machine after the other that crashes each replica which begins to run
// it. With trouble the replicas fall silent for some seconds, else they break their connections off.
func darkCrashes(w *world) verdict {
	w.startFleet()
	if _, ok := w.order(http.MethodPut, "/-/config", plainConfig(1), 20*time.Second, w.controls()...); !ok {
		w.fail("the first configuration is not accepted")
	}
	how := crash{down: plainTime}
	if w.trouble {
		how = crash{down: darkTime, dark: true}
	}
	d := &deaths{}
	for i := range replicas {
		s := w.addServer("desk", fmt.Sprintf("zone-%c", 'a'+i%3), 64, 20*time.Millisecond)
		s.crash = how
		s.crashed = func(s *server, id, attempt string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.at = append(d.at, w.now())
			w.note("replica %s crashes under %s, the %d. crash", id, attempt, len(d.at))
		}
		s.start()
		w.ends = append(w.ends, s.end)
	}
	w.waitReady(20 * time.Second)
	// The five control machines have to be members of the group.
	time.Sleep(6 * time.Second)
	c := w.startClients(100*time.Millisecond, 3*time.Second, func(_ string, n int) *http.Request {
		return request("/desk/stock", fmt.Sprint("sound ", n))
	})
	time.Sleep(3 * time.Second)
	if ok, all := c.served(); ok < all*9/10 {
		w.fail("%d of %d requests are served before the deadly one", ok, all)
	}
	var wg sync.WaitGroup
	edges := w.edges()
	for i := 0; i < int(playTime/again); i++ {
		wg.Go(func() {
			c.send(edges[i%len(edges)], 3*time.Second, func(string, int) *http.Request { return request("/desk/stock", deadly) })
		})
		time.Sleep(again)
	}
	wg.Wait()
	c.end()
	return d.judge(c)
}

// judge counts the retries that reached replicas later than contact after the third crash.
func (d *deaths) judge(c *clients) verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	for _, at := range d.at {
		if len(d.at) >= 3 && at > d.at[2]+contact {
			late++
		}
	}
	ok, all := c.served()
	why := fmt.Sprintf("%d replicas crashed under one request, %d of them later than %v after the third; %d are allowed; %d of %d requests, the deadly ones among them, served",
		len(d.at), late, contact, allowedRetries, ok, all)
	return verdict{late > allowedRetries, why}
}
