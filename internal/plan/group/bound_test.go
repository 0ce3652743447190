package group_test

import (
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/plan/group"
)

// newLateSimulation returns a simulation with n servers and one group of three.
func newLateSimulation(t *testing.T, n int) *simulation {
	t.Helper()
	sim := newSimulation(t, n)
	e := newEngine()
	e.Models[0].Hosts, e.Models[0].WorkFraction = 3, 0.5
	sim.d = newDecider(e, group.Plan{})
	sim.run(3 * time.Second)
	return sim
}

// loseSecond has the group of a simulation form anew, with the first order of each of some kinds to its head and to the member that is
// added without an answer. It returns the second formation, the member that was added, and when the last of these orders was given.
func (sim *simulation) loseSecond(head, added []group.Kind) (group.Formation, string, time.Time) {
	sim.t.Helper()
	first := sim.open()["g1"]
	var last time.Time
	lost := make(map[string]bool)
	sim.loses = func(o group.Order) bool {
		kinds := added
		switch {
		case o.Epoch <= first.Epoch || !sim.d.Plan().Current[0].HasMember(o.Server):
			return false
		case o.Server == first.Head():
			kinds = head
		case first.HasMember(o.Server):
			return false
		}
		key := o.Server + string(o.Kind)
		if lost[key] || !slices.Contains(kinds, o.Kind) {
			return false
		}
		lost[key], last = true, sim.now
		return true
	}
	delete(sim.servers, first.Members[1])
	sim.run(4 * time.Second)
	sim.loses = nil
	second, ok := sim.open()["g1"]
	if !ok || second.Epoch <= first.Epoch || len(lost) != len(head)+len(added) {
		sim.t.Fatalf("the group is %+v, open %v, %d orders were late: %v", second, ok, len(lost), sim.orders)
	}
	i := slices.IndexFunc(second.Members, func(id string) bool { return !first.HasMember(id) })
	return second, second.Members[i], last
}

// orderedUntil reports whether a server is ordered to join any group until a time.
func (sim *simulation) orderedUntil(id string, end time.Time) bool {
	found := false
	sim.loses = func(o group.Order) bool {
		found = found || o.Kind == group.Join && o.Server == id && sim.now.Before(end)
		return false
	}
	sim.run(end.Sub(sim.now))
	return found
}

// Guards against a group that waits for late orders to its head, or to a member, although there are spares, and against servers that
// may still rejoin their former group and are used before (review case 5).
func TestReplacesBoundServers(t *testing.T) {
	t.Parallel()
	both := []group.Kind{group.Join, group.Open}
	const longestDelay = 12 * time.Second
	tests := map[string]struct {
		servers     int
		head, added []group.Kind
		// headStays and addedStays tell whether they are in the third formation, spare whether a server arrives while it waits.
		headStays, addedStays, spare bool
	}{
		"no late order":                  {7, nil, nil, true, true, false},
		"late join of the head":          {7, both[:1], nil, true, true, false},
		"head may reopen":                {7, both, nil, false, true, false},
		"head may reopen, member rejoin": {7, both, both[:1], false, false, false},
		"a member may rejoin":            {7, nil, both[:1], true, true, false},
		"a spare arrives later":          {5, both, nil, false, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newLateSimulation(t, tt.servers)
			second, added, last := sim.loseSecond(tt.head, tt.added)
			i := slices.IndexFunc(second.Members, func(id string) bool { return id != second.Head() && id != added })
			delete(sim.servers, second.Members[i])
			if tt.spare {
				sim.run(2 * time.Second)
				if len(sim.open()) > 0 {
					t.Fatalf("a group is open: %v", sim.orders)
				}
				sim.add("s9")
			}
			sim.run(2 * time.Second)
			third, ok := sim.open()["g1"]
			if !ok || third.Epoch <= second.Epoch {
				t.Fatalf("the group is %+v, open %v: %v", third, ok, sim.orders)
			}
			if third.HasMember(second.Head()) != tt.headStays || third.HasMember(added) != tt.addedStays {
				t.Errorf("the group is %+v, was %+v, %s was added to it last: %v", third, second, added, sim.orders)
			}
			for id, stays := range map[string]bool{second.Head(): tt.headStays, added: tt.addedStays} {
				if !stays && sim.orderedUntil(id, last.Add(longestDelay)) {
					t.Errorf("%s was ordered to join a group although it may rejoin %+v: %v", id, second, sim.orders)
				}
			}
			sim.run(5 * time.Second)
			if g := sim.open()["g1"]; g.Epoch != third.Epoch {
				t.Errorf("the group is %+v, was %+v", g, third)
			}
		})
	}
}

// Guards against a member of a group whose head may reopen that waits as long as the head, or is ordered to join another formation
// before it has left.
func TestMemberLeavesBeforeItJoins(t *testing.T) {
	t.Parallel()
	sim := newLateSimulation(t, 5)
	second, added, _ := sim.loseSecond([]group.Kind{group.Join, group.Open}, nil)
	i := slices.IndexFunc(second.Members, func(id string) bool { return id != second.Head() && id != added })
	delete(sim.servers, second.Members[i])
	left := false
	sim.loses = func(o group.Order) bool {
		if o.Server != added {
			return false
		}
		left = left || o.Kind == group.Leave && o.Epoch == second.Epoch
		if o.Kind == group.Join && !left {
			t.Errorf("%s was ordered to join %s/%d before it left %+v", added, o.Group, o.Epoch, second)
		}
		return false
	}
	sim.run(2 * time.Second)
	if m := sim.servers[added].Member; !left || m.Epoch <= second.Epoch {
		t.Errorf("%s is in %+v, ordered to leave %v: %v", added, m, left, sim.orders)
	}
}
