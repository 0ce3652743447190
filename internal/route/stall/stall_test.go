package stall_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/route/stall"
)

const server = "s"

// watch returns a watch with streams that bring an event each 50 ms until a time, and that time.
func watch(streams int) (*stall.Watch, []stall.ID, time.Time) {
	w := stall.New(stall.DefaultConfig())
	now := time.Unix(1000, 0)
	ids := make([]stall.ID, 0, streams)
	for range streams {
		ids = append(ids, w.Begin(now, server))
	}
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		for _, id := range ids {
			w.Progress(now, server, id)
		}
	}
	return w, ids, now
}

// short is the pass of a server without prompts to read.
func short(string) time.Duration { return 50 * time.Millisecond }

// Guards against a server that reads prompts and is taken for one that stands still. The streams of one server
// get their events together, at the end of each pass.
func TestReading(t *testing.T) {
	t.Parallel()
	w, _, now := watch(8)
	reading := func(string) time.Duration { return 290 * time.Millisecond }
	if got := w.Check(now.Add(380*time.Millisecond), reading); len(got) > 0 {
		t.Error("stalled during a pass of 290 ms")
	}
	if got := w.Check(now.Add(400*time.Millisecond), reading); len(got) != 1 {
		t.Error("not stalled after a pass of 290 ms")
	}
}

// Guards against a server without progress that is noticed late, and one that works and is given up.
func TestSilence(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		streams int
		after   time.Duration
	}{{1, 300 * time.Millisecond}, {2, 250 * time.Millisecond}, {8, 200 * time.Millisecond}} {
		w, _, now := watch(tt.streams)
		if got := w.Check(now.Add(tt.after-time.Millisecond), short); len(got) > 0 {
			t.Errorf("%d streams: stalled before %v", tt.streams, tt.after)
		}
		if got := w.Check(now.Add(tt.after), short); len(got) != 1 || !w.Stalled(now.Add(tt.after), server) {
			t.Errorf("%d streams: not stalled after %v", tt.streams, tt.after)
		}
		if got := w.Check(now.Add(tt.after+10*time.Millisecond), short); len(got) > 0 {
			t.Errorf("%d streams: reported twice", tt.streams)
		}
	}
}

// Guards against a slow server that works and is taken for one that stands still.
func TestSlowServer(t *testing.T) {
	t.Parallel()
	w := stall.New(stall.DefaultConfig())
	now := time.Unix(1000, 0)
	ids := []stall.ID{w.Begin(now, server), w.Begin(now, server), w.Begin(now, server)}
	for range 200 {
		now = now.Add(180 * time.Millisecond)
		for _, id := range ids {
			w.Progress(now, server, id)
		}
	}
	if got := w.Check(now.Add(600*time.Millisecond), short); len(got) > 0 {
		t.Error("a server with passes of 180 ms is stalled after 600 ms")
	}
	if got := w.Check(now.Add(time.Second), short); len(got) == 0 {
		t.Error("it is not stalled after a second")
	}
}

// Guards against a stalled server that is tried by many requests, or never again.
func TestTrial(t *testing.T) {
	t.Parallel()
	w, ids, now := watch(3)
	now = now.Add(time.Second)
	w.Check(now, short)
	hold := stall.DefaultConfig().Hold
	if !w.Stalled(now.Add(hold-time.Millisecond), server) || w.Stalled(now.Add(hold), server) {
		t.Error("the hold does not last as long as it should")
	}
	now = now.Add(hold)
	w.Trial(now, server)
	if !w.Stalled(now, server) {
		t.Error("a second request follows the trial at once")
	}
	w.Mark(now, server)
	if !w.Stalled(now.Add(2*hold-time.Millisecond), server) {
		t.Error("the second hold is not longer than the first")
	}
	w.Progress(now, server, ids[0])
	if w.Stalled(now, server) {
		t.Error("progress does not end the stall")
	}
}

// Guards against streams that have ended and still count as silent.
func TestEnd(t *testing.T) {
	t.Parallel()
	w, ids, now := watch(3)
	for _, id := range ids {
		w.End(server, id)
	}
	if got := w.Check(now.Add(time.Minute), short); len(got) > 0 {
		t.Error("a server without streams is stalled")
	}
}
