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

// newGate returns a gate before one runner that bears warm requests.
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

func work(id int) relay.Work {
	return relay.Work{
		RequestID: strconv.Itoa(id), Account: deployment.AccountName(0), Model: deployment.Model, PromptTokens: 100, MaxTokens: 10,
	}
}

// Guards against waiting requests that are not let in when a place is free, wait past their deadline,
// or outlive their caller, and against refusals without the outcome not_run.
func TestEnter(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(*schema.Document)
		leave  time.Duration // when the first request leaves; 0 is never
		cancel time.Duration // when the caller of the second leaves; 0 is never
		want   fault.Code    // "" is admission
	}{
		{name: "a place comes free", leave: 20 * time.Millisecond},
		{name: "no place in time", want: fault.Overloaded},
		{name: "caller leaves", cancel: 20 * time.Millisecond, want: fault.Overloaded},
		{name: "rate limit", change: func(d *schema.Document) { d.Accounts[0].RequestsPerSecond = 1 }, want: fault.RateLimited},
		{name: "request larger than memory", change: func(d *schema.Document) { d.Groups[0].Capacity.WarmTokens = 50 }, want: fault.Overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g, v := newGate(1, tt.change)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			leave, err := g.Enter(ctx, v, work(1))
			if err == nil && tt.leave > 0 {
				time.AfterFunc(tt.leave, leave)
			}
			if tt.cancel > 0 {
				time.AfterFunc(tt.cancel, cancel)
			}
			_, err = g.Enter(ctx, v, work(2))
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

// Guards against a limit that stays at what servers bore before their digests changed, such as the cold
// limits of the first second of a node.
func TestLimitFollowsDigests(t *testing.T) {
	t.Parallel()
	const warm, cold = 6, 2
	g, v := newGate(warm, nil)
	for i, want := range []struct {
		state engine.State
		n     int
	}{{engine.Cold, cold}, {engine.Warm, warm}, {engine.Cold, cold}} {
		g.Observe(frame.LoadDigest{Server: deployment.GroupName(0), State: string(want.state), Open: true})
		var leaves []func()
		for j := range 2 * warm {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if leave, err := g.Enter(ctx, v, work(100*i+j)); err == nil {
				leaves = append(leaves, leave)
			}
			cancel()
		}
		if len(leaves) != want.n {
			t.Errorf("%s: %d requests admitted, want %d", want.state, len(leaves), want.n)
		}
		for _, leave := range leaves {
			leave()
		}
	}
}

// Guards against data races, more requests in flight than the limit, and places that are lost when
// callers leave while they are admitted.
func TestConcurrentUse(t *testing.T) {
	t.Parallel()
	const limit = 4
	g, v := newGate(limit, func(d *schema.Document) { d.Limits.QueueTimeoutMs = 2000 })
	var inFlight, most, admitted atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 50 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+(i+j)%7)*time.Millisecond)
				leave, err := g.Enter(ctx, v, work(i*1000+j))
				if err == nil {
					n := inFlight.Add(1)
					for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
					}
					admitted.Add(1)
					g.Started(deployment.GroupName(0), work(i*1000+j))
					time.Sleep(time.Millisecond)
					inFlight.Add(-1)
					leave()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	// The learned limit may rise by a quarter.
	if most.Load() > limit*5/4 || admitted.Load() == 0 {
		t.Errorf("%d requests at once, %d admitted; want at most %d at once", most.Load(), admitted.Load(), limit*5/4)
	}
	leaves := 0
	for i := range limit {
		if _, err := g.Enter(t.Context(), v, work(-i-1)); err == nil {
			leaves++
		}
	}
	if leaves != limit {
		t.Errorf("%d of %d places are left", leaves, limit)
	}
}
