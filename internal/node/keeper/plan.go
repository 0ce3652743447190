package keeper

import (
	"context"
	"strings"
	"time"

	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// scanRows is how many rows of a plan are read at a time.
const scanRows = 500

// planKey returns the key before the names of a plan's rows.
func planKey(service string) string { return planPrefix + service + "/" }

// commit stores a plan. After an unknown outcome, or one that stored a part, the plan is read back before anything else
// is done.
func (k *Keeper) commit(ctx context.Context, p group.Plan) {
	rows, err := p.Rows()
	if err != nil {
		k.cfg.Log.Error("cannot encode the plan of groups", "error", err)
		return
	}
	service, _ := k.cfg.Service()
	steps := rows.Steps(k.stored, group.MaxStepRows)
	done := 0
	for ; done < len(steps) && err == nil; done++ {
		k.revision, err = k.write(ctx, service, k.revision, steps[done])
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.stored = rows
		k.decider.Committed()
	case errors.Is(err, table.ErrUnavailable) && done == 1:
		k.cfg.Log.Warn("cannot store the plan of groups", "error", err)
		k.decider.CommitFailed()
		k.storeAgain = time.Now().Add(storePause)
	case errors.Is(err, table.ErrRejected) && done == 1:
		k.cfg.Log.Error("the store takes no such plan of groups", "rows", len(rows), "longest_bytes", longest(rows), "error", err)
		k.decider.CommitFailed()
		k.storeAgain = time.Now().Add(rejectedPause)
	default:
		k.cfg.Log.Warn("plan of groups was changed, or its outcome is unknown", "error", err)
		k.decider = nil
	}
	k.Wake()
}

// rejectedPause is the pause after a plan that the store rejects: it rejects the same one again.
const rejectedPause = 2 * time.Second

func longest(rows group.Rows) int {
	most := 0
	for _, b := range rows {
		most = max(most, len(b))
	}
	return most
}

// write makes one step of a change of the plan, if its head row still has a revision. It returns the new revision.
func (k *Keeper) write(ctx context.Context, service string, revision uint64, step group.Step) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	key := planKey(service)
	txn := table.Txn{Conditions: []table.Condition{{Key: key + group.HeadRow, Revision: revision}}}
	for name, value := range step {
		if value == nil {
			txn.Deletes = append(txn.Deletes, key+name)
		} else {
			txn.Puts = append(txn.Puts, table.Put{Key: key + name, Value: value})
		}
	}
	rev, err := k.cfg.Table.Commit(ctx, txn)
	if err != nil {
		return revision, errors.Newf("write plan: %w", err)
	}
	return rev, nil
}

// takePlan reads the stored plan and writes its head row with a fencing number, so that an earlier keeper cannot change
// the plan any more. A change while the rows are read makes the write fail.
func (k *Keeper) takePlan(ctx context.Context, service string, fence uint64) (group.Plan, group.Rows, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*commitTimeout)
	defer cancel()
	stored, rev, err := k.readPlan(ctx, service)
	if err != nil {
		return group.Plan{}, nil, 0, err
	}
	plan, err := stored.Plan()
	if err != nil {
		return group.Plan{}, nil, 0, errors.Newf("read plan: %w", err)
	}
	if plan.Fence > fence {
		return group.Plan{}, nil, 0, errors.Newf("the plan has the later fencing number %d", plan.Fence)
	}
	plan.Fence, plan.Inherited = fence, plan.Epoch
	rows, err := plan.Rows()
	if err != nil {
		return group.Plan{}, nil, 0, errors.Newf("encode plan: %w", err)
	}
	if rev, err = k.write(ctx, service, rev, group.Step{group.HeadRow: rows[group.HeadRow]}); err != nil {
		return group.Plan{}, nil, 0, err
	}
	return plan, stored, rev, nil
}

// readPlan reads the rows of a plan and the revision of the head row. The head row is read first.
func (k *Keeper) readPlan(ctx context.Context, service string) (group.Rows, uint64, error) {
	key := planKey(service)
	rows, rev, after := make(group.Rows), table.Absent, ""
	for {
		page, err := k.cfg.Table.Scan(ctx, key, after, scanRows)
		if err != nil {
			return nil, 0, errors.Newf("read plan: %w", err)
		}
		for _, r := range page {
			name := strings.TrimPrefix(r.Key, key)
			rows[name], after = r.Value, r.Key
			if name == group.HeadRow {
				rev = r.Revision
			}
		}
		if len(page) < scanRows {
			return rows, rev, nil
		}
	}
}
