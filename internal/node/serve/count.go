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

// counter counts for Prometheus what requests and attempts did.
type counter struct {
	set *metric.Set
}

// ended counts a request of a caller. An error with outcome not_run is a refusal.
func (c counter) ended(e caller.Ended) {
	if e.Err == nil {
		c.set.RequestEnded("", e.Elapsed)
		return
	}
	c.set.RequestEnded(e.Err.Code(), e.Elapsed)
	if e.Err.Outcome() == fault.NotRun {
		c.set.Refused(e.Err.Code())
	}
}

// attempted counts an attempt of a completion.
func (c counter) attempted(a relay.Attempted) {
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
	c.attempt(result, a.Number)
}

// called counts an attempt of a call of a plain service.
func (c counter) called(a calls.Attempted) {
	result := "answered"
	switch {
	case a.NotStarted:
		result = "failed"
	case a.Failed:
		result = "unknown"
	}
	c.attempt(result, a.Number)
}

func (c counter) attempt(result string, number int) {
	c.set.AttemptEnded(result)
	if number > 1 {
		c.set.Retried()
	}
}

// grants counts the grants of shared budgets.
type grants struct {
	next relay.Granter
	set  *metric.Set
	held atomic.Int64
}

var _ relay.Granter = (*grants)(nil)

// Acquire implements relay.Granter.
func (g *grants) Acquire(ctx context.Context, s view.Server, tokens int) (relay.Grant, error) {
	grant, err := g.next.Acquire(ctx, s, tokens)
	g.set.Grant(grantResult(err))
	if err == nil {
		g.held.Add(1)
	}
	return grant, err //nolint:wrapcheck // Adds nothing.
}

// Release implements relay.Granter.
func (g *grants) Release(grant relay.Grant, r relay.Result) {
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

// metricsPage returns the page that Prometheus reads. What is a state rather than an event is looked up
// when the page is read.
func (n *Node) metricsPage(ctl *control, rl *relay.Relay) http.Handler {
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
		n.metrics.Queue(ctl.gate.Waiting())
		n.metrics.Buffered(rl.BufferedBytes())
		n.metrics.GrantsHeld(int(ctl.grants.held.Load()))
		page.ServeHTTP(w, r)
	})
}
