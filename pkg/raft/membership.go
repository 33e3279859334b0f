package raft

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// conf is the membership set by the log entry at index.
type conf struct {
	index   uint64
	members *daisyhatchv1.Membership
}

// confHistory holds the memberships of the kept log, oldest first. The first one is the snapshot's.
type confHistory []conf

func newConfHistory(snap *daisyhatchv1.SnapshotMeta, entries []*daisyhatchv1.LogEntry) confHistory {
	m := snap.GetMembership()
	if m == nil {
		m = &daisyhatchv1.Membership{}
	}
	h := confHistory{{index: snap.GetIndex(), members: m}}
	for _, e := range entries {
		h.add(e)
	}
	return h
}

// add takes up e when it changes the membership. Undecodable ones are left out; their checksum was verified, so
// none is expected.
func (h *confHistory) add(e *daisyhatchv1.LogEntry) {
	if e.GetKind() != daisyhatchv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	m := &daisyhatchv1.Membership{}
	if err := proto.Unmarshal(e.GetData(), m); err != nil {
		return
	}
	*h = append(*h, conf{index: e.GetIndex(), members: m})
}

func (h confHistory) latest() conf { return h[len(h)-1] }

// at returns the membership in force at index i.
func (h confHistory) at(i uint64) *daisyhatchv1.Membership {
	m := h[0].members
	for _, c := range h {
		if c.index <= i {
			m = c.members
		}
	}
	return m
}

// truncateFrom drops the memberships of entries at index i and later.
func (h *confHistory) truncateFrom(i uint64) {
	for len(*h) > 1 && h.latest().index >= i {
		*h = (*h)[:len(*h)-1]
	}
}

// compact drops the memberships that were replaced at or before index i.
func (h *confHistory) compact(i uint64) {
	for len(*h) > 1 && (*h)[1].index <= i {
		*h = (*h)[1:]
	}
}

// isVoter reports whether the peer called id counts toward the quorum.
func (h confHistory) isVoter(id string) bool {
	return slices.Contains(voters(h.latest().members), id)
}

// voters returns the identities of the members that count toward the quorum.
func voters(m *daisyhatchv1.Membership) []string {
	ids := make([]string, 0, len(m.GetPeers()))
	for _, p := range m.GetPeers() {
		if !p.GetLearner() {
			ids = append(ids, PeerID(p))
		}
	}
	return ids
}

// quorum is the number of voters that decide, out of n.
func quorum(n int) int { return n/2 + 1 }

// hasQuorum reports whether the voters that ok holds for decide. An empty group has no quorum.
func (c *Core) hasQuorum(ok func(id string) bool) bool {
	ids := voters(c.confs.latest().members)
	n := 0
	for _, id := range ids {
		if ok(id) {
			n++
		}
	}
	return len(ids) > 0 && n >= quorum(len(ids))
}

// MembershipAt returns the members in force at index i, which must not be before the newest snapshot.
func (c *Core) MembershipAt(i uint64) *daisyhatchv1.Membership { return c.confs.at(i) }

// AddPeer adds a member as a learner; it returns the index of the change. With p.Learner unset, the member
// becomes a voter once it has caught up. Errors: ErrNotLeader, ErrTransferring, ErrNotReady, ErrChangePending,
// ErrPeer.
func (c *Core) AddPeer(p *daisyhatchv1.ConsensusPeer) (uint64, error) {
	if err := c.changeAllowed(); err != nil {
		return 0, err
	}
	if p.GetVm() == "" || p.GetAddress() == "" {
		return 0, fmt.Errorf("%w: it needs a VM name and an address", ErrPeer)
	}
	m := proto.CloneOf(c.confs.latest().members)
	for _, q := range m.GetPeers() {
		if q.GetVm() == p.GetVm() || q.GetAddress() == p.GetAddress() {
			return 0, fmt.Errorf("%w: %s at %s is a member; remove it first", ErrPeer, q.GetVm(), q.GetAddress())
		}
	}
	q := proto.CloneOf(p)
	q.Promote = !p.GetLearner()
	q.Learner = true
	m.Peers = append(m.Peers, q)
	return c.appendMembership(m), nil
}

// RemovePeer removes the member on the given VM; it returns the index of the change. Errors: ErrNotLeader,
// ErrTransferring, ErrNotReady, ErrChangePending, ErrPeer, ErrIsLeader, and ErrQuorum when those that remain would have too
// few live voters.
func (c *Core) RemovePeer(vm string) (uint64, error) {
	if err := c.changeAllowed(); err != nil {
		return 0, err
	}
	m := proto.CloneOf(c.confs.latest().members)
	i := slices.IndexFunc(m.GetPeers(), func(p *daisyhatchv1.ConsensusPeer) bool { return p.GetVm() == vm })
	if i < 0 {
		return 0, fmt.Errorf("%w: %s is not a member", ErrPeer, vm)
	}
	voter := !m.GetPeers()[i].GetLearner()
	m.Peers = slices.Delete(m.Peers, i, i+1)
	left := voters(m)
	live := 0
	for _, id := range left {
		if c.isLive(id) {
			live++
		}
	}
	if voter && (len(left) == 0 || live < quorum(len(left))) {
		return 0, fmt.Errorf("%w: %d of %d remaining voters are live", ErrQuorum, live, len(left))
	}
	if vm == c.vm() {
		return 0, ErrIsLeader
	}
	return c.appendMembership(m), nil
}

// vm returns the VM name in this peer's identity.
func (c *Core) vm() string { return VMOf(c.cfg.ID) }

// VMOf returns the VM name in a peer's identity.
func VMOf(id string) string {
	vm, _, _ := strings.Cut(id, "/")
	return vm
}

// maybePromote makes a learner that has caught up a voter, when no other change is pending.
func (c *Core) maybePromote(id string, pr *progress) {
	if pr.match < c.commit || c.changeAllowed() != nil {
		return
	}
	m := c.confs.latest().members
	i := slices.IndexFunc(m.GetPeers(), func(p *daisyhatchv1.ConsensusPeer) bool { return PeerID(p) == id })
	if i < 0 || !m.GetPeers()[i].GetPromote() || !m.GetPeers()[i].GetLearner() {
		return
	}
	m = proto.CloneOf(m)
	m.Peers[i].Learner = false
	m.Peers[i].Promote = false
	c.appendMembership(m)
}

func (c *Core) changeAllowed() error {
	switch {
	case !c.ClaimsLeadership():
		return ErrNotLeader
	case c.lead.transferee != "":
		return ErrTransferring
	case !c.committedInTerm():
		return ErrNotReady
	case c.confs.latest().index > c.commit:
		return ErrChangePending
	}
	return nil
}

func (c *Core) appendMembership(m *daisyhatchv1.Membership) uint64 {
	data, err := proto.Marshal(m)
	if err != nil {
		c.cfg.Invariants.Assert(false, "raft-membership-encodes", "%v", err)
		return 0
	}
	i := c.appendEntry(daisyhatchv1.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	c.syncProgress()
	return i
}
