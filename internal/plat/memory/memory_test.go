package memory_test

import (
	"testing"

	"geraniumhollow/internal/plat/memory"
)

// Guards against limits that ordinary traffic of a usual host meets, 500 connections with bodies of 5 kB each, and against limits
// that together exceed the host.
func TestShares(t *testing.T) {
	t.Parallel()
	const mb = 1 << 20
	for _, h := range []memory.Host{{}, {Bytes: 184 * mb, Descriptors: 4100}, {Bytes: 284 * mb, Descriptors: 4100}} {
		bodies, callers := h.Bodies().Stats().Limit, h.MaxCallers()
		if callers < 1000 || bodies < 8*500*5<<10 {
			t.Errorf("%+v: %d bytes for bodies, %d connections", h, bodies, callers)
		}
		if h.Bytes > 0 && bodies+callers*40<<10 > h.Bytes/2 {
			t.Errorf("%+v: bodies of %d bytes and %d connections leave less than half of the memory", h, bodies, callers)
		}
	}
	if n := (memory.Host{Bytes: 284 * mb, Descriptors: 400}).MaxCallers(); n != 160 {
		t.Errorf("%d connections with 400 descriptors", n)
	}
}
