package keep

import (
	"context"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/heal"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// carryOut runs the transactions and orders of one step after the other.
func (k *Keeper) carryOut(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err() //nolint:wrapcheck // The group compares it.
		case acts := <-k.work:
			for _, c := range acts.Commits {
				k.commit(ctx, c)
			}
			k.sendOrders(ctx, acts.Orders)
		}
	}
}

// commit runs a transaction while the duty is held. A transaction that did not run is reported as a
// conflict, so that the rows are read again.
func (k *Keeper) commit(ctx context.Context, c heal.Commit) {
	result, revision := heal.Conflict, uint64(0)
	if fence, remaining, ok := k.Lease.Held(); ok && fence == c.Fence() {
		ctx, cancel := context.WithTimeout(ctx, min(tableTimeout, remaining))
		defer cancel()
		var err error
		revision, err = k.write(ctx, c)
		result = resultOf(err)
		if err != nil {
			k.Log.Warn("commit placement", "domain", k.Domain, "result", string(result), "error", err)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.Committed(c.ID, result, revision, time.Now())
}

func (k *Keeper) write(ctx context.Context, c heal.Commit) (uint64, error) {
	txn, err := c.Txn()
	if err != nil {
		return 0, errors.Mark(err, table.ErrUnavailable)
	}
	return k.Table.Commit(ctx, txn) //nolint:wrapcheck // resultOf sorts the errors of the table.
}

// resultOf tells writes that had no effect from those whose effect is not known.
func resultOf(err error) heal.Result {
	switch {
	case err == nil:
		return heal.Applied
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnavailable):
		return heal.Conflict
	default:
		return heal.Unknown
	}
}

// sendOrders sends orders at once. One that fails is decided again by the next steps.
func (k *Keeper) sendOrders(ctx context.Context, orders []heal.Order) {
	g := tasks.New(ctx)
	slots := make(chan struct{}, maxOrders)
	plan := k.Document().Hosts
	addresses := make(map[string]string, len(plan))
	for _, h := range plan {
		addresses[h.Name] = h.Address
	}
	for _, o := range orders {
		client := k.client(addresses[o.Host])
		g.Go("order "+o.Host, func(ctx context.Context) error {
			slots <- struct{}{}
			defer func() { <-slots }()
			fence, remaining, ok := k.Lease.Held()
			if !ok || fence != o.Fence {
				return nil
			}
			ctx, cancel := context.WithTimeout(ctx, min(k.Settings.MaxOrder, remaining))
			defer cancel()
			if err := client.Order(ctx, wireOrder(o)); err != nil {
				k.Log.Warn("order engine", "host", o.Host, "kind", string(o.Kind), "error", err)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		k.Log.Error("order engines", "domain", k.Domain, "error", err)
	}
}

func wireOrder(o heal.Order) engine.Order {
	return engine.Order{
		Kind: string(o.Kind), Fence: o.Fence, Group: o.Group, Generation: o.Generation, Hosts: o.Hosts,
		Model: o.Weights.Model, Version: o.Weights.Version, Adapters: o.Adapters,
	}
}

func weights(w engine.Weights) form.Weights { return form.Weights{Model: w.Model, Version: w.Version} }
