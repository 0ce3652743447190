//go:build review

// Command world3 plays the scripted cases of a review against processes of the deploy file's program.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(dir string) int{
	"twogroups": leaveAnsweredByReport,
	"attempts":  attemptsThroughNodes,
	"leaving":   leavingWhileCut,
	"waiting":   waitingAtStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE DIR")
		os.Exit(unable)
	}
	os.Exit(cases[os.Args[1]](os.Args[2]))
}
