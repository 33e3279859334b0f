package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// PathAnnounce is where entry VMs take announcements.
const PathAnnounce = "/v1/announce"

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// Announcement returns what the server says of itself.
func (s *Server) Announcement(leaving bool) *daisyhatchv1.Announcement {
	l := s.laggedLoad()
	a := &daisyhatchv1.Announcement{
		Server:        s.opts.Name,
		Incarnation:   s.Incarnation(),
		Pool:          s.opts.Pool,
		FailureDomain: s.opts.FailureDomain,
		Address:       s.Address(),
		ChecksFence:   s.opts.ChecksFence,
		Models:        s.opts.Models,
		Adapters:      s.opts.Adapters,
		Version:       s.opts.Version,
		Role:          s.opts.Role,
		Leaving:       leaving,
		Load: &daisyhatchv1.Load{
			AgeMs:    l.AgeMS,
			Running:  uint32(l.Running),
			Queued:   uint32(l.Queued),
			Capacity: uint32(l.Capacity),
			Cold:     l.Cold,
		},
	}
	if !s.opts.Stock {
		a.Capabilities = []string{
			openai.CapabilityAttemptID, openai.CapabilityIncarnation, "resume", "cancel", engine.CapabilityCacheEvents,
		}
	}
	if s.opts.Role != "" && !s.opts.Stock {
		a.Capabilities = append(a.Capabilities, engine.CapabilityKV)
	}
	return a
}

// Target returns the server as a target of calls.
func (s *Server) Target() engine.Target {
	a := s.Announcement(false)
	return engine.Target{
		Server:        a.Server,
		Incarnation:   a.Incarnation,
		Pool:          a.Pool,
		Address:       a.Address,
		FailureDomain: a.FailureDomain,
		ChecksFence:   a.ChecksFence,
		Capabilities:  a.Capabilities,
		Role:          a.Role,
	}
}

// Announce sends one announcement to the first entry that takes it. Entries are base URLs.
func (s *Server) Announce(ctx context.Context, client *http.Client, entries []string, key string, leaving bool) error {
	body, err := protojson.Marshal(s.Announcement(leaving))
	if err != nil {
		return fmt.Errorf("standin: encode announcement: %w", err)
	}
	var errs []error
	for _, e := range entries {
		err := post(ctx, client, e+PathAnnounce, key, body)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func post(ctx context.Context, client *http.Client, url, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("standin: announce: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("standin: announce: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("standin: announce to %s: status %d: %s", url, resp.StatusCode, answer)
	}
	return nil
}
