package seat_test

import (
	"context"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/node/seat"
	"geraniumhollow/internal/route/pace"
)

// mustPick picks a server for a call and fails the test if the call is refused.
func (b *testBed) mustPick(ctx context.Context, t *testing.T) pass.Reservation {
	t.Helper()
	s, _, refusal := b.pick(ctx)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return s
}

// serveCalls serves n calls and returns the number of calls per server.
func (b *testBed) serveCalls(ctx context.Context, t *testing.T, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		s := b.mustPick(ctx, t)
		out[s.Entry().ID]++
		s.Release(pass.Served)
	}
	return out
}

// Guards against new requests to a server that has announced in a response that it is draining while the registry still
// lists it as ready: after a change of its group, and after its entry has expired and returned during an outage of the
// store.
func TestDrainingServer(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(engine(), 1)
		b.put("a")
		s := b.mustPick(ctx, t)
		b.put("b")
		s.HeadersReceived(pass.ResponseInfo{Draining: true})
		s.Release(pass.Served)
		if got := b.serveCalls(ctx, t, 20)["a"]; got > 0 {
			t.Errorf("%d requests went to a draining server", got)
		}
		again := server.Info{
			ID: "a", Service: "svc", Address: "127.0.0.1:1", Domain: "d", Slots: 8, StartedAt: time.Unix(1, 0), Model: "m",
			Member: server.Member{Group: "g-a", Epoch: 2, State: server.Open},
		}
		b.index.Apply(time.Now(), index.Change{Removed: []string{"a"}})
		time.Sleep(5 * time.Second)
		b.index.Apply(time.Now(), index.Change{Put: []server.Info{again}})
		if got := b.serveCalls(ctx, t, 20)["a"]; got > 0 {
			t.Errorf("%d requests went to a draining server in a new group", got)
		}
		again.StartedAt = time.Unix(2, 0)
		b.index.Apply(time.Now(), index.Change{Put: []server.Info{again}, Removed: []string{"b"}})
		if got := b.serveCalls(ctx, t, 1)["a"]; got != 1 {
			t.Error("another process with the same ID gets no requests")
		}
	})
}

// Guards against requests to a server that has refused one with a Retry-After before that time has passed, also if a later
// refusal has a shorter one, and against calls that wait for such a server although it becomes available too late.
func TestRetryAfterOfServer(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(engine(), 1)
		b.put("a")
		s := b.mustPick(ctx, t)
		s.HeadersReceived(pass.ResponseInfo{NotStarted: true, RetryAfter: time.Second})
		s.HeadersReceived(pass.ResponseInfo{NotStarted: true, RetryAfter: time.Second / 10})
		s.Release(pass.NotRun)
		begun := time.Now()
		_, _, refusal := b.pick(ctx)
		if refusal == nil || time.Since(begun) > 0 || refusal.RetryAfter() != time.Second {
			t.Errorf("refusal %v after %v with Retry-After %v; want one at once with 1 s", refusal, time.Since(begun), refusal.RetryAfter())
		}
		b.put("b")
		if got := b.serveCalls(ctx, t, 20)["a"]; got > 0 {
			t.Errorf("%d requests within the Retry-After", got)
		}
		time.Sleep(time.Second)
		if got := b.serveCalls(ctx, t, 20)["a"]; got == 0 {
			t.Error("no request after the Retry-After has passed")
		}
	})
}

// Guards against a server that names a rate and gets hardly any requests because there are many others, and against one that gets
// more than that.
func TestServerWithRate(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		const perSecond, seconds = 2, 10
		b := newTestBed(engine(), 1)
		b.put("a")
		s := b.mustPick(ctx, t)
		s.HeadersReceived(pass.ResponseInfo{RateLimit: perSecond, HasRateLimit: true})
		s.Release(pass.Served)
		for i := range 40 {
			b.put(string(rune('A' + i)))
		}
		n := 0
		for range 10 * seconds {
			time.Sleep(time.Second / 10)
			s := b.mustPick(ctx, t)
			info := pass.ResponseInfo{}
			if s.Entry().ID == "a" {
				n++
				info = pass.ResponseInfo{RateLimit: perSecond, HasRateLimit: true}
			}
			s.HeadersReceived(info)
			s.Release(pass.Served)
		}
		if n < 0.8*perSecond*seconds || n > perSecond*seconds+1 {
			t.Errorf("%d requests in %d s went to a server that takes %d a second", n, seconds, perSecond)
		}
	})
}

// Guards against nodes that all choose a server when it no longer names a rate, because they know nothing of its load.
func TestEndOfRate(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		const nodes = 20
		b := newTestBed(engine(), nodes)
		b.put("a", "b", "c", "d", "e")
		busy := pass.ResponseInfo{Load: pass.Load{Running: 5, Slots: 8}, HasLoad: true}
		process := pace.Server{ID: "a", StartedAt: time.Unix(1, 0).UnixMilli()}
		pickers := make([]*seat.Picker, nodes)
		for i := range pickers {
			pickers[i] = b.newSeats(uint64(i))
		}
		b.rates.Observe(time.Now(), process, 0, true)
		for range 100 {
			for _, p := range pickers {
				b.seats = p
				s := b.mustPick(ctx, t)
				if s.Entry().ID != "a" {
					s.HeadersReceived(busy)
				}
				s.Release(pass.Served)
			}
			time.Sleep(50 * time.Millisecond)
		}
		b.rates.Observe(time.Now(), process, 0, false)
		n := 0
		for _, p := range pickers {
			b.seats = p
			if b.mustPick(ctx, t).Entry().ID == "a" {
				n++
			}
		}
		if n > nodes/2 {
			t.Errorf("%d of %d nodes chose the server when its rate ended", n, nodes)
		}
	})
}

// Guards against a server that gets no requests after the end of its rate because it counts as busier than idle ones.
func TestEndOfRateWhileIdle(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(engine(), 1)
		b.put("a", "b")
		b.rates.Observe(time.Now(), pace.Server{ID: "a", StartedAt: time.Unix(1, 0).UnixMilli()}, 0, true)
		serve := func() string {
			time.Sleep(50 * time.Millisecond)
			s := b.mustPick(ctx, t)
			defer s.Release(pass.Served)
			if s.Entry().ID != "a" {
				s.HeadersReceived(pass.ResponseInfo{Load: pass.Load{Running: 1, Slots: 8}, HasLoad: true})
			}
			return s.Entry().ID
		}
		for range 100 {
			serve()
		}
		b.rates.Observe(time.Now(), pace.Server{ID: "a", StartedAt: time.Unix(1, 0).UnixMilli()}, 0, false)
		n := 0
		for range 40 {
			if serve() == "a" {
				n++
			}
		}
		if n < 10 {
			t.Errorf("%d of 40 requests went to the server after the end of its rate, want about half", n)
		}
	})
}
