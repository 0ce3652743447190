// Package window counts events within a sliding span of time.
package window

import "time"

// Counter counts the events of the last span. It is not safe for concurrent use.
type Counter struct {
	span time.Duration
	at   []time.Time
}

// New returns a counter without events.
func New(span time.Duration) *Counter { return &Counter{span: span} }

// Add counts an event.
func (c *Counter) Add(now time.Time) {
	c.drop(now)
	c.at = append(c.at, now)
}

// Count returns the number of events in the span before now.
func (c *Counter) Count(now time.Time) int {
	c.drop(now)
	return len(c.at)
}

// Room returns when there will be fewer than limit events: now, if there are.
func (c *Counter) Room(now time.Time, limit int) time.Time {
	c.drop(now)
	if len(c.at) < limit {
		return now
	}
	if limit <= 0 {
		return now.Add(c.span)
	}
	return c.at[len(c.at)-limit].Add(c.span)
}

func (c *Counter) drop(now time.Time) {
	n := 0
	for n < len(c.at) && now.Sub(c.at[n]) >= c.span {
		n++
	}
	if n > 0 {
		c.at = append(c.at[:0], c.at[n:]...)
	}
}
