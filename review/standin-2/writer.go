//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["other-writer"] = otherWriter }

const (
	// unnamed is a service that no configuration names.
	unnamed = "billing"
	// calm is the time before the other writer comes, and writing the time for which it goes on.
	calm, writing = 4 * time.Second, 50 * time.Second
)

// twoServices is a configuration with a safe route to each of two plain services.
func twoServices(version int) []byte {
	var doc map[string]any
	_ = json.Unmarshal(plainConfig(version), &doc)
	second := bytes.NewReader(bytes.ReplaceAll(plainConfig(version), []byte("desk"), []byte("roll")))
	var other map[string]any
	_ = json.NewDecoder(second).Decode(&other)
	doc["routes"] = append(doc["routes"].([]any), other["routes"].([]any)...)
	doc["services"] = append(doc["services"].([]any), other["services"].([]any)...)
	b, _ := json.Marshal(doc)
	return b
}

// otherWriter lets heartbeats come under the ids of a service's replicas that name a service which isn't in the configuration,
// and checks that the service's requests go on being served.
func otherWriter(w *world) verdict {
	w.startFleet()
	if _, ok := w.order(http.MethodPut, "/-/config", twoServices(1), 20*time.Second, w.controls()...); !ok {
		w.fail("the first configuration is not accepted")
	}
	var desk []*server
	for i := range 6 {
		s := w.addServer([]string{"desk", "roll"}[i/3], fmt.Sprintf("zone-%c", 'a'+i%3), 6, 20*time.Millisecond)
		s.start()
		w.ends = append(w.ends, s.end)
		if s.service == "desk" {
			desk = append(desk, s)
		}
	}
	w.waitReady(20 * time.Second)
	// The five control machines have to be members of the group.
	time.Sleep(6 * time.Second)
	c := w.startClients(50*time.Millisecond, 3*time.Second, func(_ string, n int) *http.Request {
		r := request([]string{"/desk/stock", "/roll/names"}[n%2], fmt.Sprint("sound ", n))
		r.Host = []string{host, strings.ReplaceAll(host, "desk", "roll")}[n%2]
		return r
	})
	time.Sleep(calm)
	if ok, all := c.served(); ok < all*9/10 {
		w.fail("%d of %d requests are served before the disruption", ok, all)
	}
	born := time.Now().UnixMilli()
	for n := 1; time.Duration(n)*heartbeat < writing; n++ {
		if w.trouble {
			for _, s := range desk {
				s.overwrite(born, n)
			}
		}
		time.Sleep(heartbeat)
	}
	c.end()
	return c.judgeKinds()
}

// overwrite sends a heartbeat of another writer under the replica's id.
func (s *server) overwrite(born int64, n int) {
	body, _ := json.Marshal(map[string]any{
		"service": unnamed, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready", "coldRemainingMs": 0,
		"sequence": n, "born": born,
	})
	nodes := s.w.controls()
	to := nodes[n%len(nodes)]
	status, _ := s.w.call(to, http.MethodPut, "/-/replicas/"+s.id, body)
	s.w.note("another writer: heartbeat %d under %s with service %q to %s: %d", n, s.id, unnamed, to.name, status)
}

// judgeKinds checks whether the requests for the desk are served less than a quarter as often as all requests.
func (c *clients) judgeKinds() verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ok, all, deskOK, deskAll int
	for _, s := range c.sent {
		served := 0
		if s.status/100 == 2 {
			served = 1
		}
		ok, all = ok+served, all+1
		if s.path == "/desk/stock" {
			deskOK, deskAll = deskOK+served, deskAll+1
		}
	}
	share, of := float64(deskOK)/float64(max(deskAll, 1)), float64(ok)/float64(max(all, 1))
	why := fmt.Sprintf("%d of %d requests for the desk are served (%.3f), %d of all %d (%.3f)", deskOK, deskAll, share, ok, all, of)
	return verdict{share < of/4, why}
}
