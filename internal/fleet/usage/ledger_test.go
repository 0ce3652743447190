package usage_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/plat/table"
)

// tenure is a tenure of a test. It begins after the end of the window before that of epoch.
type tenure struct {
	fence      uint64
	continuous bool
	rows       []table.Row
}

// storedOf lets a ledger that has counts of the window before epoch, and of the next one, go through tenures of a second each, the last
// one until the next window has ended. It returns the rows that the ledger wants to create.
func storedOf(tenures ...tenure) map[uint64]table.Put {
	l := usage.NewLedger(usage.LedgerConfig{Length: window, Lateness: lateness})
	now, out := epoch.Add(100*time.Millisecond), make(map[uint64]table.Put)
	k := usage.Window(epoch, window)
	for _, w := range []uint64{k - 1, k} {
		l.Merge(now, []usage.Report{{Process: usage.Process{Node: "n", Incarnation: "1"}, Windows: []usage.WindowCounts{{Window: w, Counts: usage.Counts{"a": 1}, Final: true}}}})
	}
	for i, t := range tenures {
		l.Start(now, t.fence, t.continuous)
		l.Next(now, nil, false)
		l.RowsRead(now, t.rows, nil)
		end := now.Add(time.Second)
		if i == len(tenures)-1 {
			end = epoch.Add(window + 4*time.Second)
		}
		for ; now.Before(end); now = now.Add(step) {
			actions, _ := l.Next(now, nil, false)
			for _, a := range actions {
				if a.Kind == usage.Store {
					out[a.Window] = a.Txn.Puts[0]
					l.Stored(now, a, nil)
				}
			}
		}
	}
	return out
}

// Guards against windows that are reported again with other counts because a restored store has lost their rows: by the first holder
// of the era, by one that follows it, and by one that held the duty before the restoration, but not when the window was reported.
func TestFloor(t *testing.T) {
	t.Parallel()
	k := usage.Window(epoch, window)
	first := storedOf(tenure{fence: duty.EraSize + 5})
	row, ok := first[k]
	if !ok || len(first) != 1 {
		t.Fatalf("the first holder of an era stores %v", first)
	}
	next := table.Row{Key: row.Key, Value: row.Value, Revision: table.Revision{Era: 2, Number: 1}}
	if got := storedOf(tenure{fence: duty.EraSize + 6, rows: []table.Row{next}}); len(got) != 0 {
		t.Errorf("the next holder of the era stores %v", got)
	}
	if got := storedOf(tenure{fence: 2}, tenure{fence: duty.EraSize + 5, continuous: true}); len(got) != 1 {
		t.Errorf("the last holder of the era before stores %v, want only the window that ended in its tenures", got)
	}
	if got := storedOf(tenure{fence: 2}); len(got) != 2 {
		t.Errorf("without a restoration, %v are stored", got)
	}
}

// Guards against a process that was not running and takes messages which waited for it for the current time of other nodes.
func TestTrueTimeAfterPause(t *testing.T) {
	t.Parallel()
	c := usage.NewTrueTime(0, epoch)
	const pause = 4 * time.Second
	c.ObserveOwn(0, epoch)
	for sent := time.Duration(0); sent < pause/2; sent += step {
		for _, node := range []string{"a", "b"} {
			c.ObservePeer(pause, node, epoch.Add(sent), epoch.Add(sent))
		}
	}
	c.ObserveOwn(pause, epoch.Add(pause))
	c.ObservePeer(pause+step, "a", epoch.Add(pause/2), epoch.Add(pause/2))
	if off := c.Now(pause).Sub(epoch.Add(pause)); off.Abs() > step {
		t.Errorf("the estimate is off by %v", off)
	}
}
