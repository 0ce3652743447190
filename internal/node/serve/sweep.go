package serve

import (
	"context"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/claim"
)

// sweepDuty is held by the node that removes rows whose time has passed.
const sweepDuty = "sweep"

// sweepInterval is the time between sweeps. A sweep reads every claim of the last 24 h, 1,000 rows a
// read.
const sweepInterval = time.Hour

// sweepCheck is the time between looks at the duty of sweeping.
const sweepCheck = 10 * time.Second

// sweep removes old claims and crash counts while this node holds the duty, until ctx ends.
func (c *control) sweep(ctx context.Context, claims *claim.Store) error {
	due := c.node.now().Add(sweepInterval)
	return tasks.Every(ctx, sweepCheck, func(ctx context.Context) {
		c.passSweepOn()
		if now := c.node.now(); !now.Before(due) {
			c.sweepOnce(ctx, claims)
			due = now.Add(sweepInterval)
		}
	})
}

// passSweepOn lets the duty move: two nodes that sweep at the same time do no harm, so nothing has to
// end before.
func (c *control) passSweepOn() {
	for _, t := range c.leases.Tenures() {
		if t.Duty == sweepDuty && t.Lost {
			c.leases.Consent(sweepDuty)
		}
	}
	if duty, ok := c.leases.Wants(sweepDuty); ok {
		c.leases.Yield(duty, true)
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
