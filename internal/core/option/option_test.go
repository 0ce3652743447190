package option_test

import (
	"fmt"

	"geraniumhollow/internal/core/option"
)

func ExampleOption() {
	fmt.Println(option.Some(7).Or(1), option.None[int]().Or(1))
	// Output: 7 1
}
