package usage_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/wire/frame"
)

// Guards against reports that do not fit into the bounds of a frame, or change on their way.
func TestFrames(t *testing.T) {
	t.Parallel()
	many := make(usage.Counts)
	for i := range 5000 {
		many[fmt.Sprintf("a%d", i)] = uint64(i + 1)
	}
	p := usage.Process{Node: "10.1.0.40:7340", Incarnation: "i"}
	sent := usage.NewForwarder(p, window)
	sent.Merge(0, []usage.Report{{
		Process: p, Windows: []usage.WindowCounts{{Window: 7, Counts: many, Final: true}, {Window: 8, Counts: usage.Counts{"a": 1}}},
		DemandSeq: 1, Demand: []usage.Demand{{Service: "s", Model: "m", DataCentre: "d", Arrivals: 1, PromptTokens: 2, AnswerTokens: 3, Refused: 4, Late: 5}},
	}})
	got := usage.NewForwarder(p, window)
	for _, f := range usage.ToFrames(sent.Take(epoch)) {
		b, err := frame.Encode(frame.Header{}, f)
		if err != nil {
			t.Fatal(err)
		}
		_, msg, err := frame.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		report, ok := msg.(*frame.UsageReport)
		if !ok {
			t.Fatalf("got %T", msg)
		}
		got.Merge(0, usage.FromFrame(report))
	}
	if !reflect.DeepEqual(got.All(), sent.All()) {
		t.Error("the reports have changed on their way")
	}
	sent.Resend()
	if _, want := got.Take(epoch), sent.Take(epoch); len(want) == 0 {
		t.Error("nothing is sent again")
	}
}

// Guards against the loss of the counts of a process that ended before the end of a window, and against messages on each link for
// counts that are not final.
func TestHoldsBackOpenWindows(t *testing.T) {
	t.Parallel()
	f := usage.NewForwarder(usage.Process{Node: "self", Incarnation: "1"}, window)
	k := usage.Window(epoch, window)
	for _, node := range []string{"self", "other"} {
		f.Merge(0, []usage.Report{{
			Process: usage.Process{Node: node, Incarnation: "1"}, Windows: []usage.WindowCounts{{Window: k, Counts: usage.Counts{"a": 1}}},
		}})
	}
	if got := f.Take(epoch.Add(time.Second)); len(got) != 1 || got[0].Process.Node != "self" {
		t.Errorf("within the window: got %v", got)
	}
	if got := f.Take(epoch.Add(window + time.Second)); len(got) != 1 || got[0].Process.Node != "other" {
		t.Errorf("after its end: got %v", got)
	}
}

// Guards against demand that counts twice, and counts that a late or repeated message lowers.
func TestMergeIsIdempotent(t *testing.T) {
	t.Parallel()
	f := usage.NewForwarder(usage.Process{}, window)
	report := func(n, seq uint64) []usage.Report {
		return []usage.Report{{
			Process: usage.Process{Node: "n", Incarnation: "1"}, DemandSeq: seq, Demand: []usage.Demand{{Service: "s", Arrivals: n}},
			Windows: []usage.WindowCounts{{Window: 7, Counts: usage.Counts{"a": n}}},
		}}
	}
	if got := f.Merge(0, report(2, 2)); !reflect.DeepEqual(got, report(2, 2)) {
		t.Errorf("a first report: got %v", got)
	}
	for _, r := range [][]usage.Report{report(2, 2), report(1, 1)} {
		if got := f.Merge(0, r); len(got) != 0 {
			t.Errorf("%v is new after a later report", got)
		}
	}
	if got := f.All()[0].Windows[0].Counts["a"]; got != 2 {
		t.Errorf("got %d", got)
	}
	if f.Merge(time.Minute, nil); len(f.All()) != 0 {
		t.Error("counts are kept without end")
	}
}

// Guards against windows without final counts, for which the holder would wait, and requests that are counted after the end of their
// window and forgotten.
func TestCounter(t *testing.T) {
	t.Parallel()
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	k := usage.Window(epoch, window)
	c := usage.NewCounter(at(1), window)
	c.Began(at(2), "a")
	c.Began(at(2), "")
	if got := c.Reports(at(2.1)); !reflect.DeepEqual(got, []usage.WindowCounts{{Window: k, Counts: usage.Counts{"a": 1}}}) {
		t.Errorf("open window: got %v", got)
	}
	if got := c.Reports(at(4)); len(got) != 0 {
		t.Errorf("unchanged window: got %v", got)
	}
	want := []usage.WindowCounts{{Window: k, Counts: usage.Counts{"a": 1}, Final: true}, {Window: k + 1, Counts: usage.Counts{}, Final: true}}
	if got := c.Reports(at(10)); !reflect.DeepEqual(got, want) {
		t.Errorf("ended windows: got %v, want %v", got, want)
	}
	c.Began(at(4.9), "a")
	if got := c.Reports(at(11.5)); !reflect.DeepEqual(got, []usage.WindowCounts{{Window: k, Counts: usage.Counts{"a": 2}, Final: true}}) {
		t.Errorf("late request: got %v", got)
	}
	if got := c.Reports(at(3600)); len(got) > 5 {
		t.Errorf("after a pause: %d windows", len(got))
	}
}

// Guards against a node without others that follows a jump of its clock, or never follows it.
func TestTrueTimeAlone(t *testing.T) {
	t.Parallel()
	c := usage.NewTrueTime(0, epoch)
	for mono := time.Duration(0); mono < 20*time.Minute; mono += time.Second {
		c.ObserveOwn(mono, epoch.Add(mono+10*time.Second))
		off := c.Now(mono).Sub(epoch.Add(mono))
		if followed := off > time.Second; followed != (mono > 10*time.Minute) && mono > 0 && mono != 10*time.Minute {
			t.Fatalf("after %v, the estimate is %v ahead", mono, off)
		}
	}
}
