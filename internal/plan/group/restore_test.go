package group_test

import (
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
)

// restore gives an earlier plan to a keeper of an era.
func (sim *simulation) restore(era uint64, plan group.Plan) {
	sim.orders = nil
	sim.d = newDecider(newEngine(), plan.Clone().TakenOver(duty.FirstOfEra(era)+1))
}

// replaceMember makes the group form anew with a spare instead of one member, and returns the plan from before that.
func (sim *simulation) replaceMember(id string) group.Plan {
	before := sim.d.Plan().Clone()
	delete(sim.servers, id)
	sim.run(3 * time.Second)
	return before
}

// Guards against a keeper that dissolves groups which serve because a restored plan does not have them.
func TestLostFormationServesOn(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3)
	sim.run(3 * time.Second)
	f := sim.open()["g1"]
	before := sim.replaceMember(f.Members[1])
	serving := sim.open()["g1"]
	for era := uint64(2); era <= 3; era++ {
		sim.restore(era, before)
		sim.run(20 * time.Second)
		if g, ok := sim.open()["g1"]; !ok || g.Epoch != serving.Epoch || len(sim.orders) > 0 {
			t.Fatalf("the group is %+v, open %v, was %+v; orders: %v", g, ok, serving, sim.orders)
		}
	}
	sim.add("s9")
	delete(sim.servers, serving.Members[1])
	sim.run(5 * time.Second)
	if g, ok := sim.open()["g1"]; !ok || g.Epoch <= duty.FirstOfEra(3) {
		t.Errorf("after a loss in the new era the group is %+v, open %v; orders: %v", g, ok, sim.orders)
	}
}

// Guards against a group that a restored plan still has, and whose servers refuse its epoch for good.
func TestDissolvedFormationIsFormedAnew(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3)
	sim.run(3 * time.Second)
	f := sim.open()["g1"]
	before := sim.replaceMember(f.Members[1])
	for id := range sim.servers {
		sim.change(id, func(i *server.Info) { i.Member = server.Member{} })
	}
	sim.add(f.Members[1])
	sim.restore(2, before)
	sim.run(20 * time.Second)
	if len(sim.open()) != 1 {
		t.Errorf("no group is open after 20 s: %v", sim.orders)
	}
}

// Guards against a member that joins another group while a head that nobody hears serves a formation that the plan has lost.
func TestUnheardHeadOfLostFormation(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3)
	sim.run(3 * time.Second)
	f := sim.open()["g1"]
	before := sim.replaceMember(f.Members[0])
	head, member := sim.open()["g1"].Members[0], sim.open()["g1"].Members[1]
	sim.add("s8")
	sim.add("s9")
	sim.silent[head], sim.unlisted[head] = true, true
	sim.restore(2, before)
	sim.run(5 * time.Second) // Less than the head takes to be broken.
	for _, o := range sim.orders {
		if strings.HasPrefix(o, string(group.Join)) && strings.HasSuffix(o, member) {
			t.Errorf("member %s of the lost formation: %s", member, o)
		}
	}
	sim.run(10 * time.Second)
	if len(sim.open()) != 1 {
		t.Errorf("no group is open after 15 s: %v", sim.orders)
	}
}

// Guards against orders of two keepers for the same servers while the one of the era before may still act.
func TestWaitsForKeeperOfEarlierEra(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3)
	sim.restore(2, group.Plan{})
	sim.run(duty.HoldTime)
	if len(sim.orders) > 0 {
		t.Errorf("orders %v after the restoration: %v", duty.HoldTime, sim.orders)
	}
	sim.run(3 * time.Second)
	if len(sim.open()) != 1 {
		t.Errorf("no group is open: %v", sim.orders)
	}
}

// Guards against a server that is taken for free because of an entry from before it joined, at a keeper that has just started.
func TestUnconfirmedEntryIsProbed(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	d := newDecider(newEngine(), group.Plan{}.TakenOver(duty.FirstOfEra(2)+1))
	v := &index.View{Servers: make(map[string]*index.Entry), Services: make(map[string][]*index.Entry), Read: true}
	truth := make(map[string]server.Info)
	for rank, id := range []string{"s0", "s1", "s2"} {
		i := server.Info{ID: id, Service: "llm", Address: id, Domain: "d", DataCentre: "dc", StartedAt: now, StagedModels: []string{"m"}}
		v.Servers[id] = &index.Entry{Info: i, Unconfirmed: true}
		v.Services["llm"] = append(v.Services["llm"], v.Servers[id])
		if rank < 2 {
			i.Model, i.Member = "m", server.Member{Group: "g1", Epoch: 1, Rank: rank, State: server.Ready}
		}
		truth[id] = i
	}
	head := truth["s0"]
	head.Member.State = server.Open
	truth["s0"] = head
	d.ApplyView(now, v)
	probed := make(map[string]bool)
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		a := d.Step(now)
		if a.Commit != nil {
			d.Committed()
		}
		for _, o := range a.Orders {
			if o.Server != "s2" || !probed["s2"] {
				t.Fatalf("%s %s/%d to %s", o.Kind, o.Group, o.Epoch, o.Server)
			}
			d.OrderDone(now, o, group.Accepted)
		}
		for _, q := range a.Probes {
			if now.Sub(time.Unix(1000, 0)) < 4*time.Second {
				continue // The answers take long.
			}
			probed[q.Server] = true
		}
		for id := range truth {
			if now.Sub(time.Unix(1000, 0)) == 4*time.Second {
				probed[id] = true
				d.ProbeAnswered(now, id, server.Report{Info: truth[id], Slowdown: 1})
			}
		}
	}
	if f, ok := d.Plan().FormationOf("s0"); !ok || f.Epoch != 1 {
		t.Errorf("the plan is %+v, want the formation that the servers report", d.Plan())
	}
}
