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
	return newGroups(t, true)
}

// newGroups is newTwoModels, where groups follow demand if follow is set.
func newGroups(t *testing.T, follow bool) *simulation {
	t.Helper()
	sim := newSimulation(t, 0)
	sim.d = newDecider(twoModels(), group.Plan{})
	sim.d.FollowDemand(follow, nil)
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
	if before["large"] != 4 || before["small"] != 8 { // The configured shares are 4 and 7. The three free servers of each domain form none.
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
	sim.demand(2, 10)
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

// Guards against losing groups when servers end although there are spares for all, and against forming all groups of a model anew at
// the same time.
func TestScaleInKeepsNeededGroups(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.demand(2, 7)
	// Each group loses a member, and each domain has a spare for each. Groups beyond the target are kept, as no model lacks any.
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
	if n := sim.openGroups(); n["small"] != 8 || n["large"] != 4 {
		t.Errorf("open groups %v", n)
	}
	for _, f := range sim.open() {
		if slices.ContainsFunc(f.Members, func(id string) bool { return sim.servers[id].Draining }) {
			t.Errorf("%s still has a draining member", f.Group)
		}
	}
}

// Guards against forming a group beyond its number anew while the other model lacks groups.
func TestSurplusIsNotFormedAnew(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	sim.demand(2, 9)
	for _, f := range sim.open() {
		if f.Model == "large" {
			sim.change(f.Members[len(f.Members)-1], setDraining)
			break
		}
	}
	sim.run(11 * time.Second)
	if n := sim.openGroups(); n["large"] != 3 || n["small"] < 9 {
		t.Errorf("open groups %v", n)
	}
}

// Guards against dissolving groups whose model has late requests, for another model or because they have lost a member, also if they
// were about to make room.
func TestKeepsGroupsWithLateRequests(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	late := &group.Targets{
		Groups: map[string]int{"large": 2, "small": 10}, Urgent: map[string]bool{"small": true}, Late: map[string]bool{"large": true, "small": true},
	}
	sim.d.FollowDemand(true, late)
	sim.run(20 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 || n["small"] != 8 {
		t.Errorf("open groups %v while requests of both models are late", n)
	}
	for _, f := range sim.open() {
		if f.Model == "large" {
			sim.change(f.Members[len(f.Members)-1], setDraining)
			break
		}
	}
	sim.run(11 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 {
		t.Errorf("open groups %v after one has lost a member", n)
	}
	sim.busy = sets.New[string]()
	for _, f := range sim.open() {
		sim.busy.Add(f.Head())
	}
	sim.demand(2, 10, "small")
	sim.run(2 * time.Second)
	sim.d.FollowDemand(true, late)
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
		t.Errorf("open groups %v after requests have become late", n)
	}
}

// Guards against servers that are left over before callers are served although they make up whole groups, and against a larger group
// that does not fit anywhere keeping smaller ones from being formed.
func TestFormsWholeGroupsBeforeDemand(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 0)
	e := twoModels()
	e.Models[0].WorkFraction, e.Models[1].WorkFraction = 0.9, 0.1
	sim.d = newDecider(e, group.Plan{})
	sim.d.FollowDemand(true, nil)
	for domain := range 4 {
		for i := range 20 {
			id := fmt.Sprintf("s%d-%02d", domain, i)
			sim.addCold(id)
			sim.change(id, func(i *server.Info) { i.DataCentre, i.Domain = "dc", fmt.Sprintf("d%d", domain) })
		}
	}
	sim.run(6 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 || n["small"] != 4 {
		t.Errorf("open groups %v in four domains of 20 servers", n)
	}
}

// Guards against servers that stay free because a model lacks a larger group than they make up.
func TestUsesServersThatLackingModelCannot(t *testing.T) {
	t.Parallel()
	sim := newTwoModels(t)
	for i := range 8 {
		id := fmt.Sprintf("new%02d", i)
		sim.addCold(id)
		sim.change(id, func(i *server.Info) { i.DataCentre, i.Domain = "dc0", "dc0-d2" })
	}
	sim.demand(5, 8)
	sim.run(20 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 || n["small"] != 9 {
		t.Errorf("open groups %v, want a small one of eight free servers", n)
	}
}

// Guards against a group that waits for weights taking the room for a missing group of another model.
func TestWaitingGroupLeavesRoom(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 0)
	sim.d = newDecider(twoModels(), group.Plan{})
	sim.d.FollowDemand(true, &group.Targets{Groups: map[string]int{"large": 1, "small": 1}})
	add := func(domain string, n int, staged ...string) {
		for i := range n {
			id := fmt.Sprintf("%s-%02d", domain, i)
			sim.addCold(id)
			sim.change(id, func(i *server.Info) { i.DataCentre, i.Domain, i.StagedModels = "dc", domain, staged })
		}
	}
	add("d1", 6)
	sim.slowLoads = true
	sim.run(2 * time.Second)
	add("d0", 12, "small")
	sim.run(3 * time.Second)
	domains := make(map[string]string)
	for _, f := range sim.d.Plan().Current {
		domains[f.Model] = f.Domain
	}
	if domains["large"] != "d0" || domains["small"] != "d1" {
		t.Errorf("domains of the groups: %v", domains)
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
	// There is room for another large group, which the configured shares ask for.
	for i := range 12 {
		id := fmt.Sprintf("new%02d", i)
		sim.addCold(id)
		sim.change(id, func(i *server.Info) { i.DataCentre, i.Domain = "dc0", "dc0-d0" })
	}
	for _, served := range []bool{false, true} { // A keeper may have served no callers itself.
		sim.d = newDecider(twoModels(), sim.d.Plan())
		sim.d.FollowDemand(true, nil)
		if served {
			sim.d.TrafficStarted()
		}
		sim.run(2 * time.Second)
		sim.d.FollowDemand(true, &group.Targets{})
		sim.run(20 * time.Second)
		if after := sim.openGroups(); after["small"] != before["small"] || after["large"] != before["large"] {
			t.Errorf("open groups %v, before the new keeper %v, which has served callers: %v", after, before, served)
		}
	}
}

// Guards against another division of servers where the service does not ask for scaling.
func TestTargetsWithoutScaling(t *testing.T) {
	t.Parallel()
	sim := newGroups(t, false)
	sim.d.FollowDemand(false, &group.Targets{Groups: map[string]int{"large": 1, "small": 12}, Urgent: map[string]bool{"small": true}})
	sim.run(30 * time.Second)
	if n := sim.openGroups(); n["large"] != 4 || n["small"] != 7 {
		t.Errorf("open groups %v", n)
	}
}
