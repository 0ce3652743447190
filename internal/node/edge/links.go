package edge

import (
	"context"
	"net"
	"strconv"

	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/node/detour"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plan/group"
	"github.com/cockroachdb/errors"
)

// newDetour returns the part of the node that passes requests on while the node reaches no backend server.
func (n *Node) newDetour(set Settings) *detour.Detour {
	return detour.New(detour.Config{
		DataCentre: set.DataCentre, Source: set.IP, Servers: n.knownServers,
		Try: func(ctx context.Context, s detour.Server, connected func()) error {
			return n.cfg.Engines.Try(ctx, group.Probe{Server: s.ID, Address: s.Address}, connected)
		},
		Nodes: func() []detour.Node { return n.mesh.Forwarders() },
		Ask: func(ctx context.Context, node string, s []detour.Server) (detour.Status, error) {
			return n.mesh.AskStatus(ctx, node, s)
		},
		OnChange: n.isolationChanged, Log: n.cfg.Log,
	})
}

// knownServers returns the backend servers that are registered and not leaving.
func (n *Node) knownServers() []detour.Server {
	v := n.index.View()
	out := make([]detour.Server, 0, len(v.Servers))
	for _, e := range v.Servers {
		if !e.Draining && !e.Expired {
			out = append(out, detour.Server{ID: e.ID, Address: e.Address, Domain: e.Domain})
		}
	}
	return out
}

// isolationChanged adapts the node when it has lost all backend servers, or reaches them again.
func (n *Node) isolationChanged(isolated bool) {
	if !isolated {
		n.seats.LinksRestored()
	}
	n.keeper.Wake()
}

// status returns the status of this node for another one that may have lost all backend servers.
func (n *Node) status(ctx context.Context, servers []detour.Server) detour.Status {
	s := n.detour.Status(ctx, servers, n.front.ActiveRequests(), n.settings.Load().Capacity)
	s.Accepts = s.Accepts && !n.stopping.Load() && n.table.Load() != nil
	return s
}

// forwardAddress returns the address for requests of other nodes, or "" if the node takes none.
func forwardAddress(set Settings) string {
	if set.ForwardPort == 0 {
		return ""
	}
	return net.JoinHostPort(set.IP, strconv.Itoa(set.ForwardPort))
}

// forwardDescriptorShare is the share of file descriptors that connections of other nodes for requests may use.
const forwardDescriptorShare = 0.2

// serveForwarded serves requests of other nodes until ctx ends.
func (n *Node) serveForwarded(ctx context.Context) error {
	address := forwardAddress(*n.settings.Load())
	if address == "" {
		return nil
	}
	ln, err := sock.Local.Listen(ctx, address)
	if err != nil {
		return errors.Newf("listen for requests of other nodes: %w", err)
	}
	if err := n.forwarded.Run(ctx, detour.FromNodes(ln, n.mesh.IsNodeIP)); err != nil {
		return errors.Newf("serve requests of other nodes: %w", err)
	}
	return nil
}

// forwardLimits returns the limits for requests of other nodes, which have the headers of callers and some more.
func (n *Node) forwardLimits() front.Limits {
	l := n.limits()
	l.HeaderBytes, l.IdleTimeout = 2*max(l.HeaderBytes, minForwardHeaderBytes), 0
	return l
}

// minForwardHeaderBytes is the size for which there is always room, as nodes may have different limits for a moment.
const minForwardHeaderBytes = 16 << 10
