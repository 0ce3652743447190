package engine_test

import (
	"bytes"
	"testing"

	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/wire/event"
)

// Guards against frames that are misread: an offset below 0 or a missing one would harm the answer.
func TestDecodeFrame(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, id, data string
		want           engine.Frame
		bad            bool
	}{
		{name: "token", id: "2:7", data: `{"text":"a"}`, want: engine.Frame{Attempt: 2, Offset: 7, Text: "a"}},
		{name: "end", id: "1:8", data: `{"finish_reason":"stop","prompt_tokens":3}`, want: engine.Frame{Attempt: 1, Offset: 8, FinishReason: "stop", PromptTokens: 3}},
		{name: "no id", data: `{"text":"a"}`, bad: true},
		{name: "no offset", id: "1", data: `{"text":"a"}`, bad: true},
		{name: "negative offset", id: "1:-1", data: `{"text":"a"}`, bad: true},
		{name: "no number", id: "a:b", data: `{"text":"a"}`, bad: true},
		{name: "no JSON", id: "1:1", data: `{"text":`, bad: true},
		{name: "wrong type", id: "1:1", data: `{"text":5}`, bad: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got, err := engine.DecodeFrame(event.Event{ID: tt.id, Data: []byte(tt.data)})
			if (err != nil) != tt.bad || got != tt.want {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

// Guards against frames of a broken engine that make the node panic or that pass with a bad offset.
func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte("id: 1:0\ndata: {\"text\":\"a\"}\n\n"))
	f.Add([]byte("id: 1:9223372036854775808\ndata: {}\n\n"))
	f.Add([]byte("id: -1:-1\ndata: null\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := event.NewReader(bytes.NewReader(raw))
		for {
			ev, err := r.Next()
			if err != nil {
				return
			}
			if frame, err := engine.DecodeFrame(ev); err == nil && frame.Offset < 0 {
				t.Errorf("offset %d from %q", frame.Offset, raw)
			}
		}
	})
}
