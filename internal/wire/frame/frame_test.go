package frame_test

import (
	"bytes"
	"reflect"
	"testing"

	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
)

// Guards against a message that changes on its way.
func TestRoundTrip(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		give any
	}{
		{"hello", &frame.Hello{Node: "n", Inc: "1", Dc: "d"}},
		{"heartbeat", &frame.Heartbeat{Seq: 3, Rel: frame.HeartbeatRelMesh, Ver: 7, AgeMs: 900}},
		{"config_document", &frame.ConfigDocument{Ver: 2, Doc: []byte{0xff, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b, err := frame.Encode(frame.Header{Exchange: frame.Ask, ID: 9}, tt.give)
			if err != nil {
				t.Fatal(err)
			}
			h, got, err := frame.Decode(b)
			want := frame.Header{Kind: frame.Kind(tt.name), Exchange: frame.Ask, ID: 9}
			if err != nil || h != want || !reflect.DeepEqual(got, tt.give) {
				t.Errorf("got %+v %+v %v, want %+v %+v", h, got, err, want, tt.give)
			}
		})
	}
}

// Guards against a node that cannot refuse the ask of a newer node, and against unbounded messages.
func TestFaults(t *testing.T) {
	t.Parallel()
	unknown := []byte{0x84, 0x61, 'x', 1, 5, 0xa0}
	h, _, err := frame.Decode(unknown)
	if !errors.Is(err, frame.ErrUnknownKind) || h.ID != 5 || h.Exchange != frame.Ask {
		t.Errorf("unknown kind: got %+v, %v", h, err)
	}
	if _, err := frame.Encode(frame.Header{}, &frame.ConfigDocument{Doc: make([]byte, frame.MaxBytes)}); !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("large message: got %v", err)
	}
	if _, err := frame.Encode(frame.Header{}, 5); !errors.Is(err, frame.ErrUnknownKind) {
		t.Errorf("no message: got %v", err)
	}
}

// Guards against bytes that make the decoder panic, or that decode to what cannot be encoded again.
func FuzzDecode(f *testing.F) {
	b, err := frame.Encode(frame.Header{}, &frame.Heartbeat{Seq: 1, Rel: frame.HeartbeatRelRoot, Ver: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		h, msg, err := frame.Decode(b)
		if err != nil {
			return
		}
		first, err := frame.Encode(h, msg)
		if err != nil {
			t.Fatalf("encode again: %v", err)
		}
		h, msg, err = frame.Decode(first)
		if err != nil {
			t.Fatalf("decode again: %v", err)
		}
		second, err := frame.Encode(h, msg)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("frames differ: %x, %x, %v", first, second, err)
		}
	})
}
