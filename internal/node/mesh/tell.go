package mesh

import (
	"context"
	"slices"
	"sync"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/wire/frame"
)

// Stalled tells the node that keeps the groups of a head that makes no progress. holder is that node, as
// far as is known.
func (m *Mesh) Stalled(ctx context.Context, holder string, f index.Formation) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := m.net.Ask(ctx, holder, &frame.StallNotice{Group: f.Group, Epoch: int(f.Epoch)}); err != nil {
		m.cfg.Log.Info("cannot tell the keeper of a stalled group", "keeper", holder, "group", f.Group, "error", err)
	}
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

// tell sends a message to the linked nodes but one, and calls failed with each that does not take it.
func (m *Mesh) tell(msg any, but string, failed func(node string, err error)) {
	for _, n := range m.linked() {
		if n == but {
			continue
		}
		if err := m.net.Send(n, msg); err != nil {
			failed(n, err)
		}
	}
}

// Hint tells the linked nodes that this one has a revision of a family.
func (m *Mesh) Hint(family string, revision uint64) {
	m.tell(&frame.RowHint{Family: family, Rev: int(revision)}, "", func(n string, err error) {
		m.cfg.Log.Debug("cannot tell a node of a revision", "node", n, "error", err)
	})
}

// Announce tells all nodes that this one holds the duty to keep groups, and whether the store does not take its
// renewals.
func (m *Mesh) Announce(fence uint64, failing bool) {
	m.mu.Lock()
	m.beats++
	b := &frame.DutyBeat{Fence: int(fence), Failing: failing, Seq: m.beats}
	m.beat = *b
	m.mu.Unlock()
	m.announce(b, "")
}

// announce sends a holder's word to the linked nodes but the one that it came from.
func (m *Mesh) announce(b *frame.DutyBeat, from string) {
	m.tell(b, from, func(n string, err error) {
		m.cfg.Log.Debug("cannot tell a node of the duty", "node", n, "error", err)
	})
}

// heard takes a holder's word, and passes it on if it is new.
func (m *Mesh) heard(from string, b *frame.DutyBeat) {
	m.mu.Lock()
	news := b.Fence > m.beat.Fence || b.Fence == m.beat.Fence && b.Seq > m.beat.Seq
	if news {
		m.beat = *b
	}
	m.mu.Unlock()
	if news || !b.Relayed {
		m.cfg.Duty(uint64(b.Fence), b.Failing, b.Relayed)
	}
	if news {
		m.announce(&frame.DutyBeat{Fence: b.Fence, Failing: b.Failing, Seq: b.Seq, Relayed: true}, from)
	}
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
	m.tell(s, from, func(n string, err error) {
		m.cfg.Log.Info("cannot pass on suspicions", "node", n, "error", err)
	})
}
