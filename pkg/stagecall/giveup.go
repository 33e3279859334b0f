package stagecall

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// Free gives results up; calls to one server are gathered for a moment.
func (r *Runner) Free(handles []string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		address := AddressOf(h)
		if address == "" {
			continue
		}
		f := r.free[address]
		if f == nil {
			f = &freed{since: now}
			r.free[address] = f
		}
		if !slices.Contains(f.handles, h) {
			f.handles = append(f.handles, h)
		}
	}
	r.armFlush()
}

// armFlush sees to the next flush; r.mu is held.
func (r *Runner) armFlush() {
	if r.timer == nil && len(r.free) > 0 {
		r.timer = time.AfterFunc(freeInterval, r.flush)
	}
}

func (r *Runner) flush() {
	now := time.Now()
	r.mu.Lock()
	all := r.free
	r.free = make(map[string]*freed)
	pools := make([]*pool, 0, len(r.pools))
	for _, p := range r.pools {
		pools = append(pools, p)
	}
	r.mu.Unlock()
	// Pools are locked before the Runner, so that they are asked without its lock.
	for address, f := range all {
		if now.Sub(f.since) >= freeRoomy || !roomyAt(pools, address) {
			go r.sendFree(address, f.handles, pools)
			delete(all, address)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = nil
	for address, f := range all {
		if newer := r.free[address]; newer != nil {
			f.handles = append(f.handles, newer.handles...)
		}
		r.free[address] = f
	}
	r.armFlush()
}

// roomyAt reports whether the server at an address is known to have room enough for the next calls.
func roomyAt(pools []*pool, address string) bool {
	for _, p := range pools {
		p.mu.Lock()
		id, ok := p.makers[address]
		roomy := ok && p.sched.Roomy(id)
		p.mu.Unlock()
		if ok {
			return roomy
		}
	}
	return false
}

func (r *Runner) sendFree(address string, handles []string, pools []*pool) {
	method, path, body, err := r.opts.Dialect.StageFree(handles)
	if err != nil {
		r.opts.Log.Error(err, "results not given up", "server_address", address)
		return
	}
	v, known := r.opts.View.ServerAt(address)
	if err := r.mayAsk(v); known && err != nil {
		// It drops them by itself after a time.
		r.opts.Log.Info("results not given up", "server_address", address, "count", len(handles), "reason", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	a, err := r.opts.Asides.Do(ctx, upstream.Call{
		Address: address, Method: method, Target: path, Host: address, Header: r.opts.Dialect.TargetHeader("", freeTimeout),
		Body: body, HasBody: true,
	})
	if err != nil {
		r.opts.Log.Info("results not given up", "server_address", address, "count", len(handles), "reason", err.Error())
		return
	}
	if known {
		r.noticed(v, r.opts.Dialect.Answer(a.Status, a.Header).Notice)
	}
	// The body says nothing; what can't be read drops the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswer))
	_ = a.Body.Close()
	for _, p := range pools {
		p.mu.Lock()
		if id, ok := p.makers[address]; ok {
			p.sched.Freed(id, handles)
		}
		p.mu.Unlock()
		p.dispatch()
	}
}

// AddressOf returns the address of the server that holds a result.
func AddressOf(handle string) string {
	for i := range len(handle) {
		if handle[i] == '/' {
			return handle[:i]
		}
	}
	return ""
}
