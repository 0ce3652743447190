package pass

import (
	"context"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Reasons for which an answer ends before it is complete, besides those of package retry.
const (
	cutCallerLeft  = "caller_left"
	cutCallerWrite = "caller_write"
	cutNodeEnds    = "node_ends"
	cutTimeUp      = "time_up"
	cutNoServer    = "no_server"
	cutQuarantined = "quarantined"
	cutIsolated    = "isolated"
)

// abortReason returns why an attempt ended the answer to the caller.
func abortReason(err error) string {
	if errors.Is(err, errCallerWrite) {
		return cutCallerWrite
	}
	return string(retry.ReasonCutShort)
}

// refusalReason returns why no attempt was made.
func refusalReason(ferr *fault.Error) string {
	switch ferr.Code() {
	case fault.PromptQuarantined:
		return cutQuarantined
	case fault.NodeIsolated, fault.NodeDraining:
		return cutIsolated
	default:
		return cutNoServer
	}
}

// logCut logs and counts an answer that ends before it is complete. reason is why nothing follows, unless the end of the request
// explains it.
func (s *callState) logCut(ctx context.Context, reason string, cause error) {
	left := time.Until(s.call.Deadline)
	level := hclog.Warn
	switch end := context.Cause(ctx); {
	case errors.Is(end, front.ErrCallerDisconnected):
		reason, level = cutCallerLeft, hclog.Info
	case left <= 0:
		reason, level = cutTimeUp, hclog.Info
	case end != nil:
		reason = cutNodeEnds
	}
	current := uint64(0)
	if t := s.relay.deps.Table(); t != nil {
		current = t.Version()
	}
	if s.call.hop == nil { // The node that passed a call on counts it.
		s.relay.deps.Metrics.AnswerCut(reason)
	}
	s.relay.deps.Log.Log(level, "cut an answer", "request", s.call.ID, "route", s.call.Route.Name, "reason", reason,
		"attempts", s.attempts, "server", s.last.server, "group", s.last.group, "last_outcome", s.last.outcome, "last_error", s.last.err,
		"server_at_work", s.last.outcome == Stalled || s.last.outcome == Cancelled, "events", s.events.count,
		"ms", time.Since(s.call.Arrived).Milliseconds(), "left_ms", left.Milliseconds(), "stopping", s.w.Stopping(), "forwarded", s.call.hop != nil,
		"config_at_start", s.call.config, "config", current, "error", cause)
}
