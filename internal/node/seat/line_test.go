package seat_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/node/seat"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"github.com/hashicorp/go-hclog"
)

// Guards against holding requests back by the slots of some servers while those of others are not known, which may have room.
func TestUnknownSlotsHoldNothingBack(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(nil, 1)
		b.route.Kind, b.route.Objective = match.Idempotent, 250*time.Millisecond
		b.index.Apply(time.Now(), index.Change{Put: []server.Info{
			{ID: "a", Service: "svc", Address: "127.0.0.1:1", Slots: 2, StartedAt: time.Unix(1, 0)},
			{ID: "b", Service: "svc", Address: "127.0.0.1:2", StartedAt: time.Unix(1, 0)},
		}})
		for i := range 20 {
			c := b.call()
			c.Prioritized = true
			if _, _, refusal := b.pickFor(ctx, c); refusal != nil {
				t.Fatalf("call %d: %v", i, refusal)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against calls that wait for as long as they may although all servers have named a later time, at which they take requests again.
func TestLineRefusesWhenServersReturnTooLate(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(engine(), 1)
		b.put("a")
		s, _, refusal := b.pick(ctx)
		if refusal != nil {
			t.Fatal(refusal)
		}
		s.HeadersReceived(pass.ResponseInfo{NotStarted: true, RetryAfter: 3 * time.Second})
		s.Release(pass.NotRun)
		c, began := b.call(), time.Now()
		c.Prioritized = true
		if _, _, refusal := b.pickFor(ctx, c); refusal == nil {
			t.Fatal("the call was sent to a server that takes none")
		}
		if d := time.Since(began); d > tolerance {
			t.Errorf("refused after %v", d)
		}
	})
}

// Guards against each waiting call looking through the whole queue: with a few hundred, this took most of a core.
func TestWaitingCallsShareTheirWork(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(engine(), 1)
		b.route.Kind, b.route.Objective = match.Idempotent, 0
		b.put("a", "b", "c", "d", "e", "f", "g", "h")
		var looks atomic.Int64
		seats := seat.New(seat.Config{
			View: func() *index.View { looks.Add(1); return b.index.View() }, Service: func(string) *match.Service { return b.service },
			ColdAllowance: func(string, float64) int { return 2 }, Nodes: func() int { return 1 }, Now: time.Now, Rates: b.rates,
			Metrics: metric.New(), Log: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for range 120 {
			wg.Go(func() {
				c := b.call()
				c.Prioritized = true
				c.Deadline = c.Arrived.Add(time.Minute)
				_, _ = seats.Pick(ctx, c, nil, func(error) {})
			})
		}
		time.Sleep(time.Second)
		waiting := 0
		for _, n := range seats.Lines()[0].Waiting {
			waiting += n
		}
		before := looks.Load()
		time.Sleep(time.Second)
		if n := looks.Load() - before; waiting < 20 || n > 100 {
			t.Errorf("%d waiting calls looked %d times in a second", waiting, n)
		}
		cancel()
		wg.Wait()
		if n := seats.Lines()[0].Waiting[0]; n > 0 {
			t.Errorf("%d calls wait after they have ended", n)
		}
	})
}

// Guards against subtracting requests that a line has not counted, at servers that left before its first call, so that too many are sent.
func TestLineLeavesOutOnlyWhatItCounted(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(engine(), 1)
		b.put("a")
		for range 4 {
			if _, _, refusal := b.pick(ctx); refusal != nil {
				t.Fatal(refusal)
			}
		}
		b.put("b")
		b.index.Apply(time.Now(), index.Change{Removed: []string{"a"}})
		for range 6 {
			c := b.call()
			c.Prioritized = true
			if _, _, refusal := b.pickFor(ctx, c); refusal != nil {
				t.Fatal(refusal)
			}
		}
		time.Sleep(200 * time.Millisecond)
		list, _ := b.seats.Pressure()
		if len(list) != 1 || list[0].Totals.InFlight != 6 {
			t.Errorf("counted %v, want 6 requests", list)
		}
	})
}

// Guards against leaving slots free because responses that begin when the work is done take longer than the objective.
func TestTimeOfWorkIsNotLateness(t *testing.T) {
	t.Parallel()
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, _ func(*testBed)) {
		b := newTestBed(engine(), 1)
		b.route.Kind = match.Idempotent
		b.put("a")
		for range 4 {
			c := b.call()
			c.Prioritized = true
			s, _, refusal := b.pickFor(ctx, c)
			if refusal != nil {
				t.Fatal(refusal)
			}
			time.Sleep(500 * time.Millisecond)
			s.Progress()
			s.Release(pass.Served)
		}
		running := make([]pass.Reservation, 0, 4)
		for range 4 {
			c := b.call()
			c.Prioritized = true
			s, _, refusal := b.pickFor(ctx, c)
			if refusal != nil {
				t.Fatal(refusal)
			}
			running = append(running, s)
		}
		if o := b.seats.Lines()[0].Occupancy; o != 0.5 {
			t.Errorf("occupancy %v with %d of 8 slots taken", o, len(running))
		}
	})
}
