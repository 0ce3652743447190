package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumhollow/internal/route/choose"
)

// agedTable returns a table of servers that have just reported the given load, except that the first one reported two running
// requests at the given time.
func agedTable(now, reportedAt time.Time, load int) *choose.Table {
	cfg := choose.DefaultConfig()
	cfg.MaxReportAge, cfg.FirstTokenLearningRate = time.Hour, 0.03
	tab := choose.NewTable(cfg, start)
	for i := range 8 {
		id := tab.Put(choose.Spec{Name: fmt.Sprint("s", i), Model: "m", WarmRequests: 26, SlotTime: 2 * time.Second})
		r := choose.Report{Instance: "i", Open: true, Running: load, CreatedAt: now}
		if i == 0 {
			r.Running, r.CreatedAt = 2, reportedAt
		}
		tab.ApplyReport(id, r)
	}
	return tab
}

// Guards against a server that is taken for idle long after it has reported to be, so that all nodes overload it, and against one that
// gets no requests although it has just reported to be.
func TestAgedReports(t *testing.T) {
	t.Parallel()
	now := start.Add(10 * time.Second)
	for _, tt := range []struct {
		age             time.Duration
		load            int
		atLeast, atMost int
	}{{0, 26, 100, 100}, {5 * time.Second, 20, 5, 40}} {
		tab, c := agedTable(now, now.Add(-tt.age), tt.load), choose.NewAged(rand.New(rand.NewPCG(1, 1)))
		chosen := 0
		for range 100 {
			if id, ok := c.Choose(tab, now, choose.Request{Model: "m", PromptTokens: 100}); !ok {
				t.Fatal("no server was chosen")
			} else if id == 0 {
				chosen++
			}
		}
		if chosen < tt.atLeast || chosen > tt.atMost {
			t.Errorf("a server that was idle %v ago was chosen %d times", tt.age, chosen)
		}
	}
}

// Guards against requests to a server that has not started an earlier one of this node for a second.
func TestAgedAvoidsQueue(t *testing.T) {
	t.Parallel()
	now := start.Add(10 * time.Second)
	tab, c := agedTable(now, now, 20), choose.NewAged(rand.New(rand.NewPCG(1, 1)))
	req := choose.Request{Model: "m", PromptTokens: 100}
	sent := c.RecordSend(tab, 0, now, req)
	now = now.Add(time.Second)
	if id, _ := c.Choose(tab, now, req); id == 0 {
		t.Error("chose a server that does not answer")
	}
	if est, ok := c.Estimate(tab, 0, now, req); !ok || est < 500*time.Millisecond {
		t.Errorf("estimate %v, %v", est, ok)
	}
	tab.RecordFirstToken(0, sent, now, time.Second)
	if est, _ := c.Estimate(tab, 1, now, req); est < 20*time.Millisecond {
		t.Errorf("the first token after a second left an estimate of %v", est)
	}
}
