package relay

import (
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/where"
)

// Reasons why a server is passed over.
const (
	passedLimit   = "its limit leaves this VM no room"
	passedFailed  = "it failed a moment ago"
	passedSilent  = "neither control VMs nor this VM heard it lately"
	passedCold    = "this VM's share of a cold server is used up"
	reasonNoRoute = "no route matches"
)

// ServeWhere answers where a request would go: the host and the path are in the query of req, the request's headers among its
// headers.
func (r *Relay) ServeWhere(w http.ResponseWriter, req *http.Request) {
	answer := r.Where(req.URL.Query().Get("host"), req.URL.Query().Get("path"), req.Header, time.Now())
	w.Header().Set("Content-Type", "application/json")
	// The client may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(answer)
}

// Where tells where a request with a host, path and header would go now. A stream that is taken up may only go to servers of
// the version that began it, which is not looked up. Of a split route it shows the service with the largest share.
func (r *Relay) Where(host, path string, header http.Header, now time.Time) *where.Answer {
	view := r.opts.View
	out := &where.Answer{VM: r.opts.VM, FailureDomain: r.opts.FailureDomain, StateAgeMs: view.ContactAge(now).Milliseconds(), Candidates: []where.Candidate{}}
	x := &exchange{relay: r, start: now, catalog: view.Catalog(), req: &http.Request{
		Method: http.MethodPost, Host: host, RequestURI: path, Header: header, URL: &url.URL{Path: path},
	}}
	if x.catalog == nil || !view.Current() {
		return refuseWhere(out, http.StatusServiceUnavailable, noConfigurationRetryAfter, "no configuration is known yet")
	}
	out.ConfigurationVersion = x.catalog.Version
	if !x.describe(out) {
		return out
	}
	if h := r.opts.Rollouts; h != nil {
		x.pass = h.Ask(x.service.Name, x.rolloutKey())
	}
	x.rankInto(out, now)
	// As chooseAnyServer does.
	for out.Server == "" && x.widen() {
		out.Candidates = out.Candidates[:0]
		refuseWhere(out, 0, 0, "")
		x.rankInto(out, now)
	}
	return out
}

// refuseWhere says that the request would be refused.
func refuseWhere(w *where.Answer, status int, retryAfter time.Duration, reason string) *where.Answer {
	w.Status, w.RetryAfterMs, w.Reason = status, retryAfter.Milliseconds(), reason
	return w
}

// describe finds the request's route and caller; false if it would be refused for these.
func (x *exchange) describe(out *where.Answer) bool {
	path, _, _ := strings.Cut(x.req.RequestURI, "?")
	if x.route = x.catalog.Match(hostOf(x.req.Host), path); x.route == nil {
		refuseWhere(out, http.StatusNotFound, 0, reasonNoRoute)
		return false
	}
	out.Route, out.TargetMs, out.Priority = x.route.Name, x.route.Target.Milliseconds(), int(x.route.Priority)
	var err error
	if x.call, err = x.relay.opts.Dialect.Call(x.req.Header); err != nil {
		refuseWhere(out, http.StatusBadRequest, 0, err.Error())
		return false
	}
	x.priority = x.route.Priority
	if x.catalog.KeysNeeded() && !x.route.Public {
		o := x.catalog.Organisation(x.call.Key)
		if o == nil {
			refuseWhere(out, http.StatusUnauthorized, 0, "unknown key")
			return false
		}
		out.Organisation = o.Name
		if o.Priority != nil {
			x.priority = *o.Priority
		}
	}
	x.setDeadline()
	out.Priority, out.DeadlineMs = int(x.priority), x.deadline.Sub(x.start).Milliseconds()
	best := x.route.Split[0]
	for _, s := range x.route.Split {
		if s.Weight > best.Weight {
			best = s
		}
	}
	x.setService(x.catalog.Services[best.Service])
	out.Service = best.Service
	for _, s := range x.route.Stages {
		out.Stages = append(out.Stages, s.Service)
	}
	return true
}

// rankInto ranks the servers of the request's service, as chooseServer does, without taking anything.
func (x *exchange) rankInto(out *where.Answer, now time.Time) {
	r, all := x.relay, x.serving(now)
	share := func(c fleet.Candidate) bool {
		return !c.Cold || r.cold.Count(c.ID, now) < r.coldShare(x.service, c.ID, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	passed := make(map[string]string)
	for _, c := range all {
		switch {
		case !c.Limit.HasRoom(now):
			passed[c.ID] = passedLimit
		case !r.health.usable(c.ID, now):
			passed[c.ID] = passedFailed
		case c.Quiet && !r.health.recentlyAnswered(c.ID, now):
			passed[c.ID] = passedSilent
		}
	}
	usable := slices.DeleteFunc(slices.Clone(all), func(c fleet.Candidate) bool { return passed[c.ID] != "" })
	if len(usable) == 0 {
		// Servers that failed or are silent are used when there is no other.
		usable = slices.DeleteFunc(slices.Clone(all), func(c fleet.Candidate) bool { return passed[c.ID] == passedLimit })
	}
	ranked := r.rank(x, usable, now)
	for _, c := range ranked {
		reason := ""
		if !share(c) {
			reason = passedCold
		} else if out.Server == "" {
			out.Server = c.ID
		}
		out.Candidates = append(out.Candidates, x.figures(c, reason, now))
	}
	for _, c := range all {
		if !slices.ContainsFunc(ranked, func(k fleet.Candidate) bool { return k.ID == c.ID }) {
			out.Candidates = append(out.Candidates, x.figures(c, passed[c.ID], now))
		}
	}
	if out.Server == "" {
		reason := "no server of the service takes work now"
		if noRoomNow(all, now) {
			reason = reasonLimits
		}
		told := x.roomNoServer().Tell(x.timeLeft(), 0)
		refuseWhere(out, http.StatusServiceUnavailable, told.After, reason)
	}
}

// figures returns what this VM knows of a server; r.mu must be held.
func (x *exchange) figures(c fleet.Candidate, passed string, now time.Time) where.Candidate {
	r := x.relay
	out := where.Candidate{
		Server: c.ID, FailureDomain: c.Domain, Passed: passed, Cold: c.Cold, HeardMs: age(c.Heard, now), AnsweredMs: -1,
		InFlight: r.plainInFlight[c.ID], Slowness: rounded(r.health.slowness(x.service.Name, c.ID, now)),
		Failures: rounded(r.health.failureScore(c.ID, now)),
	}
	if h := r.health.servers[c.ID]; h != nil {
		out.AnsweredMs = age(h.lastAnswer, now)
	}
	if c.Limit != nil {
		out.LimitShare, out.LimitSent = c.Limit.Share, c.Limit.Sent
	}
	return out
}

// age returns how long ago something was in milliseconds; -1 if it never was.
func age(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// rounded rounds to hundredths.
func rounded(v float64) float64 { return math.Round(v*100) / 100 }
