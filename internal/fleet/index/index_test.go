package index_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

func member(id string, rank int, state server.GroupState) server.Info {
	return server.Info{
		ID: id, Service: "llm", Domain: "d", DataCentre: "vejle", Model: "m0",
		Member: server.Member{Group: "g1", Epoch: 3, Rank: rank, State: state},
	}
}

// Guards against a group that is open to requests before its head is, and against missing members.
func TestOpenGroups(t *testing.T) {
	t.Parallel()
	x := index.New()
	now := time.Unix(1000, 0)
	x.Apply(now, index.Change{Full: true, Put: []server.Info{member("b", 1, server.Ready), member("a", 0, server.Ready)}})
	k := index.ModelKey{Service: "llm", Model: "m0"}
	if open := x.View().OpenGroups[k]; len(open) > 0 {
		t.Errorf("a group is open although its head is not: %+v", open)
	}
	x.Apply(now, index.Change{Put: []server.Info{member("a", 0, server.Open)}})
	v := x.View()
	if open := v.OpenGroups[k]; len(open) != 1 || open[0].Head.ID != "a" || len(open[0].Members) != 2 || open[0].Members[1].ID != "b" {
		t.Errorf("open groups are %+v, want g1 with members a and b", open)
	}
	x.SetOutOfService(sets.New("vejle"))
	if v := x.View(); v.Usable(v.Servers["a"]) {
		t.Error("a server in a data centre out of service is usable")
	}
}

// Guards against removing servers because the store was unavailable, and against keeping those that do not
// register again.
func TestRegistryOutage(t *testing.T) {
	t.Parallel()
	x := index.New()
	now := time.Unix(1000, 0)
	x.Apply(now, index.Change{Full: true, Put: []server.Info{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
	x.Apply(now, index.Change{Removed: []string{"c"}})
	if len(x.View().Servers) != 2 {
		t.Error("an entry removed while the registry was available is kept")
	}
	x.SetRegistryReachable(now, false)
	now = now.Add(10 * time.Second)
	x.SetRegistryReachable(now, true)
	x.Apply(now, index.Change{Full: true, Put: nil})
	if v := x.View(); len(v.Servers) != 2 || !v.Servers["a"].Expired {
		t.Errorf("after an outage the servers are %+v, want a and b, expired", v.Servers)
	}
	now = now.Add(time.Second)
	x.Apply(now, index.Change{Put: []server.Info{{ID: "a"}}})
	if n := x.Sweep(now); n != 0 {
		t.Errorf("%d entries were removed within the grace period", n)
	}
	now = now.Add(index.ReregistrationGrace)
	if n := x.Sweep(now); n != 1 {
		t.Errorf("%d entries were removed after the grace period, want 1", n)
	}
	if v := x.View(); len(v.Servers) != 1 || v.Servers["a"] == nil || v.Servers["a"].Expired {
		t.Errorf("the servers are %+v, want only a, not expired", v.Servers)
	}
}
