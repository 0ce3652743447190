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

// Guards against a group that is open to requests before its head is, or that lacks members it has.
func TestGroups(t *testing.T) {
	t.Parallel()
	x := index.New()
	now := time.Unix(1000, 0)
	x.Apply(now, index.Change{Full: true, Put: []server.Info{member("b", 1, server.Ready), member("a", 0, server.Ready)}})
	k := index.Key{Service: "llm", Model: "m0"}
	if open := x.View().Open[k]; len(open) > 0 {
		t.Errorf("a group whose head is ready is open: %+v", open)
	}
	x.Apply(now, index.Change{Put: []server.Info{member("a", 0, server.Open)}})
	v := x.View()
	if open := v.Open[k]; len(open) != 1 || open[0].Head.ID != "a" || len(open[0].Members) != 2 || open[0].Members[1].ID != "b" {
		t.Errorf("open groups are %+v", open)
	}
	x.SetOut(sets.New("vejle"))
	if v := x.View(); v.Usable(v.Servers["a"]) {
		t.Error("a server of a data centre that is out is usable")
	}
}

// Guards against servers that are taken for gone because the store was away, and ones that are kept although
// they have not come back.
func TestOutage(t *testing.T) {
	t.Parallel()
	x := index.New()
	now := time.Unix(1000, 0)
	x.Apply(now, index.Change{Full: true, Put: []server.Info{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
	x.Apply(now, index.Change{Removed: []string{"c"}})
	if len(x.View().Servers) != 2 {
		t.Error("an entry that was removed while the store answered is kept")
	}
	x.Reached(now, false)
	now = now.Add(10 * time.Second)
	x.Reached(now, true)
	x.Apply(now, index.Change{Full: true, Put: nil})
	if v := x.View(); len(v.Servers) != 2 || !v.Servers["a"].Expired {
		t.Errorf("after an outage the servers are %+v", v.Servers)
	}
	now = now.Add(time.Second)
	x.Apply(now, index.Change{Put: []server.Info{{ID: "a"}}})
	if n := x.Sweep(now); n != 0 {
		t.Errorf("%d entries were dropped before they could come back", n)
	}
	now = now.Add(index.ReturnTime)
	if n := x.Sweep(now); n != 1 {
		t.Errorf("%d entries were dropped, want the one that has not come back", n)
	}
	if v := x.View(); len(v.Servers) != 1 || v.Servers["a"] == nil || v.Servers["a"].Expired {
		t.Errorf("the servers are %+v", v.Servers)
	}
}
