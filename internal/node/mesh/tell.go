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
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
)

// Bounds of notices of stalled groups. All nodes that send to a group notice its stall, within a short time.
const (
	// maxNotices bounds the groups that are remembered.
	maxNotices = 256
	// noticeAgain is the time within which a notice of the same group is not passed on again.
	noticeAgain = 300 * time.Millisecond
)

// Stalled tells the node that keeps the groups of a head that makes no progress. The notice goes up the tree, where nodes
// pass on the first one of each group; a link of each node to the keeper would cost the keeper most of its time.
func (m *Mesh) Stalled(f index.Formation) {
	if m.cfg.Stalled(f) {
		return
	}
	now := time.Now()
	if told, ok := m.notices.Get(f); ok && now.Sub(told) < noticeAgain {
		return
	}
	m.notices.Add(f, now)
	notice := &frame.StallNotice{Group: f.Group, Epoch: int(f.Epoch)}
	if err := m.net.Send(m.towardsKeeper(), notice); err != nil {
		m.cfg.Log.Info("cannot tell the keeper of a stalled group", "group", f.Group, "error", err)
	}
}

// towardsKeeper returns the node to which notices for the keeper go.
func (m *Mesh) towardsKeeper() string {
	keeper := m.cfg.Keeper()
	if _, ok := m.net.Peer(keeper); ok {
		return keeper
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.place.upstream
}

// witnesses is how many other nodes are asked whether they reach a backend server.
const witnesses = 3

// Witness is what other nodes say of a backend server.
type Witness struct {
	// Asked is how many nodes answered, Reached how many of them reach the server.
	Asked   int
	Reached int
}

// Witness asks other nodes whether they reach a backend server.
func (m *Mesh) Witness(ctx context.Context, server, addr string) Witness {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	list := m.linked()
	list = list[:min(len(list), witnesses)]
	g := tasks.New(ctx)
	var mu sync.Mutex
	var w Witness
	for _, node := range list {
		g.Go("witness", func(ctx context.Context) error {
			msg, err := m.net.Ask(ctx, node, &frame.ServerAsk{Server: server, Addr: addr})
			reply, ok := msg.(*frame.ServerReply)
			if err != nil || !ok {
				m.cfg.Log.Info("another node does not say whether it reaches a server", "node", node, "server", server, "error", err)
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
		m.cfg.Log.Warn("cannot ask other nodes", "error", err)
	}
	return w
}

// tell sends a message to the linked nodes that want accepts, and calls failed with each that does not take it.
func (m *Mesh) tell(msg any, want func(node string) bool, failed func(node string, err error)) {
	for _, n := range m.linked() {
		if !want(n) {
			continue
		}
		if err := m.net.Send(n, msg); err != nil {
			failed(n, err)
		}
	}
}

// children returns the nodes below this one.
func (m *Mesh) children() sets.Set[string] {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.place.children
}

// Hint tells the linked nodes that this one has a revision of a family. Nodes below this one follow its copy.
func (m *Mesh) Hint(family string, revision uint64) {
	children := m.children()
	m.tell(&frame.RowHint{Family: family, Rev: int(revision)}, func(n string) bool { return !children.Has(n) }, func(n string, err error) {
		m.cfg.Log.Debug("cannot tell a node of a revision", "node", n, "error", err)
	})
}

// Announce tells all nodes that this one holds the duty, and whether the store does not take its renewals.
func (m *Mesh) Announce(fence uint64, failing bool) {
	m.mu.Lock()
	m.beats++
	b := &frame.DutyBeat{Fence: int(fence), Failing: failing, Seq: m.beats, Holder: m.cfg.Address + "/" + m.cfg.Incarnation}
	m.mu.Unlock()
	m.announce(b, m.news(b), "")
}

// relayInterval is the time between words of the same tenure that are passed on down the tree. Only nodes that lead their
// data centre take the duty; the others need to know who holds it.
const relayInterval = 2 * time.Second

// news notes a holder's word, and returns the nodes below this one if it is due to tell them.
func (m *Mesh) news(b *frame.DutyBeat) sets.Set[string] {
	m.mu.Lock()
	defer m.mu.Unlock()
	moved := b.Fence > m.beat.Fence
	m.beat = *b
	if now := time.Now(); moved || now.Sub(m.relayed) >= relayInterval {
		m.relayed = now
		return m.place.children
	}
	return nil
}

// announce sends a holder's word to the linked nodes but the one that it came from. Of the nodes below this one, only
// those in due get it.
func (m *Mesh) announce(b *frame.DutyBeat, due sets.Set[string], from string) {
	children := m.children()
	want := func(n string) bool { return n != from && (!children.Has(n) || due.Has(n)) }
	m.tell(b, want, func(n string, err error) {
		m.cfg.Log.Debug("cannot tell a node of the duty", "node", n, "error", err)
	})
}

// heard takes a holder's word, and passes it on if it is new.
func (m *Mesh) heard(from peer.Peer, b *frame.DutyBeat) {
	m.mu.Lock()
	fresh := b.Fence > m.beat.Fence || b.Fence == m.beat.Fence && b.Seq > m.beat.Seq
	m.mu.Unlock()
	if fresh || !b.Relayed {
		m.cfg.Duty(duty.Word{Fence: uint64(b.Fence), Holder: b.Holder, Failing: b.Failing, Relayed: b.Relayed})
	}
	if !fresh {
		return
	}
	due := m.news(b)
	m.announce(&frame.DutyBeat{Fence: b.Fence, Failing: b.Failing, Seq: b.Seq, Holder: b.Holder, Relayed: true}, due, from.Node)
}

// Linked reports whether there is a link to a node other than one.
func (m *Mesh) Linked(but string) bool {
	return slices.ContainsFunc(m.linked(), func(n string) bool { return n != but })
}

// Suspect tells all nodes of requests that may crash backend servers.
func (m *Mesh) Suspect(list []frame.Suspicion) { m.spread(m.flood.Begin(list), "") }

// suspected takes what another node found out of requests, and passes it on.
func (m *Mesh) suspected(from string, s *frame.SuspectRequest) {
	if m.flood.News(s) {
		m.cfg.Suspects(s.Origin, s.List)
		m.spread(s, from)
	}
}

// spread sends a message to the linked nodes but the one that it came from.
func (m *Mesh) spread(s *frame.SuspectRequest, from string) {
	m.tell(s, func(n string) bool { return n != from }, func(n string, err error) {
		m.cfg.Log.Info("cannot pass on suspicions", "node", n, "error", err)
	})
}
