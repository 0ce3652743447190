package object_test

import (
	"testing"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/object"
	"github.com/cockroachdb/errors"
)

// Guards against bytes that are no answer and count as an object, a write that was done, or a list.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	for name, message := range noise.Malformed("", "[]") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := noise.Serve(t, message)
			objects := object.New(address)
			if v, err := objects.Get(t.Context(), "a"); err == nil || errors.Is(err, object.ErrNotFound) {
				t.Errorf("get: got %q, %v", v, err)
			}
			if err := objects.Put(t.Context(), "a", nil); err == nil {
				t.Error("put: got no error")
			}
			if keys, err := objects.List(t.Context(), ""); err == nil {
				t.Errorf("list: got %v", keys)
			}
			if list, err := hosts.New(address).List(t.Context()); err == nil {
				t.Errorf("hosts: got %v", list)
			}
		})
	}
}
