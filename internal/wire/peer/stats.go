package peer

import (
	"sync/atomic"

	"geraniumhollow/internal/wire/frame"
)

// Count is a number of messages and their bytes, WebSocket framing included.
type Count struct {
	Messages uint64
	Bytes    uint64
}

// Stats are the messages of each kind so far. Kinds without messages are absent.
type Stats struct {
	Sent     map[frame.Kind]Count
	Received map[frame.Kind]Count
}

// Total returns the sum over the kinds of a map of Stats.
func Total(m map[frame.Kind]Count) Count {
	var t Count
	for _, c := range m {
		t.Messages += c.Messages
		t.Bytes += c.Bytes
	}
	return t
}

type counter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

// counters has an entry for each kind of the schema and is not changed after newCounters.
type counters struct {
	sent     map[frame.Kind]*counter
	received map[frame.Kind]*counter
}

func newCounters() *counters {
	c := &counters{sent: make(map[frame.Kind]*counter), received: make(map[frame.Kind]*counter)}
	for _, k := range frame.Kinds() {
		c.sent[k], c.received[k] = &counter{}, &counter{}
	}
	return c
}

func (c *counters) snapshot() Stats {
	return Stats{Sent: read(c.sent), Received: read(c.received)}
}

func read(m map[frame.Kind]*counter) map[frame.Kind]Count {
	out := make(map[frame.Kind]Count)
	for k, c := range m {
		if messages := c.messages.Load(); messages > 0 {
			out[k] = Count{Messages: messages, Bytes: c.bytes.Load()}
		}
	}
	return out
}

// wireBytes returns the length of a message with its WebSocket framing: 2, 4 or 10 bytes, and a mask
// of 4 bytes from the side that dialled.
func wireBytes(payload int, masked bool) int {
	n := payload + 2
	switch {
	case payload > 0xffff:
		n += 8
	case payload > 125:
		n += 2
	}
	if masked {
		n += 4
	}
	return n
}
