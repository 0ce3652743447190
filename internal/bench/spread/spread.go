// Package spread measures membership and the propagation of configuration: interleavings of the
// deciders, the time until a change is in force, the cost of control, and false suspicions.
package spread

import "github.com/urfave/cli/v3"

// Command returns the spread subcommand.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "measure membership and the propagation of configuration",
		Commands: []*cli.Command{
			interleaveCommand(), propagateCommand(), pausesCommand(), costCommand(), sizesCommand(),
		},
	}
}
