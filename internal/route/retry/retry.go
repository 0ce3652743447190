// Package retry decides whether a failed attempt is followed by another one, and bounds the share of
// retries so that they never multiply an outage.
package retry

import (
	"cmp"
	"time"

	"geraniumhollow/internal/core/fault"
)

// Defaults of the rules.
const (
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	// minLeft is the time below which another attempt could only end in a timeout.
	minLeft = 10 * time.Millisecond
)

// Attempt is what is known after an attempt that failed.
type Attempt struct {
	// Number counts the attempts of the request so far, this one included.
	Number int
	// MaxAttempts bounds the attempts of the request; 0 is the default.
	MaxAttempts int
	// NotStarted is proof that no backend server started this attempt.
	NotStarted bool
	// MayHaveRun is set when an earlier attempt of the request may have run.
	MayHaveRun bool
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// Rejected means that the backend server refused the request as invalid; others would too.
	Rejected bool
	// Delivered counts the tokens that the caller has received.
	Delivered int
	// Resumable means that another attempt can continue after the delivered tokens.
	Resumable bool
	// Left is the time until the deadline of the request.
	Left time.Duration
}

// Reason says why an attempt is not followed by another one.
type Reason string

// Reasons of a refusal. None is the reason of a retry.
const (
	None       Reason = ""
	Rejected   Reason = "rejected"
	MayHaveRun Reason = "may_have_run"
	CutShort   Reason = "cut_short"
	NoTime     Reason = "no_time"
	Attempts   Reason = "attempts"
	Exhausted  Reason = "retry_budget"
)

// Verdict is whether to retry, and otherwise what the caller is told.
type Verdict struct {
	Retry   bool
	Reason  Reason
	Outcome fault.Outcome
}

// Decide returns what follows a failed attempt. It takes from the budget only for a retry.
func Decide(now time.Time, a Attempt, b *Budget) Verdict {
	if r := forbidden(a); r != None {
		return Verdict{Reason: r, Outcome: outcome(a)}
	}
	if !b.Take(now) {
		return Verdict{Reason: Exhausted, Outcome: outcome(a)}
	}
	return Verdict{Retry: true, Outcome: outcome(a)}
}

// forbidden returns the reason for which the attempt must not be followed by another one.
func forbidden(a Attempt) Reason {
	started := !a.NotStarted || a.MayHaveRun
	switch {
	case a.Rejected:
		return Rejected
	case started && !a.Idempotent:
		return MayHaveRun
	case a.Delivered > 0 && !a.Resumable:
		return CutShort
	case a.Left < minLeft:
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
