// Package window counts events in a sliding time window.
package window

import "time"

// Counter counts the events in the last span of time. It is not safe for concurrent use.
type Counter struct {
	span  time.Duration
	times []time.Time
}

// New returns an empty counter with a window of length span.
func New(span time.Duration) *Counter { return &Counter{span: span} }

// Add records an event at now.
func (c *Counter) Add(now time.Time) {
	c.removeExpired(now)
	c.times = append(c.times, now)
}

// Count returns the number of events in the window that ends at now.
func (c *Counter) Count(now time.Time) int {
	c.removeExpired(now)
	return len(c.times)
}

// Room returns the earliest time at which the window has fewer than limit events, or now if it already
// does. If limit is not positive, it returns now plus the length of the window.
func (c *Counter) Room(now time.Time, limit int) time.Time {
	c.removeExpired(now)
	if len(c.times) < limit {
		return now
	}
	if limit <= 0 {
		return now.Add(c.span)
	}
	return c.times[len(c.times)-limit].Add(c.span)
}

func (c *Counter) removeExpired(now time.Time) {
	n := 0
	for n < len(c.times) && now.Sub(c.times[n]) >= c.span {
		n++
	}
	if n > 0 {
		c.times = append(c.times[:0], c.times[n:]...)
	}
}
