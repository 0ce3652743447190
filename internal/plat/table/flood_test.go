package table_test

import (
	"context"
	"testing"
	"time"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Guards against an answer of the table that has no end and is kept until the node has no memory left.
func TestAnswerWithoutEnd(t *testing.T) {
	t.Parallel()
	const mostSent, mostTaken, floodTime = 256 << 20, 32 << 20, 30 * time.Second
	address, sent := noise.Flood(t, "HTTP/1.1 200 OK\r\n\r\n", "x", mostSent)
	ctx, cancel := context.WithTimeout(t.Context(), floodTime)
	defer cancel()
	if _, err := table.New(address).Commit(ctx, table.Insert("a", nil)); !errors.Is(err, table.ErrUnknown) {
		t.Errorf("got %v, want an unknown outcome", err)
	}
	if n := sent(); n > mostTaken+noise.Buffered(t) {
		t.Errorf("%d bytes were taken", n)
	}
}
