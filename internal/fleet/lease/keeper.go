package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Timeouts and intervals of the Manager.
const (
	// callTimeout bounds one table call. It is well below the time between a renewal and the end of the
	// lease.
	callTimeout = 2 * time.Second
	// stepInterval is the mean time between calls of Step. Each wait is jittered by stepJitter so that nodes
	// that start together spread their calls.
	stepInterval = 250 * time.Millisecond
	stepJitter   = stepInterval / 5
	// hostListInterval is the time between reads of the platform's host list.
	hostListInterval = 5 * time.Second
)

// scanPageRows is the maximum number of rows per scan.
const scanPageRows = 1000

// ErrReplaced is returned when a newer process of the same node has registered.
var ErrReplaced = errors.New("a newer process of this node has registered")

// Manager runs a Decider against the table. It is safe for concurrent use.
type Manager struct {
	log        hclog.Logger
	table      table.Table
	hostLister hosts.Lister

	mu      sync.Mutex
	decider *Decider
	listAt  time.Time
}

// NewManager returns a Manager, which is idle until Run is called.
func NewManager(log hclog.Logger, tab table.Table, list hosts.Lister, cfg Config) *Manager {
	return &Manager{log: log, table: tab, hostLister: list, decider: New(cfg)}
}

// Run renews the lease and claims and releases duties until ctx ends. It returns ErrReplaced if a newer
// process of the node has registered, and nil after Leave.
func (k *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.Step(ctx); err != nil {
			return err
		}
		if k.hasLeft() {
			return nil
		}
		t := time.NewTimer(stepInterval - stepJitter/2 + rand.N(stepJitter)) //nolint:gosec // Jitter needs no secret.
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
	return nil
}

func (k *Manager) hasLeft() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.decider.Left()
}

// Step runs every operation that is due.
func (k *Manager) Step(ctx context.Context) error {
	k.refreshHosts(ctx)
	for ctx.Err() == nil {
		k.mu.Lock()
		op, ok := k.decider.Next(time.Now())
		replaced := k.decider.Replaced()
		k.mu.Unlock()
		if replaced {
			return ErrReplaced
		}
		if !ok {
			return nil
		}
		res := k.execute(ctx, op)
		if res.Err != nil {
			k.log.Debug("table call failed", "kind", int(op.Kind), "error", res.Err)
		}
		k.mu.Lock()
		k.decider.Done(time.Now(), op, res)
		k.mu.Unlock()
	}
	return nil
}

// refreshHosts reads the platform's host list if it is due. On failure the last list stays in use.
func (k *Manager) refreshHosts(ctx context.Context) {
	if k.hostLister == nil || time.Since(k.listAt) < hostListInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.listAt = time.Now()
	entries, err := k.hostLister.List(ctx)
	if err != nil {
		k.log.Debug("read of the platform's host list failed", "error", err)
		return
	}
	names := make([]string, 0, len(entries))
	for _, h := range entries {
		names = append(names, h.Name)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.SetHosts(time.Now(), names)
}

func (k *Manager) execute(ctx context.Context, op Op) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if op.Kind != ReadAll {
		rev, err := k.table.Commit(ctx, op.Txn)
		return Result{Revision: rev, Err: err}
	}
	leases, err := scanAll(ctx, k.table, NodePrefix)
	if err != nil {
		return Result{Err: err}
	}
	duties, err := scanAll(ctx, k.table, DutyPrefix)
	return Result{Leases: leases, Duties: duties, Err: err}
}

func scanAll(ctx context.Context, tab table.Table, prefix string) ([]table.Row, error) {
	var out []table.Row
	after := ""
	for {
		rows, err := tab.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, errors.Newf("scan %s: %w", prefix, err)
		}
		out = append(out, rows...)
		if len(rows) < scanPageRows {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Holds reports whether the process holds the duty under a valid lease now; see Decider.Holds.
func (k *Manager) Holds(duty string, fence uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.decider.Holds(time.Now(), duty, fence)
}

// Tenures returns the duties that the process holds, and the lost ones for which it still has to call
// ConfirmUnused.
func (k *Manager) Tenures() []Tenure {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.decider.Tenures()
}

// Holder returns the duty's holder as of the last read, or "".
func (k *Manager) Holder(duty string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.decider.Holder(duty)
}

// DueToMove returns a held duty that is due to move to its preferred node; see Decider.DueToMove.
func (k *Manager) DueToMove(prefix string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.decider.DueToMove(time.Now(), prefix)
}

// ReleaseDuty releases a held duty; see Decider.ReleaseDuty.
func (k *Manager) ReleaseDuty(duty string, clean bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.ReleaseDuty(duty, clean)
}

// ConfirmUnused confirms that nothing granted under a lost duty is still in use; see Decider.ConfirmUnused.
func (k *Manager) ConfirmUnused(duty string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.ConfirmUnused(duty)
}

// Drain stops the process from claiming duties.
func (k *Manager) Drain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.Drain()
}

// Rescan requests a read of the rows at the next step; see Decider.Rescan.
func (k *Manager) Rescan() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.Rescan()
}

// Leave deletes the lease row; Run returns once that is done.
func (k *Manager) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.Leave()
}
