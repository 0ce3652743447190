package seat_test

import (
	"context"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/node/pass"
)

// place gives a call a place, or ends the test.
func (b *bed) place(ctx context.Context, t *testing.T) pass.Reservation {
	t.Helper()
	s, _, refusal := b.take(ctx)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return s
}

// serve serves n calls and returns how many each server got.
func (b *bed) serve(ctx context.Context, t *testing.T, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		s := b.place(ctx, t)
		out[s.Entry().ID]++
		s.Release(pass.Served)
	}
	return out
}

// Guards against new work for a server that has said in an answer that it leaves, while the registry still has it as
// ready: after a change of its group, and after its entry has lapsed and come back during an outage of the store.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context, _ func(*bed)) {
		b := newBed(engine(), 1)
		b.put("a")
		s := b.place(ctx, t)
		b.put("b")
		s.HeadersReceived(pass.Answer{Leaving: true})
		s.Release(pass.Served)
		if got := b.serve(ctx, t, 20)["a"]; got > 0 {
			t.Errorf("%d requests went to a leaving server", got)
		}
		again := server.Info{
			ID: "a", Service: "svc", Address: "127.0.0.1:1", Domain: "d", Slots: 8, Born: time.Unix(1, 0), Model: "m",
			Member: server.Member{Group: "g-a", Epoch: 2, State: server.Open},
		}
		b.index.Apply(time.Now(), index.Change{Removed: []string{"a"}})
		time.Sleep(5 * time.Second)
		b.index.Apply(time.Now(), index.Change{Put: []server.Info{again}})
		if got := b.serve(ctx, t, 20)["a"]; got > 0 {
			t.Errorf("%d requests went to a leaving server that has another group", got)
		}
		again.Born = time.Unix(2, 0)
		b.index.Apply(time.Now(), index.Change{Put: []server.Info{again}, Removed: []string{"b"}})
		if got := b.serve(ctx, t, 1)["a"]; got != 1 {
			t.Error("another process with the same ID gets no work")
		}
	})
}

// Guards against requests to a server that has refused one and said for how long it wants none, and against a caller that
// waits for it although the time will not come.
func TestServerLeftAlone(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context, _ func(*bed)) {
		b := newBed(engine(), 1)
		b.put("a")
		s := b.place(ctx, t)
		s.HeadersReceived(pass.Answer{NotRun: true, RetryAfter: time.Second})
		s.Release(pass.NotRun)
		begun := time.Now()
		_, _, refusal := b.take(ctx)
		if refusal == nil || time.Since(begun) > 0 || refusal.RetryAfter() != time.Second {
			t.Errorf("refusal %v after %v, to come back after %v; want one at once with 1 s", refusal, time.Since(begun), refusal.RetryAfter())
		}
		b.put("b")
		if got := b.serve(ctx, t, 20)["a"]; got > 0 {
			t.Errorf("%d requests within the time", got)
		}
		time.Sleep(time.Second)
		if got := b.serve(ctx, t, 20)["a"]; got == 0 {
			t.Error("no request after the time")
		}
	})
}
