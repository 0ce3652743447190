package tool

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/report/reason"
	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	var s settings
	return &cli.Command{
		Name: "status", Usage: "show the state of one node", Flags: s.flags(),
		Action: s.action(0, func(ctx context.Context, _ *cli.Command, p printer) error {
			var n admin.NodeStatus
			if err := (client{s}).get(ctx, admin.PathStatus, &n); err != nil {
				return err
			}
			return p.print(n, func() error { return p.printNodes([]admin.NodeStatus{n}) })
		}),
	}
}

func explainCommand() *cli.Command {
	var s settings
	var subject, kind string
	var limit int
	return &cli.Command{
		Name: "explain", Usage: "list recent decisions of one node with their reasons, newest first",
		Flags: s.flags(
			&cli.StringFlag{Name: "subject", Usage: "request id, or name of a group, host, backend server or node", Destination: &subject},
			&cli.StringFlag{Name: "kind", Usage: "one of " + kinds(), Destination: &kind},
			&cli.IntFlag{Name: "limit", Usage: "number of decisions", Value: 100, Destination: &limit},
		),
		Action: s.action(0, func(ctx context.Context, _ *cli.Command, p printer) error {
			if kind != "" && !strings.Contains(", "+kinds()+",", ", "+kind+",") {
				return usagef("--kind must be one of %s, not %q", kinds(), kind)
			}
			var list []reason.Entry
			q := url.Values{"subject": {subject}, "kind": {kind}, "limit": {strconv.Itoa(max(limit, 0))}}
			if err := (client{s}).get(ctx, admin.PathExplain+"?"+q.Encode(), &list); err != nil {
				return err
			}
			return p.print(list, func() error { return p.printDecisions(list) })
		}),
	}
}

func kinds() string {
	all := reason.Kinds()
	names := make([]string, len(all))
	for i, k := range all {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}

func (p printer) printDecisions(list []reason.Entry) error {
	lines := make([][]any, 0, len(list))
	for _, e := range list {
		details := make([]string, len(e.Details))
		for i, d := range e.Details {
			details[i] = fmt.Sprintf("%s=%s", d.Key(), d.Value())
		}
		lines = append(lines, []any{
			e.At.UTC().Format(time.RFC3339Nano), e.Kind, e.Subject, e.Decision, e.Reason, orDash(strings.Join(details, " ")),
		})
	}
	return p.table([]any{"TIME", "KIND", "SUBJECT", "DECISION", "REASON", "DETAILS"}, lines)
}
