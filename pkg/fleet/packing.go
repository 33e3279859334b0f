package fleet

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
)

const (
	// packedAllTTL is how long one encoding of all servers is sent to followers that begin: those that start together share a
	// few encodings, and what changed since follows.
	packedAllTTL = 500 * time.Millisecond
	// maxPartBytes bounds the encoded changes that are kept. A follower that is further behind is sent all servers.
	maxPartBytes = 256 << 10
	// maxUnpackedBytes is the largest size of an unpacked list or document.
	maxUnpackedBytes = 32 << 20
	// packPeersFrom is the number of servers from which a message to another control VM is packed.
	packPeersFrom = 32
)

// errPacked means that a packed part of a message can't be read or is larger than maxUnpackedBytes.
var errPacked = errors.New("fleet: packed part of a message can't be read")

// packer encodes the servers and the configuration for the entry VMs that follow this VM, once for all of them: with 300
// followers and 3,000 servers, records as they are were most of what a control VM sends. It is safe for concurrent use.
type packer struct {
	state *State

	mu sync.Mutex
	// parts hold the servers that changed, by ranges of change counts that follow one another; partBytes is their size.
	parts     []packedPart
	partBytes int
	// end is the change count at the end of the latest part, and endedAt when that part was made.
	end     uint64
	endedAt time.Time
	// all holds all servers, heard up to the change count allHeard; its range ends with the part before it.
	all      packedPart
	allHeard uint64
	// document is the encoded configuration of documentVersion.
	document        []byte
	documentVersion uint64
}

// packedPart is a packed list of servers: those that changed after the change count from, up to the change count to.
type packedPart struct {
	from, to uint64
	list     []byte
	at       time.Time
}

func (p packedPart) toWire(now time.Time) *daisyhatchv1.PackedServers {
	return &daisyhatchv1.PackedServers{ListGzip: p.list, AgeMs: max(0, now.Sub(p.at).Milliseconds())}
}

func newPacker(s *State) *packer { return &packer{state: s} }

// changesSince returns the servers that changed after a change count that the packer returned, and the count to pass next time.
// ok is false if the follower must be sent all servers. What changed within entryBatchDelay may be left for the next call; see
// State.changedCount.
func (p *packer) changesSince(count uint64, now time.Time) (list []*daisyhatchv1.PackedServers, next uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The follower that is up to date ends a part at once, and the others take that one.
	if count >= p.end || now.Sub(p.endedAt) >= entryBatchDelay {
		p.endPart(now)
	}
	return p.partsSince(count, now)
}

// partsSince is changesSince for the parts that there are. p.mu must be held.
func (p *packer) partsSince(count uint64, now time.Time) (list []*daisyhatchv1.PackedServers, next uint64, ok bool) {
	if count < p.end && (len(p.parts) == 0 || count < p.parts[0].from) {
		return nil, 0, false
	}
	for _, part := range p.parts {
		if part.to > count {
			list = append(list, part.toWire(now))
		}
	}
	return list, p.end, true
}

// endPart makes a part of the servers that changed since the latest one, if any did. p.mu must be held.
func (p *packer) endPart(now time.Time) {
	if p.state.changedCount() <= p.end {
		return
	}
	servers, count := p.state.changedSince(p.end, stampChanged)
	part := packedPart{from: p.end, to: count, list: packServers(servers, now), at: now}
	p.end, p.endedAt = count, now
	p.parts, p.partBytes = append(p.parts, part), p.partBytes+len(part.list)
	for p.partBytes > maxPartBytes {
		p.partBytes -= len(p.parts[0].list)
		p.parts = slices.Delete(p.parts, 0, 1)
	}
}

// snapshot is all servers, and what changed since they were encoded.
type snapshot struct {
	list []*daisyhatchv1.PackedServers
	// next is the count to pass to changesSince.
	next uint64
	// heard is the change count and at the time of the encoding.
	heard uint64
	at    time.Time
}

// everything returns all servers.
func (p *packer) everything(now time.Time) snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all.list != nil && now.Sub(p.all.at) < packedAllTTL {
		if more, next, ok := p.partsSince(p.all.to, now); ok {
			return snapshot{append([]*daisyhatchv1.PackedServers{p.all.toWire(now)}, more...), next, p.allHeard, p.all.at}
		}
	}
	if p.all.list != nil {
		p.endPart(now)
	}
	servers, count := p.state.all()
	if p.all.list == nil {
		// Nobody was sent anything before.
		p.end, p.endedAt = count, now
	}
	p.all, p.allHeard = packedPart{to: p.end, list: packServers(servers, now), at: now}, count
	return snapshot{[]*daisyhatchv1.PackedServers{p.all.toWire(now)}, p.end, p.allHeard, now}
}

// packDocument returns the encoded configuration of a version.
func (p *packer) packDocument(version uint64, document []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version != p.documentVersion {
		p.document, p.documentVersion = pack(document), version
	}
	return p.document
}

// packServers encodes servers, similar ones beside one another.
func packServers(servers []directory.Server, now time.Time) []byte {
	slices.SortFunc(servers, func(a, b directory.Server) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Address, b.Address))
	})
	data, err := proto.Marshal(&daisyhatchv1.ServerList{Servers: serversToWire(servers, now)})
	if err != nil {
		// Records are checked for what can't be encoded before they are kept; see directory.Server.Check.
		panic(fmt.Sprintf("fleet: encode servers: %v", err))
	}
	return pack(data)
}

// packWriters hold gzip writers, which take about 1 MB each. Of 3,000 servers the fastest level makes 20 bytes each in 6 ms; the
// default level makes 17 in 80 ms.
var packWriters = sync.Pool{New: func() any {
	// The level is one of those that there are.
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return w
}}

// pack returns data in gzip format.
func pack(data []byte) []byte {
	w, _ := packWriters.Get().(*gzip.Writer)
	defer packWriters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// Writing to a bytes.Buffer doesn't fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

func unpack(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPacked, err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPacked, err)
	}
	if len(out) > maxUnpackedBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", errPacked, maxUnpackedBytes)
	}
	return out, nil
}

// unpackMessage replaces the packed parts of a message by what they hold.
func unpackMessage(m *daisyhatchv1.FollowResponse) error {
	if len(m.GetDocumentGzip()) > 0 {
		document, err := unpack(m.GetDocumentGzip())
		if err != nil {
			return err
		}
		m.Document, m.DocumentGzip = document, nil
	}
	for _, p := range m.GetPackedServers() {
		data, err := unpack(p.GetListGzip())
		if err != nil {
			return err
		}
		list := &daisyhatchv1.ServerList{}
		if err := proto.Unmarshal(data, list); err != nil {
			return fmt.Errorf("%w: %w", errPacked, err)
		}
		for _, s := range list.GetServers() {
			s.AgeMs += p.GetAgeMs()
			s.ColdRemainingMs = max(0, s.GetColdRemainingMs()-p.GetAgeMs())
		}
		m.Servers = append(m.Servers, list.GetServers()...)
	}
	m.PackedServers = nil
	return nil
}
