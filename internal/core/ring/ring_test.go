package ring_test

import (
	"fmt"

	"geraniumhollow/internal/core/ring"
)

func ExampleRing() {
	r := ring.New[int](3)
	for i := range 5 {
		r.Push(i)
	}
	fmt.Println(r.Len(), r.Values())
	// Output: 3 [2 3 4]
}
