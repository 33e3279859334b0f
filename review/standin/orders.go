//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["stale-order"] = staleOrder
	cases["forgotten-leave"] = forgottenLeave
	cases["two-disks-after-replacement"] = twoDisks
}

const host = "desk.example"

// plainConfig is a configuration with one safe route to one plain service.
func plainConfig(version int) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": host, "pathPrefix": "/desk/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": "desk", "maxAttempts": 2, "public": false, "sessionAffinity": false, "streamResume": false,
		}},
		"services": []any{map[string]any{
			"name": "desk", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

func deskRequest(string, int) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, "http://x/desk/stock", nil)
	r.Host = host
	return r
}

// startPlain starts the deployment with three replicas of a plain service and the traffic.
func (w *world) startPlain() ([]*server, *clients) {
	w.startFleet()
	if _, ok := w.order(http.MethodPut, "/-/config", plainConfig(1), 20*time.Second, w.controls()...); !ok {
		w.fail("the first configuration is not accepted")
	}
	var servers []*server
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		s := w.addServer("desk", z, 6, 20*time.Millisecond)
		s.start()
		servers = append(servers, s)
	}
	w.waitReady(20 * time.Second)
	// The five control machines have to be members of the group.
	time.Sleep(6 * time.Second)
	c := w.startClients(100*time.Millisecond, 3*time.Second, deskRequest)
	time.Sleep(2 * time.Second)
	if ok, all := c.served(); ok < all/2 {
		w.fail("only %d of %d requests are served before the disruption", ok, all)
	}
	return servers, c
}

// staleOrder: one control machine stands still for 3.9 s just when the operator takes an evacuation back there. The
// operator sends the same order to another machine, and later evacuates the zone again. The machine goes on. This is played
// three times at most.
func staleOrder(w *world) verdict {
	servers, c := w.startPlain()
	v := verdict{}
	for range staleRounds {
		if v = w.staleRound(servers); v.broken {
			break
		}
	}
	c.end()
	good, all := c.served()
	w.note("%d of %d requests were served", good, all)
	return v
}

const (
	staleRounds = 3
	// frozenTime is how long the machine stands still: under the 4.0 s of the site.
	frozenTime = 3900 * time.Millisecond
)

func (w *world) staleRound(servers []*server) verdict {
	lead := w.leader()
	var frozen *node
	var others []*node
	for _, n := range w.controls() {
		if frozen == nil && n.zone == "zone-a" && n != lead {
			frozen = n
			continue
		}
		others = append(others, n)
	}
	if frozen == nil {
		w.fail("no follower in zone-a")
	}
	const path = "/-/evacuations/zone-a"
	if _, ok := w.order(http.MethodPost, path, nil, 4*time.Second, others...); !ok {
		w.fail("the first evacuation is not acknowledged")
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		frozen.freeze()
	}
	wake := time.Now().Add(frozenTime)
	if _, ok := w.order(http.MethodDelete, path, nil, 4*time.Second, append([]*node{frozen}, others...)...); !ok {
		w.fail("the end of the evacuation is not acknowledged")
	}
	time.Sleep(time.Second)
	acked, ok := w.order(http.MethodPost, path, nil, time.Second, others...)
	if !ok {
		w.fail("the second evacuation is not acknowledged")
	}
	time.Sleep(time.Until(wake))
	if w.trouble {
		frozen.thaw()
	}
	from := max(acked+evacuate, w.now()+contact)
	time.Sleep(9 * time.Second)
	n, first := 0, ""
	for _, s := range servers {
		if s.zone != "zone-a" {
			continue
		}
		for _, a := range s.ran() {
			if a.at > from {
				if n++; first == "" {
					first = fmt.Sprintf("%s by %s at %.3f s", a.id, s.id, a.at.Seconds())
				}
			}
		}
	}
	v := verdict{broken: n > 0, why: fmt.Sprintf(
		"EVAC: %d requests ran in zone-a later than %.3f s, %.1f s after its evacuation was acknowledged at %.3f s; first: %s",
		n, from.Seconds(), (from - acked).Seconds(), acked.Seconds(), first)}
	if _, ok := w.order(http.MethodDelete, path, nil, 4*time.Second, others...); !ok {
		w.fail("the end of the evacuation is not acknowledged")
	}
	time.Sleep(2 * time.Second)
	return v
}

// forgottenLeave: a replica is replaced: the new one announces itself, and the old one leaves. Right after its departure was
// acknowledged, all control processes are killed; they are back within a second. The replica goes on to serve for a while.
func forgottenLeave(w *world) verdict {
	servers, c := w.startPlain()
	leaving := servers[0]
	w.addServer("desk", leaving.zone, 6, leaving.work).start()
	time.Sleep(60 * time.Millisecond)
	acked, ok := leaving.leave()
	if !ok {
		w.fail("the departure is not acknowledged")
	}
	if w.trouble {
		w.killCore(500 * time.Millisecond)
	}
	calm := w.now() + contact
	time.Sleep(14 * time.Second)
	c.end()
	from := max(acked+drain, calm)
	n, first := 0, ""
	for _, a := range leaving.ran() {
		s := c.find(a.id)
		if s == nil || a.at <= from || s.at <= calm {
			continue
		}
		if n++; first == "" {
			first = fmt.Sprintf("%s, sent to %s at %.3f s, at %.3f s", a.id, s.node.name, s.at.Seconds(), a.at.Seconds())
		}
	}
	good, all := c.served()
	w.note("%d of %d requests were served", good, all)
	why := fmt.Sprintf("DRAIN: %d requests reached %s later than %.3f s, %.1f s after its departure was acknowledged at %.3f s; first: %s",
		n, leaving.id, from.Seconds(), (from - acked).Seconds(), acked.Seconds(), first)
	return verdict{broken: n > 0, why: why}
}

// killCore kills all control processes at the same moment and starts them again after a delay.
func (w *world) killCore(delay time.Duration) {
	for _, n := range w.controls() {
		n.signal(syscall.SIGKILL)
	}
	w.note("all control processes are killed")
	for _, n := range w.controls() {
		n.kill()
	}
	time.Sleep(delay)
	for _, n := range w.controls() {
		n.start()
	}
}

// twoDisks: a control machine is replaced as planned: its successor has started long before it gets SIGTERM. Once it is
// gone, two others lose their disks, as many as the deployment bears.
func twoDisks(w *world) verdict {
	_, c := w.startPlain()
	controls := w.controls()
	old := controls[0]
	successor := w.addNode("core-6", "zone-a", true, false)
	successor.start()
	time.Sleep(catchUp + 2*time.Second)
	version := 2
	if _, ok := w.order(http.MethodPut, "/-/config", plainConfig(version), 4*time.Second, controls[1:]...); !ok {
		w.fail("the second configuration is not accepted")
	}
	old.terminate()
	old.removed = true
	rest := w.controls()[1:]
	time.Sleep(300 * time.Millisecond)
	version = 3
	acked, ok := w.order(http.MethodPut, "/-/config", plainConfig(version), 4*time.Second, rest...)
	if !ok {
		w.fail("the third configuration is not accepted")
	}
	if w.trouble {
		lost := rest[:2]
		for _, n := range lost {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range lost {
			n.kill()
			n.loseDisk()
		}
		time.Sleep(time.Second)
		for _, n := range lost {
			n.start()
		}
	}
	time.Sleep(catchUp)
	// The operator reads the configuration back, at each machine in turn.
	begin, read := w.now(), 0
	for w.now()-begin < 45*time.Second && read < 3 {
		for _, n := range rest {
			status, b := w.call(n, http.MethodGet, "/-/config", nil)
			var got struct{ Version int }
			_ = json.Unmarshal(b, &got)
			w.note("operator: GET /-/config: %s answers %d, version %d", n.name, status, got.Version)
			switch {
			case status == http.StatusOK && got.Version == version:
				read++
			case status == http.StatusOK:
				c.end()
				return verdict{true, fmt.Sprintf("CONFIG: version %d was acknowledged at %.3f s, version %d is read back", version, acked.Seconds(), got.Version)}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.end()
	good, all := c.served()
	w.note("%d of %d requests were served", good, all)
	if read == 0 {
		return verdict{true, fmt.Sprintf("LOST, CONFIG: version %d, acknowledged at %.3f s, doesn't come from any machine in %.0f s", version, acked.Seconds(), (w.now() - begin).Seconds())}
	}
	return verdict{false, fmt.Sprintf("version %d is read back", version)}
}
