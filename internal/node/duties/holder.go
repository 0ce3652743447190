package duties

import (
	"context"
	"time"

	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/plat/table"
)

// Intervals and limits of the holder.
const (
	// holderInterval is the time between steps of the ledger.
	holderInterval = 100 * time.Millisecond
	// storeTimeout limits a call of the store.
	storeTimeout = 2 * time.Second
	// maxRows limits the rows of the ledger that are read. There are some tens.
	maxRows = 500
)

// runHolder runs the ledger while this node holds the duty. Calls run as tasks of g, beside the work of the keeper.
func (d *Duties) runHolder(ctx context.Context, g *tasks.Group) error {
	for wait := time.Duration(0); tasks.Sleep(ctx, wait); {
		if !d.active.Load() {
			wait = idleInterval
			continue
		}
		wait = holderInterval
		tenure, holds := d.cfg.Tenure()
		now := clock.Since()
		if !d.updateTenure(now, tenure, holds) {
			continue
		}
		nodes := d.cfg.Nodes()
		maySend := d.mayCall(now, tenure)
		d.mu.Lock()
		if d.ledger == nil {
			d.mu.Unlock()
			continue
		}
		ledger, estimate := d.ledger, d.trueTime.Now(now)
		actions, misses := ledger.Next(estimate, nodes, maySend)
		d.mu.Unlock()
		d.reportMisses(misses)
		for _, a := range actions {
			g.Go("usage", func(ctx context.Context) error {
				d.execute(ctx, ledger, a)
				return nil
			})
		}
	}
	return nil
}

// updateTenure begins or ends a tenure, and reports whether this node holds the duty.
func (d *Duties) updateTenure(now time.Duration, t duty.Tenure, holds bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.collecting && (!holds || t.Fence != d.fence) {
		d.collecting = false
		d.cfg.Log.Info("lost the duty to call the platform's API", "fence", d.fence, "held_ms", (now - d.heldSince).Milliseconds())
	}
	if !holds || d.forwarder == nil {
		return false
	}
	if !d.collecting {
		continuous := d.fence > 0 && t.Follows(d.tenureEnd, d.settings.Lease)
		d.collecting, d.fence, d.heldSince = true, t.Fence, t.Began
		if d.ledger != nil {
			estimate := d.trueTime.Now(now)
			d.ledger.Start(estimate, t.Fence, continuous)
			d.ledger.Merge(estimate, d.forwarder.All())
		}
		d.cfg.Log.Info("took the duty to call the platform's API", "fence", t.Fence, "continuous", continuous,
			"first_call_in_ms", (t.FirstCall(d.settings.Lease) - now).Milliseconds())
	}
	d.tenureEnd = t.End
	return true
}

// execute makes a call for the ledger and passes on the result.
func (d *Duties) execute(ctx context.Context, ledger *usage.Ledger, a usage.Action) {
	var misses []usage.Miss
	var rows []table.Row
	var row table.Row
	var err error
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch a.Kind {
	case usage.ReadRows:
		rows, err = d.cfg.Table.Scan(storeCtx, usage.RowPrefix, "", maxRows)
	case usage.ReadRow:
		row, err = d.cfg.Table.Get(storeCtx, a.Key)
	case usage.Store:
		_, err = d.cfg.Table.Commit(storeCtx, a.Txn)
	case usage.Send:
		err = d.call(ctx, callUsage, a.Fence, func(ctx context.Context, api cloud.API, c cloud.Call) error {
			return api.ReportUsage(ctx, c, cloud.Window(a.Window), cloud.Counts(a.Counts)) //nolint:wrapcheck // The API names the call.
		})
	}
	d.mu.Lock()
	now := clock.Since()
	if d.trueTime == nil {
		d.mu.Unlock()
		return
	}
	estimate := d.trueTime.Now(now)
	switch a.Kind {
	case usage.ReadRows:
		ledger.RowsRead(estimate, rows, err)
	case usage.ReadRow:
		misses = ledger.RowRead(estimate, a, row, err)
	case usage.Store:
		misses = ledger.Stored(estimate, a, err)
	case usage.Send:
		ledger.Sent(estimate, a, err)
	}
	age := estimate.Sub(usage.WindowEnd(a.Window, d.settings.UsageWindow))
	d.mu.Unlock()
	d.logAction(a, age, err)
	d.reportMisses(misses)
}

// logAction logs the result of a call.
func (d *Duties) logAction(a usage.Action, age time.Duration, err error) {
	if err != nil {
		d.cfg.Log.Info("call for a report of usage failed", "call", a.Kind, "window", a.Window, "fence", a.Fence, "age_ms", age.Milliseconds(), "error", err)
		return
	}
	if a.Kind == usage.Send {
		sum := uint64(0)
		for _, n := range a.Counts {
			sum += n
		}
		d.cfg.Log.Info("reported usage", "window", a.Window, "fence", a.Fence, "accounts", len(a.Counts), "requests", sum, "age_ms", age.Milliseconds())
	}
}

// reportMisses logs and counts windows that are not reported.
func (d *Duties) reportMisses(misses []usage.Miss) {
	for _, m := range misses {
		d.cfg.Log.Warn("usage of a window is not reported", "window", m.Window, "reason", m.Reason)
		d.metrics.missed.WithLabelValues(string(m.Reason)).Inc()
	}
}
