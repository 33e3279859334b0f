package stagecall

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// Free releases results; handles for the same server are collected for a short time and sent in one request.
func (r *Runner) Free(handles []string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		address := AddressOf(h)
		if address == "" {
			continue
		}
		f := r.pendingFrees[address]
		if f == nil {
			f = &pendingFree{since: now}
			r.pendingFrees[address] = f
		}
		if !slices.Contains(f.handles, h) {
			f.handles = append(f.handles, h)
		}
	}
	r.scheduleFlush()
}

// scheduleFlush starts the flush timer if handles are pending and none is running; r.mu is held.
func (r *Runner) scheduleFlush() {
	if r.flushTimer == nil && len(r.pendingFrees) > 0 {
		r.flushTimer = time.AfterFunc(freeInterval, r.flush)
	}
}

// flush sends the pending handles, except recent ones at servers with ample room, which wait for a larger batch.
func (r *Runner) flush() {
	now := time.Now()
	r.mu.Lock()
	pending := r.pendingFrees
	r.pendingFrees = make(map[string]*pendingFree)
	pools := make([]*pool, 0, len(r.pools))
	for _, p := range r.pools {
		pools = append(pools, p)
	}
	r.mu.Unlock()
	for address, f := range pending {
		if now.Sub(f.since) >= freeIntervalAmple || !hasAmpleRoomAt(pools, address) {
			go r.sendFree(address, f.handles, pools)
			delete(pending, address)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushTimer = nil
	for address, f := range pending {
		if newer := r.pendingFrees[address]; newer != nil {
			f.handles = append(f.handles, newer.handles...)
		}
		r.pendingFrees[address] = f
	}
	r.scheduleFlush()
}

// hasAmpleRoomAt reports whether the server at an address is known to have enough free memory for the next calls.
func hasAmpleRoomAt(pools []*pool, address string) bool {
	for _, p := range pools {
		p.mu.Lock()
		id, ok := p.serverIDs[address]
		ample := ok && p.sched.HasAmpleRoom(id)
		p.mu.Unlock()
		if ok {
			return ample
		}
	}
	return false
}

// sendFree tells a server that results are released, and records it once the server has answered.
func (r *Runner) sendFree(address string, handles []string, pools []*pool) {
	method, path, body, err := r.opts.Dialect.StageFree(handles)
	if err != nil {
		r.opts.Log.Error(err, "results not given up", "server_address", address)
		return
	}
	v, known := r.opts.View.ServerAt(address)
	if err := r.checkOpen(v); known && err != nil {
		// The server drops the results by itself once they expire.
		r.opts.Log.Info("results not given up", "server_address", address, "count", len(handles), "reason", err.Error())
		return
	}
	if known && !r.limiter.Take(v, v.Service, limiter.KindFree, "") {
		r.opts.Log.Info("results not given up", "server_address", address, "count", len(handles), "reason", limiter.ErrExceeded.Error())
		return
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	a, err := r.opts.AuxPool.Do(ctx, upstream.Call{
		Address: address, Method: method, Target: path, Host: address, Header: r.opts.Dialect.TargetHeader("", freeTimeout),
		Body: body, HasBody: true,
	})
	if err != nil {
		r.opts.Log.Info("results not given up", "server_address", address, "count", len(handles), "reason", err.Error())
		return
	}
	if known {
		meta := r.opts.Dialect.Answer(a.Status, a.Header)
		r.applyNotice(v, meta.Notice)
		r.limiter.Record(v, v.Service, &meta, false, sent)
		r.tellFreed(v, meta.Load, pools)
	}
	// The body carries no information; a read error only drops the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxResponseBytes))
	_ = a.Body.Close()
	for _, p := range pools {
		p.mu.Lock()
		if id, ok := p.serverIDs[address]; ok {
			p.sched.ResultsReleased(id, handles)
		}
		p.mu.Unlock()
		p.dispatch()
	}
}

// AddressOf returns the address of the server that holds a result: the part of the handle before the first slash. It is
// empty if the handle has none.
func AddressOf(handle string) string {
	for i := range len(handle) {
		if handle[i] == '/' {
			return handle[:i]
		}
	}
	return ""
}
