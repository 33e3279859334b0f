package grant

import (
	"cmp"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// HeldServer is a backend server in a shard whose lease this VM holds.
type HeldServer struct {
	// Announcement is the server's last one. It must not be modified.
	Announcement *daisyhatchv1.Announcement
	// Fence is that of the lease, and Until is when the lease ends unless renewed.
	Fence uint64
	Until time.Time
}

// HeldServers returns the servers of the held shards that announced themselves within AnnounceTTL, sorted by name.
func (g *Grantor) HeldServers(now time.Time) []HeldServer {
	var out []HeldServer
	for _, s := range g.servers {
		if s.ann == nil || !g.Holds(s.shard, now) || now.Sub(s.heard) > AnnounceTTL {
			continue
		}
		st := &g.shards[s.shard]
		out = append(out, HeldServer{Announcement: s.ann, Fence: st.fence, Until: st.leaseUntil})
	}
	slices.SortFunc(out, func(a, b HeldServer) int {
		return cmp.Compare(a.Announcement.GetServer(), b.Announcement.GetServer())
	})
	return out
}

// Servers returns the status of the servers in the shards that the VM holds, sorted by name.
func (g *Grantor) Servers(now time.Time) []*daisyhatchv1.ServerStatus {
	var out []*daisyhatchv1.ServerStatus
	for _, s := range g.servers {
		if !g.Holds(s.shard, now) {
			continue
		}
		p := g.poolConfig(s.ann.Pool)
		out = append(out, &daisyhatchv1.ServerStatus{
			Server:        s.name,
			Pool:          s.ann.Pool,
			FailureDomain: s.ann.FailureDomain,
			Address:       s.ann.Address,
			State:         s.state(p, now),
			Budget:        uint32(s.budget(p, now)),
			Granted:       uint32(s.charged),
			InFlight:      uint32(s.reported),
		})
	}
	slices.SortFunc(out, func(a, b *daisyhatchv1.ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
