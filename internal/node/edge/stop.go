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
	// answerReserve is the part of the grace period before stopReserve in which requests that no server has answered are
	// answered by the node, as their connections would be closed without an answer.
	answerReserve = 250 * time.Millisecond
	// maxReserveShare bounds each of these as a part of the grace period, and maxNoticeShare stopNotice: requests that are
	// accepted must have time to end.
	maxReserveShare = 0.15
	maxNoticeShare  = 0.35
	// stopPollInterval is the time between checks of the progress of a planned stop.
	stopPollInterval = 50 * time.Millisecond
	// flushTime is the time for the last counts of requests to leave the node.
	flushTime = 50 * time.Millisecond
)

// stop waits for the end of stopCtx and runs a planned stop. When no caller connection is open, or the time for the
// stop is over, it calls cancel to end the node.
func (n *Node) stop(ctx, stopCtx context.Context, cancel context.CancelFunc) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stopCtx.Done():
	}
	t := stopTimesOf(n.settings.Load().Grace)
	d := drain.NewNode(t.notice, t.end-t.notice)
	started := time.Now()
	d.Signal(started)
	n.stopping.Store(true)
	n.keeper.ReleaseDuty()
	n.front.CloseAfterResponse()
	n.cfg.Log.Info("stopping", "connections", n.front.OpenConnections(), "requests", n.front.ActiveRequests())
	if err := n.leave(ctx); err != nil {
		n.cfg.Log.Info("deleting the registration of the node failed", "error", err)
	}
	finishing, answered := false, false
	for d.State() != drain.Stopped && tasks.Sleep(ctx, stopPollInterval) {
		d.Tick(time.Now(), n.front.OpenConnections()+n.forwarded.ActiveRequests())
		if d.State() == drain.Finishing && !finishing {
			finishing = true
			n.front.Drain()
			n.forwarded.Drain()
		}
		if !answered && time.Since(started) >= t.answer {
			answered = true
			n.front.CancelUnanswered()
			n.forwarded.CancelUnanswered()
		}
	}
	if n.duties.Flush() {
		tasks.Sleep(ctx, flushTime)
	}
	n.cfg.Log.Info("stopped", "connections", n.front.OpenConnections(), "requests", n.front.ActiveRequests(), "ms", time.Since(started).Milliseconds())
	cancel()
	return nil
}

// stopTimes are the times of a planned stop, from its beginning.
type stopTimes struct {
	// notice is until when new requests are accepted. At answer, the node answers those that no server has answered. At end, it
	// closes the connections.
	notice, answer, end time.Duration
}

func stopTimesOf(grace time.Duration) stopTimes {
	share := func(d time.Duration, most float64) time.Duration { return min(d, time.Duration(most*float64(grace))) }
	end := grace - share(stopReserve, maxReserveShare)
	return stopTimes{notice: share(stopNotice, maxNoticeShare), answer: end - share(answerReserve, maxReserveShare), end: end}
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
