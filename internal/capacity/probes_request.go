package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
)

// organisationLimits are those of the configuration's organisations.
var organisationLimits = admission.Limits{Rate: 10, Burst: 20}

// drawEvery is the time between two measured draws.
const drawEvery = 500 * time.Millisecond

// keeper answers draws with a real allotter. Time is virtual.
type keeper struct {
	daisyhatchv1connect.UnimplementedGrantServiceHandler
	mu       sync.Mutex
	allotter *admission.Allotter
	now      time.Time
}

// Draw implements GrantService.
func (k *keeper) Draw(_ context.Context, r *connect.Request[daisyhatchv1.DrawRequest]) (*connect.Response[daisyhatchv1.DrawResponse], error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	keep := func(string) admission.Authority { return admission.Authority{Limits: organisationLimits, Fence: 1} }
	return connect.NewResponse(k.allotter.Draw(r.Msg, keep, k.now)), nil
}

// measureDrawWire returns the bytes of one draw for n organisations with a request that waits for it.
func measureDrawWire(n int) (float64, error) {
	k := &keeper{allotter: admission.NewAllotter(), now: epoch}
	w, err := newWire(false, func() (string, http.Handler) {
		return daisyhatchv1connect.NewGrantServiceHandler(k, compressLarge)
	})
	if err != nil {
		return 0, err
	}
	defer w.close()
	client := daisyhatchv1connect.NewGrantServiceClient(w.client, w.url())
	c := admission.NewController("vm-001", "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b")
	return w.perCall(func() error {
		k.mu.Lock()
		k.now = k.now.Add(drawEvery)
		now := k.now
		k.mu.Unlock()
		for i := range n {
			name := fmt.Sprintf("organisation-%05d", i)
			c.Arrive(name, organisationLimits, now)
			c.SetWaiting(name, 1)
		}
		r := c.Draw("keeper", func(string) bool { return true }, false, now)
		out, err := client.Draw(context.Background(), connect.NewRequest(r))
		if err != nil {
			return err
		}
		c.Apply("keeper", out.Msg, now)
		for i := range n {
			name := fmt.Sprintf("organisation-%05d", i)
			if v, _ := c.Recheck(name, now); v == admission.Admit {
				c.Leave(name, now)
			}
		}
		return nil
	})
}

// claims grants each claim.
type claims struct {
	daisyhatchv1connect.UnimplementedEntryServiceHandler
}

// Claim implements EntryService.
func (claims) Claim(context.Context, *connect.Request[daisyhatchv1.ClaimRequest]) (*connect.Response[daisyhatchv1.ClaimResponse], error) {
	result := &daisyhatchv1.ClaimResult{State: daisyhatchv1.ClaimState_CLAIM_STATE_GRANTED}
	return connect.NewResponse(&daisyhatchv1.ClaimResponse{Result: result}), nil
}

func measureClaimWire(n int) (float64, error) {
	w, err := newWire(false, func() (string, http.Handler) {
		return daisyhatchv1connect.NewEntryServiceHandler(claims{}, compressLarge)
	})
	if err != nil {
		return 0, err
	}
	defer w.close()
	client := daisyhatchv1connect.NewEntryServiceClient(w.client, w.url())
	for i := range n {
		c := &daisyhatchv1.ClaimCommand{
			Organisation: fmt.Sprintf("organisation-%05d", i), Key: fmt.Sprintf("0190a1b2-c3d4-7e5f-8a9b-%012d", i),
			BodyHash: 1 << 60, Holder: "vm-001", Incarnation: "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b",
			Attempt: fmt.Sprintf("0190a1b2-c3d4-7e5f-8a9b-%012d", i), DeadlineUnixMs: epoch.UnixMilli(),
		}
		if _, err := client.Claim(context.Background(), connect.NewRequest(&daisyhatchv1.ClaimRequest{Claim: c})); err != nil {
			return 0, err
		}
	}
	return float64(w.bytes.Load()), nil
}
