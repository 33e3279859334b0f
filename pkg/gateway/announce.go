package gateway

import (
	"io"
	"net/http"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/auth"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// announceResponse is the response body of POST /v1/announce.
type announceResponse struct {
	// RenewMs is the time until the server has to announce itself again, in milliseconds.
	RenewMs int64 `json:"renewMs"`
}

// handleAnnounce serves POST /v1/announce, by which backend servers register themselves. It keeps working while the
// gateway drains, because other VMs route by these announcements.
func (g *Gateway) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	if err := g.acceptAnnouncement(r); err != nil {
		writeError(w, apierr.From(err), requestID(r))
		return
	}
	writeJSON(w, http.StatusOK, announceResponse{RenewMs: grant.AnnounceInterval(expectedServers(g.InForce())).Milliseconds()})
}

// expectedServers returns the number of backend servers configured: the sum of the replicas of all pools.
func expectedServers(f *InForce) int {
	n := 0
	for _, p := range f.Set.Pools {
		n += p.Replicas
	}
	return n
}

// acceptAnnouncement validates the announcement in r and forwards it to the grantor.
func (g *Gateway) acceptAnnouncement(r *http.Request) error {
	f := g.InForce()
	if f == nil {
		return apierr.New(http.StatusServiceUnavailable, apierr.NotReady, "no configuration is in force on this VM yet")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err != nil {
		return bodyError(err)
	}
	a := new(daisyhatchv1.Announcement)
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, a); err != nil {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "the body isn't an announcement: %v", err)
	}
	if err := checkAnnouncement(f, r, a); err != nil {
		return err
	}
	if err := g.Announcer.Announce(r.Context(), a); err != nil {
		return apierr.New(http.StatusServiceUnavailable, apierr.NotReady, "no grantor took the announcement").Wrap(err)
	}
	return nil
}

// checkAnnouncement checks that the bearer key may announce into the pool named in a, that the required fields are set
// and that the pool may have servers in the named failure domain. It returns an *apierr.Error.
func checkAnnouncement(f *InForce, r *http.Request, a *daisyhatchv1.Announcement) error {
	key, err := auth.KeyFrom(r.Header)
	if err != nil {
		return apierr.New(http.StatusUnauthorized, apierr.Unauthorised, "a bearer key is needed").Wrap(err)
	}
	if err := f.Keys.MayAnnounce(a.GetPool(), key); err != nil {
		return apierr.New(http.StatusForbidden, apierr.Forbidden, "the key doesn't allow announcing into pool %q", a.GetPool()).Wrap(err)
	}
	if a.GetServer() == "" || a.GetIncarnation() == "" || a.GetAddress() == "" {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "an announcement needs server, incarnation and address")
	}
	p := f.Set.Pools[a.GetPool()]
	if _, ok := f.Set.FailureDomains[a.GetFailureDomain()]; !ok {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "there is no failure domain %q", a.GetFailureDomain())
	}
	if len(p.FailureDomains) > 0 && !slices.Contains(p.FailureDomains, a.GetFailureDomain()) {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "pool %q has no servers in failure domain %q", p.Name, a.GetFailureDomain())
	}
	return nil
}
