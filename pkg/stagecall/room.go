package stagecall

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

// "Room" is the free memory for results at a stage server. It can be what limits a pool, and only the VM that owns the
// calls of a service knows which results take how much of it. A VM that takes over a service first queries the servers for
// their room: otherwise they would compute results that they can't store.
const (
	// roomKnownFor is how long the room of a server counts as known after the last call to it or report from it; later,
	// another VM may have used the room.
	roomKnownFor = 2 * time.Second
	// roomQueryTimeout is how long a server gets no calls while its report is awaited; round trips take milliseconds.
	roomQueryTimeout = 300 * time.Millisecond
	// roomUncertainFor is how long after running out of room a server may run out again: results of calls that another
	// VM made last for seconds.
	roomUncertainFor = 2 * time.Second
	// foreignInterval is how often a server is queried while it holds results of other VMs' calls, about the duration of a
	// call.
	foreignInterval = 400 * time.Millisecond
)

// RoomQueries returns the servers whose room must be queried now, and records the query.
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

// SetRoom records the room that a server reported. It returns the minimum number of bytes that results of other VMs' calls
// take there.
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

// markFull records that a server had no room for a result; its room is queried again.
func (st *serverState) markFull(now time.Time) {
	st.fullUntil = now.Add(fullFor)
	st.roomKnownAt = time.Time{}
}

// roomKnown reports whether this VM made the latest calls to the server or got a report from it recently.
func (st *serverState) roomKnown(now time.Time) bool {
	return st.busy > 0 || now.Sub(st.roomKnownAt) < roomKnownFor
}

// awaitingRoom reports whether the server gets no calls until it has answered a room query or the query has timed out.
func (st *serverState) awaitingRoom(now time.Time) bool {
	return !st.roomKnown(now) && now.Sub(st.roomQueriedAt) < roomQueryTimeout
}

// freeBytes returns how many bytes new results may take at a server; negative if it holds too much already.
func (s *Scheduler) freeBytes(st *serverState) int64 {
	return int64(float64(s.batch.ResultBytes)*usableRoomShare) - st.reservedBytes - st.foreignBytes
}

// HasAmpleRoom reports whether a server has room for two calls of average size.
func (s *Scheduler) HasAmpleRoom(server string) bool {
	st := s.servers[server]
	return st != nil && s.freeBytes(st) >= int64(2*s.avgCallBytes)
}

// CertainOfRoom reports whether a server surely has room for the results of its calls: it holds no results of other VMs' calls
// and has not run out of room recently.
func (s *Scheduler) CertainOfRoom(server string, now time.Time) bool {
	st := s.servers[server]
	return st == nil || st.foreignBytes == 0 && now.Sub(st.fullUntil) > roomUncertainFor
}
