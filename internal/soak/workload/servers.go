package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// announceEvery is the time between two announcements of a server.
const announceEvery = time.Second

// reviveEvery is the time between two looks for crashed servers.
const reviveEvery = 500 * time.Millisecond

// Server is one stand-in backend server that announces itself.
type Server struct {
	oracle.Server
	// Host is its IP number.
	Host   string
	client *http.Client
}

// StartServers starts the stand-ins of all pools of a configuration. They announce themselves at times drawn from rng.
func (s *System) StartServers(set *config.Set, rng *rand.Rand) ([]*Server, error) {
	var out []*Server
	for _, name := range poolNames {
		p := set.Pools[name]
		for i := range p.Replicas {
			v, err := s.startServer(len(out)+1, fmt.Sprintf("%s-%d", name, i+1), p.FailureDomains[i%len(p.FailureDomains)], name, p)
			if err != nil {
				return out, err
			}
			out = append(out, v)
		}
	}
	for _, v := range out {
		jitter := time.Duration(rng.Int64N(int64(announceEvery)))
		s.background.Go(func() { s.announce(v, jitter) })
	}
	s.background.Go(func() { s.revive(out) })
	return out, nil
}

func (s *System) startServer(n int, name, domain, pool string, p *config.Pool) (*Server, error) {
	address := s.ServerAddress(n, domain)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("workload: %w", err)
	}
	v := &Server{Host: host, client: s.client(host, 0)}
	v.Name = name
	v.FailureDomain = domain
	v.Server.Server = standin.New(standin.Options{
		Name: name, Pool: pool, FailureDomain: domain, Models: p.Models, Address: address,
		FirstToken: 20 * time.Millisecond, TokenTime: 5 * time.Millisecond, Tokens: tokens,
		Capacity: p.Concurrency, ColdCalls: p.WarmAfter, ColdFactor: 3, ColdCapacity: p.ColdConcurrency,
		LoadLag: 500 * time.Millisecond,
		Listen:  s.Listen,
	})
	v.SetPoison(oracle.PoisonMark)
	return v, v.Start()
}

// announce sends one server's announcements through the balancer until the run ends.
func (s *System) announce(v *Server, jitter time.Duration) {
	time.Sleep(jitter)
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	defer v.client.CloseIdleConnections()
	for {
		if v.Running() {
			// An announcement that is lost is made again in a second.
			_ = v.Announce(context.Background(), v.client, s.Entries(v.Host), announceKey, false)
		}
		select {
		case <-t.C:
		case <-s.Stop:
			return
		}
	}
}

// revive starts crashed servers again a moment after their crash, until the run ends.
func (s *System) revive(servers []*Server) {
	t := time.NewTicker(reviveEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.Stop:
			return
		}
		for _, v := range servers {
			if v.Running() {
				continue
			}
			if err := v.Start(); err != nil {
				s.Oracle.Violate(oracle.Recovery, "%s did not start again: %v", v.Name, err)
			}
		}
	}
}

// Seen returns the servers as the oracle sees them.
func Seen(servers []*Server) []oracle.Server {
	var out []oracle.Server
	for _, v := range servers {
		out = append(out, v.Server)
	}
	return out
}
