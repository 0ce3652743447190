package edge

import (
	"context"
	"strings"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/crash"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
)

// reachTimeout bounds a look at a backend server.
const reachTimeout = 150 * time.Millisecond

// takeStalled passes a notice to the keeper of this node and reports whether it keeps the groups.
func (n *Node) takeStalled(f index.Formation) bool {
	if !n.keeper.Holds() {
		return false
	}
	n.keeper.Suspect(f)
	return true
}

// reaches reports whether this node reaches a backend server.
func (n *Node) reaches(ctx context.Context, server, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	_, err := n.cfg.Engines.Report(ctx, group.Probe{Server: server, Address: addr})
	return err == nil
}

// witness asks other nodes whether they reach a backend server: how many were asked, how many do.
func (n *Node) witness(ctx context.Context, p group.Probe) (int, int) {
	w := n.mesh.Witness(ctx, p.Server, p.Address)
	return w.Asked, w.Reached
}

// dead reports whether the process of a backend server has ended.
func (n *Node) dead(ctx context.Context, e *index.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	r, err := n.cfg.Engines.Report(ctx, group.Probe{Server: e.ID, Address: e.Address})
	if err != nil {
		return errors.Is(err, keeper.ErrGone)
	}
	return !r.Born.IsZero() && !e.Born.IsZero() && !r.Born.Equal(e.Born)
}

// keeperAddress returns the address of the node that keeps the groups, "" if it is not known.
func (n *Node) keeperAddress() string {
	address, _, _ := strings.Cut(n.keeper.Holder(), "/")
	return address
}

// shareSuspects tells other nodes of requests that may crash backend servers.
func (n *Node) shareSuspects(list []crash.Suspicion) {
	n.mesh.Suspect(crash.Frames(list))
}

// takeSuspects takes another node's word.
func (n *Node) takeSuspects(origin string, list []frame.Suspicion) {
	n.crashes.Learn(origin, crash.FromFrames(list))
}
