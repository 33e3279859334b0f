package stagecall

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

// The room for results at a server is what limits a pool at times, and only the VM that has its calls made knows who
// holds how much of it. A VM that takes a service's calls over asks the servers first: they would work on calls whose
// results they have no room for.
const (
	// roomKnownFor is how long after its last call a server's room counts as known: another VM may have used it since.
	roomKnownFor = 2 * time.Second
	// roomQueryTimeout is how long a server is left alone until it answers; it lies milliseconds away.
	roomQueryTimeout = 300 * time.Millisecond
	// roomUncertainFor is how long a server that had no room may have none again: results of calls that another VM made last for
	// seconds.
	roomUncertainFor = 2 * time.Second
	// foreignInterval is how often a server is asked while it holds results of other VMs' calls: about a call's time.
	foreignInterval = 400 * time.Millisecond
)

// RoomQueries returns the servers that must be asked for their room now, and notes that they are asked.
func (s *Scheduler) RoomQueries(servers []Server, now time.Time) []Server {
	if len(s.jobs) == 0 {
		return nil
	}
	var out []Server
	for _, v := range servers {
		st := s.state(v.ID)
		if !st.usable(v, now) || now.Sub(st.roomQueriedAt) < roomQueryTimeout {
			continue
		}
		if st.roomKnown(now) && (st.foreignBytes == 0 || now.Sub(st.roomReportedAt) < foreignInterval) {
			continue
		}
		st.roomQueriedAt = now
		out = append(out, v)
	}
	return out
}

// SetRoom takes over what a server says of its free room. It returns the bytes that results of other VMs' calls take
// there: at least.
func (s *Scheduler) SetRoom(server string, free dialect.Room, now time.Time) int64 {
	st := s.state(server)
	st.expireResults(now, s.batch.ResultTTL)
	st.foreignBytes = max(0, s.batch.ResultBytes-free.Most-st.reservedBytes)
	st.roomReportedAt, st.roomKnownAt, st.roomQueriedAt = now, now, time.Time{}
	if free.Least > 0 {
		st.fullUntil = time.Time{}
	}
	return st.foreignBytes
}

// markFull notes that a server had no room for a result. It is asked again.
func (st *serverState) markFull(now time.Time) {
	st.fullUntil = now.Add(fullFor)
	st.roomKnownAt = time.Time{}
}

// roomKnown reports whether this VM made the latest calls to the server, or has asked it since.
func (st *serverState) roomKnown(now time.Time) bool {
	return st.busy > 0 || now.Sub(st.roomKnownAt) < roomKnownFor
}

// awaitingRoom reports whether a server's answer must be waited for before it gets a call.
func (st *serverState) awaitingRoom(now time.Time) bool {
	return !st.roomKnown(now) && now.Sub(st.roomQueriedAt) < roomQueryTimeout
}

// freeBytes returns the bytes that new results may take at a server.
func (s *Scheduler) freeBytes(st *serverState) int64 {
	return int64(float64(s.batch.ResultBytes)*usableRoomShare) - st.reservedBytes - st.foreignBytes
}

// HasAmpleRoom reports whether a server has room for two usual calls.
func (s *Scheduler) HasAmpleRoom(server string) bool {
	st := s.servers[server]
	return st != nil && s.freeBytes(st) >= int64(2*s.avgCallBytes)
}

// CertainOfRoom reports whether a server is known to have the room that its calls need: it holds no results of other VMs'
// calls, and had room lately.
func (s *Scheduler) CertainOfRoom(server string, now time.Time) bool {
	st := s.servers[server]
	return st == nil || st.foreignBytes == 0 && now.Sub(st.fullUntil) > roomUncertainFor
}
