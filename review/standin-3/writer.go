//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

// writer has another writer send heartbeats with fields missing under the id of a sound replica of another service. They name no replica
// to use, so that no request may go where they say.
func writer(trouble bool) int {
	c := smallConfiguration(1)
	c["services"] = append(c["services"].([]object), object{
		"name": "member-roll", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
	})
	c["routes"] = append(c["routes"].([]object), object{
		"name": "r-roll", "host": "hut.example", "pathPrefix": "/roll/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 300,
		"priority": 2, "service": "member-roll", "maxAttempts": 2, "public": false, "sessionAffinity": false, "streamResume": false,
	})
	w, end := deployment(75, mustJSON(c))
	defer end()
	if w == nil {
		return unable
	}
	var others []*replica
	for i := range 2 {
		r, err := w.newReplica("member-roll", fmt.Sprintf("127.75.4.%d", i+1), zones[i])
		if err != nil {
			return unable
		}
		defer r.end()
		others = append(others, r)
	}
	time.Sleep(3 * time.Second)
	if w.book(0, "d000000000000000") != http.StatusOK {
		return unable
	}
	if trouble {
		r := others[0]
		// version, slots, coldRemainingMs and born are missing.
		body := mustJSON(object{"service": "hut-desk", "address": r.address, "zone": r.zone, "state": "ready", "sequence": 1000})
		status, answer, err := w.callOnce(w.cores[0].control(), http.MethodPut, "/-/replicas/"+r.id, body, time.Second)
		w.say("another writer: heartbeat of %s: %s: %d, %s, %v", r.id, body, status, bytes.TrimSpace(answer), err)
	}
	time.Sleep(3 * time.Second)
	for i := range 90 {
		w.book(i%3, fmt.Sprintf("e%015x", i))
		time.Sleep(30 * time.Millisecond)
	}
	strayed := 0
	for _, r := range others {
		r.mu.Lock()
		strayed += len(r.ran)
		r.mu.Unlock()
	}
	w.say("result: %d of 90 requests for hut-desk were run by replicas of member-roll", strayed)
	if strayed > 0 {
		return broken
	}
	return held
}

// book sends one booking, which may run once at most, and returns the status.
func (w *world) book(edge int, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.edges[edge].frontend()+"/book/a", bytes.NewReader([]byte(`{"hut":"pelion"}`)))
	if err != nil {
		return 0
	}
	req.Host = "hut.example"
	req.Header.Set("X-Daisyhatch-Attempt-Id", id)
	req.Header.Set("X-Daisyhatch-Deadline-Ms", "3000")
	req.Header.Set("Api-Key", "9dnn2ctnfzs989anu6ws")
	res, err := operatorClient.Do(req)
	if err != nil {
		w.say("client: booking %s at %s: %v", id, w.edges[edge].name, err)
		return 0
	}
	_ = res.Body.Close()
	w.say("client: booking %s at %s: %d, signature %q", id, w.edges[edge].name, res.StatusCode, res.Header.Get("X-Daisyhatch-Response-Signature"))
	return res.StatusCode
}
