package directory

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"
)

// ErrInvalid means that an announcement names no server that can be used.
var ErrInvalid = errors.New("directory: invalid announcement")

const (
	// maxTextBytes is the largest length of an id, a name, a version and an address.
	maxTextBytes = 256
	// maxSlots is the largest number of slots.
	maxSlots = 1 << 20
	// maxAhead is how far the start of a server may lie ahead of this VM's clock. A later one would hide all real
	// incarnations at its address.
	maxAhead = time.Hour
	// maxCold is the longest cold start.
	maxCold = 24 * time.Hour
)

// Check returns ErrInvalid if a server can't be used, or its record can't be passed on to other VMs. wall is the time of day.
// A record that names no address is checked as that of a server that has gone.
func (s *Server) Check(wall time.Time) error {
	if s.ID == "" {
		return fmt.Errorf("%w: no id", ErrInvalid)
	}
	for _, text := range []string{s.ID, s.Service, s.Address, s.Domain, s.Version} {
		if len(text) > maxTextBytes || !utf8.ValidString(text) {
			return fmt.Errorf("%w: %.32q is longer than %d bytes or no UTF-8", ErrInvalid, text, maxTextBytes)
		}
	}
	if s.Born < 0 || s.Born > wall.Add(maxAhead).UnixMilli() {
		return fmt.Errorf("%w: start at %d ms", ErrInvalid, s.Born)
	}
	if s.Slots < 0 || s.Slots > maxSlots {
		return fmt.Errorf("%w: %d slots", ErrInvalid, s.Slots)
	}
	if s.Address == "" && s.State == Gone {
		return nil
	}
	if s.ColdUntil.Sub(s.Heard) > maxCold {
		return fmt.Errorf("%w: cold for %v", ErrInvalid, s.ColdUntil.Sub(s.Heard))
	}
	a, err := netip.ParseAddrPort(s.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		return fmt.Errorf("%w: address %.32q can't be connected to", ErrInvalid, s.Address)
	}
	return nil
}
