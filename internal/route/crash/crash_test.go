package crash_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/route/crash"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// step is one event of a scenario. A run is identified by its fingerprint and server.
// The action "wait" holds a server without beginning the run; "hold" also begins it.
type step struct {
	action      string
	fingerprint crash.Fingerprint
	server      string
	after       time.Duration
}

// Guards against a request that crashes servers but is not suspected, and against a request that
// remains suspected although it completed, only shared the server, or had not begun.
func TestSuspicion(t *testing.T) {
	t.Parallel()
	shared := []step{{action: "start", fingerprint: "a", server: "1"}, {action: "start", fingerprint: "x", server: "1"}, {action: "died", server: "1"}}
	tests := []struct {
		name  string
		steps []step
		want  map[crash.Fingerprint]bool
	}{
		{"all requests on the server", shared, map[crash.Fingerprint]bool{"a": true, "x": true, "b": false}},
		{
			"completed", append(shared[:3:3], step{action: "hold", fingerprint: "a", server: "2"}, step{action: "complete", fingerprint: "a", server: "2"}),
			map[crash.Fingerprint]bool{"a": false, "x": true},
		},
		{
			"completed after the death was reported", append(shared[:3:3], step{action: "complete", fingerprint: "a", server: "1"}),
			map[crash.Fingerprint]bool{"a": false, "x": true},
		},
		{
			"explained by a crash of a request that ran alone", append(shared[:3:3], step{action: "hold", fingerprint: "x", server: "2"}, step{action: "died", server: "2"}),
			map[crash.Fingerprint]bool{"a": false, "x": true},
		},
		{
			"explained by the number of crashes", append(shared[:3:3], step{action: "start", fingerprint: "x", server: "2"}, step{action: "start", fingerprint: "b", server: "2"}, step{action: "died", server: "2"}),
			map[crash.Fingerprint]bool{"a": false, "b": false, "x": true},
		},
		{
			"equal numbers of crashes explain nothing", append(shared[:3:3], step{action: "start", fingerprint: "x", server: "2"}, step{action: "start", fingerprint: "a", server: "2"}, step{action: "died", server: "2"}),
			map[crash.Fingerprint]bool{"a": true, "x": true},
		},
		{
			"broke just before the report",
			[]step{{action: "start", fingerprint: "x", server: "1"}, {action: "break", fingerprint: "x", server: "1"}, {action: "died", server: "1", after: time.Second}},
			map[crash.Fingerprint]bool{"x": true},
		},
		{
			"broke long before the report",
			[]step{{action: "start", fingerprint: "x", server: "1"}, {action: "break", fingerprint: "x", server: "1"}, {action: "died", server: "1", after: time.Minute}},
			map[crash.Fingerprint]bool{"x": false},
		},
		{"holder that had not begun", []step{{action: "wait", fingerprint: "a", server: "1"}, {action: "died", server: "1"}}, map[crash.Fingerprint]bool{"a": false}},
		{"suspected by another node", []step{{action: "learn", fingerprint: "x"}}, map[crash.Fingerprint]bool{"x": true}},
		{"explained by another node", []step{{action: "learn", fingerprint: "x"}, {action: "explained", fingerprint: "x"}}, map[crash.Fingerprint]bool{"x": false}},
		{"explained by another node, unexplained here", append(shared[:3:3], step{action: "explained", fingerprint: "x"}), map[crash.Fingerprint]bool{"x": true}},
		{"completed on another node", append(shared[:3:3], step{action: "completed", fingerprint: "a"}), map[crash.Fingerprint]bool{"a": false, "x": true}},
		{"retention has passed", append(shared[:3:3], step{action: "died", after: 2 * time.Hour}), map[crash.Fingerprint]bool{"a": false, "x": false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d, now := runScenario(tt.steps)
			for f, want := range tt.want {
				if got, _ := d.Suspect(now, f); got != want {
					t.Errorf("%s suspected: %v, want %v", f, got, want)
				}
			}
		})
	}
}

func runScenario(steps []step) (*crash.Decider, time.Time) {
	d, now := crash.New(), start
	ids := make(map[string]crash.RunID)
	for _, s := range steps {
		now = now.Add(s.after)
		name := string(s.fingerprint) + s.server
		switch s.action {
		case "start":
			ids[name], _ = d.Start(s.fingerprint, s.server)
		case "wait":
			ids[name], _ = d.Reserve(s.fingerprint, s.server)
		case "hold":
			ids[name], _ = d.Reserve(s.fingerprint, s.server)
			d.Begin(ids[name])
		case "complete":
			d.Complete(ids[name], s.fingerprint)
		case "break":
			d.ConnectionLost(now, ids[name])
		case "died":
			d.ServerDied(now, s.server)
		case "learn":
			d.Learn(now, "n", crash.Suspicion{Fingerprint: s.fingerprint, Change: crash.Suspected, Crashes: 1})
		case "explained":
			d.Learn(now, "n", crash.Suspicion{Fingerprint: s.fingerprint, Change: crash.Explained})
		case "completed":
			d.Learn(now, "n", crash.Suspicion{Fingerprint: s.fingerprint, Change: crash.Completed})
		}
	}
	return d, now
}

// Guards against a request that starts on a server held for a suspect, and against a suspect that begins
// while its server has other runs.
func TestIsolation(t *testing.T) {
	t.Parallel()
	d := crash.New()
	otherRun, _ := d.Start("a", "1")
	suspectRun, ok := d.Reserve("x", "1")
	if !ok || d.Idle(suspectRun) {
		t.Error("suspect is idle beside another run")
	}
	if _, ok := d.Start("b", "1"); ok {
		t.Error("a run started on a held server")
	}
	d.ServerDied(start, "1")
	if d.Idle(suspectRun) {
		t.Error("suspect is idle beside a run that a late report of a death did not end")
	}
	d.Abandon(otherRun)
	if !d.Idle(suspectRun) {
		t.Error("suspect is not idle after the other run ended")
	}
	d.Complete(suspectRun, "x")
	if _, ok := d.Start("b", "1"); !ok {
		t.Error("server is still held")
	}
}

// Guards against unbounded growth of the suspects.
func TestSuspectLimit(t *testing.T) {
	t.Parallel()
	d := crash.New()
	for i := range 5000 {
		f := crash.NewFingerprint("acc", "m", time.Duration(i).String(), nil)
		d.Learn(start.Add(time.Duration(i)), "n", crash.Suspicion{Fingerprint: f, Change: crash.Suspected})
	}
	first, last := crash.NewFingerprint("acc", "m", time.Duration(0).String(), nil), crash.NewFingerprint("acc", "m", time.Duration(4999).String(), nil)
	if s, _ := d.Suspect(start, first); s {
		t.Error("the oldest suspect was not evicted")
	}
	if s, _ := d.Suspect(start, last); !s {
		t.Error("the newest suspect was evicted")
	}
}
