//go:build review3

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// get sends one request on a new connection to an edge machine, and returns the status, 0 for none.
func (w *world) get(edge int, id, key string, header http.Header) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.edges[edge].frontend()+"/check/a", nil)
	if err != nil {
		return 0
	}
	for name, v := range header {
		req.Header[name] = v
	}
	req.Host = "hut.example"
	req.Header.Set("X-Daisyhatch-Attempt-Id", id)
	req.Header.Set("X-Daisyhatch-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	res, err := operatorClient.Do(req)
	if err != nil {
		w.say("client: request %s at %s: %v", id, w.edges[edge].name, err)
		return 0
	}
	_ = res.Body.Close()
	w.say("client: request %s at %s with key %q: %d, signature %q", id, w.edges[edge].name, key, res.StatusCode, res.Header.Get("X-Daisyhatch-Response-Signature"))
	return res.StatusCode
}

// lastkey takes keys away until none is left. A request whose key no configuration in force holds must not run.
func lastkey(trouble bool) int {
	tenants := func(keys ...string) []object {
		out := []object{}
		for i, k := range keys {
			out = append(out, object{"name": fmt.Sprintf("tenant-%d", i+1), "apiKeys": []string{k}, "priority": 1})
		}
		return out
	}
	w, end := deployment(72, withTenants(1, tenants("key-one", "key-two")))
	defer end()
	if w == nil {
		return unable
	}
	if w.get(0, "a000000000000001", "key-one", nil) != http.StatusOK || w.get(1, "a000000000000002", "never-held", nil) != http.StatusUnauthorized {
		return unable
	}
	next := tenants("key-one")
	if trouble {
		next = tenants()
	}
	status, _, err := w.order(http.MethodPut, "/-/config", withTenants(2, next), 20*time.Second)
	w.say("operator: configuration 2 with %d tenants: %d, %v", len(next), status, err)
	if err != nil || status != http.StatusOK {
		return unable
	}
	// configApplyMs is 2 s.
	time.Sleep(4 * time.Second)
	ran := 0
	for i := range 30 {
		for k, key := range []string{"key-two", "never-held"} {
			if w.get(i%3, fmt.Sprintf("b%015x", 2*i+k), key, nil) == http.StatusOK {
				ran++
			}
		}
	}
	w.say("result: %d requests of 60 ran whose keys the configuration in force does not hold", ran)
	if ran > 0 {
		return broken
	}
	return held
}
