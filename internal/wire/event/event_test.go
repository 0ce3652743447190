package event_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"geraniumhollow/internal/wire/event"
)

// Guards against a buffer that grows with every event although its reader keeps up.
func TestBufferStaysSmall(t *testing.T) {
	t.Parallel()
	ev := event.Event{ID: "a:1:b", Data: bytes.Repeat([]byte("x"), 150)}
	var b event.Buffer
	var got, want bytes.Buffer
	p := make([]byte, 1000)
	for range 10_000 {
		for b.Len() < len(p) {
			b.Add(ev)
			want.Write(event.Append(nil, ev))
		}
		got.Write(p[:b.Read(p)])
	}
	if !bytes.HasPrefix(want.Bytes(), got.Bytes()) {
		t.Error("bytes are lost or out of order")
	}
	if b.Cap() > 4*len(p) {
		t.Errorf("buffer takes %d bytes", b.Cap())
	}
}

// Guards against events that are misread, and against a cut event that is taken for a whole one.
func TestReader(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		give string
		want []string
		err  error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1=a", "2=b"}, io.EOF},
		{"line ends of two bytes", "id: 1\r\ndata: a\r\n\r\n", []string{"1=a"}, io.EOF},
		{"comment and unknown field", ": hi\n\nretry: 3\ndata: a\n\n", []string{"=", "=a"}, io.EOF},
		{"cut in the data", "id: 1\ndata: a\n\nid: 2\ndata: b", []string{"1=a"}, io.ErrUnexpectedEOF},
		{"cut before the empty line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := event.NewReader(strings.NewReader(tt.give))
			var got []string
			for {
				ev, err := r.Next()
				if err != nil {
					if !errors.Is(err, tt.err) {
						t.Errorf("ended with %v, want %v", err, tt.err)
					}
					break
				}
				got = append(got, ev.ID+"="+string(ev.Data))
			}
			if strings.Join(got, " ") != strings.Join(tt.want, " ") {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a peer that fills the memory with one line or one event.
func TestReaderBounds(t *testing.T) {
	t.Parallel()
	line := "data: " + strings.Repeat("x", 60<<10) + "\n"
	for name, give := range map[string]string{
		"long line":  "data: " + strings.Repeat("x", 1<<20) + "\n\n",
		"many lines": strings.Repeat(line, 20) + "\n",
	} {
		if _, err := event.NewReader(strings.NewReader(give)).Next(); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: got %v, want an error", name, err)
		}
	}
}

// Guards against input that makes the reader panic or return an event without end.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1:0\ndata: {\"text\":\"a\"}\n\n"))
	f.Add([]byte("data:\n\ndata"))
	f.Add([]byte("\r\n:\n\nid\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := event.NewReader(bytes.NewReader(raw))
		for range len(raw) + 1 {
			ev, err := r.Next()
			if err != nil {
				return
			}
			if bytes.ContainsRune(ev.Data, '\n') || strings.Contains(ev.ID, "\n") {
				t.Errorf("event %q %q holds a line break", ev.ID, ev.Data)
			}
		}
		t.Error("more events than bytes")
	})
}
