package edge

import (
	"context"
	"strings"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/reach"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/crash"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
)

// reachTimeout limits a status request to a backend server.
const reachTimeout = 150 * time.Millisecond

// handleStalled passes a notice of a stalled group to the keeper, and reports whether this node holds the duty to
// keep groups. If it does not, the notice is ignored.
func (n *Node) handleStalled(f index.Formation) bool {
	if !n.keeper.Holds() {
		return false
	}
	n.keeper.Suspect(f)
	return true
}

// maxReachLag is how much later than its timeout a status request may end. If it ends later, this process was not scheduled, and may
// not have read the answer.
const maxReachLag = 50 * time.Millisecond

// canReach reports whether this node can reach a backend server, and whether it knows: it does not if it may have lost all, or was not
// running while it waited.
func (n *Node) canReach(ctx context.Context, server, addr string) (bool, bool) {
	if n.detour.State() != reach.Connected {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	start := time.Now()
	_, err := n.cfg.Engines.Report(ctx, group.Probe{Server: server, Address: addr})
	if err != nil && time.Since(start) >= reachTimeout+maxReachLag {
		n.cfg.Log.Info("cannot tell whether a server is reached, as this process was not scheduled", "server", server, "ms", time.Since(start).Milliseconds())
		return false, false
	}
	return err == nil, true
}

// queryReachability asks other nodes whether they can reach a backend server. It returns how many nodes were asked
// and how many can reach it.
func (n *Node) queryReachability(ctx context.Context, p group.Probe) (int, int) {
	w := n.mesh.ProbeFromPeers(ctx, p.Server, p.Address)
	return w.Asked, w.Reached
}

// probe reports whether the process of a backend server still runs. It has ended if nothing listens at its address, or if
// the process there started at another time.
func (n *Node) probe(ctx context.Context, e *index.Entry) pass.Liveness {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	r, err := n.cfg.Engines.Report(ctx, group.Probe{Server: e.ID, Address: e.Address})
	switch {
	case errors.Is(err, keeper.ErrProcessEnded):
		return pass.Dead
	case err != nil:
		return pass.LivenessUnknown
	case !r.StartedAt.IsZero() && !e.StartedAt.IsZero() && !r.StartedAt.Equal(e.StartedAt):
		return pass.Dead
	default:
		return pass.Alive
	}
}

// keeperAddress returns the address of the node that holds the duty to keep groups, or "" if it is not known.
func (n *Node) keeperAddress() string {
	address, _, _ := strings.Cut(n.keeper.Holder(), "/")
	return address
}

// shareFindings informs other nodes of requests that may crash backend servers.
func (n *Node) shareFindings(f crash.Findings) { n.mesh.Suspect(f.ToFrame()) }

// handleFindings records what another node reports of requests that may crash backend servers.
func (n *Node) handleFindings(m *frame.SuspectRequest) {
	n.crashes.Learn(m.Origin, crash.FindingsFromFrame(m))
}

// handlePeerConnected informs a new peer of the quarantined prompt parts and the rates of servers, which it may have missed.
func (n *Node) handlePeerConnected(address, incarnation string) {
	n.keeper.PeerConnected(address, incarnation)
	n.duties.PeerConnected(address, incarnation)
	if list := n.crashes.Quarantines(); len(list) > 0 {
		n.mesh.SuspectTo(address, crash.Findings{Quarantines: list}.ToFrame())
	}
	n.mesh.SendRates(address, n.rates.All(time.Now()))
}
