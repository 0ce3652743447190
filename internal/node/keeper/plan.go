package keeper

import (
	"context"
	"strings"
	"time"

	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// scanPageRows is the page size of reads of a plan.
const scanPageRows = 500

// planKeyPrefix returns the key prefix of the rows of a plan.
func planKeyPrefix(service string) string { return planPrefix + service + "/" }

// commit stores a plan. If the outcome is unknown, or if only a part of the plan was stored, it discards the decider, so that
// the plan is read back before the next step.
func (k *Keeper) commit(ctx context.Context, p group.Plan) {
	rows, err := p.Rows()
	if err != nil {
		k.cfg.Log.Error("cannot encode the plan of groups", "error", err)
		return
	}
	service, _ := k.cfg.Service()
	steps := rows.Steps(k.stored, group.MaxStepRows)
	attempted := 0
	for ; attempted < len(steps) && err == nil; attempted++ {
		k.revision, err = k.writeStep(ctx, service, k.revision, steps[attempted])
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// If the first step failed without effect, nothing was stored and the decider stays valid.
	switch {
	case err == nil:
		k.stored = rows
		k.kept = keptPlan{Plan: p, service: service, era: k.revision.Era}
		k.decider.Committed()
	case errors.Is(err, table.ErrUnavailable) && attempted == 1:
		k.cfg.Log.Warn("cannot store the plan of groups", "error", err)
		k.decider.CommitFailed()
		k.storeRetryAt = time.Now().Add(storeRetryDelay)
	case errors.Is(err, table.ErrRejected) && attempted == 1:
		k.cfg.Log.Error("the store rejected the plan of groups", "rows", len(rows), "longest_bytes", longestRowBytes(rows), "error", err)
		k.decider.CommitFailed()
		k.storeRetryAt = time.Now().Add(rejectedRetryDelay)
	default:
		k.cfg.Log.Warn("plan of groups was changed by another node or stored in part, or the outcome is unknown; reading it again", "error", err)
		k.decider = nil
	}
	k.Wake()
}

// rejectedRetryDelay is the delay after the store has rejected a plan. It is longer than storeRetryDelay because
// the store would reject the same plan again.
const rejectedRetryDelay = 2 * time.Second

// longestRowBytes returns the length of the longest row in bytes.
func longestRowBytes(rows group.Rows) int {
	most := 0
	for _, b := range rows {
		most = max(most, len(b))
	}
	return most
}

// writeStep commits one step of a change to the plan if the head row still has the given revision. It returns the new revision
// of the head row.
func (k *Keeper) writeStep(ctx context.Context, service string, revision table.Revision, step group.Step) (table.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	key := planKeyPrefix(service)
	txn := table.Txn{Conditions: []table.Condition{{Key: key + group.HeaderRow, Revision: revision}}}
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

// keptPlan is a plan of a service that a node has stored.
type keptPlan struct {
	group.Plan
	service string
	// era is the era of the store, or 0 while some rows of the plan are not stored again.
	era uint64
}

// isNewer reports whether the plan was written after a stored one. Fencing numbers of a plan only rise, except when the store
// goes back.
func (p keptPlan) isNewer(service string, stored group.Plan, era uint64) bool {
	return p.service == service && (stored.Fence < p.Fence || stored.Fence == p.Fence && era > p.era)
}

// takeOverPlan reads the stored plan and writes its head row with the given fencing number, so that an earlier holder can no
// longer change the plan. The write fails if the plan changes while its rows are read. If the store went back to a plan from
// before the last one of this node, it writes that one again.
func (k *Keeper) takeOverPlan(ctx context.Context, service string, fence uint64) (group.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*commitTimeout)
	defer cancel()
	stored, rev, err := k.readPlan(ctx, service)
	if err != nil {
		return group.Plan{}, err
	}
	plan, err := stored.Plan()
	if err != nil {
		return group.Plan{}, errors.Newf("read plan: %w", err)
	}
	if plan.Fence > fence {
		k.mu.Lock()
		k.duty.NewerPlan(plan.Fence)
		k.mu.Unlock()
		return group.Plan{}, errors.Newf("stored plan has the newer fencing number %d", plan.Fence)
	}
	if k.kept.isNewer(service, plan, rev.Era) {
		k.cfg.Log.Warn("the stored plan of groups is older than the last one of this node", "fence", plan.Fence, "epoch", plan.Epoch,
			"kept_fence", k.kept.Fence, "kept_epoch", k.kept.Epoch)
		plan = k.kept.Plan
	}
	plan = plan.TakenOver(fence)
	rows, err := plan.Rows()
	if err != nil {
		return group.Plan{}, errors.Newf("encode plan: %w", err)
	}
	for _, step := range rows.Steps(stored, group.MaxStepRows) {
		if rev, err = k.writeStep(ctx, service, rev, step); err != nil {
			return group.Plan{}, err
		}
		k.kept = keptPlan{Plan: plan, service: service}
	}
	k.stored, k.revision = rows, rev
	k.kept.era = rev.Era
	return plan, nil
}

// readPlan reads the rows of a plan and the revision of its head row. The head row is read first because its name is empty,
// so that a change to the plan during the read changes the revision of the head row.
func (k *Keeper) readPlan(ctx context.Context, service string) (group.Rows, table.Revision, error) {
	key := planKeyPrefix(service)
	rows, rev, after := make(group.Rows), table.Absent, ""
	for {
		page, err := k.cfg.Table.Scan(ctx, key, after, scanPageRows)
		if err != nil {
			return nil, table.Absent, errors.Newf("read plan: %w", err)
		}
		for _, r := range page {
			name := strings.TrimPrefix(r.Key, key)
			rows[name], after = r.Value, r.Key
			if name == group.HeaderRow {
				rev = r.Revision
			}
		}
		if len(page) < scanPageRows {
			return rows, rev, nil
		}
	}
}
