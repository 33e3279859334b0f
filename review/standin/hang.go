//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

func init() { cases["hung-owner"] = hungOwner }

const (
	chainPieces  = 24
	chainServers = 10
	// downTime is how long a machine is down: under the 7.0 s of the site.
	downTime = 6800 * time.Millisecond
)

// chain are the services of the stages, each of which reads the results of the one before it.
var chain = []string{"roll", "runs", "notes"}

// chainConfig is a configuration with one stream behind a chain of three stages, and one plain route.
func chainConfig(version int) []byte {
	var doc map[string]any
	_ = json.Unmarshal(stagedConfig(version), &doc)
	route := doc["routes"].([]any)[0].(map[string]any)
	engine := doc["services"].([]any)[0]
	var plain map[string]any
	_ = json.Unmarshal(plainConfig(version), &plain)
	services := []any{engine, plain["services"].([]any)[0]}
	var stages []any
	for i, s := range chain {
		after := []int{}
		if i > 0 {
			after = []int{i - 1}
		}
		stages = append(stages, map[string]any{"service": s, "after": after, "length": 8000})
		services = append(services, map[string]any{
			"name": s, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
			"segments": map[string]any{"slots": 1, "queue": 2, "batch": 96, "callMs": 200, "itemMs": 1.8, "headroomMb": 18, "handleTtlS": 4, "linkMbps": 10000},
		})
	}
	route["stages"] = stages
	doc["services"], doc["routes"] = services, []any{route, plain["routes"].([]any)[0]}
	b, _ := json.Marshal(doc)
	return b
}

// owners returns the control machine that has the calls of each service made, by the newest lines about it in the logs.
func (w *world) owners() map[string]stageowner.Owner {
	out := make(map[string]stageowner.Owner)
	for _, n := range w.controls() {
		b, _ := os.ReadFile(n.logFile())
		for line := range bytes.Lines(b) {
			var l struct {
				Msg, Service, Owner string
				Term                uint64
				Accepted            bool
			}
			if json.Unmarshal(line, &l) == nil && l.Msg == "owner of stage calls changed" && l.Accepted && l.Term > out[l.Service].Term {
				out[l.Service] = stageowner.Owner{Service: l.Service, Address: l.Owner, Term: l.Term}
			}
		}
	}
	return out
}

// neighbours reports whether two services that follow one another in the chain have one owner.
func neighbours(owners map[string]stageowner.Owner) bool {
	for i := range chain[1:] {
		if owners[chain[i]].Address == owners[chain[i+1]].Address {
			return true
		}
	}
	return false
}

// without returns the owners after the loss of the machines down, as the project's plan tells.
func (w *world) without(owners map[string]stageowner.Owner, lead *node, down ...*node) map[string]stageowner.Owner {
	var list []stageowner.Owner
	after := make(map[string]stageowner.Owner)
	for s, o := range owners {
		list = append(list, o)
		after[s] = o
	}
	var members []stageowner.Member
	for _, n := range w.controls() {
		m := stageowner.Member{Address: fmt.Sprintf("%s:%d", n.ip, portPeers), Leads: n == lead, Steady: time.Minute}
		if slices.Contains(down, n) {
			m.Silence = time.Minute
		}
		members = append(members, m)
	}
	for _, c := range stageowner.Plan(slices.Sorted(slices.Values(chain)), list, members, 0) {
		after[c.Service] = stageowner.Owner{Service: c.Service, Address: c.Address, Term: c.BaseTerm + 1}
	}
	return after
}

// pair returns two control machines without which neighbours will have one owner, as far as the plan tells; apart is true if
// the second is to be lost a second after the first.
func (w *world) pair() (down []*node, apart bool) {
	now, lead := w.owners(), w.leader()
	var followers []*node
	for _, n := range w.controls() {
		if n != lead {
			followers = append(followers, n)
		}
	}
	for _, a := range followers {
		for _, b := range followers {
			if a != b && neighbours(w.without(now, lead, a, b)) {
				return []*node{a, b}, false
			}
		}
	}
	for _, a := range followers {
		for _, b := range followers {
			if a != b && neighbours(w.without(w.without(now, lead, a), lead, a, b)) {
				return []*node{a, b}, true
			}
		}
	}
	return followers[:2], false
}

// hungOwner: two control machines lose power for 6.8 s, as many as the deployment bears.
func hungOwner(w *world) verdict {
	w.startFleet()
	if _, ok := w.order(http.MethodPut, "/-/config", chainConfig(1), 20*time.Second, w.controls()...); !ok {
		w.fail("the first configuration is not accepted")
	}
	sh := &shelf{made: make(map[string]piece)}
	k := &inputsChecker{w: w, shelf: sh, want: chainPieces}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		w.addEngine("engine", z, k).start()
		w.addServer("desk", z, 6, 20*time.Millisecond).start()
	}
	for i := range chainServers {
		for _, s := range chain {
			x := w.addStageServer(s, []string{"zone-a", "zone-b", "zone-c"}[i%3], sh)
			x.quiet, x.perPiece = true, 1800*time.Microsecond
			x.start()
		}
	}
	w.waitReady(20 * time.Second)
	time.Sleep(8 * time.Second)
	plain := w.startClients(25*time.Millisecond, 3*time.Second, deskRequest)
	c := w.startClients(36*time.Millisecond, 6*time.Second, func(id string, n int) *http.Request {
		r, _ := http.NewRequest(http.MethodPost, "http://x/report/1", strings.NewReader("bundle "+id))
		r.Host = streamHost
		r.Header.Set(header+"Model", "m")
		r.Header.Set(header+"Token-Usage", "1460,80")
		r.Header.Set(header+"Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%08x:660", 0x91bd0000+n))
		r.Header.Set(header+"Chunks", fmt.Sprintf("%d,%d,%d", chainPieces, chainPieces, chainPieces))
		r.Header.Set(header+"Chunk-Key", fmt.Sprintf("7c1e%08x", n))
		return r
	})
	time.Sleep(4 * time.Second)
	if good, all := c.servedIn(0, w.now()-2*time.Second); good < all*3/4 {
		w.fail("only %d of %d staged requests are served before the disruption", good, all)
	}
	w.note("owners: %v", w.owners())
	if w.trouble {
		down, apart := w.pair()
		var ends []time.Time
		for i, n := range down {
			if i > 0 && apart {
				time.Sleep(1500 * time.Millisecond)
			}
			n.signal(syscall.SIGKILL)
			ends = append(ends, time.Now().Add(downTime))
		}
		for _, n := range down {
			n.kill()
		}
		for i, n := range down {
			time.Sleep(time.Until(ends[i]))
			n.start()
		}
		w.note("owners: %v", w.owners())
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(76 * time.Second)
	w.note("owners: %v", w.owners())
	last := w.now() - 15*time.Second
	c.end()
	plain.end()
	staged, stagedAll := c.served()
	desk, deskAll := plain.served()
	lately, latelyAll := c.servedIn(last, w.now())
	own := float64(staged) / float64(max(stagedAll, 1))
	share := float64(staged+desk) / float64(max(stagedAll+deskAll, 1))
	why := fmt.Sprintf("Starved: over the whole day %d of %d staged requests are served (%.2f), and %d of %d plain ones (%.2f of all); in the last 15 s %d of %d staged ones",
		staged, stagedAll, own, desk, deskAll, share, lately, latelyAll)
	return verdict{broken: own < share/4, why: why}
}
