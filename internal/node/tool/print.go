package tool

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/node/admin"
	"github.com/cockroachdb/errors"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes results as a table or as JSON.
type printer struct {
	w io.Writer
	// errW receives output that is not part of the result.
	errW io.Writer
	json bool
}

// print writes v as JSON, or calls table.
func (p printer) print(v any, table func() error) error {
	if !p.json {
		return table()
	}
	return p.printJSON(v)
}

func (p printer) printJSON(v any) error {
	e := json.NewEncoder(p.w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return errors.Newf("write result: %w", err)
	}
	return nil
}

func (p printer) linef(format string, args ...any) error {
	if _, err := fmt.Fprintf(p.w, format+"\n", args...); err != nil {
		return errors.Newf("write result: %w", err)
	}
	return nil
}

// table writes lines of cells in aligned columns.
func (p printer) table(head []any, lines [][]any) error {
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	for _, cells := range append([][]any{head}, lines...) {
		for i, c := range cells {
			sep := "\t"
			if i == len(cells)-1 {
				sep = "\n"
			}
			if _, err := fmt.Fprint(tw, c, sep); err != nil {
				return errors.Newf("write table: %w", err)
			}
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Newf("write table: %w", err)
	}
	return nil
}

func (p printer) printChanges(list []delta.Change) error {
	lines := make([][]any, 0, len(list))
	for _, c := range list {
		lines = append(lines, []any{c.Path, orDash(c.From), orDash(c.To)})
	}
	return p.table([]any{"PLACE", "BEFORE", "AFTER"}, lines)
}

func (p printer) printNodes(list []admin.NodeStatus) error {
	lines := make([][]any, 0, len(list))
	for _, n := range list {
		lines = append(lines, []any{
			n.Node, n.DataCentre, n.Version, n.Age(), n.Mode, n.Ready, orDash(n.Drain), n.Heard(),
		})
	}
	return p.table([]any{"NODE", "DATA CENTRE", "VERSION", "AGE", "MODE", "READY", "DRAIN", "HEARD"}, lines)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
