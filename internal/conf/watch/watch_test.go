package watch_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/bench/spread"
	"geraniumhollow/internal/conf/watch"
	"pgregory.net/rapid"
)

// Guards against a version that goes down, and against a node that serves without a change that was
// accepted more than 4 s ago, under any order and delay of messages.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	for _, restarts := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
			if _, err := spread.Interleave(draw, restarts); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// at is a time in milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against nodes that serve behind a change, and against nodes that stop when nothing can have
// changed.
func TestMode(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		prep  func(w *watch.Watch)
		now   int
		heard int
		want  watch.Mode
	}{
		{"no version", func(w *watch.Watch) { w.Read(at(0), 3) }, 0, 6, watch.Isolated},
		{"young", func(w *watch.Watch) { w.Read(at(0), 3); w.Loaded(3) }, 4000, 1, watch.Current},
		{"old, majority heard", func(w *watch.Watch) { w.Read(at(0), 3); w.Loaded(3) }, 4001, 4, watch.StoreDown},
		{"old, half heard", func(w *watch.Watch) { w.Read(at(0), 3); w.Loaded(3) }, 4001, 3, watch.Isolated},
		{"old, a peer names a newer version", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.Heard(at(0), "p", 4, time.Minute)
		}, 4001, 6, watch.Isolated},
		{"old, the table answers a peer that does not hear this node", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.Heard(at(3900), "p", 3, time.Second)
		}, 4001, 6, watch.Isolated},
		{"a confirmation of a newer version does not help", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.ConfirmedBy(at(4000), 4)
		}, 4100, 6, watch.Isolated},
		{"a commit was announced", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.Noticed(at(0), "n", 4)
		}, 4001, 6, watch.Isolated},
		{"an announced commit was withdrawn", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.Noticed(at(0), "n", 4)
			w.Withdrawn("n")
		}, 4001, 6, watch.StoreDown},
		{"a notice that arrives after its withdrawal", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.Withdrawn("n")
			w.Noticed(at(0), "n", 4)
		}, 4001, 6, watch.StoreDown},
		{"the announced commit did not happen", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.Noticed(at(0), "n", 4)
			w.Read(at(10_001), 3)
		}, 14_002, 6, watch.StoreDown},
		{"it helps once the version is there", func(w *watch.Watch) {
			w.Read(at(0), 3)
			w.Loaded(3)
			w.ConfirmedBy(at(4000), 4)
			w.Loaded(4)
		}, 7900, 1, watch.Current},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := watch.New()
			tt.prep(w)
			if got := w.Mode(at(tt.now), tt.heard, 6, 0); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against an older document that arrives late and replaces a newer one.
func TestNeverDown(t *testing.T) {
	t.Parallel()
	w := watch.New()
	for _, tt := range []struct {
		give uint64
		want bool
	}{{2, true}, {1, false}, {2, false}, {5, true}, {4, false}} {
		if got := w.Loaded(tt.give); got != tt.want {
			t.Errorf("version %d: put in force %v, want %v", tt.give, got, tt.want)
		}
	}
	if w.Version() != 5 {
		t.Errorf("version %d, want 5", w.Version())
	}
}

// Guards against a document that is asked of one silent peer for ever.
func TestLoadGoesRound(t *testing.T) {
	t.Parallel()
	w := watch.New()
	w.Read(at(0), 0)
	w.Heard(at(0), "a", 7, 0)
	w.Heard(at(0), "b", 7, 0)
	var asked []string
	for ms := 0; ms < 2000; ms += 100 {
		for _, a := range w.Tick(at(ms), true) {
			if a.Kind != watch.ReadVersion {
				asked = append(asked, a.Peer)
				w.LoadFailed()
			}
		}
	}
	if len(asked) != 4 || asked[0] != "a" || asked[1] != "b" || asked[2] != "" {
		t.Errorf("asked %q, want a, b and the table in turn each 500 ms", asked)
	}
}

// Guards against a change that waits because another one came just before it.
func TestQuickSuccession(t *testing.T) {
	t.Parallel()
	w := watch.New()
	for v := uint64(1); v <= 3; v++ {
		now := at(int(v) * 10)
		w.Refresh()
		w.Tick(now, false)
		w.Read(now, v)
		if got := w.Tick(now, false); len(got) != 1 || got[0].Kind != watch.ReadDocument || got[0].Version != v {
			t.Fatalf("version %d: got %v, want a read of the document at once", v, got)
		}
		w.Loaded(v)
	}
}

// Guards against notices that fill the memory, and against withdrawn ones that block later commits.
func TestNoticesBounded(t *testing.T) {
	t.Parallel()
	w := watch.New()
	w.Loaded(1)
	for i := range 1000 {
		key := string(rune('a' + i))
		if !w.Noticed(at(0), key, 2) {
			t.Fatalf("notice %d refused after withdrawals", i)
		}
		w.Withdrawn(key)
	}
	kept := 0
	for i := range 1000 {
		if w.Noticed(at(0), string(rune('a'+2000+i)), 2) {
			kept++
		}
	}
	if kept > 64 {
		t.Errorf("%d open notices kept, want at most 64", kept)
	}
}
