package mesh

import (
	"context"
	"net"

	"geraniumhollow/internal/node/detour"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
)

// Forwarders returns the other nodes of the region that take requests.
func (m *Mesh) Forwarders() []detour.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]detour.Node, 0, len(m.members))
	for address, row := range m.members {
		if address != m.cfg.Address && row.Forwards != "" && row.Region == m.cfg.Region {
			out = append(out, detour.Node{Address: address, DataCentre: row.DataCentre, Forwards: row.Forwards, Capacity: row.Capacity})
		}
	}
	return out
}

// AskStatus asks a node for its status.
func (m *Mesh) AskStatus(ctx context.Context, node string, servers []detour.Server) (detour.Status, error) {
	ask := &frame.ReachAsk{Servers: make([]frame.ServerAsk, 0, len(servers))}
	for _, s := range servers {
		ask.Servers = append(ask.Servers, frame.ServerAsk{Server: s.ID, Addr: s.Address})
	}
	msg, err := m.net.Ask(ctx, node, ask)
	if err != nil {
		return detour.Status{}, errors.Newf("ask for status: %w", err)
	}
	reply, ok := msg.(*frame.ReachReply)
	if !ok {
		return detour.Status{}, errors.Newf("ask for status: reply is %T", msg)
	}
	return detour.Status{Reaches: reply.Reaches, Accepts: reply.Accepts, Requests: reply.Requests}, nil
}

// handleReachAsk answers a node that may have lost all backend servers.
func (m *Mesh) handleReachAsk(ctx context.Context, _ peer.Peer, a *frame.ReachAsk) *frame.ReachReply {
	servers := make([]detour.Server, 0, len(a.Servers))
	for _, s := range a.Servers {
		servers = append(servers, detour.Server{ID: s.Server, Address: s.Addr})
	}
	s := m.cfg.Status(ctx, servers)
	return &frame.ReachReply{Reaches: s.Reaches, Accepts: s.Accepts, Requests: s.Requests}
}

// IsNodeIP reports whether a registered node has an IP address.
func (m *Mesh) IsNodeIP(ip string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address := range m.members {
		if host, _, err := net.SplitHostPort(address); err == nil && host == ip {
			return true
		}
	}
	return false
}
