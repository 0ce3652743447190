package group_test

import (
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/plan/group"
)

// loseFirst has the first order of each of some kinds to a server get no answer. It returns when the last one was given.
func (sim *simulation) loseFirst(id string, kinds ...group.Kind) *time.Time {
	last := new(time.Time)
	lost := make(map[group.Kind]bool)
	for _, k := range kinds {
		lost[k] = true
	}
	sim.loses = func(o group.Order) bool {
		if o.Server != id || !lost[o.Kind] {
			return false
		}
		lost[o.Kind], *last = false, sim.now
		return true
	}
	return last
}

// joined returns when a server has joined a later formation of a group, or fails after a minute.
func (sim *simulation) joined(id string, after uint64) time.Time {
	sim.t.Helper()
	for end := sim.now.Add(time.Minute); sim.now.Before(end); sim.run(50 * time.Millisecond) {
		if m := sim.servers[id].Member; m.Epoch > after && !strings.HasPrefix(m.Group, "standby-") {
			return sim.now
		}
	}
	sim.t.Fatalf("%s has not joined a later formation than %d: %v", id, after, sim.orders)
	return time.Time{}
}

// Guards against a head that joins its next formation while a join and an open of the formation that it has left may still be
// executed, which make it serve, and its next join after them (review case 5 and TestLateJoinOfHead, TWO). It also guards against a
// head that waits without need.
func TestHeadWaitsForLateOrders(t *testing.T) {
	t.Parallel()
	const (
		// longestDelay is how long orders may be delayed, soon is the time to form a group anew.
		longestDelay = 12 * time.Second
		soon         = 3 * time.Second
	)
	tests := map[string]struct {
		lost []group.Kind
		// takeOver gives the plan to another keeper, earlier to one that has it from a keeper of an earlier version.
		takeOver, earlier bool
		waits             bool
	}{
		"answered":                           {nil, false, false, false},
		"no answer to a join":                {[]group.Kind{group.Join}, false, false, false},
		"no answer to an open":               {[]group.Kind{group.Open}, false, false, false},
		"no answer to both":                  {[]group.Kind{group.Join, group.Open}, false, false, true},
		"answered, new keeper":               {nil, true, false, false},
		"no answer to an open, new keeper":   {[]group.Kind{group.Open}, true, false, false},
		"no answer to both, new keeper":      {[]group.Kind{group.Join, group.Open}, true, false, true},
		"no answer, plan of earlier version": {[]group.Kind{group.Join, group.Open}, true, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newTripleSimulation(t, 5)
			first := sim.open()["g1"]
			head := first.Head()
			last := sim.loseFirst(head, tt.lost...)
			delete(sim.servers, first.Members[1])
			sim.run(4 * time.Second)
			second, ok := sim.open()["g1"]
			if !ok || second.Head() != head {
				t.Fatalf("the group is %+v, open %v: %v", second, ok, sim.orders)
			}
			if tt.takeOver {
				sim.takeOver(tt.earlier)
			}
			delete(sim.servers, second.Members[1])
			lostAt := sim.now
			at := sim.joined(head, second.Epoch)
			switch {
			case tt.waits && at.Sub(*last) < longestDelay:
				t.Errorf("the head joined another formation %v after an order without an answer", at.Sub(*last))
			case !tt.waits && at.Sub(lostAt) > soon+duty.HoldTime:
				t.Errorf("the head joined another formation only after %v", at.Sub(lostAt))
			}
		})
	}
}

// Guards against a group that a new keeper finds half formed and does not open while orders of the earlier keeper may be executed,
// and against plans that are stored without end meanwhile.
func TestOpensGroupOfEarlierKeeper(t *testing.T) {
	t.Parallel()
	sim := newTripleSimulation(t, 5)
	f := sim.open()["g1"]
	sim.loses = func(o group.Order) bool { return o.Kind == group.Open }
	delete(sim.servers, f.Members[1])
	sim.run(2 * time.Second)
	sim.loses = nil
	e := newEngine()
	e.Models[0].Hosts = 3
	// The earlier keeper has ended.
	sim.d = group.New(group.Config{Service: "llm", Engine: e, StallTime: 5 * time.Second, HeartbeatInterval: time.Second}, sim.d.Plan().TakenOver(2))
	sim.commits = 0
	// Times of real clocks are no multiples of a millisecond.
	for range 40 {
		sim.run(50 * time.Millisecond)
		sim.now = sim.now.Add(1234567 * time.Nanosecond)
	}
	if g, ok := sim.open()["g1"]; !ok || g.Epoch <= f.Epoch {
		t.Errorf("the group is %+v, open %v: %v", g, ok, sim.orders)
	}
	if sim.commits > 2 {
		t.Errorf("%d plans were stored in 2 s", sim.commits)
	}
}

// Guards against groups that stay down for as long as orders may be late because their heads have started again under their IDs
// before a new keeper takes over (soak, seed 9404).
func TestHeadsStartAgainBeforeTakeover(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(sim *simulation, id string){
		"with weights":    func(sim *simulation, id string) { sim.startAgain(id, id) },
		"without weights": func(sim *simulation, id string) { sim.addCold(id) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 7)
			sim.run(3 * time.Second)
			open := sim.open()
			for _, f := range open {
				lose(sim, f.Head())
			}
			sim.d = newDecider(newEngine(), sim.d.Plan().TakenOver(2))
			sim.d.TrafficStarted()
			sim.run(4 * time.Second)
			if got := sim.open(); len(got) < len(open)-1 {
				t.Errorf("%d of %d groups are open: %v", len(got), len(open), sim.orders)
			}
		})
	}
}

// Guards against a keeper that leaves the next one without knowledge of orders to a head that may still be executed.
func TestStoresThatHeadMayReopen(t *testing.T) {
	t.Parallel()
	sim := newTripleSimulation(t, 5)
	first := sim.open()["g1"]
	loses := sim.loseFirst(first.Head(), group.Join)
	lost := sim.loses
	sim.loses = func(o group.Order) bool {
		if f, _ := sim.d.Plan().FormationOf(o.Server); o.Kind == group.Open && f.NoReopen {
			t.Error("an open was given after a join without an answer, and the plan does not say so")
		}
		return lost(o)
	}
	delete(sim.servers, first.Members[1])
	sim.run(4 * time.Second)
	if f, ok := sim.open()["g1"]; !ok || loses.IsZero() || f.NoReopen {
		t.Errorf("the group is %+v, open %v: %v", f, ok, sim.orders)
	}
	sim.run(15 * time.Second)
	if f := sim.open()["g1"]; !f.NoReopen {
		t.Error("the plan says that the head may reopen although no order can be executed any more")
	}
}
