package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/check"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/node/admin"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// maxDocumentBytes leaves room for the other fields of the request body, which a node limits to 16 MiB.
const maxDocumentBytes = 15 << 20

// Limits for determining the outcome of a commit whose response was lost.
const (
	maxOutcomeReads   = 3
	outcomeRetryDelay = 500 * time.Millisecond
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "validate, apply and show the configuration", Action: Group,
		Commands: []*cli.Command{validateCommand(), applyCommand(), showCommand(), historyCommand(), configStatusCommand()},
	}
}

func validateCommand() *cli.Command {
	var s settings
	return &cli.Command{
		Name: "validate", Usage: "list every fault of a document, without a node", ArgsUsage: "FILE", Flags: s.flags(),
		Action: s.action(1, func(_ context.Context, c *cli.Command, p printer) error {
			raw, err := readDocument(c)
			if err != nil {
				return err
			}
			checker, err := check.New()
			if err != nil {
				return errors.Newf("create checker: %w", err)
			}
			if _, err = checker.Parse(raw); err != nil {
				var invalid *check.InvalidError
				if !errors.As(err, &invalid) {
					return errors.Newf("validate: %w", err)
				}
				return p.printFaults(invalid.Faults)
			}
			return p.print(admin.ValidReply{Valid: true}, func() error { return p.linef("valid") })
		}),
	}
}

// printFaults prints every fault and returns the error for the exit code.
func (p printer) printFaults(list []check.Fault) error {
	err := p.print(list, func() error {
		for _, f := range list {
			if err := p.linef("%s", f); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return &Error{Code: ExitInvalid, Message: fmt.Sprintf("the document has %d faults", len(list)), Help: "Fix every fault at its path and try again."}
}

// readDocument reads the file named by the first argument, or standard input for "-".
func readDocument(c *cli.Command) ([]byte, error) {
	name := c.Args().First()
	in := c.Root().Reader
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, usagef("cannot read the document: %v", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxDocumentBytes+1))
	if err != nil {
		return nil, usagef("cannot read the document: %v", err)
	}
	if len(raw) > maxDocumentBytes {
		return nil, &Error{Code: ExitInvalid, Message: "the document is larger than 15 MiB"}
	}
	return raw, nil
}

func applyCommand() *cli.Command {
	var s settings
	var base int64
	var latest bool
	var author string
	return &cli.Command{
		Name: "apply", Usage: "apply a document as the next version", ArgsUsage: "FILE",
		Flags: s.flags(
			&cli.Int64Flag{Name: "base", Usage: "version that the document is based on; reports a conflict if it is not the current version", Value: -1, Destination: &base},
			&cli.BoolFlag{Name: "latest", Usage: "use the current version as the base, which overwrites changes that the document does not contain", Destination: &latest},
			&cli.StringFlag{Name: "author", Usage: "author name recorded in the history", Sources: cli.EnvVars("GERANIUMHOLLOW_AUTHOR", "USER"), Destination: &author},
		),
		Action: s.action(1, func(ctx context.Context, c *cli.Command, p printer) error {
			if (base >= 0) == latest {
				return usagef("config apply needs either --base N or --latest")
			}
			if author == "" {
				return usagef("config apply needs --author or GERANIUMHOLLOW_AUTHOR")
			}
			raw, err := readDocument(c)
			if err != nil {
				return err
			}
			cl := client{s}
			from := uint64(max(base, 0))
			if latest {
				var now admin.CurrentReply
				if err := cl.get(ctx, admin.PathConfig, &now); err != nil {
					return err
				}
				from = now.Version
			}
			return cl.apply(ctx, p, admin.ApplyBody{Base: &from, Author: author, Document: raw})
		}),
	}
}

func (c client) apply(ctx context.Context, p printer, body admin.ApplyBody) error {
	if !json.Valid(body.Document) {
		return p.printFaults([]check.Fault{{Path: "$", Message: "not valid JSON"}})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Newf("encode change: %w", err)
	}
	var reply admin.ApplyReply
	err = c.call(ctx, "POST", admin.PathApply, raw, &reply)
	var pr *problem
	switch {
	case err == nil:
		return p.printAccepted(reply.Version)
	case !errors.As(err, &pr):
		return err
	case pr.body.Faults != nil:
		return p.printFaults(pr.body.Faults)
	case pr.body.Conflict != nil:
		return p.printConflict(pr)
	case pr.body.Pending != nil:
		return c.resolveOutcome(ctx, p, pr)
	default:
		return err
	}
}

func (p printer) printAccepted(version uint64) error {
	return p.print(admin.ApplyReply{Version: version}, func() error { return p.linef("accepted as version %d", version) })
}

// printConflict prints both sets of changes since the base version.
func (p printer) printConflict(pr *problem) error {
	c := pr.body.Conflict
	err := p.print(c, func() error {
		if err := p.linef("their change, version %d to %d by %s:", c.Base, c.Current, orDash(c.Author)); err != nil {
			return err
		}
		if err := p.printChanges(c.Theirs); err != nil {
			return err
		}
		if err := p.linef("\nmy change:"); err != nil {
			return err
		}
		if err := p.printChanges(c.Mine); err != nil {
			return err
		}
		for _, o := range c.Overlap {
			if err := p.linef("both touch %s", o.Path); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	pr.cause.Help = fmt.Sprintf("Nothing was changed. Get config show, make your change in it and apply it with --base %d.", c.Current)
	return pr
}

// resolveOutcome checks whether a commit whose response was lost was accepted.
func (c client) resolveOutcome(ctx context.Context, p printer, pr *problem) error {
	want := pr.body.Pending
	for range maxOutcomeReads {
		var e apply.Entry
		err := c.get(ctx, admin.PathVersions+strconv.FormatUint(want.Version, 10), &e)
		if err == nil && e.Token == want.Token {
			return p.printAccepted(want.Version)
		}
		if err == nil {
			return &Error{
				Code: ExitConflict, Message: fmt.Sprintf("version %d is the change of %s, yours was not accepted", e.Version, e.Author),
				Help: "Get config show, make your change in it and apply it again.",
			}
		}
		select {
		case <-ctx.Done():
			return pr
		case <-time.After(outcomeRetryDelay):
		}
	}
	pr.cause.Help = fmt.Sprintf("Look at config show --version %d: the change was accepted if its token is %s. Don't apply it again before.", want.Version, want.Token)
	return pr
}

func showCommand() *cli.Command {
	var s settings
	var version, compare int64
	return &cli.Command{
		Name: "show", Usage: "print a version of the document or its differences from another version",
		Flags: s.flags(
			&cli.Int64Flag{Name: "version", Usage: "version to show; the current one when absent", Value: -1, Destination: &version},
			&cli.Int64Flag{Name: "compare", Usage: "print the differences from this version instead", Value: -1, Destination: &compare},
		),
		Action: s.action(0, func(ctx context.Context, _ *cli.Command, p printer) error {
			cl := client{s}
			if version < 0 {
				var now admin.CurrentReply
				if err := cl.get(ctx, admin.PathConfig, &now); err != nil {
					return err
				}
				if compare < 0 {
					return p.printDocument(now.Version, now.Document, now)
				}
				version = int64(now.Version)
			}
			if compare >= 0 {
				return cl.printDiff(ctx, p, compare, version)
			}
			var e apply.Entry
			if err := cl.get(ctx, admin.PathVersions+strconv.FormatInt(version, 10), &e); err != nil {
				return err
			}
			return p.printDocument(e.Version, e.Document, e)
		}),
	}
}

// printDocument prints only the document, in the form that config apply reads, or the whole reply as JSON.
func (p printer) printDocument(version uint64, doc *schema.Document, all any) error {
	return p.print(all, func() error {
		// The version goes to standard error, so that standard output holds only the document.
		if _, err := fmt.Fprintf(p.errW, "version %d\n", version); err != nil {
			return errors.Newf("write version: %w", err)
		}
		return p.printJSON(doc)
	})
}

func (c client) printDiff(ctx context.Context, p printer, from, to int64) error {
	var d admin.DiffReply
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "to": {strconv.FormatInt(to, 10)}}
	if err := c.get(ctx, admin.PathDiff+"?"+q.Encode(), &d); err != nil {
		return err
	}
	return p.print(d, func() error { return p.printChanges(d.Changes) })
}

func historyCommand() *cli.Command {
	var s settings
	var limit int
	return &cli.Command{
		Name: "history", Usage: "list the newest versions",
		Flags: s.flags(&cli.IntFlag{Name: "limit", Usage: "number of versions", Value: 20, Destination: &limit}),
		Action: s.action(0, func(ctx context.Context, _ *cli.Command, p printer) error {
			var list []admin.VersionSummary
			if err := (client{s}).get(ctx, admin.PathHistory+"?limit="+strconv.Itoa(max(limit, 0)), &list); err != nil {
				return err
			}
			return p.print(list, func() error {
				lines := make([][]any, 0, len(list))
				for _, v := range list {
					lines = append(lines, []any{v.Version, v.At.UTC().Format(time.RFC3339), v.Author})
				}
				return p.table([]any{"VERSION", "TIME", "AUTHOR"}, lines)
			})
		}),
	}
}

func configStatusCommand() *cli.Command {
	var s settings
	return &cli.Command{
		Name: "status", Usage: "list the configuration version of each node", Flags: s.flags(),
		Action: s.action(0, func(ctx context.Context, _ *cli.Command, p printer) error {
			var list []admin.NodeStatus
			if err := (client{s}).get(ctx, admin.PathFleet, &list); err != nil {
				return err
			}
			return p.print(list, func() error { return p.printNodes(list) })
		}),
	}
}
