package batch_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/route/batch"
)

func engine() *batch.Engine {
	return &batch.Engine{
		Models: []batch.Model{{Name: "m", Hosts: 4, TimeFactor: 0.5}}, MaxRequests: 16, StepsPerPass: 6, PrefillChunk: 2000,
		StepBase: 6 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, StepPerThousandTokens: 10 * time.Microsecond,
		PrefillRate: 50_000, PrefillPerMillionPairs: 300 * time.Microsecond,
	}
}

// Each request gets its next event at the end of a pass. The more prompt tokens a pass reads, the longer the
// gap between events.
func ExampleEngine_PassTime() {
	e := engine()
	fmt.Println(e.PassTime(10, 10_000, 0))
	fmt.Println(e.PassTime(10, 10_000, 1000))
	// Output:
	// 42.6ms
	// 62.75ms
}

// Guards against a predicted pass that reads more than PrefillChunk tokens per step. Pass times would be too long, and
// a stalled head of a serving group would be detected late.
func TestPassReadsChunks(t *testing.T) {
	t.Parallel()
	e := engine()
	longest := e.PassTime(0, 0, 6*2000)
	if got := e.PassTime(0, 0, 1_000_000); got != longest {
		t.Errorf("a pass with a million tokens to read takes %v, want %v", got, longest)
	}
	e.PrefillChunk = 0
	if got := e.PassTime(0, 0, 1_000_000); got <= longest {
		t.Errorf("a pass without a limit on the tokens read per step takes only %v", got)
	}
}

// Guards against an engine without figures for which every call appears impossible to serve, and against
// finding a model that the engine does not have.
func TestNoFigures(t *testing.T) {
	t.Parallel()
	var e batch.Engine
	if d := e.PrefillTime(1000); d != 0 {
		t.Errorf("prefill takes %v", d)
	}
	if _, ok := e.Model("m"); ok {
		t.Error("found a model that the engine does not have")
	}
	if m, ok := engine().Model("m"); !ok || m.Hosts != 4 {
		t.Errorf("got %v, %v", m, ok)
	}
}
