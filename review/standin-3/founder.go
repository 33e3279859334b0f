//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// founder plays the first start of a small deployment: five core and three edge machines. Right after the start one of the three core
// machines that the settings name as seeds is lost for good, and an empty one comes 2 s later at another address. The operator sends
// the first configuration until it is accepted, and clients ask.
func founder(trouble bool) int {
	w, err := newWorld(71, 5, 3)
	if err != nil {
		return unable
	}
	defer w.end()
	for _, m := range w.all {
		if err := w.start(m, true); err != nil {
			w.say("can't start: %v", err)
			return unable
		}
		if !trouble || m != w.cores[2] {
			continue
		}
		lost := m
		w.say("platform: %s is gone for good", lost.name)
		w.kill(lost)
		go func() {
			time.Sleep(2 * time.Second)
			spare := w.machine("core-6", "127.71.1.6", lost.zone, true)
			if err := w.start(spare, false); err != nil {
				w.say("can't start: %v", err)
			}
			// The list of those who call the control machines lags by seedLagS.
			w.added <- spare
		}()
	}
	for i := range 3 {
		r, err := w.newReplica("hut-desk", fmt.Sprintf("127.71.3.%d", i+1), zones[i])
		if err != nil {
			return unable
		}
		defer r.end()
	}
	accepted := make(chan error, 1)
	go func() {
		status, _, err := w.order(http.MethodPut, "/-/config", configuration(1), 60*time.Second)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		w.say("operator: configuration 1: %v", err)
		accepted <- err
	}()
	var asked, served atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.ask(ctx, &asked, &served)
	var last error
	select {
	case last = <-accepted:
	case <-time.After(65 * time.Second):
		last = errors.New("not accepted")
	}
	if last == nil {
		time.Sleep(5 * time.Second)
	}
	w.say("result: configuration: %v; %d requests sent, %d served", last, asked.Load(), served.Load())
	if last != nil || served.Load() == 0 {
		return broken
	}
	return held
}

// ask sends some ten requests a second, each at an edge machine in turn and on a new connection.
func (w *world) ask(ctx context.Context, asked, served *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(100 * time.Millisecond)
		id := fmt.Sprintf("%016x", i+1)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.edges[i%len(w.edges)].frontend()+"/check/a", nil)
		if err != nil {
			return
		}
		req.Host = "hut.example"
		req.Header.Set("X-Daisyhatch-Attempt-Id", id)
		req.Header.Set("X-Daisyhatch-Deadline-Ms", "3000")
		req.Header.Set("Api-Key", "9dnn2ctnfzs989anu6ws")
		asked.Add(1)
		res, err := client.Do(req)
		if err != nil {
			w.say("client: request %s: %v", id, err)
			continue
		}
		_ = res.Body.Close()
		w.say("client: request %s: %d", id, res.StatusCode)
		if res.StatusCode == http.StatusOK && res.Header.Get("X-Daisyhatch-Response-Signature") != "" {
			served.Add(1)
		}
	}
}
