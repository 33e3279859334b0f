package fleet

import (
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/origin"
)

// versionServer returns a ready server of a version.
func versionServer(id, version string) directory.Server {
	return directory.Server{ID: id, Born: 1, Sequence: 1, Service: "s", Address: id + ":1", State: directory.Ready, Version: version, Heard: time.Now()}
}

// longKnown returns a State that has known the servers for longer than a stream may be taken up.
func longKnown(servers ...directory.Server) *State {
	s := NewState(StateOptions{})
	s.startedAt = time.Now().Add(-origin.MaxTakeUp)
	s.Merge(servers)
	s.confirm(time.Now())
	s.contact.since = s.startedAt
	return s
}

// newOriginControl starts a control VM that the group confirms.
func newOriginControl(t *testing.T, s *State) (c *Control, address string) {
	c = NewControl(ControlOptions{State: s, Log: logr.Discard()}, nil)
	c.confirmedAt = time.Now().Add(time.Hour)
	path, handler := c.Handler()
	require.NotEmpty(t, path)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return c, server.Listener.Addr().String()
}

// newOriginEntry returns the follower of an entry VM, which follows the control VMs at the addresses.
func newOriginEntry(t *testing.T, s *State, addresses ...string) *Follower {
	f := NewFollower(FollowerOptions{State: s, Entry: true, Roster: NewRoster("", addresses), HTTP: httptest.NewServer(nil).Client(), Log: logr.Discard()})
	for _, a := range addresses {
		f.streams[a] = &followStream{openedAt: time.Now()}
	}
	go f.reportOrigins(t.Context())
	return f
}

func (c *Control) knows(attempt string) bool {
	_, ok := c.opts.State.origins.find(origin.StreamID(attempt), time.Now())
	return ok
}

// A stream that began at an entry VM that is gone goes on at its version at any other, also if it began before there was a
// second version, and if the control VM that was told was replaced.
func TestOriginOfStreamOutlivesItsVM(t *testing.T) {
	old, now := versionServer("a", "old"), time.Now()
	control, address := newOriginControl(t, longKnown(old))
	began := newOriginEntry(t, longKnown(old), address)
	began.Origins().Began("first", origin.Origin{Service: "s", Version: "old"})
	time.Sleep(2 * originCheckInterval)
	require.False(t, control.knows("first"), "with one version there is nothing to tell")

	began.opts.State.Merge([]directory.Server{versionServer("b", "new")})
	control.opts.State.Merge([]directory.Server{versionServer("b", "new")})
	require.Eventually(t, func() bool { return control.knows("first") }, 5*time.Second, time.Millisecond)
	began.Origins().Began("second", origin.Origin{Service: "s", Version: "new"})
	require.Eventually(t, func() bool { return control.knows("second") }, 5*time.Second, time.Millisecond)

	other := newOriginEntry(t, NewState(StateOptions{}), address).Origins()
	for attempt, version := range map[string]string{"first": "old", "second": "new"} {
		o, err := other.Find(t.Context(), attempt, "s")
		require.NoError(t, err)
		require.Equal(t, origin.Origin{Service: "s", Version: version}, o)
	}
	for _, attempt := range []string{"unheard of", ""} {
		_, err := other.Find(t.Context(), attempt, "s")
		require.ErrorIs(t, err, origin.ErrUnknown, "two versions come into question")
	}

	fresh, freshAddress := newOriginControl(t, NewState(StateOptions{}))
	began.mu.Lock()
	began.streams = map[string]*followStream{freshAddress: {openedAt: now}}
	began.mu.Unlock()
	require.Eventually(t, func() bool { return fresh.knows("first") && fresh.knows("second") }, 5*time.Second, time.Millisecond)
}

// A stream of which nobody knows goes on while only one version has been in service, as far as a control VM tells: one that joined
// while this VM was cut off or stood still is not known here.
func TestUnknownStreamGoesOnWhileThereIsOneVersion(t *testing.T) {
	old := versionServer("a", "old")
	left := versionServer("b", "left")
	_, one := newOriginControl(t, longKnown(old))
	s := longKnown(old, left)
	s.Leave("b", 1, time.Now())
	_, afterRelease := newOriginControl(t, s)
	_, restarted := newOriginControl(t, NewState(StateOptions{}))
	justStarted := func() *State { return NewState(StateOptions{}) }
	cutOff := longKnown(old)
	cutOff.contact = contact{}
	cutOff.confirm(time.Now().Add(-2 * origin.MaxTakeUp))
	cutOff.confirm(time.Now())
	for name, tc := range map[string]struct {
		state     *State
		addresses []string
		err       error
	}{
		"VM has just started":                          {justStarted(), []string{one}, nil},
		"a version has just left":                      {justStarted(), []string{afterRelease}, origin.ErrUnknown},
		"one control VM knows of a version that left":  {longKnown(old), []string{one, afterRelease}, origin.ErrUnknown},
		"all control VMs have just started":            {justStarted(), []string{restarted}, origin.ErrUnknown},
		"control VMs have just started, VM has not":    {longKnown(old), []string{restarted}, nil},
		"the same, VM was cut off in between":          {cutOff, []string{restarted}, origin.ErrUnknown},
		"VM was cut off in between":                    {cutOff, []string{one}, nil},
		"no control VM answers":                        {longKnown(old), []string{"127.0.0.1:1"}, origin.ErrUnconfirmed},
		"no control VM answers, VM has just started":   {justStarted(), []string{"127.0.0.1:1"}, origin.ErrUnconfirmed},
		"no control VM answers, VM cut off for longer": {cutOff, []string{"127.0.0.1:1"}, origin.ErrUnconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			o, err := newOriginEntry(t, tc.state, tc.addresses...).Origins().Find(t.Context(), "unheard of", "s")
			require.ErrorIs(t, err, tc.err)
			if err == nil {
				require.Equal(t, origin.Origin{Service: "s", Version: "old"}, o)
			}
		})
	}
}

// What waits for a report is bounded, and reported once.
func TestOriginLogIsBounded(t *testing.T) {
	l, now, reported, count := newOriginLog(), time.Now(), 0, uint64(0)
	for i := range maxOriginsKept + 5_000 {
		l.record(uint64(i), origin.Origin{Service: "s"}, true, now)
		l.record(uint64(i)|1<<40, origin.Origin{Service: "s"}, false, now)
	}
	require.Len(t, l.began, maxOriginsKept)
	for {
		list, next := l.since(count)
		if len(list) == 0 {
			break
		}
		require.LessOrEqual(t, len(list), maxOriginsReported)
		reported, count = reported+len(list), next
	}
	require.Equal(t, maxOriginsKept, reported)
	l.record(1, origin.Origin{}, true, now.Add(2*origin.MaxTakeUp))
	require.Len(t, l.began, 1)
	list, _ := l.since(count)
	require.Len(t, list, 1)
}

// The version of a server must reach all VMs, with that of servers that are gone.
func TestVersionIsPartOfAServersRecord(t *testing.T) {
	now := time.Now()
	s := versionServer("a", "v"+strconv.Itoa(3))
	s.State = directory.Gone
	w := serverToWire(s, now)
	require.Equal(t, "v3", w.GetVersion())
	require.Equal(t, daisyhatchv1.AnnouncedState(directory.Gone), w.GetState())
	require.Equal(t, "v3", serverFromWire(w, now).Version)
}

// At the size of docs/CAPACITY.md an entry VM begins 17 streams a second, and each of two control VMs may be told of each alone.
// That must stay far below the 14 KB/s that a VM may spend on control, and a control VM's table below its 32 MB.
func TestOriginReportsStaySmall(t *testing.T) {
	const streamsPerSecond, entryVMs, controlVMs, told = 17, 330, 22, 2
	o := &daisyhatchv1.StreamOrigins{Service: "daisy-pool", Version: "v1.2", Streams: []uint64{1 << 60}}
	size := proto.Size(&daisyhatchv1.ReportOriginsRequest{Origins: []*daisyhatchv1.StreamOrigins{o}})
	perSecond := size * streamsPerSecond * told
	require.Less(t, perSecond, 14_000/10)

	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, now := origin.NewTable(), time.Now()
	streams := streamsPerSecond * entryVMs * told / controlVMs * int(2*origin.MaxTakeUp/time.Second)
	for i := range streams {
		table.Record(uint64(i)*0x9e3779b97f4a7c15, origin.Origin{Service: "daisy-pool", Version: "v1.2"}, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d bytes a report, %d bytes a second from an entry VM; %d streams take %d bytes on a control VM", size, perSecond, streams, used)
	require.Equal(t, streams, table.Len())
	require.Less(t, used, uint64(32_000_000/4))
}
