package group_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
)

// newTripleSimulation returns a simulation with n servers, whose groups have three.
func newTripleSimulation(t *testing.T, n int) *simulation {
	t.Helper()
	sim := newSimulation(t, n)
	sim.d = newTripleDecider(group.Plan{})
	sim.run(3 * time.Second)
	return sim
}

func newTripleDecider(plan group.Plan) *group.Decider {
	e := newEngine()
	e.Models[0].Hosts = 3
	return newDecider(e, plan)
}

// startAgain replaces a server by another process at the same address.
func (sim *simulation) startAgain(old, id string) {
	address := sim.servers[old].Address
	delete(sim.servers, old)
	sim.add(id)
	sim.change(id, func(i *server.Info) { i.Address = address })
}

// takeOver gives the stored plan to a new keeper. The rows of a keeper of an earlier version have no start times.
func (sim *simulation) takeOver(earlier bool) {
	sim.t.Helper()
	rows, err := sim.d.Plan().Rows()
	if err != nil {
		sim.t.Fatal(err)
	}
	plan, err := rows.Plan()
	if err != nil {
		sim.t.Fatal(err)
	}
	if earlier {
		for i := range plan.Current {
			plan.Current[i].Started = nil
		}
	}
	sim.orders = nil
	sim.d = newTripleDecider(plan.TakenOver(plan.Fence + 1))
}

// Guards against a keeper that takes the process which uses the address of a lost member now for that member: the group waits
// for it without end, or opens although the member has never been ready (review cases 1, RECOVER, and 2, PARTIAL).
func TestOtherProcessAtAddressOfMember(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// id is that of the new process.
		id      string
		earlier bool
		// lost is the number of members that are lost beside the one that is replaced.
		lost int
	}{
		"member replaced":                               {"s9", false, 0},
		"member replaced, one lost":                     {"s9", false, 1},
		"member replaced, plan of an earlier version":   {"s9", true, 0},
		"member replaced, one lost, plan of an earlier": {"s9", true, 1},
		"member started again under its ID":             {"", false, 0},
		"member started again, plan of an earlier":      {"", true, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newTripleSimulation(t, 5)
			f := sim.open()["g1"]
			id := tt.id
			if id == "" {
				id = f.Members[1]
			}
			sim.startAgain(f.Members[1], id)
			for _, lost := range f.Members[2 : 2+tt.lost] {
				delete(sim.servers, lost)
			}
			sim.change(f.Head(), func(i *server.Info) { i.Member.State = server.Broken })
			sim.takeOver(tt.earlier)
			sim.run(10 * time.Second)
			if g, ok := sim.open()["g1"]; !ok || tt.id != "" && g.HasMember(f.Members[1]) {
				t.Errorf("after 10 s the group is %+v, open %v; orders: %v", g, ok, sim.orders)
			}
		})
	}
}

// Guards against a group that opens with two processes of one server as two members, one of which has never been ready in it
// (review case 2, PARTIAL).
func TestTwoProcessesOfOneServer(t *testing.T) {
	t.Parallel()
	for name, earlier := range map[string]bool{"plan of this version": false, "plan of an earlier version": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newTripleSimulation(t, 4)
			f := sim.open()["g1"]
			sim.startAgain(f.Members[1], "s9")
			for id := range sim.servers {
				if id != f.Head() && id != "s9" {
					delete(sim.servers, id)
				}
			}
			sim.takeOver(earlier)
			sim.run(10 * time.Second)
			if open := sim.open(); len(open) > 0 {
				t.Errorf("with two servers left, open groups are %+v", open)
			}
			sim.add("s8")
			sim.run(10 * time.Second)
			if len(sim.open()) != 1 {
				t.Errorf("with three servers, no group is open: %v", sim.orders)
			}
		})
	}
}

// Guards against a keeper that takes a member for ended because it has started again since an earlier formation of the plan (an
// interleaving in which members joined another group while their head served, TWO).
func TestLastStartOfMember(t *testing.T) {
	t.Parallel()
	sim := newTripleSimulation(t, 5)
	f := sim.open()["g1"]
	earlier := f
	earlier.Group, earlier.Epoch, earlier.Started = "g0", 0, make([]int64, len(f.Started))
	for i, start := range f.Started {
		earlier.Started[i] = start - 1000
	}
	sim.unlisted[f.Head()] = true
	plan := sim.d.Plan()
	plan.Current, plan.Retired = nil, []group.Formation{earlier, f}
	sim.d = newTripleDecider(plan.TakenOver(2))
	sim.run(5 * time.Second)
	if len(sim.open()) != 1 {
		t.Errorf("no group is open: %v", sim.orders)
	}
}

// Guards against a keeper that dissolves groups because it has not read the registry yet, and takes their heads for unregistered.
func TestKeepsGroupsUntilRegistryIsRead(t *testing.T) {
	t.Parallel()
	sim := newTripleSimulation(t, 5)
	f := sim.open()["g1"]
	sim.view, sim.noRegistry = index.New(), true
	sim.takeOver(false)
	sim.run(3 * time.Second)
	sim.noRegistry = false
	sim.run(3 * time.Second)
	if g, ok := sim.open()["g1"]; !ok || g.Epoch != f.Epoch || len(sim.orders) > 0 {
		t.Errorf("the group is %+v, open %v, was %+v; orders: %v", g, ok, f, sim.orders)
	}
}

// Guards against a group that is formed anew when a keeper takes over a plan of an earlier version, and against a plan that never
// gets the start times of its members.
func TestPlanOfEarlierVersion(t *testing.T) {
	t.Parallel()
	sim := newTripleSimulation(t, 5)
	f := sim.open()["g1"]
	sim.unlisted[f.Members[1]] = true
	sim.takeOver(true)
	sim.run(5 * time.Second)
	g, ok := sim.open()["g1"]
	if !ok || g.Epoch != f.Epoch || len(sim.orders) > 0 {
		t.Errorf("the group is %+v, open %v, was %+v; orders: %v", g, ok, f, sim.orders)
	}
	for rank, id := range g.Members {
		if rank >= len(g.Started) || g.Started[rank] != sim.servers[id].StartedAt.UnixMilli() {
			t.Errorf("the plan has start times %v of members %v", g.Started, g.Members)
		}
	}
}
