package pass_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"geraniumhollow/internal/node/pass"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n) }

func eventStream(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// Guards against lost, duplicated or garbled events, wherever reads split the bytes and wherever the stream breaks
// off and is resumed.
func TestEventsInPieces(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var e pass.EventParser
		whole, got := eventStream(1, 9), ""
		feed := func(s string) {
			for len(s) > 0 {
				n := rapid.IntRange(1, len(s)).Draw(rt, "piece")
				out, err := e.Feed(s[:n])
				if err != nil {
					rt.Fatal(err)
				}
				got, s = got+out, s[n:]
			}
		}
		feed(whole[:rapid.IntRange(0, len(whole)).Draw(rt, "broken at")])
		var resumed pass.EventParser
		if e.LastID() != "" {
			resumed.ResumeFrom(e.LastID())
		}
		// The next server may resume from an earlier event than requested.
		first := 1
		if e.LastID() != "" {
			first = rapid.IntRange(1, int(e.LastID()[0]-'0')+1).Draw(rt, "resumed at")
		}
		e = resumed
		feed(eventStream(first, 9))
		if got != whole {
			rt.Fatalf("got %q", got)
		}
	})
}

// Guards against bytes that are lost, doubled or out of order where repeated events are dropped between comments and new events,
// and against memory that large events leave behind.
func TestRepeatedEventsAreCutOut(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		const events = 6
		var e pass.EventParser
		has := rapid.IntRange(0, events).Draw(rt, "last event")
		if has > 0 {
			e.ResumeFrom(strconv.Itoa(has))
		}
		stream, want, got := "", "", ""
		for n := 1; n <= events; n++ {
			for range rapid.IntRange(0, 2).Draw(rt, "comments") {
				stream, want = stream+": c\n\n", want+": c\n\n"
			}
			size := rapid.SampledFrom([]int{1, 100, 5_000, 40_000}).Draw(rt, "size")
			ev := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat(strconv.Itoa(n), size))
			if stream += ev; n > has {
				want += ev
			}
		}
		for len(stream) > 0 {
			n := min(len(stream), rapid.IntRange(1, 4_096).Draw(rt, "piece"))
			out, err := e.Feed(stream[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got, stream = got+out, stream[n:]
			e.Shrink()
		}
		if got != want {
			rt.Fatalf("got %d bytes, want %d", len(got), len(want))
		}
		if e.Count() != events-has {
			rt.Fatalf("%d events are new, want %d", e.Count(), events-has)
		}
		if e.Cap() > 8<<10 {
			rt.Fatalf("%d bytes are held", e.Cap())
		}
	})
}

// Guards against forwarding events after a gap.
func TestEventsWithGap(t *testing.T) {
	t.Parallel()
	var e pass.EventParser
	out, err := e.Feed(event(1) + event(2) + event(4))
	if !errors.Is(err, pass.ErrEventGap) || out != event(1)+event(2) || e.LastID() != "2" {
		t.Errorf("got %q, last %q, %v", out, e.LastID(), err)
	}
	var resumed pass.EventParser
	resumed.ResumeFrom("2")
	if out, err := resumed.Feed(event(5)); !errors.Is(err, pass.ErrEventGap) || out != "" {
		t.Errorf("a resumed stream with a gap gave %q, %v", out, err)
	}
}

// Guards against dropping events without IDs or with IDs that are not numbers.
func TestEventsWithoutNumbers(t *testing.T) {
	t.Parallel()
	var e pass.EventParser
	in := "data: a\n\nid: x-1\ndata: b\n\nid: x-9\ndata: c\n\n: comment\n\n"
	if out, err := e.Feed(in); err != nil || out != in || e.LastID() != "x-9" {
		t.Errorf("got %q, last %q, %v", out, e.LastID(), err)
	}
}

// Guards against a node that buffers or scans without limit when a stream never completes an event.
func TestEventWithoutEnd(t *testing.T) {
	t.Parallel()
	// bound is the most that a node may buffer of one event.
	const bound = 1 << 20
	var e pass.EventParser
	piece, held := strings.Repeat("data: x\n", 512), 0
	for held < bound {
		held += len(piece)
		if _, err := e.Feed(piece); err != nil {
			return
		}
	}
	t.Errorf("%d bytes without an end are held", held)
}
