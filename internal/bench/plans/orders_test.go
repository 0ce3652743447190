package plans_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/bench/plans"
	"geraniumhollow/internal/plan/group"
)

var lateLong = flag.Bool("late.long", false, "enumerate late orders in more cases, and to all servers")

// head is the first head of each run.
const head = "e01"

// formsHead selects the orders that make the head serve, and endsHead those that end that as well.
func formsHead(o group.Order) bool {
	return o.Server == head && (o.Kind == group.Join || o.Kind == group.Open)
}

func endsHead(o group.Order) bool { return formsHead(o) || o.Server == head && o.Kind == group.Leave }

// seconds returns durations.
func seconds(list ...float64) []time.Duration {
	out := make([]time.Duration, len(list))
	for i, s := range list {
		out[i] = time.Duration(s*1000+0.5) * time.Millisecond
	}
	return out
}

// every returns the times from one to another with a step.
func every(from, to, step float64) []time.Duration {
	var list []float64
	for s := from; s <= to; s += step {
		list = append(list, s)
	}
	return seconds(list...)
}

// depths returns the delays of each of n late orders. Those after the second have the first delay only, as the number of runs grows
// with the product.
func depths(n int, delays ...float64) [][]time.Duration {
	out := slices.Repeat([][]time.Duration{seconds(delays...)}, n)
	for i := 2; i < n; i++ {
		out[i] = out[i][:1]
	}
	return out
}

// Times between reads of the registry.
const (
	slowReads = time.Second
	fastReads = 200 * time.Millisecond
)

// formsPair selects the orders that make the head serve in the second formation, and joins of the member that is added to it.
func formsPair(o group.Order) bool {
	return formsHead(o) && o.Epoch == 2 || o.Server == "e04" && o.Kind == group.Join
}

// lateSearches returns the searches of each run of the tests. The first finds the fault of review case 5 on the code before it was
// mended, and the second a keeper that does not go by what the plan says of late orders of the one before. The third finds members that
// join another formation although they may rejoin the one that they have left, the fourth a keeper that does not take joins of the one
// before into account.
func lateSearches() []plans.LateSearch {
	chain := depths(5, 2)
	chain[0] = seconds(2.5)
	rejoin := [][]time.Duration{seconds(4.1), seconds(4.1), seconds(2.5), seconds(2)}
	out := slices.Grow([]plans.LateSearch{
		{Case: plans.LateCase{Servers: 5, SecondLoss: 2200 * time.Millisecond, Reads: fastReads}, Delays: chain, Select: endsHead},
		{
			Case:   plans.LateCase{Servers: 5, SecondLoss: 2200 * time.Millisecond, TakeOver: 1700 * time.Millisecond, Reads: fastReads},
			Delays: chain, Select: endsHead,
		},
		{Case: plans.LateCase{Servers: 5, SecondLoss: 3900 * time.Millisecond, Reads: slowReads}, Delays: rejoin, Select: formsPair},
		{
			Case:   plans.LateCase{Servers: 5, SecondLoss: 3900 * time.Millisecond, TakeOver: 3500 * time.Millisecond, Reads: slowReads},
			Delays: rejoin, Select: formsPair,
		},
		{Case: plans.LateCase{Servers: 6, SecondLoss: 2200 * time.Millisecond, Reads: fastReads}, Delays: depths(2, 2, 7)},
		{Case: plans.LateCase{Servers: 6, SecondLoss: 2200 * time.Millisecond, Reads: fastReads}, Delays: chain[:3], Select: endsHead},
		{Case: plans.LateCase{Servers: 7, SecondLoss: 3600 * time.Millisecond, Reads: slowReads, Silent: true}, Delays: depths(3, 2.75), Select: formsHead},
	}, 10)
	for i, at := range every(0.4, 4.6, 0.7) {
		out = append(out,
			plans.LateSearch{
				Case: plans.LateCase{
					Servers: 5 + i%3, SecondLoss: 2800 * time.Millisecond, TakeOver: at, Overlap: i%2 == 0, Reads: fastReads,
				},
				Delays: depths(3, 2, 3.25), Select: formsHead,
			})
	}
	for i, at := range seconds(0.5, 1.6, 3.1) {
		out = append(out,
			plans.LateSearch{
				Case:   plans.LateCase{Servers: 5 + i%2, SecondLoss: 2800 * time.Millisecond, Restart: at, Reads: fastReads},
				Delays: depths(2, 2, 3.25), Select: endsHead,
			})
	}
	return out
}

// longLateSearches returns searches over more cases, and with late orders to all servers.
func longLateSearches() []plans.LateSearch {
	var out []plans.LateSearch
	for servers := 5; servers <= 7; servers++ {
		for i, loss := range every(0, 8, 0.4) {
			c := plans.LateCase{Servers: servers, SecondLoss: loss, Reads: fastReads, Silent: i%2 > 0}
			out = append(out,
				plans.LateSearch{Case: c, Delays: depths(5, 2, 2.5, 3.25, 12), Select: endsHead},
				plans.LateSearch{Case: c, Delays: depths(3, 2, 3.25, 7, 12)})
			c.Reads = slowReads
			out = append(out, plans.LateSearch{Case: c, Delays: depths(3, 2, 2.75, 3.5, 7, 12), Select: endsHead})
		}
		for i, at := range every(0.2, 8, 0.2) {
			c := plans.LateCase{Servers: servers, SecondLoss: 2800 * time.Millisecond, TakeOver: at, Overlap: i%2 == 0, Reads: fastReads}
			out = append(out, plans.LateSearch{Case: c, Delays: depths(4, 2, 3.25, 7, 12), Select: endsHead})
			c.TakeOver, c.Restart = 0, at
			out = append(out, plans.LateSearch{Case: c, Delays: depths(3, 2, 3.25, 7, 12), Select: endsHead})
		}
	}
	return out
}

// Guards against a server that joins another formation while the head of its own serves, and against a head that opens before all
// members were ready (review case 5, TWO).
func TestLateOrders(t *testing.T) {
	t.Parallel()
	searches := lateSearches()
	if *lateLong {
		searches = longLateSearches()
	}
	for i, s := range searches {
		t.Run(fmt.Sprintf("search_%d", i), func(t *testing.T) {
			t.Parallel()
			res := s.Run()
			if res.Fault != "" {
				t.Errorf("%+v, late %v: %s\n%s", s.Case, res.Late, res.Fault, plans.TraceLate(s.Case, res.Late))
			}
			t.Logf("%+v: %d runs, no head open for up to %v", s.Case, res.Runs, res.Down)
		})
	}
}
