package grantservice

import (
	"context"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// Draw implements GrantService: it grants an entry VM tokens and units of the organisations' limits. Organisations
// whose shard this VM does not hold get none.
func (s *Service) Draw(_ context.Context, r *connect.Request[daisyhatchv1.DrawRequest]) (*connect.Response[daisyhatchv1.DrawResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure()
	_, set := s.opts.Config()
	now := time.Now()
	out := s.allotter.Draw(r.Msg, func(organisation string) admission.Authority {
		shard := grant.ShardOf(organisation)
		if set == nil || set.Organisations[organisation] == nil || !s.grantor.Holds(shard, now) {
			return admission.Authority{}
		}
		o := set.Organisations[organisation]
		fence, learning := s.grantor.Tenure(shard, now)
		return admission.Authority{
			Limits:   admission.Limits{Rate: o.Rate, Burst: o.Burst, Concurrency: o.Concurrency},
			Fence:    fence,
			Learning: learning,
		}
	}, now)
	if out == nil {
		out = &daisyhatchv1.DrawResponse{}
	}
	return connect.NewResponse(out), nil
}
