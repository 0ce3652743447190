package retry_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/retry"
)

// Guards against retrying a request that may have run, and against the outcome not_run without proof.
func TestDecide(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		give retry.Attempt
		want retry.Decision
	}{
		{"proved not started", retry.Attempt{NotStarted: true}, retry.Decision{Retry: true, Outcome: fault.NotRun}},
		{"idempotent", retry.Attempt{Idempotent: true}, retry.Decision{Retry: true, Outcome: fault.Unknown}},
		{"may have run", retry.Attempt{}, retry.Decision{Reason: retry.ReasonMayHaveRun, Outcome: fault.Unknown}},
		{"earlier may have run", retry.Attempt{NotStarted: true, MayHaveRun: true}, retry.Decision{Reason: retry.ReasonMayHaveRun, Outcome: fault.Unknown}},
		{"rejected", retry.Attempt{NotStarted: true, Rejected: true}, retry.Decision{Reason: retry.ReasonRejected, Outcome: fault.NotRun}},
		{"tokens lost", retry.Attempt{Idempotent: true, DeliveredTokens: 1}, retry.Decision{Reason: retry.ReasonCutShort, Outcome: fault.Unknown}},
		{"tokens resumed", retry.Attempt{Idempotent: true, DeliveredTokens: 1, Resumable: true}, retry.Decision{Retry: true, Outcome: fault.Unknown}},
		{"no time", retry.Attempt{NotStarted: true, TimeLeft: -time.Second}, retry.Decision{Reason: retry.ReasonNoTime, Outcome: fault.NotRun}},
		{"attempts used up", retry.Attempt{NotStarted: true, Number: retry.MaxAttempts}, retry.Decision{Reason: retry.ReasonMaxAttempts, Outcome: fault.NotRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if tt.give.TimeLeft == 0 {
				tt.give.TimeLeft = time.Second
			}
			if got := retry.Decide(time.Now(), tt.give, retry.NewBudget()); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against retries that amplify an outage: when every attempt fails, retries must stay within a tenth of
// the requests plus the minimum.
func TestBudget(t *testing.T) {
	t.Parallel()
	b := retry.NewBudget()
	start := time.Unix(1_000_000, 0)
	retries := 0
	const requests = 5000
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.Request(now)
		for b.Take(now) {
			retries++
		}
	}
	if limit := requests/10 + retry.DefaultMinRetries; retries > limit || retries < limit-1 {
		t.Errorf("%d retries of %d requests, want %d", retries, requests, limit)
	}
	for range 10 {
		if v := retry.Decide(start.Add(requests*time.Millisecond), retry.Attempt{NotStarted: true, NotSent: true, TimeLeft: time.Second}, b); !v.Retry {
			t.Errorf("an attempt that was not sent is charged to the empty budget: %+v", v)
		}
	}
	if later := start.Add(time.Minute); !b.Take(later) {
		t.Error("no retry after the window has passed")
	}
}

// Guards against restarted processes that each use the whole minimum of retries again within the time over which they count.
func TestStartMinimum(t *testing.T) {
	t.Parallel()
	for age, want := range map[time.Duration]float64{0: 0, retry.Window / 4: 5, retry.Window: 20, 3 * retry.Window: 20} {
		if got := retry.StartMinimum(20, age); got != want {
			t.Errorf("at an age of %v: got %v, want %v", age, got, want)
		}
	}
}
