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

// rowPrefix starts the keys of all run counts.
const rowPrefix = "crash/"

// tableTime bounds one table call.
const tableTime = time.Second

// rowLifetime is how long a row matters after its last run.
const rowLifetime = time.Hour

// sweepPage is the number of rows that Sweep reads at once.
const sweepPage = 128

// count runs a counter against the table.
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
	ctx, cancel := context.WithTimeout(ctx, tableTime)
	defer cancel()
	row, err := g.deps.Table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return crash.ReadEnded{OK: true}
	}
	if err != nil {
		g.deps.Log.Info("run count not read", "error", err)
		return crash.ReadEnded{}
	}
	var r crash.Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		g.deps.Log.Warn("run count not decoded", "error", err)
		return crash.ReadEnded{}
	}
	return crash.ReadEnded{OK: true, Row: r, Revision: row.Revision}
}

func (g *Guard) write(ctx context.Context, key string, w crash.Write) error {
	ctx, cancel := context.WithTimeout(ctx, tableTime)
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

// endCount ends the count of a suspect's run. A count that stays only makes the fleet stricter for an
// hour.
func (r *Run) endCount(c *crash.Counter) {
	r.endCountAfter(0, func() *crash.Counter { return c })
}

// endCountAfter ends the count after some time. When the node stops earlier the run stays counted.
func (r *Run) endCountAfter(wait time.Duration, c func() *crash.Counter) {
	if !r.Alone {
		return
	}
	g := r.guard
	g.group.Go("end run count", func(ctx context.Context) error {
		if wait > 0 && !tasks.Sleep(ctx, wait) {
			return nil
		}
		if v := g.count(context.WithoutCancel(ctx), r.f, c()); v != crash.Allowed {
			g.deps.Log.Info("run count not ended")
		}
		g.update(func(*crash.Decider) []crash.Suspicion { return nil })
		return nil
	})
}

// Sweep removes run counts that have expired and returns how many it removed. One node does this at a
// time, under a duty.
func (g *Guard) Sweep(ctx context.Context) (int, error) {
	removed, after := 0, ""
	for {
		rows, err := g.deps.Table.Scan(ctx, rowPrefix, after, sweepPage)
		if err != nil {
			return removed, errors.Newf("scan run counts: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			var r crash.Row
			if json.Unmarshal(row.Value, &r) != nil || g.deps.Now().Sub(r.At) <= 2*rowLifetime {
				continue
			}
			_, err := g.deps.Table.Commit(ctx, table.Remove(row))
			if err != nil && !errors.Is(err, table.ErrConflict) {
				return removed, errors.Newf("remove run count: %w", err)
			}
			removed++
		}
		if len(rows) < sweepPage {
			return removed, nil
		}
	}
}
