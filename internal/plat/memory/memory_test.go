package memory_test

import (
	"testing"

	"geraniumhollow/internal/plat/memory"
)

// Guards against limits that ordinary traffic of a usual host meets, 500 connections with bodies of 5 kB each and 20 events of the
// largest size, and against limits that together exceed the host.
func TestShares(t *testing.T) {
	t.Parallel()
	const mb = 1 << 20
	for _, h := range []memory.Host{{}, {Bytes: 184 * mb, Descriptors: 4100}, {Bytes: 284 * mb, Descriptors: 4100}} {
		bodies, answers, callers := h.Bodies().Stats().Limit, h.Answers().Stats().Limit, h.MaxCallers()
		messages := h.Messages().Stats().Limit
		if callers < 1000 || bodies < 8*500*5<<10 || answers < 20*256<<10 {
			t.Errorf("%+v: %d bytes for bodies, %d for answers, %d connections", h, bodies, answers, callers)
		}
		if h.Bytes > 0 && bodies+answers+messages+callers*40<<10 > h.Bytes/2 {
			t.Errorf("%+v: bodies of %d bytes, answers of %d, messages of %d and %d connections leave less than half of the memory",
				h, bodies, answers, messages, callers)
		}
	}
	if n := (memory.Host{Bytes: 284 * mb, Descriptors: 400}).MaxCallers(); n != 160 {
		t.Errorf("%d connections with 400 descriptors", n)
	}
}
