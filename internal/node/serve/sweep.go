package serve

import (
	"context"
	"time"

	"geraniumhollow/internal/route/claim"
)

// sweepDuty is held by the node that removes rows whose time has passed.
const sweepDuty = "sweep"

// sweepInterval is the time between sweeps. A sweep reads every claim of the last 24 h, 1,000 rows a
// read.
const sweepInterval = time.Hour

// sweep removes old claims and crash counts while this node holds the duty, until ctx ends.
func (c *control) sweep(ctx context.Context, claims *claim.Store) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.sweepOnce(ctx, claims)
		}
	}
}

func (c *control) sweepOnce(ctx context.Context, claims *claim.Store) {
	if !c.holds(sweepDuty) {
		return
	}
	removed, err := claims.Sweep(ctx, c.node.now())
	if err != nil {
		c.node.log.Warn("claims not swept", "removed", removed, "error", err)
		return
	}
	counts, err := c.guard.Sweep(ctx)
	if err != nil {
		c.node.log.Warn("crash counts not swept", "removed", counts, "error", err)
		return
	}
	c.node.log.Info("old rows removed", "claims", removed, "crash_counts", counts)
}

// holds reports whether this node holds a duty now.
func (c *control) holds(duty string) bool {
	for _, t := range c.held() {
		if t.Duty == duty {
			return c.leases.Holds(duty, t.Fence)
		}
	}
	return false
}
