package picks

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their simulated times.
type clock struct {
	now    time.Duration
	seq    int
	events events
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

// epoch is the simulated time 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Now returns the simulated time of day.
func (c *clock) Now() time.Time { return epoch.Add(c.now) }

// after runs do when d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + max(0, d), c.seq, do})
}

// run runs events until the given time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e, ok := heap.Pop(&c.events).(event)
		if !ok {
			return
		}
		c.now = e.at
		e.do()
	}
	c.now = until
}

// events implements heap.Interface.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
