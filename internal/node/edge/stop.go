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
	// stopNotice is how long a node that is not ready any more takes new requests. The balancer asks once a
	// second and takes a node out after two misses.
	stopNotice = 2300 * time.Millisecond
	// stopReserve is the part of the grace that is left for the end of the process.
	stopReserve = 400 * time.Millisecond
	// stopTick is the time between looks at a node that stops.
	stopTick = 50 * time.Millisecond
)

// stop carries a node through a planned stop, which begins when asked ends. It returns when nothing is
// served any more, and ends the node then.
func (n *Node) stop(ctx, asked context.Context, end context.CancelFunc) error {
	select {
	case <-ctx.Done():
		return nil
	case <-asked.Done():
	}
	d := drain.NewNode(stopNotice, n.settings.Load().Grace-stopNotice-stopReserve)
	begun := time.Now()
	d.Signal(begun)
	n.stopping.Store(true)
	n.keeper.Yield()
	n.front.AnswerLast()
	n.cfg.Log.Info("stopping", "connections", n.front.Open(), "requests", n.front.Busy())
	if err := n.leave(ctx); err != nil {
		n.cfg.Log.Info("cannot delete the registration", "error", err)
	}
	finishing := false
	for d.State() != drain.Stopped && tasks.Sleep(ctx, stopTick) {
		d.Tick(time.Now(), n.front.Open())
		if d.State() == drain.Finishing && !finishing {
			finishing = true
			n.front.Drain()
		}
	}
	n.cfg.Log.Info("stopped", "connections", n.front.Open(), "requests", n.front.Busy(), "ms", time.Since(begun).Milliseconds())
	end()
	return nil
}

// leaveTimeout bounds the call that deletes the registration of a node.
const leaveTimeout = 500 * time.Millisecond

func (n *Node) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.mesh.Leave(ctx); err != nil {
		return errors.Newf("leave: %w", err)
	}
	return nil
}
