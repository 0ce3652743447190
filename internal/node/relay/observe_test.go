package relay_test

import (
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// observer records all notifications.
type observer struct {
	mu        sync.Mutex
	finished  []relay.CompletionResult
	attempted []relay.AttemptResult
}

func (o *observer) Finished(f relay.CompletionResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finished = append(o.finished, f)
}

func (o *observer) Attempted(a relay.AttemptResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempted = append(o.attempted, a)
}

// waitForOne waits for the end of a request and fails the test if more than one has been reported.
func (o *observer) waitForOne(t *testing.T) relay.CompletionResult {
	t.Helper()
	waitFor(t, "the end of the request", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.finished) > 0
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.finished) != 1 {
		t.Fatalf("got %d notifications for one request", len(o.finished))
	}
	return o.finished[0]
}

// Guards against burn rates computed from a wrong outcome, data centre or time, and against a request that
// is counted twice or not at all.
func TestObserver(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		faults     model.Faults
		model      string
		disconnect bool
		code       fault.Code
		ran        bool
		// causes holds the causes of the attempts in order.
		causes []relay.Cause
	}{
		"complete answer":  {ran: true, causes: []relay.Cause{""}},
		"after a failover": {faults: model.Faults{CutAfterTokens: 10}, ran: true, causes: []relay.Cause{relay.CauseBroken, ""}},
		"not started":      {faults: model.Faults{Refuse: true}, ran: true, causes: []relay.Cause{relay.CauseNotStarted, ""}},
		"no response":      {faults: model.Faults{Fail: true}, ran: true, causes: []relay.Cause{relay.CauseNoAnswer, ""}},
		"stalled":          {faults: model.Faults{StallAfterTokens: 5}, ran: true, causes: []relay.Cause{relay.CauseStalled, ""}},
		"refused":          {model: "absent", code: fault.NoBackend},
		"disconnect":       {disconnect: true, code: fault.OutcomeUnknown, ran: true, causes: []relay.Cause{relay.CauseEnded}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := &observer{}
			b := newTestEnv(t, 2, tt.faults, schema.Limits{QueueTimeoutMs: 50}, relay.Deps{Observer: o})
			c := b.completion(answerTokens)
			if tt.disconnect {
				// Long enough that the caller disconnects before the engine finishes.
				c.MaxTokens = 5000
			}
			if tt.model != "" {
				c.Model = tt.model
			}
			_ = b.relay.Complete(t.Context(), c, func(stream.Frame) error {
				if tt.disconnect {
					return errors.New("disconnected")
				}
				return nil
			})
			f := o.waitForOne(t)
			if f.RequestID != c.ID || f.Code != tt.code || f.CallerDisconnected != tt.disconnect || (f.DataCentre != "") != tt.ran {
				t.Errorf("got %+v", f)
			}
			causes := make([]relay.Cause, 0, len(o.attempted))
			for i, a := range o.attempted {
				causes = append(causes, a.Cause)
				if a.Number != i+1 || a.WillRetry != (i+1 < len(o.attempted)) {
					t.Errorf("got %+v", a)
				}
			}
			if !slices.Equal(causes, tt.causes) {
				t.Errorf("got causes %q, want %q", causes, tt.causes)
			}
			if tt.code == "" && (f.FirstToken <= 0 || f.FirstToken > f.Elapsed || f.BetweenTokens <= 0) {
				t.Errorf("got times %v, %v of %v", f.FirstToken, f.BetweenTokens, f.Elapsed)
			}
		})
	}
}

// Guards against a percentile that is off by more than one bucket and so misjudges an objective.
func TestPercentile(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		gaps []time.Duration
		want time.Duration
	}{
		"one":        {gaps: repeat(time.Second, 1), want: time.Second},
		"even":       {gaps: repeat(36*time.Millisecond, 100), want: 36 * time.Millisecond},
		"rare pause": {gaps: append(repeat(20*time.Millisecond, 96), repeat(time.Second, 4)...), want: 20 * time.Millisecond},
		"pauses":     {gaps: append(repeat(20*time.Millisecond, 94), repeat(time.Second, 6)...), want: time.Second},
		"hour":       {gaps: repeat(time.Hour, 3), want: 32 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := relay.Percentile(tt.gaps)
			if off := math.Abs(float64(got-tt.want)) / float64(tt.want); off > 1./16 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}
