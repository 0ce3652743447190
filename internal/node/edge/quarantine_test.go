package edge_test

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/node/edge"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/crash"
	"github.com/hashicorp/go-hclog"
)

// quarantineFleet is a set of nodes with a store, of which one keeps the rows.
type quarantineFleet struct {
	t      *testing.T
	store  *store.Store
	nodes  []*pass.CrashTracker
	rows   []*edge.Quarantines
	keeper atomic.Int64
	era    atomic.Uint64
}

// runQuarantineFleet runs f on two nodes that share findings, the first of which keeps the rows.
func runQuarantineFleet(t *testing.T, f func(t *testing.T, w *quarantineFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := tasks.New(ctx)
		w := &quarantineFleet{t: t, store: store.New()}
		for i := range 2 {
			share := func(found crash.Findings) { w.nodes[1-i].Learn(fmt.Sprint(i), found) }
			rows := edge.NewQuarantines(edge.QuarantineConfig{
				Table: w.store, Crashes: func() *pass.CrashTracker { return w.nodes[i] }, Share: share,
				Holds: func() bool { return int(w.keeper.Load()) == i }, Era: w.era.Load, Log: hclog.NewNullLogger(),
			})
			n, err := pass.NewCrashTracker(pass.CrashTrackerDeps{
				Share: share, ClaimTrial: rows.ClaimTrial, Group: func() *tasks.Group { return g }, Log: hclog.NewNullLogger(),
			})
			if err != nil {
				t.Fatal(err)
			}
			w.nodes, w.rows = append(w.nodes, n), append(w.rows, rows)
		}
		for i := range 2 {
			g.Go("quarantines", w.rows[i].Run)
		}
		f(t, w)
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// learn lets all nodes learn of quarantines, with the trials of each part.
func (w *quarantineFleet) learn(trials map[crash.Part]int) {
	for p, n := range trials {
		for _, c := range w.nodes {
			c.Learn("other", crash.Findings{Quarantines: []crash.Quarantine{{Part: p, Trials: n}}})
		}
	}
}

// end ends the quarantine of a part on all nodes.
func (w *quarantineFleet) end(p crash.Part) {
	for _, c := range w.nodes {
		c.Learn("other", crash.Findings{Safe: []crash.Part{p}})
	}
}

// restore restores the store, of which the nodes learn a little later.
func (w *quarantineFleet) restore(age time.Duration) {
	w.store.Restore(age)
	time.Sleep(700 * time.Millisecond)
	w.era.Add(1)
}

// expect checks the trials of the parts that are quarantined, on all nodes and in the store.
func (w *quarantineFleet) expect(want map[crash.Part]int) {
	w.t.Helper()
	for i, c := range w.nodes {
		got := make(map[crash.Part]int)
		for _, q := range c.Quarantines() {
			got[q.Part] = q.Trials
		}
		if !maps.Equal(got, want) {
			w.t.Errorf("node %d has %v in quarantine, want %v", i, got, want)
		}
	}
	rows, err := w.store.Scan(w.t.Context(), "quarantine/", "", 100)
	if err != nil {
		w.t.Fatal(err)
	}
	stored := make(map[string]string)
	for _, r := range rows {
		stored[r.Key] = string(r.Value)
	}
	wantStored := make(map[string]string)
	for p, n := range want {
		wantStored["quarantine/"+string(p)] = fmt.Sprintf(`{"trials":%d}`, n)
	}
	if !maps.Equal(stored, wantStored) {
		w.t.Errorf("the store has %v, want %v", stored, wantStored)
	}
}

// Guards against rows of quarantines that stay as a restored store has them: lost, with fewer trials, or of quarantines
// that have ended.
func TestQuarantineRowsOfRestoredStore(t *testing.T) {
	t.Parallel()
	const settle = 3 * time.Second
	want := map[crash.Part]int{"llm/old": 2, "llm/new": 0}
	tests := []struct {
		name    string
		restore func(w *quarantineFleet)
	}{
		{"once", func(w *quarantineFleet) { w.restore(5 * time.Second) }},
		{"twice in a row", func(w *quarantineFleet) { w.restore(5 * time.Second); w.restore(5 * time.Second) }},
		{"again as the rows have been written", func(w *quarantineFleet) {
			w.restore(5 * time.Second)
			time.Sleep(settle)
			w.restore(8 * time.Second)
		}},
		{"several eras on", func(w *quarantineFleet) {
			w.store.Restore(5 * time.Second)
			w.store.Restore(0)
			time.Sleep(700 * time.Millisecond)
			w.era.Add(2)
		}},
		{"as the keeper changes", func(w *quarantineFleet) {
			w.store.Restore(5 * time.Second)
			w.keeper.Store(1)
			time.Sleep(settle)
			w.era.Add(1)
		}},
		{"before the keeper changes", func(w *quarantineFleet) {
			w.restore(5 * time.Second)
			w.keeper.Store(1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			runQuarantineFleet(t, func(_ *testing.T, w *quarantineFleet) {
				w.learn(map[crash.Part]int{"llm/old": 0, "llm/ended": 0})
				time.Sleep(10 * time.Second)
				w.learn(map[crash.Part]int{"llm/old": 2, "llm/new": 0})
				w.end("llm/ended")
				time.Sleep(settle)
				w.expect(want)
				tt.restore(w)
				time.Sleep(settle)
				w.expect(want)
			})
		})
	}
}

// Guards against a trial that two nodes begin, and one that counts as none, because a restored store has forgotten trials.
func TestTrialAfterRestoration(t *testing.T) {
	t.Parallel()
	runQuarantineFleet(t, func(t *testing.T, w *quarantineFleet) {
		const part = crash.Part("llm/bad")
		w.learn(map[crash.Part]int{part: 0})
		time.Sleep(5 * time.Second)
		refused := func(node int) bool { return w.nodes[node].Admit(t.Context(), "r", []crash.Part{part}) != nil }
		if refused(0) {
			t.Fatal("the first trial is refused")
		}
		time.Sleep(13 * time.Second)
		w.store.Restore(15 * time.Second)
		if first, second := refused(1), refused(0); first || !second {
			t.Errorf("of two requests for the second trial, the first was refused: %v, the second: %v", first, second)
		}
		w.era.Add(1)
		time.Sleep(2 * time.Second)
		w.expect(map[crash.Part]int{part: 2})
	})
}

// Guards against a keeper that undoes the claim of a trial that it does not know of yet.
func TestKeeperKeepsUnknownTrials(t *testing.T) {
	t.Parallel()
	runQuarantineFleet(t, func(t *testing.T, w *quarantineFleet) {
		w.nodes[0].Learn("other", crash.Findings{Quarantines: []crash.Quarantine{{Part: "llm/bad"}}})
		time.Sleep(2 * time.Second)
		row, err := w.store.Get(t.Context(), "quarantine/llm/bad")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.store.Commit(t.Context(), table.Replace(row, []byte(`{"trials":3}`))); err != nil {
			t.Fatal(err)
		}
		w.learn(map[crash.Part]int{"llm/bad": 1})
		time.Sleep(3 * time.Second)
		w.expect(map[crash.Part]int{"llm/bad": 3})
	})
}

// Guards against parts that crash servers again after all nodes have ended, while the new keeper does not know the rows yet.
func TestNewKeeperLearnsQuarantinesAtOnce(t *testing.T) {
	t.Parallel()
	runQuarantineFleet(t, func(t *testing.T, w *quarantineFleet) {
		w.keeper.Store(-1)
		if _, err := w.store.Commit(t.Context(), table.Insert("quarantine/llm/bad", []byte(`{"trials":1}`))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1050 * time.Millisecond)
		w.keeper.Store(1)
		time.Sleep(150 * time.Millisecond)
		w.expect(map[crash.Part]int{"llm/bad": 1})
	})
}
