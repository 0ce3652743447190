// Package tool holds the subcommands that talk to a node's operators' address: config, status and
// explain.
package tool

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes. Scripts may rely on them.
const (
	ExitOK = iota
	// ExitFailed is any failure without a code of its own.
	ExitFailed
	// ExitUsage means that flags or arguments are wrong.
	ExitUsage
	// ExitInvalid means that the document has faults.
	ExitInvalid
	// ExitConflict means that another change was accepted first.
	ExitConflict
	// ExitUnavailable means that no node, or no table, answered; nothing was changed.
	ExitUnavailable
	// ExitUnknown means that it is not known whether a change was accepted.
	ExitUnknown
	// ExitKey means that the operator key is missing, wrong or not set on the node.
	ExitKey
)

// Error is a failure with its exit code.
type Error struct {
	Code    int
	Message string
	// Help says what to do next.
	Help string
}

// Error returns the message and what to do next.
func (e *Error) Error() string {
	if e.Help == "" {
		return e.Message
	}
	return e.Message + "\n" + e.Help
}

// ExitCode returns the code with which a process ends after err.
func ExitCode(err error) int {
	var e *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Code
	default:
		return ExitFailed
	}
}

func usagef(format string, args ...any) error {
	return &Error{Code: ExitUsage, Message: fmt.Sprintf(format, args...), Help: "See --help."}
}

// settings are the flags that all subcommands share.
type settings struct {
	address string
	key     string
	output  string
}

// flags returns the shared flags, which fill s.
func (s *settings) flags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "operator-address", Usage: "IP and port of a node's operators' address", Value: "127.0.0.1:8081",
			Sources: cli.EnvVars("GERANIUMHOLLOW_OPERATOR_ADDRESS"), Destination: &s.address,
		},
		&cli.StringFlag{
			Name: "operator-key", Usage: "operator key; the environment keeps it out of the process list",
			Sources: cli.EnvVars("GERANIUMHOLLOW_OPERATOR_KEY"), Destination: &s.key,
		},
		&cli.StringFlag{
			Name: "output", Usage: "table or json", Value: outputTable,
			Sources: cli.EnvVars("GERANIUMHOLLOW_OUTPUT"), Destination: &s.output,
		},
	}, more...)
}

// action checks the shared flags and the number of arguments before it runs f.
func (s *settings) action(args int, f func(ctx context.Context, c *cli.Command, p printer) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if s.output != outputTable && s.output != outputJSON {
			return usagef("--output must be %s or %s, not %q", outputTable, outputJSON, s.output)
		}
		if c.Args().Len() != args {
			return usagef("%s takes %d arguments, not %d", c.FullName(), args, c.Args().Len())
		}
		return f(ctx, c, printer{w: c.Root().Writer, aside: c.Root().ErrWriter, json: s.output == outputJSON})
	}
}

// Commands returns the subcommands config, status, explain and report.
func Commands() []*cli.Command {
	list := []*cli.Command{configCommand(), statusCommand(), explainCommand(), reportCommand()}
	reportUsage(list)
	return list
}

// reportUsage gives wrong flags the exit code of usage errors.
func reportUsage(list []*cli.Command) {
	for _, c := range list {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usagef("%v", err) }
		reportUsage(c.Commands)
	}
}

// Group is the action of a command that only has subcommands: it shows them, or names the one that does
// not exist. Without it, the command line library ends the process with code 3, which is ExitInvalid.
func Group(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s has no command %q", c.FullName(), c.Args().First())
	}
	if err := cli.ShowSubcommandHelp(c); err != nil {
		return errors.Newf("show help: %w", err)
	}
	return nil
}
