package object_test

import (
	"context"
	"testing"
	"time"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/object"
)

// Guards against an answer of the object store, or a host list, that has no end and is kept until the node has no memory left.
func TestAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	const mostSent, floodTime = 256 << 20, 30 * time.Second
	tests := map[string]struct {
		call      func(ctx context.Context, address string) error
		mostTaken int64
	}{
		"object": {func(ctx context.Context, address string) error {
			_, err := object.New(address).Get(ctx, "a")
			return err
		}, 64 << 20},
		"hosts": {func(ctx context.Context, address string) error {
			_, err := hosts.New(address).List(ctx)
			return err
		}, 16 << 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := noise.Flood(t, "HTTP/1.1 200 OK\r\n\r\n", "x", mostSent)
			ctx, cancel := context.WithTimeout(t.Context(), floodTime)
			defer cancel()
			if err := tt.call(ctx, address); err == nil {
				t.Error("got no error")
			}
			if n := sent(); n > tt.mostTaken+noise.Buffered(t) {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
