package gate_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/gate"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/wire/frame"
)

var deployment = site.Strygekurv()

// newGate returns a gate with one runner that is warm and has the given limit of requests.
func newGate(warm int, change func(*schema.Document)) (*gate.Gate, *view.View) {
	doc := deployment.Document(site.Addresses{Runners: make([]string, 1)})
	doc.Groups[0].Capacity.WarmRequests = warm
	doc.Limits.QueueTimeoutMs = 100
	if change != nil {
		change(doc)
	}
	v := view.New(1, doc)
	g := gate.New(gate.Config{View: func() *view.View { return v }, Now: time.Now, MaxReportAge: 3 * time.Second})
	g.Observe(frame.LoadDigest{Server: deployment.GroupName(0), State: string(engine.Warm), Open: true})
	return g, v
}

func newWork(id int) relay.RequestInfo {
	return relay.RequestInfo{
		RequestID: strconv.Itoa(id), Account: deployment.AccountName(0), Model: deployment.Model, PromptTokens: 100, MaxTokens: 10,
	}
}

// Guards against queued requests that are not admitted when a slot becomes free, wait past their deadline or
// stay queued after their caller has disconnected, and against refusals without the outcome not_run.
func TestEnter(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(*schema.Document)
		leave  time.Duration // when the first request leaves; 0 is never
		cancel time.Duration // when the caller of the second request disconnects; 0 is never
		want   fault.Code    // "" is admission
	}{
		{name: "a slot becomes free", leave: 20 * time.Millisecond},
		{name: "no free slot within the timeout", want: fault.Overloaded},
		{name: "caller disconnects", cancel: 20 * time.Millisecond, want: fault.Overloaded},
		{name: "rate limit", change: func(d *schema.Document) { d.Accounts[0].RequestsPerSecond = 1 }, want: fault.RateLimited},
		{name: "request larger than memory", change: func(d *schema.Document) { d.Groups[0].Capacity.WarmTokens = 50 }, want: fault.Overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g, v := newGate(1, tt.change)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			leave, err := g.Enter(ctx, v, newWork(1))
			if err == nil && tt.leave > 0 {
				time.AfterFunc(tt.leave, leave)
			}
			if tt.cancel > 0 {
				time.AfterFunc(tt.cancel, cancel)
			}
			_, err = g.Enter(ctx, v, newWork(2))
			if tt.want == "" {
				if err != nil {
					t.Errorf("refused: %v", err)
				}
				return
			}
			if err == nil || err.Code() != tt.want || err.Outcome() != fault.NotRun || err.RetryAfter() == 0 {
				t.Errorf("got %v, want %s with outcome not_run", err, tt.want)
			}
		})
	}
}

// Guards against limits that are not updated when digests change the capacity of a server, for example when
// the cold limits that apply before the first digest stay in use during the first second of a node.
func TestLimitFollowsDigests(t *testing.T) {
	t.Parallel()
	const warm, cold = 6, 2
	g, v := newGate(warm, nil)
	for i, want := range []struct {
		state engine.State
		n     int
	}{{engine.Cold, cold}, {engine.Warm, warm}, {engine.Cold, cold}} {
		g.Observe(frame.LoadDigest{Server: deployment.GroupName(0), State: string(want.state), Open: true})
		var leaveFuncs []func()
		for j := range 2 * warm {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if leave, err := g.Enter(ctx, v, newWork(100*i+j)); err == nil {
				leaveFuncs = append(leaveFuncs, leave)
			}
			cancel()
		}
		if len(leaveFuncs) != want.n {
			t.Errorf("%s: %d requests admitted, want %d", want.state, len(leaveFuncs), want.n)
		}
		for _, leave := range leaveFuncs {
			leave()
		}
	}
}

// Guards against data races, more requests in flight than the limit, and slots that are leaked when callers
// disconnect during admission.
func TestConcurrentUse(t *testing.T) {
	t.Parallel()
	const limit = 4
	g, v := newGate(limit, func(d *schema.Document) { d.Limits.QueueTimeoutMs = 2000 })
	var inFlight, maxInFlight, admitted atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 50 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+(i+j)%7)*time.Millisecond)
				leave, err := g.Enter(ctx, v, newWork(i*1000+j))
				if err == nil {
					n := inFlight.Add(1)
					for m := maxInFlight.Load(); n > m && !maxInFlight.CompareAndSwap(m, n); m = maxInFlight.Load() {
					}
					admitted.Add(1)
					g.Started(deployment.GroupName(0), newWork(i*1000+j))
					time.Sleep(time.Millisecond)
					inFlight.Add(-1)
					leave()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	// The learned limit may exceed the configured one by a quarter.
	if maxInFlight.Load() > limit*5/4 || admitted.Load() == 0 {
		t.Errorf("%d requests at once, %d admitted; want at most %d at once", maxInFlight.Load(), admitted.Load(), limit*5/4)
	}
	reentered := 0
	for i := range limit {
		if _, err := g.Enter(t.Context(), v, newWork(-i-1)); err == nil {
			reentered++
		}
	}
	if reentered != limit {
		t.Errorf("%d of %d slots are free", reentered, limit)
	}
}
