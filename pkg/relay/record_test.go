package relay

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// A send is counted once when it starts and once when it ends, however it ends. A caller that leaves between the head
// of a stream and its first event must not leave its run counted against the server.
func TestRecordEndTakesEffectOnce(t *testing.T) {
	r := New(Options{Suspects: quarantine.NewTracker(quarantine.TrackerOptions{})})
	c := fleet.Candidate{Server: directory.Server{ID: "i-1"}}
	for name, service := range map[string]*catalog.Service{"plain": {Name: "s"}, "engine": {Name: "e", Engine: &catalog.Engine{}}} {
		x := &exchange{relay: r, service: service}
		x.recordStart(c, time.Now())
		y := &exchange{relay: r, service: service}
		y.recordStart(c, time.Now())
		x.recordEnd(c, false, false)
		x.recordEnd(c, true, true)
		require.True(t, r.health.usable("i-1", time.Now()), "%s: a second call of recordEnd has no effect", name)
		if name == "plain" {
			require.Equal(t, 1, r.plainInFlight["i-1"])
		}
		y.recordEnd(c, false, false)
		require.Empty(t, r.plainInFlight)
	}
}

// A send that fails because the VM's own path to the server is lost says nothing of the server.
func TestLostPathIsNotCountedAgainstTheServer(t *testing.T) {
	for name, lost := range map[string]bool{"path lost": true, "path works": false} {
		t.Run(name, func(t *testing.T) {
			r := New(Options{Suspects: quarantine.NewTracker(quarantine.TrackerOptions{}), PathLost: func(address string) bool { return lost && address == "a" }})
			c := fleet.Candidate{Server: directory.Server{ID: "i-1", Address: "a"}}
			x := &exchange{relay: r, service: &catalog.Service{Name: "s"}, req: httptest.NewRequest("POST", "/", nil)}
			x.recordStart(c, time.Now())
			x.handleSendError(&sendResult{err: &upstream.Error{Err: errors.New("no path")}}, c)
			require.Equal(t, lost, r.health.usable("i-1", time.Now()))
		})
	}
}
