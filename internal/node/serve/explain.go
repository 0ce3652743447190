package serve

import (
	"context"
	"slices"
	"time"

	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/node/calls"
	"geraniumhollow/internal/node/peers"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/node/share"
	"geraniumhollow/internal/report/reason"
	"geraniumhollow/internal/route/retry"
)

// dutyInterval is the time between looks at who holds the shards. A lease lives for 15 s.
const dutyInterval = time.Second

// observer takes what the parts of the request path tell, for metrics, burn and decisions.
type observer struct {
	burns   *burns
	count   counter
	reasons *reason.Ring
	// known reports whether a node is a member of the fleet.
	known func(node string) bool
}

// noted reports whether a request id may be noted. Callers send ids of their own when they resume an
// answer or ask for an outcome, and those could hold any text.
func (o observer) noted(id string) bool {
	node, ok := relay.OriginOf(id)
	return ok && o.known(node)
}

var _ relay.Observer = observer{}

// Finished implements relay.Observer.
func (o observer) Finished(f relay.Finished) { o.burns.finished(f) }

// Attempted implements relay.Observer.
func (o observer) Attempted(a relay.Attempted) {
	o.count.attempted(a)
	var decision reason.Text
	switch {
	case a.Cause == "" && a.Number == 1:
		return
	case a.Cause == "":
		o.attempt(a.RequestID, "answered", "the attempt gave the rest of the answer", a.Server, a.Number, a.Tokens)
		return
	case !a.Again:
		decision = "no further attempt"
	case a.Cause == relay.CauseSlowCaller:
		decision = "resumed when the caller has caught up"
	case a.Cause == relay.CauseRouteClosed:
		decision = "failed over to another backend server"
	case a.Tokens > 0:
		decision = "resumed on another backend server"
	default:
		decision = "retried on another backend server"
	}
	o.attempt(a.RequestID, decision, reason.Text(a.Cause), a.Server, a.Number, a.Tokens)
}

func (o observer) attempt(id string, decision, why reason.Text, server string, number, tokens int) {
	if !o.noted(id) {
		return
	}
	o.reasons.Add(reason.Retry, id, decision, why, reason.Name("backend_server", server),
		reason.Int("attempt", number), reason.Int("tokens", tokens))
}

// retryReasons are the texts of the reasons for which a call is not sent again.
var retryReasons = map[retry.Reason]reason.Text{
	retry.Rejected:   "the backend server refused it as invalid",
	retry.MayHaveRun: "it may have run and may not be repeated",
	retry.CutShort:   "a part of the answer was delivered",
	retry.NoTime:     "the time for the request is over",
	retry.Attempts:   "the most attempts have been made",
	retry.Exhausted:  "the retry budget of the node is used up",
}

// called takes an attempt of a call of a plain service.
func (o observer) called(a calls.Attempted) {
	o.count.called(a)
	decision, why := reason.Text("retried on another backend server"), reason.Text("the backend server did not answer")
	switch {
	case !a.Failed && a.Number == 1:
		return
	case !a.Failed:
		decision, why = "answered", "the attempt was answered"
	case !a.Again:
		decision, why = "no further attempt", retryReasons[a.Reason]
	case a.NotStarted:
		why = "the backend server did not start it"
	}
	o.reasons.Add(reason.Retry, a.RequestID, decision, why, reason.Name("backend_server", a.Server), reason.Int("attempt", a.Number))
}

// ended takes the end of a request. Requests that have no id of a node are only counted.
func (o observer) ended(e caller.Ended) {
	o.count.ended(e)
	if e.Err == nil || !o.noted(e.RequestID) {
		return
	}
	decision := reason.Text("given up")
	if e.Err.Outcome() == fault.NotRun {
		decision = "refused"
	}
	o.reasons.Add(reason.Refusal, e.RequestID, decision, reason.Text(e.Err.Message()),
		reason.Name("code", string(e.Err.Code())), reason.Name("outcome", string(e.Err.Outcome())),
		reason.Millis("after_ms", e.Elapsed), reason.Millis("retry_after_ms", e.Err.RetryAfter()))
}

// member reports whether a node is a member of the fleet, or this one.
func (n *Node) member(node string) bool {
	return node == n.cfg.NodeName || slices.ContainsFunc(n.peers.Status().Members, func(m roster.Member) bool { return m.Node == node })
}

// routeChanged notes why a route is open or closed.
func (n *Node) routeChanged(c share.RouteChange) {
	decision := reason.Text("closed")
	if c.Open {
		decision = "open"
	}
	details := []reason.Detail{reason.Name("duty", share.Duty(c.Server, share.DefaultShards))}
	if c.Host != "" {
		details = append(details, reason.Name("host", c.Host))
	}
	n.reasons.Add(reason.Route, c.Server, decision, reason.Text(c.Reason), details...)
}

// installed notes why a version is in force.
func (n *Node) installed(version uint64, from string) {
	v := reason.Int("version", int(version)) //nolint:gosec // Counts up from 1.
	if from == "" {
		n.reasons.Add(reason.Configuration, n.cfg.NodeName, "in force", "the table has a higher version", v)
		return
	}
	n.reasons.Add(reason.Configuration, n.cfg.NodeName, "in force", "another node has a higher version", v, reason.Name("node", from))
}

// modes are the texts of the reasons for a mode.
var modes = map[watch.Mode]reason.Text{
	watch.Current:   "the version is confirmed and young enough",
	watch.StoreDown: "the table answers nobody, so nothing can be accepted",
	watch.Isolated:  "changes may have been accepted that the node does not know",
}

// modeChanged notes why the node is current, goes on without the store, or is isolated.
func (n *Node) modeChanged(_, to watch.Mode, st peers.Status) {
	n.reasons.Add(reason.Configuration, n.cfg.NodeName, reason.Text(to), modes[to], //nolint:gosec // The version counts up from 1.
		reason.Int("version", int(st.Version)), reason.Millis("age_ms", st.Age),
		reason.Int("heard", st.Heard), reason.Int("size", st.Size))
}

// watchDuties notes which node holds which shard.
func (c *control) watchDuties(ctx context.Context) error {
	t := time.NewTicker(dutyInterval)
	defer t.Stop()
	known := make(map[string]string)
	for {
		for _, d := range share.Duties(share.DefaultShards) {
			holder := c.leases.Holder(d)
			if holder == known[d] {
				continue
			}
			c.noteDuty(d, holder)
			known[d] = holder
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (c *control) noteDuty(duty, holder string) {
	if holder == "" {
		c.node.reasons.Add(reason.Duty, duty, "held by nobody", "the last holder's lease has ended")
		return
	}
	c.node.reasons.Add(reason.Duty, duty, "held", "the table has its row", reason.Name("node", holder))
}
