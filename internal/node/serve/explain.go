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

// dutyCheckInterval is the time between checks of which node holds each shard. A lease lasts 15 s.
const dutyCheckInterval = time.Second

// observer receives the events of the request path and updates metrics, burn counts and recorded decisions.
type observer struct {
	burnReporter *burnReporter
	metrics      requestMetrics
	reasons      *reason.Ring
	// isMember reports whether a node is a member of the fleet.
	isMember func(node string) bool
}

// recordable reports whether decisions about a request id may be recorded. The id must have been issued by a
// member of the fleet: callers supply ids when they resume an answer or query an outcome, and those can
// contain any text.
func (o observer) recordable(id string) bool {
	node, ok := relay.OriginNode(id)
	return ok && o.isMember(node)
}

var _ relay.Observer = observer{}

// Finished implements relay.Observer.
func (o observer) Finished(f relay.CompletionResult) { o.burnReporter.finished(f) }

// Attempted implements relay.Observer.
func (o observer) Attempted(a relay.AttemptResult) {
	o.metrics.attempted(a)
	var decision reason.Text
	switch {
	case a.Cause == "" && a.Number == 1:
		return
	case a.Cause == "":
		o.recordAttempt(a.RequestID, "answered", "the attempt completed the answer", a.Server, a.Number, a.Tokens)
		return
	case !a.WillRetry:
		decision = "no further attempt"
	case a.Cause == relay.CauseSlowCaller:
		decision = "resumed after the caller caught up"
	case a.Cause == relay.CauseRouteClosed:
		decision = "failed over to another backend server"
	case a.Tokens > 0:
		decision = "resumed on another backend server"
	default:
		decision = "retried on another backend server"
	}
	o.recordAttempt(a.RequestID, decision, reason.Text(a.Cause), a.Server, a.Number, a.Tokens)
}

func (o observer) recordAttempt(id string, decision, why reason.Text, server string, number, tokens int) {
	if !o.recordable(id) {
		return
	}
	o.reasons.Add(reason.Retry, id, decision, why, reason.Name("backend_server", server),
		reason.Int("attempt", number), reason.Int("tokens", tokens))
}

// retryReasons maps each reason for not retrying a call to its description.
var retryReasons = map[retry.Reason]reason.Text{
	retry.ReasonRejected:        "the backend server rejected the request as invalid",
	retry.ReasonMayHaveRun:      "the request may have run and is not safe to repeat",
	retry.ReasonCutShort:        "part of the answer was already delivered",
	retry.ReasonNoTime:          "too little time is left for another attempt",
	retry.ReasonMaxAttempts:     "the limit of attempts was reached",
	retry.ReasonBudgetExhausted: "the retry budget of the node is exhausted",
}

// callAttempted counts one attempt at a call to a plain service and records the retry decision.
func (o observer) callAttempted(a calls.AttemptResult) {
	o.metrics.callAttempted(a)
	decision, why := reason.Text("retried on another backend server"), reason.Text("the backend server did not answer")
	switch {
	case !a.Failed && a.Number == 1:
		return
	case !a.Failed:
		decision, why = "answered", "the attempt was answered"
	case !a.WillRetry:
		decision, why = "no further attempt", retryReasons[a.Reason]
	case a.NotStarted:
		why = "the backend server did not start the request"
	}
	o.reasons.Add(reason.Retry, a.RequestID, decision, why, reason.Name("backend_server", a.Server), reason.Int("attempt", a.Number))
}

// requestEnded counts a finished request and records errors. Requests whose id is not recordable are only
// counted.
func (o observer) requestEnded(e caller.FinishedRequest) {
	o.metrics.requestEnded(e)
	if e.Err == nil || !o.recordable(e.RequestID) {
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

// isMember reports whether a node is a member of the fleet or this node itself.
func (n *Node) isMember(node string) bool {
	return node == n.cfg.NodeName || slices.ContainsFunc(n.peers.Status().Members, func(m roster.Member) bool { return m.Node == node })
}

// routeChanged records why a route was opened or closed.
func (n *Node) routeChanged(c share.RouteChange) {
	decision := reason.Text("closed")
	if c.Open {
		decision = "open"
	}
	details := []reason.Detail{reason.Name("duty", share.ShardDuty(c.Server, share.DefaultShards))}
	if c.Host != "" {
		details = append(details, reason.Name("host", c.Host))
	}
	n.reasons.Add(reason.Route, c.Server, decision, reason.Text(c.Reason), details...)
}

// installed records why a version is in force. The argument from is the node that sent the version, or empty
// if it was read from the table.
func (n *Node) installed(version uint64, from string) {
	v := reason.Int("version", int(version)) //nolint:gosec // Counts up from 1.
	if from == "" {
		n.reasons.Add(reason.Configuration, n.cfg.NodeName, "in force", "the table has a higher version", v)
		return
	}
	n.reasons.Add(reason.Configuration, n.cfg.NodeName, "in force", "another node has a higher version", v, reason.Name("node", from))
}

// modeReasons maps each mode to the description of its reason.
var modeReasons = map[watch.Mode]reason.Text{
	watch.Current:   "the version was confirmed recently enough",
	watch.StoreDown: "no node can reach the table, so no change can be accepted",
	watch.Isolated:  "changes may have been accepted that the node does not know",
}

// modeChanged records why the node is current, continues without the store, or is isolated.
func (n *Node) modeChanged(_, to watch.Mode, st peers.Status) {
	n.reasons.Add(reason.Configuration, n.cfg.NodeName, reason.Text(to), modeReasons[to], //nolint:gosec // The version counts up from 1.
		reason.Int("version", int(st.Version)), reason.Millis("age_ms", st.Age),
		reason.Int("heard", st.Heard), reason.Int("size", st.Size))
}

// watchDuties records each change of a shard's holder until ctx ends.
func (c *coordinator) watchDuties(ctx context.Context) error {
	t := time.NewTicker(dutyCheckInterval)
	defer t.Stop()
	holders := make(map[string]string)
	for {
		for _, d := range share.Duties(share.DefaultShards) {
			holder := c.leases.Holder(d)
			if holder == holders[d] {
				continue
			}
			c.recordDuty(d, holder)
			holders[d] = holder
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (c *coordinator) recordDuty(duty, holder string) {
	if holder == "" {
		c.node.reasons.Add(reason.Duty, duty, "held by nobody", "the lease of the previous holder has ended")
		return
	}
	c.node.reasons.Add(reason.Duty, duty, "held", "the table lists the node as the holder", reason.Name("node", holder))
}
