package edge

import (
	"math"

	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/retry"
)

// Sizes of the fleet for limits that its nodes share.
const (
	// minNodes is the size that is assumed while fewer nodes are registered.
	minNodes = 6
	// spareNodes is how many nodes more than are registered may share a limit: some join before all others
	// know.
	spareNodes = 2
)

// nodes returns the number of nodes that share the limits of the fleet.
func (n *Node) nodes() int { return max(minNodes, n.mesh.Size()) + spareNodes }

// budget returns the budget of attempts beyond the first at a service.
func (n *Node) budget(service string) *retry.Budget {
	n.served.Store(true)
	set := n.settings.Load()
	floor := set.RetrySlack / float64(n.nodes())
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.budgets[service]
	if !ok {
		b = retry.NewBudgetOf(set.RetryRatio, floor)
		n.budgets[service] = b
	}
	b.Resize(set.RetryRatio, floor)
	return b
}

// coldAllowance returns how many requests a second this node may send to a cold backend server.
func (n *Node) coldAllowance(rate float64) int {
	if rate <= 0 {
		return math.MaxInt
	}
	set := n.settings.Load()
	return int((rate*set.ColdOverage + set.ColdSlack) / float64(n.nodes()))
}

// limits returns what callers may send.
func (n *Node) limits() front.Limits {
	t := n.table.Load()
	if t == nil {
		return front.Limits{}
	}
	l := t.Limits()
	return front.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}
