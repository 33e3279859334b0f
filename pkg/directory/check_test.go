package directory

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		change func(*Server)
		valid  bool
	}{
		"sound":                   {func(*Server) {}, true},
		"IPv6":                    {func(s *Server) { s.Address = "[2001:db8::1]:80" }, true},
		"clock a minute ahead":    {func(s *Server) { s.Born = now.Add(time.Minute).UnixMilli() }, true},
		"gone, with its id alone": {func(s *Server) { *s = Server{ID: "i", State: Gone} }, true},
		"no id":                   {func(s *Server) { s.ID = "" }, false},
		"id is no UTF-8":          {func(s *Server) { s.ID = "i-\xff" }, false},
		"gone, id is no UTF-8":    {func(s *Server) { *s = Server{ID: "\xff", State: Gone} }, false},
		"long id":                 {func(s *Server) { s.ID = strings.Repeat("i", 257) }, false},
		"service is no UTF-8":     {func(s *Server) { s.Service = "\xc3\x28" }, false},
		"long version":            {func(s *Server) { s.Version = strings.Repeat("v", 257) }, false},
		"port out of range":       {func(s *Server) { s.Address = "10.0.0.1:70000" }, false},
		"port 0":                  {func(s *Server) { s.Address = "10.0.0.1:0" }, false},
		"no IP address":           {func(s *Server) { s.Address = "host:80" }, false},
		"unspecified address":     {func(s *Server) { s.Address = "0.0.0.0:80" }, false},
		"multicast address":       {func(s *Server) { s.Address = "224.0.0.1:80" }, false},
		"address with a zone":     {func(s *Server) { s.Address = "[fe80::1%eth0]:80" }, false},
		"ready without address":   {func(s *Server) { s.Address = "" }, false},
		"born in the far future":  {func(s *Server) { s.Born = 1 << 62 }, false},
		"born before the epoch":   {func(s *Server) { s.Born = -1 }, false},
		"too many slots":          {func(s *Server) { s.Slots = 1 << 40 }, false},
		"negative slots":          {func(s *Server) { s.Slots = -1 }, false},
		"cold for years":          {func(s *Server) { s.ColdUntil = now.Add(1 << 60) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := Server{ID: "i", Born: now.UnixMilli(), Service: "s", Address: "10.0.0.1:80", Domain: "a", State: Ready, Heard: now}
			c.change(&s)
			if c.valid {
				require.NoError(t, s.Check(now))
				return
			}
			err := s.Check(now)
			require.ErrorIs(t, err, ErrInvalid)
			require.Less(t, len(err.Error()), 300)
		})
	}
}
