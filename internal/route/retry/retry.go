// Package retry decides whether a failed attempt is retried, and limits the ratio of retries so that they never
// amplify an outage.
package retry

import (
	"cmp"
	"time"

	"geraniumhollow/internal/core/fault"
)

// Defaults of the retry rules.
const (
	// MaxAttempts is the default maximum number of attempts per request.
	MaxAttempts = 4
	// minTimeLeft is the time below which another attempt could only end in a timeout.
	minTimeLeft = 10 * time.Millisecond
)

// Attempt describes a failed attempt and its request.
type Attempt struct {
	// Number is the number of attempts of the request so far, including this one.
	Number int
	// MaxAttempts is the maximum number of attempts of the request; 0 means the default.
	MaxAttempts int
	// NotStarted is set if it is proven that no backend server started this attempt.
	NotStarted bool
	// NotSent is set if no byte of this attempt was sent. The next attempt then adds no load and takes nothing from the
	// budget. The caller must not choose the same backend server again.
	NotSent bool
	// MayHaveRun is set if an earlier attempt of the request may have run.
	MayHaveRun bool
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Rejected is set if the backend server refused the request as invalid. Other backend servers would refuse
	// it too.
	Rejected bool
	// DeliveredTokens is the number of tokens that the caller has received.
	DeliveredTokens int
	// Resumable is set if another attempt can continue after the delivered tokens.
	Resumable bool
	// Speculative is set if the attempt has not failed: its server may still answer.
	Speculative bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Reason is why an attempt is not retried.
type Reason string

// Reasons for not retrying. ReasonNone is the reason of a retry.
const (
	ReasonNone            Reason = ""
	ReasonRejected        Reason = "rejected"
	ReasonMayHaveRun      Reason = "may_have_run"
	ReasonCutShort        Reason = "cut_short"
	ReasonNoTime          Reason = "no_time"
	ReasonMaxAttempts     Reason = "attempts"
	ReasonBudgetExhausted Reason = "retry_budget"
)

// Decision says whether to retry. Outcome is reported to the caller if there is no retry.
type Decision struct {
	Retry   bool
	Reason  Reason
	Outcome fault.Outcome
}

// Decide returns whether to retry a failed attempt. It takes from the budget only if every other rule allows a
// retry.
func Decide(now time.Time, a Attempt, b *Budget) Decision {
	if r := refusalReason(a); r != ReasonNone {
		return Decision{Reason: r, Outcome: outcome(a)}
	}
	if !a.NotSent && !b.take(now, a.Speculative) {
		return Decision{Reason: ReasonBudgetExhausted, Outcome: outcome(a)}
	}
	return Decision{Retry: true, Outcome: outcome(a)}
}

// refusalReason returns the rule that forbids a retry regardless of the budget, or ReasonNone.
func refusalReason(a Attempt) Reason {
	started := !a.NotStarted || a.MayHaveRun
	switch {
	case a.Rejected:
		return ReasonRejected
	case started && !a.Idempotent:
		return ReasonMayHaveRun
	case a.DeliveredTokens > 0 && !a.Resumable:
		return ReasonCutShort
	case a.TimeLeft < minTimeLeft:
		return ReasonNoTime
	case a.Number >= cmp.Or(a.MaxAttempts, MaxAttempts):
		return ReasonMaxAttempts
	default:
		return ReasonNone
	}
}

func outcome(a Attempt) fault.Outcome {
	if a.NotStarted && !a.MayHaveRun && a.DeliveredTokens == 0 {
		return fault.NotRun
	}
	return fault.Unknown
}
