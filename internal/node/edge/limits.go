package edge

import (
	"context"
	"math"
	"slices"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/pace"
	"geraniumhollow/internal/route/quota"
	"geraniumhollow/internal/route/retry"
)

// Fleet sizes for dividing limits among the nodes.
const (
	// minNodes is the fleet size that is assumed while fewer nodes are registered.
	minNodes = 6
	// spareNodes is the number of extra nodes that a limit is divided among, because a node can join before all
	// others know it.
	spareNodes = 2
)

// updateMembers divides the fleet's limits among the registered nodes.
func (n *Node) updateMembers(nodes []string) {
	if slices.Contains(nodes, n.address) {
		n.joinedAt.CompareAndSwap(nil, new(time.Now()))
	}
	n.split.Store(quota.New(n.address, nodes, max(0, minNodes-len(nodes))+spareNodes))
}

// budget returns the retry budget of a service. Its first call also marks the node as having served a caller.
func (n *Node) budget(service string) *retry.Budget {
	n.served.Store(true)
	set := n.settings.Load()
	floor := n.split.Load().FractionalPart(set.RetrySlack)
	// Requests whose servers refuse them need retries at once; attempts beside silent ones can do without.
	speculative := floor
	if !set.FirstStart {
		speculative = retry.StartMinimum(floor, time.Since(n.startedAt))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.budgets[service]
	if !ok {
		b = retry.NewBudgetWith(set.RetryRatio, floor)
		n.budgets[service] = b
	}
	b.Resize(set.RetryRatio, floor, speculative)
	return b
}

// coldAllowance returns how many requests per second this node may send to a cold backend server that can
// handle rate requests per second.
func (n *Node) coldAllowance(server string, rate float64) int {
	if rate <= 0 {
		return math.MaxInt
	}
	set := n.settings.Load()
	state := quota.State{Leaving: n.stopping.Load()}
	if at := n.joinedAt.Load(); at != nil {
		state.JoinedFor = time.Since(*at)
	}
	return n.split.Load().Rate(rate*set.ColdOverage+set.ColdSlack, server, state)
}

// sendingPosition returns the place of this node among those that send to a backend server that names a rate. It has none
// until the other nodes know this one.
func (n *Node) sendingPosition(server string) pace.Position {
	rank, nodes := n.split.Load().Position(server)
	at := n.joinedAt.Load()
	return pace.Position{Rank: rank, Nodes: nodes, Excluded: at == nil || time.Since(*at) < quota.JoinDelay}
}

// rateInterval is the time between notices to other nodes of the rates that backend servers name.
const rateInterval = 50 * time.Millisecond

// shareRates tells other nodes of rates that backend servers name, until ctx ends.
func (n *Node) shareRates(ctx context.Context) error {
	return tasks.Every(ctx, rateInterval, func(context.Context) {
		if due := n.rates.Due(time.Now()); len(due) > 0 {
			n.mesh.ShareRates(due)
		}
	})
}

// limits returns the limits for requests of callers.
func (n *Node) limits() front.Limits {
	t := n.table.Load()
	if t == nil {
		return front.Limits{}
	}
	l := t.Limits()
	return front.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}
