package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

const (
	// listTimeout bounds one control VM's answer with its list of suspects.
	listTimeout = 250 * time.Millisecond
	// minLeaderlessTime is how long a voter must have followed no leader to show that it took part in no recent commit.
	// It is more than two heartbeat intervals.
	minLeaderlessTime = 250 * time.Millisecond
)

// ErrUnconfirmed means that no control VM confirmed its list of suspects, so that crashes may have been committed that
// this VM doesn't know of.
var ErrUnconfirmed = errors.New("quarantine: list of suspects not confirmed")

// Source returns lists of suspects.
type Source interface {
	// Suspects returns the suspects that earlier calls did not return. With a nil error, all suspects committed up to
	// 100 ms before the call have been returned. Errors are ErrUnconfirmed; new suspects may be returned with them.
	Suspects(ctx context.Context) ([]*daisyhatchv1.Suspect, error)
}

// ControlSource requests the list of suspects from the control VMs' EntryService. Its calls must not overlap.
type ControlSource struct {
	services []daisyhatchv1connect.EntryServiceClient
	// listNames are the names of the latest list received from each control VM.
	listNames []string
	// preferred is the index of the control VM to ask first.
	preferred int
}

var _ Source = (*ControlSource)(nil)

// NewSource returns a source that asks the control VMs at the peer addresses, each IP:port.
func NewSource(client connect.HTTPClient, addresses []string) *ControlSource {
	s := &ControlSource{listNames: make([]string, len(addresses))}
	for _, a := range addresses {
		s.services = append(s.services, daisyhatchv1connect.NewEntryServiceClient(client, "http://"+a))
	}
	return s
}

// Suspects implements Source. It asks one control VM, and the others when that one can't confirm its list. If none
// confirms, it is enough that most voters have followed no leader lately, since nothing was committed then.
func (s *ControlSource) Suspects(ctx context.Context) ([]*daisyhatchv1.Suspect, error) {
	if len(s.services) == 0 {
		return nil, fmt.Errorf("%w: %w", ErrUnconfirmed, ErrNoControl)
	}
	first := s.fetch(ctx, s.preferred)
	var t tally
	t.add(first)
	if t.confirmed {
		return t.suspects, nil
	}
	asked := s.preferred
	for i, r := range s.fetchOthers(ctx, asked) {
		if i != asked && t.add(r) {
			s.preferred = i
		}
	}
	if !t.confirmed && !t.mostLeaderless() {
		return t.suspects, ErrUnconfirmed
	}
	return t.suspects, nil
}

// fetchOthers asks all control VMs except one at the same time. The answer of one that didn't answer is nil.
func (s *ControlSource) fetchOthers(ctx context.Context, except int) []*daisyhatchv1.SuspectsResponse {
	answers := make([]*daisyhatchv1.SuspectsResponse, len(s.services))
	var wg sync.WaitGroup
	for i := range s.services {
		if i != except {
			wg.Go(func() { answers[i] = s.fetch(ctx, i) })
		}
	}
	wg.Wait()
	return answers
}

// fetch asks one control VM for its list; it returns nil when there is no answer.
func (s *ControlSource) fetch(ctx context.Context, i int) *daisyhatchv1.SuspectsResponse {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r, err := s.services[i].Suspects(ctx, connect.NewRequest(&daisyhatchv1.SuspectsRequest{List: s.listNames[i]}))
	if err != nil {
		return nil
	}
	s.listNames[i] = r.Msg.GetList()
	return r.Msg
}

// tally combines the answers of several control VMs.
type tally struct {
	suspects         []*daisyhatchv1.Suspect
	confirmed        bool
	leaderlessVoters uint32
	voters           uint32
}

// add takes in one answer, which may be nil. It returns true when the answer confirms its list.
func (t *tally) add(r *daisyhatchv1.SuspectsResponse) (confirmed bool) {
	t.suspects = append(t.suspects, r.GetSuspects()...)
	t.confirmed = t.confirmed || r.GetConfirmed()
	t.voters = max(t.voters, r.GetVoters())
	if r.GetVoter() && time.Duration(r.GetQuietMs())*time.Millisecond >= minLeaderlessTime {
		t.leaderlessVoters++
	}
	return r.GetConfirmed()
}

// mostLeaderless reports whether most voters have followed no leader for minLeaderlessTime.
func (t *tally) mostLeaderless() bool {
	return 2*t.leaderlessVoters > t.voters
}
