package stream_test

import (
	"testing"

	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

func token(attempt, offset int, text string) stream.Frame {
	return stream.Frame{Attempt: attempt, Offset: offset, Text: text}
}

func end(attempt, offset int) stream.Frame {
	return stream.Frame{Attempt: attempt, Offset: offset, FinishReason: "stop"}
}

// Guards against answers that are truncated, mixed or duplicated when frames arrive out of order, are
// repeated or belong to another attempt.
func TestAssembler(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		give   []stream.Frame
		want   string
		finish bool
	}{
		{"in order", []stream.Frame{token(1, 0, "a"), token(1, 1, "b"), end(1, 2)}, "ab", true},
		{"swapped", []stream.Frame{token(1, 1, "b"), token(1, 0, "a"), end(1, 2)}, "ab", true},
		{"repeated", []stream.Frame{token(1, 0, "a"), token(1, 0, "a"), token(1, 1, "b"), end(1, 2)}, "ab", true},
		{"of another attempt", []stream.Frame{token(2, 0, "x"), token(1, 0, "a"), end(2, 1)}, "a", false},
		{"end before last token", []stream.Frame{end(1, 2), token(1, 0, "a"), token(1, 1, "b")}, "ab", true},
		{"token missing", []stream.Frame{token(1, 0, "a"), token(1, 2, "c"), end(1, 3)}, "a", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a := stream.New(0)
			a.Begin(1)
			text, finished := collect(t, a, tt.give)
			if text != tt.want || finished != tt.finish {
				t.Errorf("got %q, finished %v; want %q, %v", text, finished, tt.want, tt.finish)
			}
		})
	}
}

func collect(t *testing.T, a *stream.Assembler, frames []stream.Frame) (string, bool) {
	t.Helper()
	text, finished := "", false
	for _, f := range frames {
		ready, err := a.Add(nil, f)
		if err != nil {
			t.Fatalf("add frame at %d: %v", f.Offset, err)
		}
		for _, r := range ready {
			text += r.Text
			finished = finished || r.FinishReason != ""
		}
	}
	return text, finished
}

// Guards against a resumed answer with repeated or missing tokens.
func TestAssemblerResume(t *testing.T) {
	t.Parallel()
	a := stream.New(0)
	a.Begin(1)
	first, _ := collect(t, a, []stream.Frame{token(1, 0, "a"), token(1, 1, "b"), token(1, 3, "d")})
	a.Begin(2)
	if a.NextOffset() != 2 {
		t.Fatalf("resume at %d, want 2", a.NextOffset())
	}
	second, finished := collect(t, a, []stream.Frame{token(1, 2, "x"), token(2, 2, "c"), token(2, 3, "e"), end(2, 4)})
	if first+second != "abce" || !finished {
		t.Errorf("got %q, finished %v", first+second, finished)
	}
}

// Guards against unbounded memory use when an engine sends frames with offsets far ahead of the answer.
func TestAssemblerTooFarAhead(t *testing.T) {
	t.Parallel()
	a := stream.New(0)
	a.Begin(1)
	if _, err := a.Add(nil, token(1, 1_000_000, "x")); !errors.Is(err, stream.ErrTooFarAhead) {
		t.Errorf("got %v, want ErrTooFarAhead", err)
	}
}
