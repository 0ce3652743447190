package serve

import (
	"sync"
	"time"

	"geraniumhollow/internal/fleet/roster"
)

// settleTime is the time between a change of the fleet and the read of the leases that follows it. A
// node that begins to stop has released its duties by then.
const settleTime = 700 * time.Millisecond

// changes notices changes of the fleet after which duties are free. Without it they would be found at
// the next regular read, up to 5 s later.
type changes struct {
	mu    sync.Mutex
	known map[string]roster.Member
	at    time.Time
}

// due takes the members of the fleet and reports whether a change has settled.
func (c *changes) due(now time.Time, members []roster.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = make(map[string]roster.Member)
	}
	for _, m := range members {
		old := c.known[m.Node]
		if old.State != m.State || old.Drain != m.Drain || old.Incarnation != m.Incarnation {
			c.at = now.Add(settleTime)
		}
		c.known[m.Node] = m
	}
	if c.at.IsZero() || now.Before(c.at) {
		return false
	}
	c.at = time.Time{}
	return true
}
