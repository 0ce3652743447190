package edge

import (
	"context"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/drain"
	"github.com/cockroachdb/errors"
)

// Times of a planned stop.
const (
	// stopNotice is how long a node accepts new requests after it has become not ready. The load balancer checks once a
	// second and removes a node after two failed checks.
	stopNotice = 2300 * time.Millisecond
	// stopReserve is the part of the grace period that is reserved for ending the process.
	stopReserve = 400 * time.Millisecond
	// stopPollInterval is the time between checks of the progress of a planned stop.
	stopPollInterval = 50 * time.Millisecond
)

// stop waits for the end of stopCtx and runs a planned stop. When no caller connection is open, or the time for the
// stop is over, it calls cancel to end the node.
func (n *Node) stop(ctx, stopCtx context.Context, cancel context.CancelFunc) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stopCtx.Done():
	}
	d := drain.NewNode(stopNotice, n.settings.Load().Grace-stopNotice-stopReserve)
	started := time.Now()
	d.Signal(started)
	n.stopping.Store(true)
	n.keeper.ReleaseDuty()
	n.front.CloseAfterResponse()
	n.cfg.Log.Info("stopping", "connections", n.front.OpenConnections(), "requests", n.front.ActiveRequests())
	if err := n.leave(ctx); err != nil {
		n.cfg.Log.Info("deleting the registration of the node failed", "error", err)
	}
	finishing := false
	for d.State() != drain.Stopped && tasks.Sleep(ctx, stopPollInterval) {
		d.Tick(time.Now(), n.front.OpenConnections()+n.forwarded.ActiveRequests())
		if d.State() == drain.Finishing && !finishing {
			finishing = true
			n.front.Drain()
			n.forwarded.Drain()
		}
	}
	n.cfg.Log.Info("stopped", "connections", n.front.OpenConnections(), "requests", n.front.ActiveRequests(), "ms", time.Since(started).Milliseconds())
	cancel()
	return nil
}

// leaveTimeout limits the call that deletes the registration of the node.
const leaveTimeout = 500 * time.Millisecond

func (n *Node) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.mesh.Leave(ctx); err != nil {
		return errors.Newf("leave the mesh: %w", err)
	}
	return nil
}
