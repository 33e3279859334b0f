package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/encoding/protojson"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
)

// compressLarge leaves small answers uncompressed, as the daemon does.
var compressLarge = connect.WithCompressMinBytes(512)

func wireProbes() []probe {
	return []probe{
		{slopeAcquireWire, "grants held, one call each ended and begun since the last request", "byte", []int{0, 4, 16}, measureAcquireWire},
		{slopeDrawWire, "organisations drawn for", "byte", []int{1, 4, 16}, measureDrawWire},
		{slopeClaimWire, "calls", "byte", []int{200, 600, 1800}, measureClaimWire},
		{slopeAnnouncedWire, "calls", "byte", []int{200, 600, 1800}, measureAnnouncedWire},
		{slopeAnnounceWire, "calls", "byte", []int{200, 600, 1800}, measureAnnounceWire},
		{slopeBeatWire, "series in the heartbeat", "byte", []int{0, 16, 64}, measureBeatWire},
		{slopeSuspectsWire, "calls", "byte", []int{200, 600, 1800}, measureSuspectsWire},
		{slopeWatchWire, "seconds without a change", "byte", []int{1, 2, 4}, measureWatchWire},
		{slopeWatchCPU, "watchers, 21,000 organisations", "s", []int{30, 110, 330}, measureWatchCPU},
		{slopeWatchTime, "watchers, 21,000 organisations", "s", []int{30, 110, 330}, measureWatchTime},
		{slopeStepWire, "entries of 300 bytes", "byte", []int{0, 8, 32}, measureStepWire},
		{slopeCallCPU, "calls", "s", []int{2000, 6000, 18_000}, measureCallCPU},
	}
}

// wire is one connection between a client and a server over loopback TCP with its bytes counted, both ways, without
// the headers of TCP and IP.
type wire struct {
	server *listen.Server
	client *http.Client
	bytes  atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newWire(http1 bool, handlers ...func() (string, http.Handler)) (*wire, error) {
	mux := http.NewServeMux()
	for _, h := range handlers {
		mux.Handle(h())
	}
	w := &wire{server: listen.New(listen.Options{Name: "capacity", Address: "127.0.0.1:0", Handler: listen.WithoutDate(mux), Log: logr.Discard()})}
	if err := w.server.Start(context.Background()); err != nil {
		return nil, err
	}
	w.client = listen.NewClient(nil, w.network())
	if http1 {
		w.client = listen.NewHTTP1Client(nil, w.network())
	}
	return w, nil
}

// network counts the bytes of each connection.
func (w *wire) network() listen.Network {
	return listen.Network{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{c, &w.bytes}, err
	}}
}

func (w *wire) url() string { return "http://" + w.server.Address() }

func (w *wire) close() {
	w.client.CloseIdleConnections()
	// What is left of the connections ends with the process.
	_ = w.server.Stop(context.Background())
}

// perCall returns the bytes of one call, after some that open the connection and fill the header tables.
func (w *wire) perCall(call func() error) (float64, error) {
	const warmUp, calls = 20, 200
	for range warmUp {
		if err := call(); err != nil {
			return 0, err
		}
	}
	before := w.bytes.Load()
	for range calls {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(w.bytes.Load()-before) / calls, nil
}

// announcements answers each announcement as a grantor does.
type announcements struct {
	daisyhatchv1connect.UnimplementedGrantServiceHandler
}

func (announcements) Announce(context.Context, *connect.Request[daisyhatchv1.AnnounceRequest]) (*connect.Response[daisyhatchv1.AnnounceResponse], error) {
	return connect.NewResponse(&daisyhatchv1.AnnounceResponse{RenewMs: 1000}), nil
}

func (announcements) handler() (string, http.Handler) {
	return daisyhatchv1connect.NewGrantServiceHandler(announcements{}, compressLarge)
}

// measureAnnouncedWire returns the bytes of n announcements as backend servers send them to entry VMs.
func measureAnnouncedWire(n int) (float64, error) {
	w, err := newWire(true, func() (string, http.Handler) {
		return standin.PathAnnounce, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"renew_ms":%d}`, grant.BaseAnnounceInterval.Milliseconds()) // the client reports a lost answer
		})
	})
	if err != nil {
		return 0, err
	}
	defer w.close()
	for i := range n {
		if err := postAnnouncement(w, announcement(i)); err != nil {
			return 0, err
		}
	}
	return float64(w.bytes.Load()), nil
}

func postAnnouncement(w *wire, a *daisyhatchv1.Announcement) error {
	body, err := protojson.Marshal(a)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, w.url()+standin.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer announce")
	r.Header.Set("Content-Type", "application/json")
	out, err := w.client.Do(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, out.Body)
	return errors.Join(err, out.Body.Close())
}

func measureAnnounceWire(n int) (float64, error) {
	w, err := newWire(false, announcements{}.handler)
	if err != nil {
		return 0, err
	}
	defer w.close()
	client := daisyhatchv1connect.NewGrantServiceClient(w.client, w.url())
	for i := range n {
		if _, err := client.Announce(context.Background(), connect.NewRequest(&daisyhatchv1.AnnounceRequest{Announcement: announcement(i)})); err != nil {
			return 0, err
		}
	}
	return float64(w.bytes.Load()), nil
}

func measureCallCPU(n int) (float64, error) {
	w, err := newWire(false, announcements{}.handler)
	if err != nil {
		return 0, err
	}
	defer w.close()
	client := daisyhatchv1connect.NewGrantServiceClient(w.client, w.url())
	request := &daisyhatchv1.AnnounceRequest{Announcement: announcement(1)}
	return cpu(func() error {
		for range n {
			if _, err := client.Announce(context.Background(), connect.NewRequest(request)); err != nil {
				return err
			}
		}
		return nil
	})
}

type beats struct {
	daisyhatchv1connect.UnimplementedEntryServiceHandler
}

func (beats) Heartbeat(context.Context, *connect.Request[daisyhatchv1.HeartbeatRequest]) (*connect.Response[daisyhatchv1.HeartbeatResponse], error) {
	return connect.NewResponse(&daisyhatchv1.HeartbeatResponse{AcceptedVersion: 1000}), nil
}

func measureBeatWire(n int) (float64, error) {
	w, err := newWire(false, func() (string, http.Handler) {
		return daisyhatchv1connect.NewEntryServiceHandler(beats{}, compressLarge)
	})
	if err != nil {
		return 0, err
	}
	defer w.close()
	client := daisyhatchv1connect.NewEntryServiceClient(w.client, w.url())
	request := &daisyhatchv1.HeartbeatRequest{
		Vm: "vm-001", Incarnation: "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b", FailureDomain: "domain-1", Entry: true,
		VersionInForce: 1000, SoftwareVersion: "0.1.0", Sequence: 1 << 20,
	}
	for i := range n {
		request.Burn = append(request.Burn, &daisyhatchv1.BurnSeries{
			Pipeline: "pipeline-1", Organisation: fmt.Sprintf("organisation-%05d", i), SlotS: 60, StartUnixS: epoch.Unix(),
			Good: []uint64{1}, Bad: []uint64{0},
		})
	}
	return w.perCall(func() error {
		_, err := client.Heartbeat(context.Background(), connect.NewRequest(request))
		return err
	})
}

type steps struct {
	daisyhatchv1connect.UnimplementedConsensusServiceHandler
}

func (steps) Step(context.Context, *connect.Request[daisyhatchv1.StepRequest]) (*connect.Response[daisyhatchv1.StepResponse], error) {
	return connect.NewResponse(&daisyhatchv1.StepResponse{}), nil
}

func measureStepWire(n int) (float64, error) {
	w, err := newWire(true, func() (string, http.Handler) {
		return daisyhatchv1connect.NewConsensusServiceHandler(steps{}, compressLarge)
	})
	if err != nil {
		return 0, err
	}
	defer w.close()
	client := daisyhatchv1connect.NewConsensusServiceClient(w.client, w.url())
	message := &daisyhatchv1.ConsensusMessage{
		Kind: daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_APPEND, From: "vm-1/0123456789abcdef", To: "vm-2/0123456789abcdef",
		Term: 7, LogIndex: 1 << 20, LogTerm: 7, Commit: 1 << 20, Round: 1 << 20,
	}
	for i := range n {
		message.Entries = append(message.Entries, &daisyhatchv1.LogEntry{
			Term: 7, Index: 1<<20 + uint64(i), Kind: daisyhatchv1.EntryKind_ENTRY_KIND_COMMAND, Data: make([]byte, 300),
		})
	}
	return w.perCall(func() error {
		_, err := client.Step(context.Background(), connect.NewRequest(&daisyhatchv1.StepRequest{Messages: []*daisyhatchv1.ConsensusMessage{message}}))
		return err
	})
}
