package watch_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/bench/spread"
	"geraniumhollow/internal/conf/watch"
	"pgregory.net/rapid"
)

// Guards against a version that decreases, and against a node that serves without a change that was accepted
// more than 4 s ago, under any order and delay of messages. Only a node in StoreDown may serve without such a
// change, and only in runs with restarts, in which nodes lose the notices of commits.
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

// at returns the time that is ms milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against a node that serves with an outdated configuration, and against a node that stops serving
// although no change can have been accepted.
func TestMode(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		prepare   func(w *watch.Tracker)
		now       int
		reachable int
		want      watch.Mode
	}{
		{"no version", func(w *watch.Tracker) { w.VersionRead(at(0), 3) }, 0, 6, watch.Isolated},
		{"recent confirmation", func(w *watch.Tracker) { w.VersionRead(at(0), 3); w.DocumentLoaded(3) }, 4000, 1, watch.Current},
		{"expired, majority reachable", func(w *watch.Tracker) { w.VersionRead(at(0), 3); w.DocumentLoaded(3) }, 4001, 4, watch.StoreDown},
		{"expired, half reachable", func(w *watch.Tracker) { w.VersionRead(at(0), 3); w.DocumentLoaded(3) }, 4001, 3, watch.Isolated},
		{"expired, a peer has a newer version", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.HeartbeatReceived(at(0), "p", 4, time.Minute)
		}, 4001, 6, watch.Isolated},
		// The peer does not receive this node's heartbeats, so it cannot echo one.
		{"expired, the table answers a peer whose confirmation is not proved", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.HeartbeatReceived(at(3900), "p", 3, time.Second)
		}, 4001, 6, watch.Isolated},
		{"confirmation of a newer version that is not loaded", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.PeerConfirmed(at(4000), 4)
		}, 4100, 6, watch.Isolated},
		{"commit announced", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.CommitAnnounced(at(0), "n", 4)
		}, 4001, 6, watch.Isolated},
		{"announced commit withdrawn", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.CommitAnnounced(at(0), "n", 4)
			w.CommitWithdrawn("n")
		}, 4001, 6, watch.StoreDown},
		{"notice arrives after its withdrawal", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.CommitWithdrawn("n")
			w.CommitAnnounced(at(0), "n", 4)
		}, 4001, 6, watch.StoreDown},
		{"announced commit did not happen", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.CommitAnnounced(at(0), "n", 4)
			w.VersionRead(at(10_001), 3)
		}, 14_002, 6, watch.StoreDown},
		{"confirmation of a newer version that is loaded later", func(w *watch.Tracker) {
			w.VersionRead(at(0), 3)
			w.DocumentLoaded(3)
			w.PeerConfirmed(at(4000), 4)
			w.DocumentLoaded(4)
		}, 7900, 1, watch.Current},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := watch.New()
			tt.prepare(w)
			if got := w.Mode(at(tt.now), tt.reachable, 6, 0); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against replacing a document by an older one that arrives late.
func TestVersionNeverDecreases(t *testing.T) {
	t.Parallel()
	w := watch.New()
	for _, tt := range []struct {
		give uint64
		want bool
	}{{2, true}, {1, false}, {2, false}, {5, true}, {4, false}} {
		if got := w.DocumentLoaded(tt.give); got != tt.want {
			t.Errorf("version %d: applied %v, want %v", tt.give, got, tt.want)
		}
	}
	if w.Version() != 5 {
		t.Errorf("version %d, want 5", w.Version())
	}
}

// Guards against requesting a document from the same unresponsive peer forever.
func TestLoadRotatesSources(t *testing.T) {
	t.Parallel()
	w := watch.New()
	w.VersionRead(at(0), 0)
	w.HeartbeatReceived(at(0), "a", 7, 0)
	w.HeartbeatReceived(at(0), "b", 7, 0)
	var asked []string
	for ms := 0; ms < 2000; ms += 100 {
		for _, a := range w.Tick(at(ms), true) {
			if a.Kind != watch.ReadVersion {
				asked = append(asked, a.Peer)
				w.DocumentLoadFailed()
			}
		}
	}
	if len(asked) != 4 || asked[0] != "a" || asked[1] != "b" || asked[2] != "" {
		t.Errorf("asked %q, want a, b and the table in turn every 500 ms", asked)
	}
}

// Guards against a version whose load is delayed because another version was loaded just before it.
func TestConsecutiveVersions(t *testing.T) {
	t.Parallel()
	w := watch.New()
	for v := uint64(1); v <= 3; v++ {
		now := at(int(v) * 10)
		w.RequestRead()
		w.Tick(now, false)
		w.VersionRead(now, v)
		if got := w.Tick(now, false); len(got) != 1 || got[0].Kind != watch.ReadDocument || got[0].Version != v {
			t.Fatalf("version %d: got %v, want an immediate read of the document", v, got)
		}
		w.DocumentLoaded(v)
	}
}

// Guards against an unbounded number of stored notices, and against withdrawn notices that block later commits.
func TestNoticesBounded(t *testing.T) {
	t.Parallel()
	w := watch.New()
	w.DocumentLoaded(1)
	for i := range 1000 {
		key := string(rune('a' + i))
		if !w.CommitAnnounced(at(0), key, 2) {
			t.Fatalf("notice %d rejected after withdrawals", i)
		}
		w.CommitWithdrawn(key)
	}
	kept := 0
	for i := range 1000 {
		if w.CommitAnnounced(at(0), string(rune('a'+2000+i)), 2) {
			kept++
		}
	}
	if kept > 64 {
		t.Errorf("%d open notices kept, want at most 64", kept)
	}
}
