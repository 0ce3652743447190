package mesh

import (
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
)

// handleUsage registers the handlers of messages about usage.
func (m *Mesh) handleUsage() {
	peer.On(m.net, func(_ peer.Peer, r *frame.UsageReport) { m.cfg.OnUsage(usage.FromFrame(r)) })
	peer.On(m.net, func(from peer.Peer, n *frame.ClockNotice) {
		m.cfg.OnClock(from.Node, time.UnixMilli(int64(n.WallMs)), time.UnixMilli(int64(n.EstimateMs)))
	})
}

// SendUsage sends counts of requests one link further towards the holder of the duty. An error means that some were not sent.
func (m *Mesh) SendUsage(list []usage.Report) error {
	target := m.usageTarget()
	for _, f := range usage.ToFrames(list) {
		if err := m.net.Send(target, f); err != nil {
			return errors.Newf("send usage: %w", err)
		}
	}
	return nil
}

// maxUsageCopies is the number of nodes to which the holder of the duty sends its own counts.
const maxUsageCopies = 2

// CopyUsage sends counts of requests of this node, which holds the duty, to other nodes, so that they are not lost with it.
func (m *Mesh) CopyUsage(list []usage.Report) {
	nodes := m.linked()
	for _, node := range nodes[:min(len(nodes), maxUsageCopies)] {
		for _, f := range usage.ToFrames(list) {
			if err := m.net.Send(node, f); err != nil {
				m.cfg.Log.Debug("cannot send a copy of usage", "node", node, "error", err)
			}
		}
	}
}

// UsageRoute returns the process of the linked node to which SendUsage sends, "" if there is none, and then the holder of the duty as
// far as it is known. After a change of either, counts that were sent before may be lost.
func (m *Mesh) UsageRoute() (string, string) {
	target := m.usageTarget()
	p, ok := m.net.Peer(target)
	if !ok {
		return "", m.cfg.Keeper()
	}
	return target + "/" + p.Incarnation, m.cfg.Keeper()
}

// usageTarget returns the node to which counts are sent. Without a link to the one that is next on the way to the holder, it is the
// last one to which there is still a link: a node that stops has no place in the topology any more while it ends its requests.
func (m *Mesh) usageTarget() string {
	target := m.targetTowardsHolder()
	_, ok := m.net.Peer(target)
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.lastUsageTarget = target
		return target
	}
	return m.lastUsageTarget
}

// SetCollectsUsage sets whether this node receives the counts of all nodes. It is then linked to the first node of each data centre,
// which is the case anyway unless it holds the duty in place of the first node of its own.
func (m *Mesh) SetCollectsUsage(collects bool) {
	m.mu.Lock()
	changed := m.collectsUsage != collects
	m.collectsUsage = collects
	m.mu.Unlock()
	if changed {
		m.updateLinks()
	}
}

// usageLinks returns the nodes to which this node must be linked to receive counts. The lock must be held.
func (m *Mesh) usageLinks(absent sets.Set[string]) []string {
	if !m.collectsUsage {
		return nil
	}
	return m.topology.Roots(absent)
}

// SendClock tells the linked nodes the time of this node's wall clock and its estimate of true time.
func (m *Mesh) SendClock(wall, estimate time.Time) {
	notice := &frame.ClockNotice{WallMs: int(wall.UnixMilli()), EstimateMs: int(estimate.UnixMilli())}
	m.sendLinked(notice, func(string) bool { return true }, func(node string, err error) {
		m.cfg.Log.Debug("cannot send the time", "node", node, "error", err)
	})
}
