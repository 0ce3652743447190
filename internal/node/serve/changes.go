package serve

import (
	"sync"
	"time"

	"geraniumhollow/internal/fleet/roster"
)

// memberSettleTime is the delay between a membership change and the lease scan that it triggers. A node that
// begins to stop has released its duties by then.
const memberSettleTime = 700 * time.Millisecond

// memberChanges detects membership changes that can leave duties without a holder. Without it, such duties
// would be found by the next periodic lease scan, up to 5 s later.
type memberChanges struct {
	mu        sync.Mutex
	members   map[string]roster.Member
	settlesAt time.Time
}

// due records the current members and reports whether memberSettleTime has passed since the last change. It
// reports each change once.
func (c *memberChanges) due(now time.Time, current []roster.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.members = make(map[string]roster.Member)
	}
	for _, m := range current {
		old := c.members[m.Node]
		if old.State != m.State || old.Drain != m.Drain || old.Incarnation != m.Incarnation {
			c.settlesAt = now.Add(memberSettleTime)
		}
		c.members[m.Node] = m
	}
	if c.settlesAt.IsZero() || now.Before(c.settlesAt) {
		return false
	}
	c.settlesAt = time.Time{}
	return true
}
