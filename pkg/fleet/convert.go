package fleet

import (
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
)

// serverToWire encodes a server record. Times are sent as ages, since the VMs' clocks differ.
func serverToWire(s directory.Server, now time.Time) *daisyhatchv1.AnnouncedServer {
	return &daisyhatchv1.AnnouncedServer{
		Id: s.ID, BornUnixMs: s.Born, Sequence: s.Sequence, Service: s.Service, Address: s.Address,
		FailureDomain: s.Domain, State: daisyhatchv1.AnnouncedState(s.State), Slots: uint32(max(s.Slots, 0)),
		ColdRemainingMs: max(0, s.ColdUntil.Sub(now).Milliseconds()), AgeMs: max(0, now.Sub(s.Heard).Milliseconds()),
		Quiet: s.Quiet, Version: s.Version,
	}
}

func serverFromWire(s *daisyhatchv1.AnnouncedServer, now time.Time) directory.Server {
	v := directory.Server{
		ID: s.GetId(), Born: s.GetBornUnixMs(), Sequence: s.GetSequence(), Service: s.GetService(), Address: s.GetAddress(),
		Domain: s.GetFailureDomain(), State: directory.State(s.GetState()), Slots: int(s.GetSlots()),
		Heard: now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond), Quiet: s.GetQuiet(),
		Version: s.GetVersion(),
	}
	if c := s.GetColdRemainingMs(); c > 0 {
		v.ColdUntil = now.Add(time.Duration(c) * time.Millisecond)
	}
	return v
}

// serversFromWire decodes server records, and leaves out those that can't be used.
func serversFromWire(list []*daisyhatchv1.AnnouncedServer, now time.Time) []directory.Server {
	out := make([]directory.Server, 0, len(list))
	for _, s := range list {
		if v := serverFromWire(s, now); v.Check(time.Now()) == nil {
			out = append(out, v)
		}
	}
	return out
}

func serversToWire(list []directory.Server, now time.Time) []*daisyhatchv1.AnnouncedServer {
	out := make([]*daisyhatchv1.AnnouncedServer, 0, len(list))
	for _, s := range list {
		out = append(out, serverToWire(s, now))
	}
	return out
}
