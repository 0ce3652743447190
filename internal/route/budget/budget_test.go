package budget_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/route/budget"
)

const (
	run    = 20 * time.Second
	tokens = 100
)

// harness tests one owner with a simulated clock.
type harness struct {
	t      *testing.T
	now    time.Time
	o      *budget.Owner
	lastID uint64
	grants []budget.Key
}

func newHarness(t *testing.T, cold, warm int) *harness {
	t.Helper()
	return &harness{t: t, now: time.Unix(1000, 0), o: budget.NewOwner(budget.DefaultConfig(run, tokens), limits(cold, warm))}
}

func limits(cold, warm int) budget.Limits {
	return budget.Limits{
		Cold: budget.Load{Requests: cold, Tokens: cold * tokens},
		Warm: budget.Load{Requests: warm, Tokens: warm * tokens},
	}
}

// take starts a tenure behind earlier owners of depths 0 to earlier-1.
func (x *harness) take(fence uint64, earlier int) {
	t := budget.Tenure{Fence: fence, Depth: earlier, Clean: fence == 1}
	for d := range earlier {
		t.Earlier = append(t.Earlier, budget.EarlierOwner{ID: fmt.Sprint(d), Depth: d})
	}
	x.o.StartTenure(x.now, t)
}

func (x *harness) report(inst string, s budget.State, running int) {
	x.now = x.now.Add(time.Millisecond)
	x.o.Report(x.now, x.now, budget.Report{Instance: inst, State: s, Running: running, GroupComplete: true})
}

func (x *harness) advance(d time.Duration) { x.now = x.now.Add(d) }

// fill requests grants until the owner refuses, and returns how many it issued.
func (x *harness) fill(valid bool) int {
	for n := 0; ; n++ {
		x.lastID++
		k := budget.Key{Holder: "h", ID: x.lastID}
		if x.o.Ask(x.now, valid, budget.Ask{Key: k, Tokens: tokens}).Status != budget.Granted {
			return n
		}
		x.grants = append(x.grants, k)
	}
}

// release releases the first n outstanding grants, twice each.
func (x *harness) release(n int, end budget.End) {
	for _, k := range x.grants[:n] {
		x.o.Release(x.now, budget.Release{Key: k, End: end})
		x.o.Release(x.now, budget.Release{Key: k, End: end})
	}
	x.grants = x.grants[n:]
}

func (x *harness) checkEqual(what string, got, want int) {
	x.t.Helper()
	if got != want {
		x.t.Errorf("%s: got %d, want %d", what, got, want)
	}
}

// Guards against grants over a limit, and against capacity that is never granted again. With the default
// times, a request can be sent on a grant for up to 32 s (DefaultTTL plus DefaultMaxSendDelay), so a report after 33 s
// covers it. A lowered limit takes DefaultPropagationTime longer, so a report after 37 s covers the grants under the higher
// limit.
func TestOwner(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		cold, warm int
		run        func(x *harness)
	}{
		{"limit 4, any number of nodes", 4, 8, func(x *harness) {
			x.take(1, 0)
			x.checkEqual("before a report", x.fill(true), 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("cold", x.fill(true), 4)
			x.release(1, budget.EndConfirmed)
			x.checkEqual("a double release frees one", x.fill(true), 1)
			x.report("i", budget.Warm, 4)
			x.checkEqual("warm", x.fill(true), 4)
		}},
		{"limit 1 behind one earlier owner", 1, 1, func(x *harness) {
			x.take(2, 1)
			x.advance(33 * time.Second)
			x.report("i", budget.Cold, 0)
			x.checkEqual("nothing left", x.fill(true), 0)
			x.o.Update(x.now, budget.Tenure{Fence: 2})
			x.report("i", budget.Cold, 0)
			x.checkEqual("not at once after it has stopped", x.fill(true), 0)
			x.advance(33 * time.Second)
			x.report("i", budget.Cold, 0)
			x.checkEqual("after a report that covers it", x.fill(true), 1)
		}},
		{"an expired lease leaves the reserve", 4, 4, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("reserve", x.fill(false), 2)
			x.checkEqual("rest", x.fill(true), 2)
			x.release(1, budget.EndConfirmed)
			x.checkEqual("over the reserve", x.fill(false), 0)
		}},
		{"takeover of a cold instance", 4, 4, func(x *harness) {
			x.take(2, 0)
			x.advance(31 * time.Second)
			x.report("i", budget.Cold, 1)
			x.checkEqual("too early", x.fill(true), 0)
			x.advance(2 * time.Second)
			x.report("i", budget.Cold, 3)
			x.checkEqual("inherited 3", x.fill(true), 1)
			x.report("i", budget.Cold, 2)
			x.report("i", budget.Cold, 4)
			x.checkEqual("inherited falls and never rises", x.fill(true), 1)
		}},
		{"takeover of a warm instance", 4, 4, func(x *harness) {
			x.take(2, 0)
			x.advance(4 * time.Second)
			x.report("i", budget.Warm, 0)
			x.checkEqual("after 3 s", x.fill(true), 4)
		}},
		{"inherited load of a warm instance ends by time", 4, 4, func(x *harness) {
			x.take(2, 0)
			x.advance(4 * time.Second)
			x.report("i", budget.Warm, 3)
			x.checkEqual("inherited 3", x.fill(true), 1)
			x.release(1, budget.EndConfirmed)
			x.advance(run + 33*time.Second)
			x.report("i", budget.Warm, 3)
			x.checkEqual("ended", x.fill(true), 4)
		}},
		{"the reserve stays within the pool", 10, 10, func(x *harness) {
			// The earlier owner still runs all 10, so this owner's reserve of 3 is not available.
			x.take(2, 1)
			x.advance(33 * time.Second)
			x.report("i", budget.Cold, 10)
			x.checkEqual("nothing", x.fill(false), 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("reserve: 3 requests, 250 of 1000 tokens", x.fill(false), 2)
		}},
		{"two earlier owners, one with a large outstanding load", 8, 8, func(x *harness) {
			// The reserves are 4 and 2. With 5 inherited requests of the second owner, the first one may still
			// grant 4.
			x.take(3, 2)
			x.advance(33 * time.Second)
			x.report("i", budget.Cold, 5)
			x.checkEqual("pool", x.fill(true), 0)
			x.report("i", budget.Cold, 1)
			x.checkEqual("pool", x.fill(true), 2)
		}},
		{"an unsure grant counts until a report covers it", 2, 2, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("all", x.fill(true), 2)
			x.release(1, budget.EndUnknown)
			x.advance(33 * time.Second)
			x.checkEqual("still counted", x.fill(true), 0)
			x.report("i", budget.Cold, 1)
			x.checkEqual("one is running", x.fill(true), 1)
			x.release(1, budget.EndConfirmed)
			x.release(1, budget.EndConfirmed)
			x.checkEqual("the unsure grant may be the one running", x.fill(true), 1)
			x.report("i", budget.Cold, 0)
			x.checkEqual("nothing runs", x.fill(true), 1)
		}},
		{"a lagging report does not cover later grants", 2, 2, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("all", x.fill(true), 2)
			x.advance(33 * time.Second)
			x.o.Report(x.now, x.now, budget.Report{Instance: "i", State: budget.Cold, Age: 2 * time.Second, GroupComplete: true})
			x.checkEqual("made too early", x.fill(true), 0)
		}},
		{"a restarted engine starts empty", 2, 2, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("all", x.fill(true), 2)
			x.report("j", budget.Cold, 0)
			x.checkEqual("new instance", x.fill(true), 2)
			x.release(2, budget.EndConfirmed)
			x.checkEqual("releases for the old instance", x.fill(true), 0)
			x.report("i", budget.Warm, 0)
			x.checkEqual("late report of the old instance", x.fill(true), 0)
		}},
		{"a restart within the tenure needs no takeover wait", 2, 2, func(x *harness) {
			x.take(2, 0)
			x.report("i", budget.Cold, 1)
			x.checkEqual("waits", x.fill(true), 0)
			x.report("j", budget.Cold, 0)
			x.checkEqual("new instance", x.fill(true), 2)
		}},
		{"a restart that may be older than the tenure needs the takeover wait", 2, 2, func(x *harness) {
			x.take(2, 0)
			x.o.Report(x.now, x.now, budget.Report{Instance: "i", State: budget.Cold, Age: time.Second, GroupComplete: true})
			x.report("j", budget.Cold, 0)
			x.checkEqual("waits", x.fill(true), 0)
		}},
		{"earlier reserves are those of the limit before it was lowered", 8, 8, func(x *harness) {
			x.take(2, 1)
			x.advance(33 * time.Second)
			x.report("i", budget.Cold, 0)
			x.o.SetLimits(x.now, limits(4, 4))
			x.checkEqual("the earlier reserve is still 4", x.fill(true), 0)
			x.advance(37 * time.Second)
			x.report("i", budget.Cold, 0)
			x.checkEqual("the earlier reserve is 2", x.fill(true), 2)
		}},
		{"answers only restrict the owner", 2, 8, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Warm, 0)
			x.o.Release(x.now, budget.Release{Instance: "i", State: budget.Cold})
			x.checkEqual("cold by answer", x.fill(true), 2)
			x.o.Release(x.now, budget.Release{Instance: "j", State: budget.Warm})
			x.release(2, budget.EndConfirmed)
			x.checkEqual("unknown instance", x.fill(true), 0)
		}},
		{"a lowered limit", 4, 4, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("all", x.fill(true), 4)
			x.o.SetLimits(x.now, limits(2, 2))
			x.release(2, budget.EndConfirmed)
			x.checkEqual("full", x.fill(true), 0)
			x.release(1, budget.EndConfirmed)
			x.checkEqual("one", x.fill(true), 1)
		}},
		{"a lowered limit pauses the reserve while a later owner may have more outstanding", 4, 4, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Cold, 0)
			x.o.SetLimits(x.now, limits(2, 2))
			x.checkEqual("at once", x.fill(false), 0)
			x.advance(37 * time.Second)
			x.report("i", budget.Cold, 2)
			x.checkEqual("no room beside the reserve", x.fill(false), 0)
			x.report("i", budget.Cold, 0)
			x.checkEqual("room", x.fill(false), 1)
		}},
		{"a fall back to cold pauses the reserve", 2, 8, func(x *harness) {
			x.take(1, 0)
			x.report("i", budget.Warm, 0)
			x.report("i", budget.Cold, 3)
			x.checkEqual("at once", x.fill(false), 0)
			x.advance(37 * time.Second)
			x.report("i", budget.Cold, 1)
			x.checkEqual("room", x.fill(false), 1)
		}},
		{"closed route and old report", 2, 2, func(x *harness) {
			x.take(1, 0)
			x.o.Report(x.now.Add(time.Second), x.now.Add(time.Second), budget.Report{Instance: "i", State: budget.Cold})
			x.checkEqual("closed", x.fill(true), 0)
			x.advance(time.Second)
			x.report("i", budget.Cold, 0)
			x.advance(4 * time.Second)
			x.checkEqual("old", x.fill(true), 0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(newHarness(t, tt.cold, tt.warm))
		})
	}
}

// Guards against reserves that add up to more than the limit.
func TestReserve(t *testing.T) {
	t.Parallel()
	for limit := range 500 {
		left := budget.Load{Requests: limit, Tokens: limit * 7}
		for d := range 12 {
			left.Requests -= budget.Reserve(budget.Load{Requests: limit, Tokens: limit * 7}, d).Requests
			left.Tokens -= budget.Reserve(budget.Load{Requests: limit, Tokens: limit * 7}, d).Tokens
		}
		if left.Requests < 0 || left.Tokens < 0 {
			t.Fatalf("limit %d: %+v left", limit, left)
		}
	}
}

// Guards against using a grant twice, late, for another instance, or with an old fencing number.
func TestHolder(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	h := budget.NewHolder("h", 2*time.Second)
	ask := func(fence uint64) (budget.Reply, uint64) {
		a := h.Ask(now, "o", "s", 1)
		return budget.Reply{Key: a.Key, Status: budget.Granted, Instance: "i", Fence: fence}, a.Key.ID
	}
	check := func(what string, got, want bool) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	r, id := ask(5)
	ok, _ := h.Reply(now, "o", "s", r)
	check("granted", ok, true)
	check("other instance", h.Use(now, id, "j"), false)
	check("first use", h.Use(now, id, "i"), true)
	check("second use", h.Use(now, id, "i"), false)
	check("unsure end", h.End(now, id, budget.Release{}).Release.End == budget.EndUnknown, true)
	ok, back := h.Reply(now, "o", "s", r)
	check("late duplicate frees nothing", ok || back != nil, false)

	r, _ = ask(4)
	ok, back = h.Reply(now, "o", "s", r)
	check("old fence", ok || back == nil || back.Release.End != budget.EndNotStarted, false)

	r, id = ask(6)
	ok, _ = h.Reply(now, "o", "s", r)
	check("granted", ok, true)
	now = now.Add(2 * time.Second)
	check("late use", h.Use(now, id, "i"), false)
	check("expired", len(h.Expire(now)) == 1, true)
	ok, back = h.Reply(now, "o", "s", r)
	check("late reply is unused", !ok && back != nil && back.Release.End == budget.EndNotStarted, true)
}
