package sets_test

import (
	"fmt"

	"geraniumhollow/internal/core/sets"
)

func ExampleSet() {
	s := sets.New("b", "a")
	fmt.Println(s.Add("c"), s.Add("a"))
	s.Remove("b")
	fmt.Println(s.Has("b"), sets.Sorted(s))
	// Output:
	// true false
	// false [a c]
}
