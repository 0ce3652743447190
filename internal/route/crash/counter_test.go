package crash_test

import (
	"testing"

	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/crash"
)

// Guards against a crash that is not counted, because a restored table has lost the count of its run, and against one that is
// counted twice.
func TestCrashOfLostRun(t *testing.T) {
	t.Parallel()
	c := crash.RecordCrash("token")
	c.Start()
	w, ok := c.Next(start, crash.ReadEnded{OK: true}).(crash.Write)
	if !ok || w.Row.Crashed != 1 || !w.Row.At.Equal(start) {
		t.Fatalf("got %+v, want a write with one crash", w)
	}
	if act := c.Next(start, crash.WriteEnded{Err: table.ErrUnknown}); act != (crash.Read{}) {
		t.Fatalf("got %+v after an unknown result, want a read", act)
	}
	if act := c.Next(start, crash.ReadEnded{OK: true, Row: w.Row}); act != crash.Allowed {
		t.Errorf("got %+v after the write took effect, want %v", act, crash.Allowed)
	}
	release := crash.ReleaseRun("token")
	release.Start()
	if act := release.Next(start, crash.ReadEnded{OK: true}); act != crash.Allowed {
		t.Errorf("got %+v for the end of a lost run, want %v", act, crash.Allowed)
	}
}
