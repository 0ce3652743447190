package fault_test

import (
	"fmt"
	"time"

	"geraniumhollow/internal/core/fault"
)

func ExampleError() {
	base := fault.New(fault.Overloaded, fault.NotRun, "the queue is full")
	e := base.WithRetryAfter(2 * time.Second)
	fmt.Println(e.Status(), e.Outcome(), e.RetryAfter(), base.RetryAfter())
	fmt.Println(e)
	// Output:
	// 503 not_run 2s 0s
	// overloaded (not_run): the queue is full
}
