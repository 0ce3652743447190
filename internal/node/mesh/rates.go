package mesh

import (
	"slices"

	"geraniumhollow/internal/route/pace"
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
