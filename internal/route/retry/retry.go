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
	// MayHaveRun is set if an earlier attempt of the request may have run.
	MayHaveRun bool
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Rejected is set if the backend server refused the request as invalid. Other backend servers would refuse
	// it too.
	Rejected bool
	// Delivered is the number of tokens that the caller has received.
	Delivered int
	// Resumable is set if another attempt can continue after the delivered tokens.
	Resumable bool
	// Left is the time until the request's deadline.
	Left time.Duration
}

// Reason is why an attempt is not retried.
type Reason string

// Reasons for not retrying. None is the reason of a retry.
const (
	None       Reason = ""
	Rejected   Reason = "rejected"
	MayHaveRun Reason = "may_have_run"
	CutShort   Reason = "cut_short"
	NoTime     Reason = "no_time"
	Attempts   Reason = "attempts"
	Exhausted  Reason = "retry_budget"
)

// Verdict says whether to retry. Outcome is reported to the caller if there is no retry.
type Verdict struct {
	Retry   bool
	Reason  Reason
	Outcome fault.Outcome
}

// Decide returns whether to retry a failed attempt. It takes from the budget only if every other rule allows a
// retry.
func Decide(now time.Time, a Attempt, b *Budget) Verdict {
	if r := refusalReason(a); r != None {
		return Verdict{Reason: r, Outcome: outcome(a)}
	}
	if !b.Take(now) {
		return Verdict{Reason: Exhausted, Outcome: outcome(a)}
	}
	return Verdict{Retry: true, Outcome: outcome(a)}
}

// refusalReason returns the rule that forbids a retry regardless of the budget, or None.
func refusalReason(a Attempt) Reason {
	started := !a.NotStarted || a.MayHaveRun
	switch {
	case a.Rejected:
		return Rejected
	case started && !a.Idempotent:
		return MayHaveRun
	case a.Delivered > 0 && !a.Resumable:
		return CutShort
	case a.Left < minTimeLeft:
		return NoTime
	case a.Number >= cmp.Or(a.MaxAttempts, MaxAttempts):
		return Attempts
	default:
		return None
	}
}

func outcome(a Attempt) fault.Outcome {
	if a.NotStarted && !a.MayHaveRun && a.Delivered == 0 {
		return fault.NotRun
	}
	return fault.Unknown
}
