package index_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

// Guards against requests to servers that leave or have left, servers that are lost although they run, and states that
// go back, after the registry was restored from an older copy.
func TestRestoredRegistry(t *testing.T) {
	t.Parallel()
	old, restarted := server.Info{ID: "a", StartedAt: time.Unix(1, 0), RenewalSeq: 5}, server.Info{ID: "a", StartedAt: time.Unix(2, 0), RenewalSeq: 1}
	newer := old
	newer.Draining, newer.RenewalSeq, newer.Member = true, 9, server.Member{Group: "g", Epoch: 2}
	noBorn := server.Info{ID: "a", RenewalSeq: 9, Draining: true}
	const kept = index.ReregistrationGrace + 3*time.Second
	for name, c := range map[string]struct {
		known, restored []server.Info
		// now is in use at once, later in the end.
		now, later []server.Info
	}{
		"older entry":              {[]server.Info{newer}, []server.Info{old}, []server.Info{newer}, []server.Info{{ID: "a", StartedAt: old.StartedAt, RenewalSeq: 5, Draining: true}}},
		"older entry without born": {[]server.Info{noBorn}, []server.Info{{ID: "a", RenewalSeq: 5}}, []server.Info{noBorn}, []server.Info{{ID: "a", RenewalSeq: 5}}},
		"entry of process before":  {[]server.Info{restarted}, []server.Info{old}, []server.Info{restarted}, []server.Info{old}},
		"newer entry":              {[]server.Info{old}, []server.Info{newer}, []server.Info{newer}, []server.Info{newer}},
		"entry of process after":   {[]server.Info{newer}, []server.Info{restarted}, []server.Info{restarted}, []server.Info{restarted}},
		"removed entry":            {nil, []server.Info{old}, nil, []server.Info{old}},
		"missing entry":            {[]server.Info{old}, nil, []server.Info{old}, nil},
	} {
		x, now := index.New(), time.Unix(1000, 0)
		x.SetHeartbeatInterval(time.Second)
		check := func(when string, want []server.Info) {
			t.Helper()
			servers := x.View().Servers
			if len(servers) != len(want) {
				t.Errorf("%s: %d servers %s, want %d", name, len(servers), when, len(want))
			}
			for _, w := range want {
				if e := servers[w.ID]; e == nil || !e.SameState(w) || e.RenewalSeq != w.RenewalSeq {
					t.Errorf("%s: got %+v %s, want %+v", name, e, when, w)
				}
			}
		}
		x.Apply(now, index.Change{Full: true, Era: 1, Put: c.known})
		x.Apply(now, index.Change{Full: true, Era: 2, Put: c.restored})
		check("at once", c.now)
		x.Apply(now, index.Change{Full: true, Era: 2, Put: c.restored})
		check("after another read of the same entries", c.now)
		x.Sweep(now.Add(kept - 1))
		if len(c.restored) > 0 {
			check("before the registry would have removed them", c.now)
		}
		x.Sweep(now.Add(kept))
		check("in the end", c.later)
		x.Apply(now, index.Change{Put: []server.Info{old}})
		check("once its server has written it", []server.Info{old})
	}
}

// Guards against a process that takes entries of a restored registry for what their servers last wrote.
func TestUnconfirmedEntries(t *testing.T) {
	t.Parallel()
	x, now := index.New(), time.Unix(1000, 0)
	x.Apply(now, index.Change{Full: true, Era: 2, Put: []server.Info{{ID: "a"}, {ID: "b"}}})
	x.Apply(now, index.Change{Put: []server.Info{{ID: "a", RenewalSeq: 1}}})
	if v := x.View(); v.Servers["a"].Unconfirmed || !v.Servers["b"].Unconfirmed {
		t.Errorf("got %+v, want only b unconfirmed", v.Servers)
	}
	x.Sweep(now.Add(index.ReregistrationGrace))
	if x.View().Servers["b"].Unconfirmed {
		t.Error("b is unconfirmed although the registry would have removed it by now")
	}
}
