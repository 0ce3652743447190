package queue

import "time"

// Reason is why a request is refused.
type Reason string

// Reasons for refusals.
const (
	// BelowThreshold means that the requests that are admitted first take all capacity.
	BelowThreshold Reason = "threshold"
	// WaitTooLong means that the requests ahead would make this one late.
	WaitTooLong Reason = "wait"
	// Expired means that the request has waited until it could no longer be on time.
	Expired Reason = "expired"
	// Full means that the queue holds MaxWaiting requests.
	Full Reason = "full"
)

// Refusal is a refused request.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Bounds of the retry time of a refusal. The upper one is well below usual deadlines.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
)

// refuse returns the refusal of a request. Its retry time is the expected time until the fleet admits requests of its priority,
// with jitter so that callers do not all return at once.
func (q *Queue) refuse(now time.Time, w *waiting, reason Reason) *Refusal {
	q.remember(now, w.Fingerprint)
	s := q.meter.state(now)
	wait := s.recovery(w.Priority)
	if rate := s.rateFor(w.Priority); rate > minRate {
		wait = max(wait, float64(q.ahead(w)+1)/rate)
	}
	wait *= 0.75 + 0.75*q.rnd.Float64()
	after := min(max(seconds(min(wait, 60)), minRetryAfter), maxRetryAfter)
	if after == minRetryAfter || after == maxRetryAfter {
		after += time.Duration(q.rnd.Float64() * 0.25 * float64(after))
	}
	return &Refusal{ID: w.ID, Reason: reason, RetryAfter: after}
}

// repeats reports whether a request was counted in the demand less than minRetryAfter ago and refused since. Otherwise, callers that
// return at once would raise the demand, and so this node's share of the capacity, at the expense of others.
func (q *Queue) repeats(now time.Time, fingerprint uint64) bool {
	at, ok := q.refusedAt[fingerprint]
	return ok && now.Sub(at) < minRetryAfter
}

// remember records that a request was counted in the demand and is refused.
func (q *Queue) remember(now time.Time, fingerprint uint64) {
	if q.repeats(now, fingerprint) {
		return
	}
	if len(q.refusedAt) >= maxRefused {
		for f, at := range q.refusedAt {
			if now.Sub(at) >= minRetryAfter {
				delete(q.refusedAt, f)
			}
		}
		if len(q.refusedAt) >= maxRefused {
			clear(q.refusedAt)
		}
	}
	q.refusedAt[fingerprint] = now
}

// maxRefused bounds the refused requests that are remembered.
const maxRefused = 2048
