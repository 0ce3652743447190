//go:build review2

package main

import (
	"fmt"
	"os"
)

// cases are the cases by their number.
var cases = map[string]func(w *world) (int, error){"6": case6, "8": case8, "9": case9}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world2 CASE FOLDER RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(number, dir, record string) int {
	w, err := newWorld(dir, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "world2:", err)
		return failed
	}
	defer w.close()
	code, err := cases[number](w)
	if err != nil {
		w.rec.printf("the case cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "world2:", err)
	}
	return code
}
