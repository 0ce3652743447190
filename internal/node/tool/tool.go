// Package tool implements the subcommands that call a node's operator API: config, status, explain
// and report.
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
	// ExitFailed means any failure without a more specific code.
	ExitFailed
	// ExitUsage means that flags or arguments are invalid.
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

// Error is a failure with an exit code.
type Error struct {
	Code    int
	Message string
	// Help suggests the next step.
	Help string
}

// Error returns the message and the help text.
func (e *Error) Error() string {
	if e.Help == "" {
		return e.Message
	}
	return e.Message + "\n" + e.Help
}

// ExitCode returns the process exit code for err.
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

// flags returns the shared flags, which store their values in s, followed by more.
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

// action validates the shared flags and the number of arguments, then runs f.
func (s *settings) action(args int, f func(ctx context.Context, c *cli.Command, p printer) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if s.output != outputTable && s.output != outputJSON {
			return usagef("--output must be %s or %s, not %q", outputTable, outputJSON, s.output)
		}
		if c.Args().Len() != args {
			return usagef("%s takes %d arguments, not %d", c.FullName(), args, c.Args().Len())
		}
		return f(ctx, c, printer{w: c.Root().Writer, errW: c.Root().ErrWriter, json: s.output == outputJSON})
	}
}

// Commands returns the subcommands config, status, explain and report.
func Commands() []*cli.Command {
	list := []*cli.Command{configCommand(), statusCommand(), explainCommand(), reportCommand()}
	setUsageErrors(list)
	return list
}

// setUsageErrors makes invalid flags exit with ExitUsage in all subcommands.
func setUsageErrors(list []*cli.Command) {
	for _, c := range list {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usagef("%v", err) }
		setUsageErrors(c.Commands)
	}
}

// Group is the action of a command that only has subcommands: it prints their help or reports an unknown
// subcommand. Without it, the command-line library exits with code 3, which is ExitInvalid.
func Group(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s has no command %q", c.FullName(), c.Args().First())
	}
	if err := cli.ShowSubcommandHelp(c); err != nil {
		return errors.Newf("show help: %w", err)
	}
	return nil
}
