package mesh

import (
	"slices"

	"geraniumhollow/internal/route/pace"
	"geraniumhollow/internal/route/queue"
	"geraniumhollow/internal/wire/frame"
)

// maxRateNotices bounds the notices in one message.
const maxRateNotices = 500

// ShareRates tells the linked nodes what this node has learned of the rates of backend servers. They pass on what is new to
// them.
func (m *Mesh) ShareRates(list []pace.Pending) {
	for _, node := range m.linked() {
		var due []pace.Notice
		for _, p := range list {
			if p.From != node {
				due = append(due, p.Notice)
			}
		}
		m.SendRates(node, due)
	}
}

// SendRates tells one linked node what this node knows of the rates of backend servers.
func (m *Mesh) SendRates(node string, list []pace.Notice) {
	for part := range slices.Chunk(list, maxRateNotices) {
		if err := m.net.Send(node, &frame.RateNotices{List: pace.ToFrame(part)}); err != nil {
			m.cfg.Log.Debug("cannot send rates of servers", "node", node, "error", err)
		}
	}
}

// handleRates processes what another node knows of rates and of demand.
func (m *Mesh) handleRates(from string, r *frame.RateNotices) {
	if list := pace.FromFrame(r.List); len(list) > 0 {
		m.cfg.OnRates(from, list)
	}
	if list := queue.FromFrame(r.Pressure); len(list) > 0 {
		m.cfg.OnPressure(from, r.Total, list)
	}
}

// Upstream returns the node whose copies this node follows, "" if there is none.
func (m *Mesh) Upstream() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.upstream
}

// SendPressure tells a linked node the demand for models and the load of their servers.
func (m *Mesh) SendPressure(node string, total bool, list []queue.ModelTotals) {
	for part := range slices.Chunk(list, maxRateNotices) {
		if err := m.net.Send(node, &frame.RateNotices{List: []frame.RateNotice{}, Pressure: queue.ToFrame(part), Total: total}); err != nil {
			m.cfg.Log.Debug("cannot send the demand for models", "node", node, "error", err)
		}
	}
}
