package window_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/core/window"
)

// Guards against events that are counted for longer or shorter than the window.
func TestCounter(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c := window.New(time.Second)
	for _, ms := range []int{0, 400, 999} {
		c.Add(at(ms))
	}
	if n := c.Count(at(999)); n != 3 {
		t.Errorf("%d events after 999 ms, want 3", n)
	}
	if room := c.Room(at(999), 3); !room.Equal(at(1000)) {
		t.Errorf("a third event is allowed at %v, want %v", room, at(1000))
	}
	if room := c.Room(at(999), 2); !room.Equal(at(1400)) {
		t.Errorf("a second event is allowed at %v, want %v", room, at(1400))
	}
	if n := c.Count(at(1000)); n != 2 {
		t.Errorf("%d events after a second, want 2", n)
	}
	if room := c.Room(at(2500), 1); !room.Equal(at(2500)) {
		t.Errorf("no event is allowed after all events have expired: %v", room)
	}
}
