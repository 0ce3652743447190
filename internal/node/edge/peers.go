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

// tellStalled tells the keeper of the groups, here or on another node, that a head makes no progress.
func (n *Node) tellStalled(f index.Formation) {
	if n.takeStalled(f) {
		return
	}
	holder, _, _ := strings.Cut(n.keeper.Holder(), "/")
	if holder == "" {
		return
	}
	n.group.Go("stall notice", func(ctx context.Context) error {
		n.mesh.Stalled(ctx, holder, f)
		return nil
	})
}

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

// heardDuty takes a holder's word. Only nodes with a link to a holder whose renewals fail try to take the duty, so that
// not all of them call the store at once.
func (n *Node) heardDuty(fence uint64, failing, relayed bool) {
	switch {
	case relayed:
		n.keeper.Relayed(fence)
	case failing:
		n.keeper.Offered(fence)
	default:
		n.keeper.Heard(fence)
	}
}

// shareSuspects tells other nodes of requests that may crash backend servers.
func (n *Node) shareSuspects(list []crash.Suspicion) {
	n.mesh.Suspect(crash.Frames(list))
}

// takeSuspects takes another node's word.
func (n *Node) takeSuspects(origin string, list []frame.Suspicion) {
	n.crashes.Learn(origin, crash.FromFrames(list))
}
