package serve

import (
	"context"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/claim"
)

// sweepDuty is the duty of the node that removes expired rows.
const sweepDuty = "sweep"

// sweepInterval is the time between sweeps. A sweep reads all claims of the last 24 h in batches of 1,000
// rows.
const sweepInterval = time.Hour

// sweepCheckInterval is the time between checks of whether a sweep or a handover of the duty is due.
const sweepCheckInterval = 10 * time.Second

// sweep removes expired claims and crash counts while this node holds the duty, until ctx ends.
func (c *coordinator) sweep(ctx context.Context, claims *claim.Store) error {
	due := c.node.now().Add(sweepInterval)
	return tasks.Every(ctx, sweepCheckInterval, func(ctx context.Context) {
		c.handOverSweep()
		if now := c.node.now(); !now.Before(due) {
			c.sweepOnce(ctx, claims)
			due = now.Add(sweepInterval)
		}
	})
}

// handOverSweep releases the duty when it should move to another node, and gives its consent when the duty has
// been lost. Two concurrent sweeps do no harm, so neither waits for a running sweep.
func (c *coordinator) handOverSweep() {
	for _, t := range c.leases.Tenures() {
		if t.Duty == sweepDuty && t.Lost {
			c.leases.ConfirmUnused(sweepDuty)
		}
	}
	if duty, ok := c.leases.DueToMove(sweepDuty); ok {
		c.leases.ReleaseDuty(duty, true)
	}
}

func (c *coordinator) sweepOnce(ctx context.Context, claims *claim.Store) {
	if !c.holds(sweepDuty) {
		return
	}
	removed, err := claims.Sweep(ctx, c.node.now())
	if err != nil {
		c.node.log.Warn("removing expired claims failed", "removed", removed, "error", err)
		return
	}
	counts, err := c.guard.Sweep(ctx)
	if err != nil {
		c.node.log.Warn("removing expired crash counts failed", "removed", counts, "error", err)
		return
	}
	c.node.log.Info("expired rows removed", "claims", removed, "crash_counts", counts)
}

// holds reports whether this node holds a duty now.
func (c *coordinator) holds(duty string) bool {
	for _, t := range c.heldTenures() {
		if t.Duty == duty {
			return c.leases.Holds(duty, t.Fence)
		}
	}
	return false
}
