// Package grant limits the concurrent calls on each backend server. A Grantor has a concurrency budget for each server
// and grants units of it, one for each concurrent call, to holders for a short time; a Holder is the side of an entry
// VM that starts calls under its grants. Neither does I/O or reads a clock: the time is an argument and must be
// monotonic.
package grant

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards that backend servers hash into. Each shard has at most one grantor at a time.
const Shards = 64

// Lifetimes and intervals of leases, grants and announcements.
const (
	// LeaseTTL is how long a lease lasts for its holder, counted from when the holder sent the request for it.
	LeaseTTL = 1500 * time.Millisecond
	// TTL is how long a holder may start calls under a grant, counted from when it sent the request for it.
	TTL = 1500 * time.Millisecond
	// RenewInterval is the interval between the requests of one holder, and between renewals of a lease.
	RenewInterval = 500 * time.Millisecond
	// ContendedRenewInterval is the interval between a holder's requests while the demand for a pool exceeds its
	// budget, so that units pass between holders sooner.
	ContendedRenewInterval = 250 * time.Millisecond
	// QuietPeriod is how long a new grantor waits before its first grant: the lifetime of the last grant that the
	// former grantor can have made. The lease passes to another VM only once it has ended for its former holder.
	QuietPeriod = TTL
	// BaseAnnounceInterval is the interval between announcements of a backend server when there are fewer than
	// slowAnnounceThreshold.
	BaseAnnounceInterval = time.Second
	// AnnounceTTL is how long a server may get work after its last announcement.
	AnnounceTTL = 5 * time.Second
)

// slowAnnounceThreshold is the number of servers from which each announces itself half as often.
const slowAnnounceThreshold = 1000

// AnnounceInterval returns the interval between announcements of a backend server when there are that many servers.
func AnnounceInterval(servers int) time.Duration {
	if servers >= slowAnnounceThreshold {
		return 2 * BaseAnnounceInterval
	}
	return BaseAnnounceInterval
}

// ShardOf returns the shard of a backend server, 0 to Shards-1.
func ShardOf(server string) uint32 {
	return uint32(xxhash.Sum64String(server) % Shards)
}

// LeaseName returns the name of the lease that a shard's grantor holds.
func LeaseName(shard uint32) string {
	return fmt.Sprintf("grantor/%02d", shard)
}
