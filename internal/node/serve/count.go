package serve

import (
	"context"
	"net/http"
	"sync/atomic"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/node/calls"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/node/share"
	"geraniumhollow/internal/report/metric"
	"github.com/cockroachdb/errors"
)

// requestMetrics updates the Prometheus metrics of requests and attempts.
type requestMetrics struct {
	set *metric.Set
}

// requestEnded counts a caller's request. An error with the outcome not_run counts as a refusal.
func (m requestMetrics) requestEnded(e caller.FinishedRequest) {
	if e.Err == nil {
		m.set.RequestEnded("", e.Elapsed)
		return
	}
	m.set.RequestEnded(e.Err.Code(), e.Elapsed)
	if e.Err.Outcome() == fault.NotRun {
		m.set.Refused(e.Err.Code())
	}
}

// attempted counts one attempt at a completion.
func (m requestMetrics) attempted(a relay.AttemptResult) {
	var result string
	switch a.Cause {
	case "":
		result = "answered"
	case relay.CauseNotStarted, relay.CauseBroken, relay.CauseStalled, relay.CauseRejected:
		result = "failed"
	case relay.CauseSlowCaller, relay.CauseRouteClosed, relay.CauseEnded:
		result = "cancelled"
	case relay.CauseNoAnswer:
		result = "unknown"
	}
	m.attemptEnded(result, a.Number)
}

// callAttempted counts one attempt at a call to a plain service.
func (m requestMetrics) callAttempted(a calls.AttemptResult) {
	result := "answered"
	switch {
	case a.NotStarted:
		result = "failed"
	case a.Failed:
		result = "unknown"
	}
	m.attemptEnded(result, a.Number)
}

func (m requestMetrics) attemptEnded(result string, number int) {
	m.set.AttemptEnded(result)
	if number > 1 {
		m.set.Retried()
	}
}

// countingGranter counts the grants of shared budgets that it passes on to the next granter.
type countingGranter struct {
	next relay.Granter
	set  *metric.Set
	held atomic.Int64
}

var _ relay.Granter = (*countingGranter)(nil)

// Acquire implements relay.Granter.
func (g *countingGranter) Acquire(ctx context.Context, s view.Server, tokens int) (relay.Grant, error) {
	grant, err := g.next.Acquire(ctx, s, tokens)
	g.set.Grant(grantResult(err))
	if err == nil {
		g.held.Add(1)
	}
	return grant, err //nolint:wrapcheck // Adds nothing.
}

// Release implements relay.Granter.
func (g *countingGranter) Release(grant relay.Grant, r relay.Result) {
	g.set.Grant("released")
	g.held.Add(-1)
	g.next.Release(grant, r)
}

func grantResult(err error) string {
	switch {
	case err == nil:
		return "granted"
	case errors.Is(err, share.ErrBusy):
		return "busy"
	case errors.Is(err, share.ErrClosed):
		return "closed"
	case errors.Is(err, share.ErrWaiting):
		return "waiting"
	case errors.Is(err, share.ErrNoOwner):
		return "no_owner"
	default:
		return "unknown"
	}
}

// metricsPage returns the handler that Prometheus scrapes. Gauges are updated on each scrape; counters are
// updated as events occur.
func (n *Node) metricsPage(coord *coordinator, rl *relay.Relay) http.Handler {
	page := n.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		st := n.peers.Status()
		n.metrics.Configuration(st.Version, st.Age, string(st.Mode))
		peers := make(map[string]int)
		for _, m := range st.Members {
			if m.Node != n.cfg.NodeName {
				peers[string(m.State)]++
			}
		}
		n.metrics.Peers(peers)
		n.metrics.Queue(coord.gate.Waiting())
		n.metrics.Buffered(rl.BufferedBytes())
		n.metrics.GrantsHeld(int(coord.grants.held.Load()))
		page.ServeHTTP(w, r)
	})
}
