package group_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/batch"
)

// twoModels returns an engine with a model whose groups have 12 servers and one whose groups have 6, each with half of the work.
func twoModels() *batch.Engine {
	e := newEngine()
	e.Models = []batch.Model{
		{Name: "large", Hosts: 12, TimeFactor: 1, WorkFraction: 0.5, ColdLoadTime: 16 * time.Second, WarmLoadTime: time.Second},
		{Name: "small", Hosts: 6, TimeFactor: 0.6, WorkFraction: 0.5, ColdLoadTime: 12 * time.Second, WarmLoadTime: time.Second},
	}
	e.LoadsPerSecond = 20
	return e
}

// newTwoModels returns a simulation of two data centres with two domains of 27 servers each and two models. It follows demand,
// which is not known, and has formed its first groups.
func newTwoModels(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(t, 0)
	sim.d = newDecider(twoModels(), group.Plan{})
	sim.d.FollowDemand(true, nil)
	for dc := range 2 {
		for domain := range 2 {
			for i := range 27 {
				id := fmt.Sprintf("s%d-%d-%02d", dc, domain, i)
				sim.addCold(id)
				sim.change(id, func(i *server.Info) {
					i.DataCentre, i.Domain = fmt.Sprintf("dc%d", dc), fmt.Sprintf("dc%d-d%d", dc, domain)
				})
			}
		}
	}
	sim.run(4 * time.Second)
	sim.d.TrafficStarted()
	return sim
}

// openGroups counts the open groups by model.
func (sim *simulation) openGroups() map[string]int {
	out := make(map[string]int)
	for _, f := range sim.open() {
		out[f.Model]++
	}
	return out
}

// demand sets the number of groups that demand asks for.
func (sim *simulation) demand(large, small int, urgent ...string) {
	targets := &group.Targets{Groups: map[string]int{"large": large, "small": small}, Urgent: make(map[string]bool)}
	for _, m := range urgent {
		targets.Urgent[m] = true
	}
	sim.d.FollowDemand(true, targets)
}

// Guards against groups that keep the configured shares of the models although demand is otherwise, and against changes of more groups
// than needed.
func TestGroupsFollowDemand(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	before := sim.openGroups()
	if before["large"] != 4 || before["small"] != 7 {
		t.Fatalf("first groups: %v", before)
	}
	kept := sim.open()
	sim.demand(2, 10, "small")
	sim.run(8 * time.Second)
	after := sim.openGroups()
	if after["small"] < 10 || after["large"] < 2 || after["large"] > 3 {
		t.Errorf("open groups %v, want 10 small ones and the large ones that leave room: %v", after, sim.d.Plan().Current)
	}
	for name, f := range kept {
		if f.Model == "small" && sim.open()[name].Epoch != f.Epoch {
			t.Errorf("group %s of the model that needs more was changed", name)
		}
	}
}

// Guards against dissolving groups for a need that is shorter than a load of weights, or for none.
func TestKeepsGroupsThatNobodyNeeds(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.demand(2, 10) // There is room for one of them.
	sim.run(11 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 || n["small"] != 8 {
		t.Errorf("open groups %v before the need has lasted", n)
	}
	sim.demand(2, 7)
	sim.run(30 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 || n["small"] != 8 {
		t.Errorf("open groups %v although no model lacks any", n)
	}
	sim.demand(2, 10)
	sim.run(11 * time.Second)
	sim.run(8 * time.Second)
	if n := sim.openGroups(); n["small"] < 10 {
		t.Errorf("open groups %v after a need that has lasted", n)
	}
}

// Guards against cutting requests of a group that makes room.
func TestRoomWaitsForRequests(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.busy = sets.New[string]()
	for _, f := range sim.open() {
		if f.Model == "large" {
			sim.busy.Add(f.Head())
		}
	}
	sim.demand(2, 10, "small")
	sim.run(5 * time.Second)
	closing := 0
	for id := range sim.busy {
		i := sim.servers[id]
		if !i.Member.InGroup() {
			t.Errorf("%s has left its group while it runs requests", id)
		}
		if i.Member.State == server.Closing {
			closing++
		}
	}
	if closing == 0 || closing > 2 {
		t.Errorf("%d large groups are closing, want 1 or 2", closing)
	}
	sim.demand(4, 7)
	for id := range sim.busy {
		sim.change(id, func(i *server.Info) {
			if i.Member.State == server.Closing {
				i.Member.State = server.Ready
			}
		})
	}
	sim.busy = nil
	sim.run(3 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 {
		t.Errorf("open groups %v after the need has ended", n)
	}
}

// Guards against groups that are formed anew beyond their number when servers end, and take the spares of those that are needed; and
// against forming all groups of a model anew at the same time.
func TestScaleInKeepsNeededGroups(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.demand(2, 7)
	// Each group loses a member. Two large groups are not needed, and one of the others is formed anew at a time.
	draining := 0
	for _, f := range sim.open() {
		for _, id := range f.Members[len(f.Members)-1:] {
			sim.change(id, setDraining)
			draining++
		}
	}
	least := map[string]int{"small": 7, "large": 4}
	for range 200 {
		sim.run(50 * time.Millisecond)
		for m, n := range sim.openGroups() {
			least[m] = min(least[m], n)
		}
	}
	if least["small"] < 5 || least["large"] < 1 {
		t.Errorf("at least %v groups were open while %d servers were draining", least, draining)
	}
	if n := sim.openGroups(); n["small"] != 7 || n["large"] < 2 {
		t.Errorf("open groups %v", n)
	}
	for _, f := range sim.open() {
		if slices.ContainsFunc(f.Members, func(id string) bool { return sim.servers[id].Draining }) {
			t.Errorf("%s still has a draining member", f.Group)
		}
	}
}

// Guards against counting groups of a data centre that is out of service, and against forming new ones there.
func TestGroupsOutOfService(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.view.SetOutOfService(sets.New("dc1"))
	sim.demand(2, 5)
	sim.run(20 * time.Second)
	in := make(map[string]int)
	for _, f := range sim.open() {
		if sim.servers[f.Head()].DataCentre == "dc0" {
			in[f.Model]++
		}
	}
	if in["large"] < 2 || in["small"] < 4 {
		t.Errorf("open groups in service: %v", in)
	}
}

// Guards against a new keeper that goes back to the configured shares until it knows the demand, and against ignoring them without
// scaling.
func TestNewKeeperKeepsNumbers(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.demand(2, 10, "small")
	sim.run(8 * time.Second)
	before := sim.openGroups()
	sim.d = newDecider(twoModels(), sim.d.Plan())
	sim.d.FollowDemand(true, nil)
	sim.d.TrafficStarted()
	sim.run(20 * time.Second)
	if after := sim.openGroups(); after["small"] != before["small"] || after["large"] != before["large"] {
		t.Errorf("open groups %v, before the new keeper %v", after, before)
	}
}

// Guards against another division of servers where the service does not ask for scaling.
func TestTargetsWithoutScaling(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.d.FollowDemand(false, &group.Targets{Groups: map[string]int{"large": 1, "small": 12}, Urgent: map[string]bool{"small": true}})
	sim.run(30 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 || n["small"] != 7 {
		t.Errorf("open groups %v", n)
	}
}
