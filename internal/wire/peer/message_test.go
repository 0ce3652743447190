package peer_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/route/shed"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
)

// Guards against messages of many links that do not end and fill the memory together, and against a sound node that gets no large
// message through beside them.
func TestUnfinishedMessages(t *testing.T) {
	const limit, links = 1 << 20, 8
	f := newFleet(t)
	f.messages = shed.New(limit)
	a, _ := f.start("a", "1")
	b, _ := f.start("b", "1")
	for i := range links {
		noise.UnfinishedMessage(t, f.addrs["b"], fmt.Sprint("x", i))
	}
	a.Want("test", []string{"b"})
	got := make(chan int, 1)
	peer.On(b, func(_ peer.Peer, m *frame.ConfigDocument) {
		select {
		case got <- len(m.Doc):
		default:
		}
	})
	const documentBytes = 300 << 10
	eventually(t, "a large message of a sound node", func() bool {
		_ = a.Send("b", &frame.ConfigDocument{Doc: make([]byte, documentBytes)})
		select {
		case n := <-got:
			return n == documentBytes
		case <-time.After(100 * time.Millisecond):
			return false
		}
	})
	if s := f.messages.Stats(); s.Shed == 0 {
		t.Errorf("%+v", s)
	}
	eventually(t, "memory is returned", func() bool { return f.messages.Stats().Held <= frame.MaxBytes })
}
