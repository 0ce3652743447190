package guard

import (
	"context"
	"encoding/json"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/crash"
	"github.com/cockroachdb/errors"
)

// rowPrefix is the prefix of the table keys of all run counts.
const rowPrefix = "crash/"

// tableTimeout limits one table call.
const tableTimeout = time.Second

// rowLifetime is how long a row counts after its last run. Sweep removes the row after twice this time.
const rowLifetime = time.Hour

// sweepPageSize is the number of rows that Sweep reads per table call.
const sweepPageSize = 128

// count executes the actions of a counter on the table and returns its verdict.
func (g *Guard) count(ctx context.Context, f crash.Fingerprint, c *crash.Counter) crash.Verdict {
	key := rowPrefix + string(f)
	for act := c.Start(); ; {
		var ev crash.Event
		switch a := act.(type) {
		case crash.Verdict:
			return a
		case crash.Read:
			ev = g.read(ctx, key)
		case crash.Write:
			ev = crash.WriteEnded{Err: g.write(ctx, key, a)}
		}
		act = c.Next(g.deps.Now(), ev)
	}
}

func (g *Guard) read(ctx context.Context, key string) crash.ReadEnded {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := g.deps.Table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return crash.ReadEnded{OK: true}
	}
	if err != nil {
		g.deps.Log.Info("reading a run count failed", "error", err)
		return crash.ReadEnded{}
	}
	var r crash.RunCount
	if err := json.Unmarshal(row.Value, &r); err != nil {
		g.deps.Log.Warn("decoding a run count failed", "error", err)
		return crash.ReadEnded{}
	}
	return crash.ReadEnded{OK: true, Row: r, Revision: row.Revision}
}

func (g *Guard) write(ctx context.Context, key string, w crash.Write) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	base := table.Row{Key: key, Revision: w.Base}
	value, err := json.Marshal(w.Row)
	if err != nil {
		return errors.Mark(errors.Newf("encode run count: %w", err), table.ErrUnavailable)
	}
	txn := table.Replace(base, value)
	if w.Row.Empty() {
		txn = table.Remove(base)
	}
	if _, err := g.deps.Table.Commit(ctx, txn); err != nil {
		return errors.Newf("write run count: %w", err)
	}
	return nil
}

// endCount ends the count of a suspect's run. If this fails, the run counts towards the fleet's limit for an hour,
// which only makes the limit stricter.
func (r *Run) endCount(c *crash.Counter) {
	r.endCountAfter(0, func() *crash.Counter { return c })
}

// endCountAfter ends the count after a delay. If the node stops before that, the run stays counted.
func (r *Run) endCountAfter(wait time.Duration, c func() *crash.Counter) {
	if !r.Exclusive {
		return
	}
	g := r.guard
	g.group.Go("end run count", func(ctx context.Context) error {
		if wait > 0 && !tasks.Sleep(ctx, wait) {
			return nil
		}
		if v := g.count(context.WithoutCancel(ctx), r.fingerprint, c()); v != crash.Allowed {
			g.deps.Log.Info("ending a run count failed")
		}
		g.update(func(*crash.Decider) crash.Findings { return crash.Findings{} })
		return nil
	})
}

// Sweep removes expired run counts and returns how many it removed. Only the node that holds the sweep duty calls
// it.
func (g *Guard) Sweep(ctx context.Context) (int, error) {
	removed, after := 0, ""
	for {
		rows, err := g.deps.Table.Scan(ctx, rowPrefix, after, sweepPageSize)
		if err != nil {
			return removed, errors.Newf("scan run counts: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			var r crash.RunCount
			if json.Unmarshal(row.Value, &r) != nil || g.deps.Now().Sub(r.At) <= 2*rowLifetime {
				continue
			}
			_, err := g.deps.Table.Commit(ctx, table.Remove(row))
			if err != nil && !errors.Is(err, table.ErrConflict) {
				return removed, errors.Newf("remove run count: %w", err)
			}
			removed++
		}
		if len(rows) < sweepPageSize {
			return removed, nil
		}
	}
}
