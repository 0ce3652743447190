package stall_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/route/stall"
)

const server = "s"

// newWatch returns a Monitor with streams that received an event every 50 ms, their IDs, and the time of the last
// event.
func newWatch(streams int) (*stall.Monitor, []stall.ID, time.Time) {
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

// shortPass returns the pass time of a server without prompts to process.
func shortPass(string) time.Duration { return 50 * time.Millisecond }

// Guards against a server that is processing prompts and is reported as stalled. Its streams receive their events
// together, at the end of each pass.
func TestPromptPass(t *testing.T) {
	t.Parallel()
	w, _, now := newWatch(8)
	promptPass := func(string) time.Duration { return 290 * time.Millisecond }
	if got := w.Check(now.Add(380*time.Millisecond), promptPass); len(got) > 0 {
		t.Error("stalled during a pass of 290 ms")
	}
	if got := w.Check(now.Add(400*time.Millisecond), promptPass); len(got) != 1 {
		t.Error("not stalled after a pass of 290 ms")
	}
}

// Guards against a stalled server that is detected late, and against a working one that is reported as stalled.
func TestSilence(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		streams int
		after   time.Duration
	}{{1, 300 * time.Millisecond}, {2, 250 * time.Millisecond}, {8, 200 * time.Millisecond}} {
		w, _, now := newWatch(tt.streams)
		if got := w.Check(now.Add(tt.after-time.Millisecond), shortPass); len(got) > 0 {
			t.Errorf("%d streams: stalled before %v", tt.streams, tt.after)
		}
		if got := w.Check(now.Add(tt.after), shortPass); len(got) != 1 || !w.Stalled(now.Add(tt.after), server) {
			t.Errorf("%d streams: not stalled after %v", tt.streams, tt.after)
		}
		if got := w.Check(now.Add(tt.after+10*time.Millisecond), shortPass); len(got) > 0 {
			t.Errorf("%d streams: reported twice", tt.streams)
		}
	}
}

// Guards against a slow but working server that is reported as stalled.
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
	if got := w.Check(now.Add(600*time.Millisecond), shortPass); len(got) > 0 {
		t.Error("a server with passes of 180 ms is stalled after 600 ms")
	}
	if got := w.Check(now.Add(time.Second), shortPass); len(got) == 0 {
		t.Error("a server with passes of 180 ms is not stalled after 1 s")
	}
}

// Guards against many trial requests to a stalled server at once, and against a server that is never tried again.
func TestTrial(t *testing.T) {
	t.Parallel()
	w, ids, now := newWatch(3)
	now = now.Add(time.Second)
	w.Check(now, shortPass)
	hold := stall.DefaultConfig().InitialHold
	if !w.Stalled(now.Add(hold-time.Millisecond), server) || w.Stalled(now.Add(hold), server) {
		t.Error("the hold does not last for Config.InitialHold")
	}
	now = now.Add(hold)
	w.RecordTrial(now, server)
	if !w.Stalled(now, server) {
		t.Error("a second request is allowed right after the trial")
	}
	w.MarkStalled(now, server)
	if !w.Stalled(now.Add(2*hold-time.Millisecond), server) {
		t.Error("the second hold is not longer than the first")
	}
	w.Progress(now, server, ids[0])
	if w.Stalled(now, server) {
		t.Error("progress does not end the stall")
	}
}

// Guards against ended streams that count as silent.
func TestEndedStreams(t *testing.T) {
	t.Parallel()
	w, ids, now := newWatch(3)
	for _, id := range ids {
		w.End(server, id)
	}
	if got := w.Check(now.Add(time.Minute), shortPass); len(got) > 0 {
		t.Error("a server without streams is stalled")
	}
}
