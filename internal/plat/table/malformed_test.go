package table_test

import (
	"testing"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Guards against bytes that are no answer and count as a write that was done, or as one that was not.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	for name, message := range noise.Malformed("", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := table.New(noise.Serve(t, message))
			if rev, err := c.Commit(t.Context(), table.Insert("a", nil)); !errors.Is(err, table.ErrUnknown) {
				t.Errorf("commit: got %v, %v, want an unknown outcome", rev, err)
			}
			if row, err := c.Get(t.Context(), "a"); !errors.Is(err, table.ErrUnavailable) {
				t.Errorf("get: got %v, %v", row, err)
			}
		})
	}
}
