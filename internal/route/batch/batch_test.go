package batch_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/route/batch"
)

func engine() *batch.Engine {
	return &batch.Engine{
		Models: []batch.Model{{Name: "m", Hosts: 4, Pace: 0.5}}, Slots: 16, Stride: 6, Chunk: 2000,
		Step: 6 * time.Millisecond, PerRequest: 100 * time.Microsecond, PerThousand: 10 * time.Microsecond,
		ReadRate: 50_000, PerMillionPairs: 300 * time.Microsecond,
	}
}

// A pass gives each request its next event. The more prompts it reads, the longer the pauses between events.
func ExampleEngine_PassTime() {
	e := engine()
	fmt.Println(e.PassTime(10, 10_000, 0))
	fmt.Println(e.PassTime(10, 10_000, 1000))
	// Output:
	// 42.6ms
	// 62.75ms
}

// Guards against a pass that is taken to read more than its steps can, so that a head which has stopped is found
// late.
func TestPassReadsChunks(t *testing.T) {
	t.Parallel()
	e := engine()
	most := e.PassTime(0, 0, 6*2000)
	if got := e.PassTime(0, 0, 1_000_000); got != most {
		t.Errorf("a pass with a million tokens to read takes %v, want %v", got, most)
	}
	e.Chunk = 0
	if got := e.PassTime(0, 0, 1_000_000); got <= most {
		t.Errorf("without a bound on what a step reads a pass takes %v", got)
	}
}

// Guards against an engine without figures that takes calls for impossible.
func TestNoFigures(t *testing.T) {
	t.Parallel()
	var e batch.Engine
	if d := e.ReadTime(1000); d != 0 {
		t.Errorf("reading takes %v", d)
	}
	if _, ok := e.Model("m"); ok {
		t.Error("found a model that the engine does not have")
	}
	if m, ok := engine().Model("m"); !ok || m.Hosts != 4 {
		t.Errorf("got %v, %v", m, ok)
	}
}
