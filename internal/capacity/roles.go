package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/cacheevents"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
)

// Bounds of the size that the system is designed for.
const (
	boundCPU    = 0.012
	boundBytes  = 32e6
	boundPerS   = 14e3
	boundInFull = 4.0
)

// Rates that follow from the design.
const (
	renewPerS     = float64(time.Second / grant.RenewInterval)
	beatPerS      = 1.0
	claimShare    = 0.05 // assumed share of requests that are not repeatable
	longestS      = 5.0  // no stage call lasts longer than the pipelines' deadline
	demandMargin  = 1.25
	parsesPerS    = float64(changesPerDay) / float64(secondsPerDay)
	seriesPerBeat = float64(requestsPerS) / float64(entryVMs) // at most one series for each request of a second
)

// row is one need of a role.
type row struct {
	role, need, working string
	value               float64
	unit                string
	// bound is 0 when none applies.
	bound     float64
	mechanism string
}

// roles works out what each role needs at the design size.
func roles(s map[string]slope) []row {
	rows := entryRows(s)
	rows = append(rows, controlRows(s)...)
	return append(rows, publicationRows(s)...)
}

// announcesPerS is how many announcements backend servers send in sum.
func announcesPerS() float64 {
	return replicas / grant.AnnounceInterval(replicas).Seconds()
}

// asksPerS is how often an entry VM asks each grantor.
func asksPerS() float64 { return 1 / askEvery.Seconds() }

// listsPerS is how often an entry VM asks for the list of suspects.
func listsPerS() float64 { return 1 / quarantine.ListRefreshAge.Seconds() }

// heldPerGrantor is the most grants that one entry VM has of one grantor: calls in flight with the margin asked for.
func heldPerGrantor() float64 {
	return float64(requestsPerS) / float64(entryVMs) * longestS * demandMargin / controlVMs
}

func entryRows(s map[string]slope) []row {
	call := s[slopeCallCPU].slope
	announcePerS := announcesPerS() / entryVMs
	asks := asksPerS() * controlVMs
	cpuAnnounce := announcePerS * call
	cpuAsk := asks*call/2 + asksPerS()*s[slopeHolder].at(controlVMs)
	cpuBeat := beatPerS * call / 2
	cpuSuspects := listsPerS() * call / 2
	cpuParse := parsesPerS * s[slopeChange].at(organisations)
	netAnnounce := announcePerS * (s[slopeAnnouncedWire].slope + s[slopeAnnounceWire].slope)
	netAsk := asks * s[slopeAcquireWire].at(heldPerGrantor())
	// At most one draw for each request: in the worst case each comes from another organisation.
	perS := float64(requestsPerS) / float64(entryVMs)
	netDraw := perS * s[slopeDrawWire].at(1)
	netClaim := 2 * claimShare * perS * s[slopeClaimWire].slope
	netBeat := beatPerS * s[slopeBeatWire].at(seriesPerBeat)
	netWatch := s[slopeWatchWire].slope
	netSuspects := listsPerS() * s[slopeSuspectsWire].slope
	memory := s[slopeText].at(organisations) + s[slopeSet].at(organisations)
	peak := 2*s[slopeText].at(organisations) + s[slopePeak].at(organisations)
	return []row{
		{"entry", "processor: announcements", fmt.Sprintf("%.1f/s taken and passed on", announcePerS), cpuAnnounce, "core", 0, "grantors by shard; a server reaches any entry VM"},
		{"entry", "processor: grants", fmt.Sprintf("%.0f requests/s to %d grantors", asks, controlVMs), cpuAsk, "core", 0, "one request to each grantor for all pools"},
		{"entry", "processor: heartbeat", "1/s", cpuBeat, "core", 0, "heartbeat to one control VM"},
		{"entry", "processor: suspects", fmt.Sprintf("%.1f questions/s", listsPerS()), cpuSuspects, "core", 0, "as above"},
		{"entry", "processor: configuration", fmt.Sprintf("%d changes a day", changesPerDay), cpuParse, "core", 0, "deltas on the wire; only changed sections are read"},
		{"entry", "processor in sum", "", cpuAnnounce + cpuAsk + cpuBeat + cpuSuspects + cpuParse, "core", boundCPU, ""},
		{"entry", "network: announcements", "taken as JSON over HTTP/1.1, passed on", netAnnounce, "byte/s", 0, "as above"},
		{"entry", "network: grants", fmt.Sprintf("%.1f grants held of each grantor", heldPerGrantor()), netAsk, "byte/s", 0, "as above"},
		{"entry", "network: heartbeat", fmt.Sprintf("%.0f burn series each", seriesPerBeat), netBeat, "byte/s", 0, "at most 64 series and costs in one heartbeat"},
		{"entry", "network: watch stream", "2 events/s without a change", netWatch, "byte/s", 0, "one stream to one control VM"},
		{"entry", "network: suspects", fmt.Sprintf("%.1f questions/s while requests go on", listsPerS()), netSuspects, "byte/s", 0, "one question to one control VM"},
		{"entry", "network: limits", fmt.Sprintf("%.0f draws/s, each request from another organisation", perS), netDraw, "byte/s", 0, "kept by the VM of the organisation's shard"},
		{"entry", "network: claims", fmt.Sprintf("%.1f claims/s and as many outcomes", claimShare*perS), netClaim, "byte/s", 0, "ledger, replicated log"},
		{"entry", "network: cache events", "the most that reads may take", cacheevents.DefaultBytesPerSecond, "byte/s", 0, "reads within a rate of bytes"},
		{"entry", "network in sum", "", netAnnounce + netAsk + netDraw + netClaim + netBeat + netWatch + netSuspects + cacheevents.DefaultBytesPerSecond, "byte/s", boundPerS, ""},
		{"entry", "memory: configuration", "text and parsed set", memory, "byte", 0, "one copy in force"},
		{"entry", "memory: highest heap", "two texts, a first parse and that of a change", peak, "byte", boundBytes, "sections are read and decoded 64 at a time"},
	}
}

func controlRows(s map[string]slope) []row {
	call := s[slopeCallCPU].slope
	announces := announcesPerS() / controlVMs
	asks := asksPerS() * entryVMs
	beats := beatPerS * entryVMs / controlVMs
	grantor := announces*s[slopeAnnounce].slope + asks*s[slopeAcquire].slope
	lists := listsPerS() * entryVMs / controlVMs
	calls := (announces + asks + beats + lists) * call / 2
	net := announces*s[slopeAnnounceWire].slope + asks*s[slopeAcquireWire].at(heldPerGrantor()) + beats*s[slopeBeatWire].at(seriesPerBeat) +
		lists*s[slopeSuspectsWire].slope
	claims := claimShare * requestsPerS
	renewals := renewPerS * 64
	leader := renewals*s[slopeLease].slope + 2*claims*s[slopeClaimCPU].slope
	entries := renewals + 2*claims
	memory := s[slopeText].at(organisations) + s[slopeSet].at(organisations) + s[slopeServers].at(replicas/controlVMs) +
		s[slopeClaimHeap].at(65_536) + s[slopeAggregator].at(512)
	return []row{
		{"grantor", "processor: decisions", fmt.Sprintf("%.0f announcements/s, %.0f requests/s", announces, asks), grantor, "core", 0, "64 shards over all control VMs"},
		{"grantor", "processor: its calls", fmt.Sprintf("%.0f calls/s, one end each", announces+asks+beats+lists), calls, "core", 0, "connect over HTTP/2"},
		{"grantor", "network", "", net, "byte/s", 0, "as above"},
		{"control leader", "processor: state machine", fmt.Sprintf("%.0f lease renewals/s, %.0f claims/s (assumed %.0f %% of requests) and as many outcomes", renewals, claims, 100*claimShare), leader, "core", 0, "group commit"},
		{"control leader", "network to each follower", fmt.Sprintf("%.0f entries/s of 300 bytes", entries), entries * s[slopeStepWire].slope, "byte/s", 0, "appends in batches"},
		{"control follower", "processor: state machine", "as the leader's", leader, "core", 0, "applies the same log"},
		{"control follower", "time of one synced write", "16 entries", s[slopeSync].at(16), "s", 0, "segment files, one sync for a batch"},
		{"any control VM", "memory", "configuration, servers, 65,536 claims, 512 burn series", memory, "byte", 0, "bounded ledger and burn series"},
		{"any control VM", "snapshot", "65,536 claims", s[slopeSnapshot].at(65_536), "byte", 0, "one file with a checksum"},
	}
}

func publicationRows(s map[string]slope) []row {
	parse := s[slopeChange].at(organisations)
	send := s[slopeWatchTime].at(nodes)
	work := 2*parse + s[slopePublish].at(organisations) + s[slopeSync].at(1) + send
	return []row{
		{"publication", "state machine", "a change of one line as a delta", s[slopePublish].at(organisations), "s", 0, "delta of the version before"},
		{"publication", "processor: sent to all nodes", fmt.Sprintf("one control VM with the watches of %d nodes, both ends", nodes), s[slopeWatchCPU].at(nodes), "s", 0, "one delta for all watchers; no relays"},
		{"publication", "until the last node has it", fmt.Sprintf("one control VM with the watches of %d nodes", nodes), send, "s", 0, "as above"},
		{"publication", "work until in force on all nodes", "checked, synced, applied, sent, parsed on the entry VM", work, "s", boundInFull, "watch streams; without the network's delay"},
	}
}

func writeSlopes(w io.Writer, slopes map[string]slope) {
	printf(w, "### Slopes\n\n")
	printf(w, "Value = base + slope × n. The residual is the largest distance from the line, as a share of the largest value.\n\n")
	printf(w, "| what | n counts | unit | measured at n | base | slope | residual |\n|---|---|---|---|---|---|---|\n")
	for _, p := range probes() {
		s, ok := slopes[p.name]
		if !ok {
			continue
		}
		var values []string
		for _, q := range s.points {
			values = append(values, fmt.Sprintf("%.0f: %s", q.x, number(q.y)))
		}
		printf(w, "| %s | %s | %s | %s | %s | %s | %.1f %% |\n", p.name, p.of, p.unit, strings.Join(values, "; "),
			number(s.intercept), number(s.slope), 100*s.residual)
	}
}

func writeRoles(w io.Writer, rows []row) {
	printf(w, "\n### Roles at the design size\n\n")
	printf(w, "| role | need | worked out from | value | bound | held? | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		bound, held := "", ""
		if r.bound > 0 {
			bound = number(r.bound) + " " + r.unit
			held = "yes"
			if r.value > r.bound {
				held = fmt.Sprintf("**no**, %.2f times", r.value/r.bound)
			}
		}
		printf(w, "| %s | %s | %s | %s %s | %s | %s | %s |\n", r.role, r.need, r.working, number(r.value), r.unit, bound, held, r.mechanism)
	}
}

// printf writes a table; the caller's buffer can't fail.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
