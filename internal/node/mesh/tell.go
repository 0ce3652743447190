package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
)

// Limits for stall notices. All nodes that send requests to a group detect its stall within a short time.
const (
	// maxStallNotices limits the formations whose last notice is remembered.
	maxStallNotices = 256
	// stallNoticeInterval is the minimum time between two notices that a node sends for the same formation.
	stallNoticeInterval = 300 * time.Millisecond
)

// Stalled notifies the holder of the duty to keep the groups that the head of a group makes no progress. The notice is sent
// up the tree, where each node forwards only the first notice for a formation within stallNoticeInterval. Links of all nodes to
// the holder would take most of its processor time.
func (m *Mesh) Stalled(f index.Formation) {
	if m.cfg.OnStalled(f) {
		return
	}
	now := time.Now()
	if sentAt, ok := m.stallNotices.Get(f); ok && now.Sub(sentAt) < stallNoticeInterval {
		return
	}
	m.stallNotices.Add(f, now)
	notice := &frame.StallNotice{Group: f.Group, Epoch: int(f.Epoch)}
	if err := m.net.Send(m.targetTowardsHolder(), notice); err != nil {
		m.cfg.Log.Info("cannot send a notice of a stalled group", "group", f.Group, "error", err)
	}
}

// targetTowardsHolder returns the node to which messages for the holder of the duty are sent: the holder if there is a link to it,
// else the upstream node, or "" if there is none.
func (m *Mesh) targetTowardsHolder() string {
	keeper := m.cfg.Keeper()
	if _, ok := m.net.Peer(keeper); ok {
		return keeper
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.upstream
}

// maxProbePeers limits the number of other nodes that are asked whether they reach a backend server.
const maxProbePeers = 3

// PeerProbeResult counts the answers of other nodes about whether they reach a backend server.
type PeerProbeResult struct {
	// Asked is the number of nodes that answered, Reached the number of those that reach the server.
	Asked   int
	Reached int
}

// ProbeFromPeers asks other nodes whether they reach a backend server.
func (m *Mesh) ProbeFromPeers(ctx context.Context, server, addr string) PeerProbeResult {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	list := m.linked()
	list = list[:min(len(list), maxProbePeers)]
	g := tasks.New(ctx)
	var mu sync.Mutex
	var w PeerProbeResult
	for _, node := range list {
		g.Go("witness", func(ctx context.Context) error {
			msg, err := m.net.Ask(ctx, node, &frame.ServerAsk{Server: server, Addr: addr})
			reply, ok := msg.(*frame.ServerReply)
			if err != nil || !ok {
				m.cfg.Log.Info("no answer from another node about whether it reaches a server", "node", node, "server", server, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			w.Asked++
			if reply.Reached {
				w.Reached++
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		m.cfg.Log.Warn("cannot ask other nodes whether they reach a server", "error", err)
	}
	return w
}

// sendLinked sends a message to the linked nodes that accept selects, and calls failed for each node to which it cannot be sent.
func (m *Mesh) sendLinked(msg any, accept func(node string) bool, failed func(node string, err error)) {
	for _, n := range m.linked() {
		if !accept(n) {
			continue
		}
		if err := m.net.Send(n, msg); err != nil {
			failed(n, err)
		}
	}
}

// children returns the child nodes of this node in the tree.
func (m *Mesh) children() sets.Set[string] {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.children
}

// Hint notifies the linked nodes that this node has a revision of a family. followed reports that other nodes can follow its
// copy, in which case the children receive the rows without a notice.
func (m *Mesh) Hint(family string, revision table.Revision, followed bool) {
	children := m.children()
	accept := func(n string) bool { return !followed || !children.Has(n) }
	m.sendLinked(&frame.RowHint{Family: family, Rev: int(revision.Number), Era: int(revision.Era)}, accept, func(n string, err error) {
		m.cfg.Log.Debug("cannot send a row hint", "node", n, "error", err)
	})
}

// Announce notifies all nodes that this node holds the duty, and whether it cannot act.
func (m *Mesh) Announce(w duty.HolderReport) {
	m.mu.Lock()
	m.beatSeq++
	b := &frame.DutyBeat{Fence: int(w.Fence), Failing: w.Failing, Isolated: w.Isolated, Seq: m.beatSeq, Holder: m.cfg.Address + "/" + m.cfg.Incarnation}
	m.mu.Unlock()
	m.sendBeat(b, m.recordBeat(b), "")
}

// beatRelayInterval is the minimum time between announcements of the same tenure that are sent down the tree. Only the first
// node of a data centre is a standby for the duty; the other nodes only need to know the holder.
const beatRelayInterval = 2 * time.Second

// recordBeat stores an announcement, and returns the children if it must be sent to them now, else nil.
func (m *Mesh) recordBeat(b *frame.DutyBeat) sets.Set[string] {
	m.mu.Lock()
	defer m.mu.Unlock()
	newTenure := b.Fence > m.lastBeat.Fence
	m.lastBeat = *b
	if now := time.Now(); newTenure || now.Sub(m.relayedAt) >= beatRelayInterval {
		m.relayedAt = now
		return m.position.children
	}
	return nil
}

// sendBeat sends an announcement to the linked nodes except the one that it came from. Of the children, only those in due
// receive it.
func (m *Mesh) sendBeat(b *frame.DutyBeat, due sets.Set[string], from string) {
	children := m.children()
	accept := func(n string) bool { return n != from && (!children.Has(n) || due.Has(n)) }
	m.sendLinked(b, accept, func(n string, err error) {
		m.cfg.Log.Debug("cannot send an announcement of the duty", "node", n, "error", err)
	})
}

// handleDutyBeat processes an announcement from another node, and relays it if it is new.
func (m *Mesh) handleDutyBeat(from peer.Peer, b *frame.DutyBeat) {
	m.mu.Lock()
	isNew := b.Fence > m.lastBeat.Fence || b.Fence == m.lastBeat.Fence && b.Seq > m.lastBeat.Seq
	m.mu.Unlock()
	if isNew || !b.Relayed {
		m.cfg.OnHolderReport(duty.HolderReport{Fence: uint64(b.Fence), Holder: b.Holder, Failing: b.Failing, Isolated: b.Isolated, Relayed: b.Relayed})
	}
	if !isNew {
		return
	}
	due := m.recordBeat(b)
	m.sendBeat(&frame.DutyBeat{Fence: b.Fence, Failing: b.Failing, Isolated: b.Isolated, Seq: b.Seq, Holder: b.Holder, Relayed: true}, due, from.Node)
}

// HasPeerExcept reports whether there is a link to any node except the given one.
func (m *Mesh) HasPeerExcept(except string) bool {
	return slices.ContainsFunc(m.linked(), func(n string) bool { return n != except })
}

// Suspect notifies all nodes of requests, or parts of their prompts, that may crash backend servers.
func (m *Mesh) Suspect(s frame.SuspectRequest) { m.forwardSuspicions(m.flood.Number(s), "") }

// SuspectTo notifies one linked node.
func (m *Mesh) SuspectTo(node string, s frame.SuspectRequest) {
	s.Direct = true
	if err := m.net.Send(node, m.flood.Number(s)); err != nil {
		m.cfg.Log.Info("cannot send suspicions", "node", node, "error", err)
	}
}

// handleSuspicions processes the suspicions of another node, and forwards them if they are new.
func (m *Mesh) handleSuspicions(from string, s *frame.SuspectRequest) {
	if !m.flood.MarkSeen(s) {
		return
	}
	m.cfg.OnSuspects(s)
	if !s.Direct {
		m.forwardSuspicions(s, from)
	}
}

// forwardSuspicions sends a message to the linked nodes except the one that it came from.
func (m *Mesh) forwardSuspicions(s *frame.SuspectRequest, from string) {
	m.sendLinked(s, func(n string) bool { return n != from }, func(n string, err error) {
		m.cfg.Log.Info("cannot send suspicions", "node", n, "error", err)
	})
}
