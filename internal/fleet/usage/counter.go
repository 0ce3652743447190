package usage

import (
	"maps"
	"time"
)

const (
	// openInterval is the time between two reports of a window that has not ended.
	openInterval = time.Second
	// keepWindows is the number of windows before the current one that are kept, for requests that are counted late.
	keepWindows = 4
)

// Counter counts the requests of one process that began to run. It does no I/O. Times are true time as estimated by TrueTime. It is not
// safe for concurrent use.
type Counter struct {
	length  time.Duration
	windows map[uint64]*counted
	// ended is the last window that was reported as final, and reportedAt is when an open window was last reported.
	ended      uint64
	reportedAt time.Time
}

// counted holds the counts of a window.
type counted struct {
	counts  Counts
	changed bool
}

// NewCounter returns a Counter for windows of a length. The counts of the window in which it is made are complete, because nothing ran
// in the process before.
func NewCounter(now time.Time, length time.Duration) *Counter {
	return &Counter{length: length, windows: make(map[uint64]*counted), ended: max(Window(now, length), 1) - 1}
}

// Began counts a request of an account that began to run. Requests without an account are not counted.
func (c *Counter) Began(now time.Time, account string) {
	if account == "" {
		return
	}
	w := c.window(Window(now, c.length))
	w.counts[account]++
	w.changed = true
}

func (c *Counter) window(window uint64) *counted {
	w := c.windows[window]
	if w == nil {
		w = &counted{counts: make(Counts)}
		c.windows[window] = w
	}
	return w
}

// Close returns all counts that have not been reported, as final ones, because the process ends.
func (c *Counter) Close() []WindowCounts {
	var out []WindowCounts
	for k, w := range c.windows {
		if w.changed {
			w.changed = false
			out = append(out, WindowCounts{Window: k, Counts: maps.Clone(w.counts), Final: true})
		}
	}
	return out
}

// Reports returns the counts to report now: those of windows that have ended since the last call, also if they are empty, and once a
// second those of other windows that have changed.
func (c *Counter) Reports(now time.Time) []WindowCounts {
	current := Window(now, c.length)
	var out []WindowCounts
	// After a long pause, only the last windows are reported as empty.
	for k := max(c.ended+1, current-min(current, keepWindows)); k < current; k++ {
		w := c.window(k)
		w.changed = false
		out = append(out, WindowCounts{Window: k, Counts: maps.Clone(w.counts), Final: true})
	}
	c.ended = max(c.ended, max(current, 1)-1)
	if since := now.Sub(c.reportedAt); since >= openInterval || since < 0 {
		c.reportedAt = now
		for k, w := range c.windows {
			if w.changed {
				w.changed = false
				out = append(out, WindowCounts{Window: k, Counts: maps.Clone(w.counts), Final: k <= c.ended})
			}
		}
	}
	maps.DeleteFunc(c.windows, func(k uint64, w *counted) bool { return !w.changed && k+keepWindows < current })
	return out
}
