package pass_test

import (
	"fmt"
	"strings"
	"testing"

	"geraniumhollow/internal/node/pass"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n) }

func stream(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// Guards against events that are lost, doubled or joined from halves, however the bytes are cut and wherever
// the stream breaks off and is resumed.
func TestEventsInPieces(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var e pass.Events
		whole, got := stream(1, 9), ""
		feed := func(s string) {
			for len(s) > 0 {
				n := rapid.IntRange(1, len(s)).Draw(rt, "piece")
				out, err := e.Add(s[:n])
				if err != nil {
					rt.Fatal(err)
				}
				got, s = got+out, s[n:]
			}
		}
		feed(whole[:rapid.IntRange(0, len(whole)).Draw(rt, "broken at")])
		var resumed pass.Events
		if e.Last() != "" {
			resumed.From(e.Last())
		}
		// The next server may begin earlier than it was asked to.
		first := 1
		if e.Last() != "" {
			first = rapid.IntRange(1, int(e.Last()[0]-'0')+1).Draw(rt, "resumed at")
		}
		e = resumed
		feed(stream(first, 9))
		if got != whole {
			rt.Fatalf("got %q", got)
		}
	})
}

// Guards against a stream with a missing event that is passed on.
func TestEventsWithGap(t *testing.T) {
	t.Parallel()
	var e pass.Events
	out, err := e.Add(event(1) + event(2) + event(4))
	if !errors.Is(err, pass.ErrGap) || out != event(1)+event(2) || e.Last() != "2" {
		t.Errorf("got %q, last %q, %v", out, e.Last(), err)
	}
	var resumed pass.Events
	resumed.From("2")
	if out, err := resumed.Add(event(5)); !errors.Is(err, pass.ErrGap) || out != "" {
		t.Errorf("a resumed stream with a gap gave %q, %v", out, err)
	}
}

// Guards against events without ids, or with ids that are no numbers, that are dropped.
func TestEventsWithoutNumbers(t *testing.T) {
	t.Parallel()
	var e pass.Events
	in := "data: a\n\nid: x-1\ndata: b\n\nid: x-9\ndata: c\n\n: comment\n\n"
	if out, err := e.Add(in); err != nil || out != in || e.Last() != "x-9" {
		t.Errorf("got %q, last %q, %v", out, e.Last(), err)
	}
}

// Guards against a node whose memory, or processor time, goes to bytes of a stream that hold no end of an event.
func TestEventWithoutEnd(t *testing.T) {
	t.Parallel()
	// bound is what a node may hold of one event.
	const bound = 1 << 20
	var e pass.Events
	piece, held := strings.Repeat("data: x\n", 512), 0
	for held < bound {
		held += len(piece)
		if _, err := e.Add(piece); err != nil {
			return
		}
	}
	t.Errorf("%d bytes without an end are held", held)
}
