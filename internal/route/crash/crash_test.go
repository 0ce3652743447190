package crash_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/route/crash"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// step is one event of a scenario; runs are named by their fingerprint and server.
type step struct {
	do     string
	f      crash.Fingerprint
	server string
	after  time.Duration
}

// Guards against a request that crashes servers and is not suspected, and against one that stays
// suspected although it completed, only shared the server, or had not begun.
func TestSuspicion(t *testing.T) {
	t.Parallel()
	shared := []step{{do: "start", f: "a", server: "1"}, {do: "start", f: "x", server: "1"}, {do: "died", server: "1"}}
	tests := []struct {
		name  string
		steps []step
		want  map[crash.Fingerprint]bool
	}{
		{"all that ran there", shared, map[crash.Fingerprint]bool{"a": true, "x": true, "b": false}},
		{
			"completed", append(shared[:3:3], step{do: "hold", f: "a", server: "2"}, step{do: "complete", f: "a", server: "2"}),
			map[crash.Fingerprint]bool{"a": false, "x": true},
		},
		{
			"completed after the death was reported", append(shared[:3:3], step{do: "complete", f: "a", server: "1"}),
			map[crash.Fingerprint]bool{"a": false, "x": true},
		},
		{
			"explained by a crash alone", append(shared[:3:3], step{do: "hold", f: "x", server: "2"}, step{do: "died", server: "2"}),
			map[crash.Fingerprint]bool{"a": false, "x": true},
		},
		{
			"explained by weight", append(shared[:3:3], step{do: "start", f: "x", server: "2"}, step{do: "start", f: "b", server: "2"}, step{do: "died", server: "2"}),
			map[crash.Fingerprint]bool{"a": false, "b": false, "x": true},
		},
		{
			"equal weights explain nothing", append(shared[:3:3], step{do: "start", f: "x", server: "2"}, step{do: "start", f: "a", server: "2"}, step{do: "died", server: "2"}),
			map[crash.Fingerprint]bool{"a": true, "x": true},
		},
		{
			"broke just before the report",
			[]step{{do: "start", f: "x", server: "1"}, {do: "break", f: "x", server: "1"}, {do: "died", server: "1", after: time.Second}},
			map[crash.Fingerprint]bool{"x": true},
		},
		{
			"broke long before the report",
			[]step{{do: "start", f: "x", server: "1"}, {do: "break", f: "x", server: "1"}, {do: "died", server: "1", after: time.Minute}},
			map[crash.Fingerprint]bool{"x": false},
		},
		{"holder that had not begun", []step{{do: "wait", f: "a", server: "1"}, {do: "died", server: "1"}}, map[crash.Fingerprint]bool{"a": false}},
		{"told by another node", []step{{do: "learn", f: "x"}}, map[crash.Fingerprint]bool{"x": true}},
		{"explained by another node", []step{{do: "learn", f: "x"}, {do: "explained", f: "x"}}, map[crash.Fingerprint]bool{"x": false}},
		{"explained elsewhere, open here", append(shared[:3:3], step{do: "explained", f: "x"}), map[crash.Fingerprint]bool{"x": true}},
		{"completed on another node", append(shared[:3:3], step{do: "completed", f: "a"}), map[crash.Fingerprint]bool{"a": false, "x": true}},
		{"forgotten", append(shared[:3:3], step{do: "died", after: 2 * time.Hour}), map[crash.Fingerprint]bool{"a": false, "x": false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d, now := play(tt.steps)
			for f, want := range tt.want {
				if got, _ := d.Suspect(now, f); got != want {
					t.Errorf("%s suspected: %v, want %v", f, got, want)
				}
			}
		})
	}
}

func play(steps []step) (*crash.Decider, time.Time) {
	d, now := crash.New(), start
	ids := make(map[string]crash.RunID)
	for _, s := range steps {
		now = now.Add(s.after)
		name := string(s.f) + s.server
		switch s.do {
		case "start":
			ids[name], _ = d.Start(s.f, s.server)
		case "wait":
			ids[name], _ = d.Hold(s.f, s.server)
		case "hold":
			ids[name], _ = d.Hold(s.f, s.server)
			d.Begin(ids[name])
		case "complete":
			d.Complete(ids[name], s.f)
		case "break":
			d.Break(now, ids[name])
		case "died":
			d.Died(now, s.server)
		case "learn":
			d.Learn(now, "n", crash.Suspicion{Fingerprint: s.f, Change: crash.Suspected, Crashes: 1})
		case "explained":
			d.Learn(now, "n", crash.Suspicion{Fingerprint: s.f, Change: crash.Explained})
		case "completed":
			d.Learn(now, "n", crash.Suspicion{Fingerprint: s.f, Change: crash.Completed})
		}
	}
	return d, now
}

// Guards against another request that starts beside a suspect, and a suspect that begins beside others.
func TestIsolation(t *testing.T) {
	t.Parallel()
	d := crash.New()
	other, _ := d.Start("a", "1")
	own, ok := d.Hold("x", "1")
	if !ok || d.Idle(own) {
		t.Error("suspect is idle beside another run")
	}
	if _, ok := d.Start("b", "1"); ok {
		t.Error("a run started on a held server")
	}
	d.Died(start, "1")
	if d.Idle(own) {
		t.Error("suspect is idle beside a run that a late report of a death did not end")
	}
	d.Abandon(other)
	if !d.Idle(own) {
		t.Error("suspect is not idle after the other run ended")
	}
	d.Complete(own, "x")
	if _, ok := d.Start("b", "1"); !ok {
		t.Error("server is still held")
	}
}

// Guards against memory that grows with each crash.
func TestBound(t *testing.T) {
	t.Parallel()
	d := crash.New()
	for i := range 5000 {
		f := crash.Of("acc", "m", time.Duration(i).String(), nil)
		d.Learn(start.Add(time.Duration(i)), "n", crash.Suspicion{Fingerprint: f, Change: crash.Suspected})
	}
	first, last := crash.Of("acc", "m", time.Duration(0).String(), nil), crash.Of("acc", "m", time.Duration(4999).String(), nil)
	if s, _ := d.Suspect(start, first); s {
		t.Error("the oldest suspect is still there")
	}
	if s, _ := d.Suspect(start, last); !s {
		t.Error("the newest suspect is gone")
	}
}
