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

// Times of the shell.
const (
	// callTimeout bounds one call of the table. It is well below the margin between a renewal and
	// the end of the lease.
	callTimeout = 2 * time.Second
	// tick is how often the decider is asked for its next operation; each wait varies by a fifth,
	// so that nodes that start together spread their calls.
	tick      = 250 * time.Millisecond
	tickRange = tick / 5
	// listInterval is the time between reads of the platform's list.
	listInterval = 5 * time.Second
)

// pageRows is how many rows one scan returns at most.
const pageRows = 1000

// ErrReplaced means that a newer process of the same node has registered.
var ErrReplaced = errors.New("a newer process of this node has registered")

// Keeper runs a decider against the table. It is safe for concurrent use.
type Keeper struct {
	log  hclog.Logger
	tab  table.Table
	list hosts.Lister

	mu     sync.Mutex
	dec    *Decider
	listAt time.Time
}

// NewKeeper returns a keeper that does nothing until Run.
func NewKeeper(log hclog.Logger, tab table.Table, list hosts.Lister, cfg Config) *Keeper {
	return &Keeper{log: log, tab: tab, list: list, dec: New(cfg)}
}

// Run renews the lease and moves duties until ctx ends. It returns ErrReplaced when a newer process
// of the node has registered, and nil after Leave.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.Step(ctx); err != nil {
			return err
		}
		if k.left() {
			return nil
		}
		t := time.NewTimer(tick - tickRange/2 + rand.N(tickRange)) //nolint:gosec // Jitter needs no secret.
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
	return nil
}

func (k *Keeper) left() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dec.Left()
}

// Step runs every operation that is due.
func (k *Keeper) Step(ctx context.Context) error {
	k.readList(ctx)
	for ctx.Err() == nil {
		k.mu.Lock()
		op, ok := k.dec.Next(time.Now())
		replaced := k.dec.Replaced()
		k.mu.Unlock()
		if replaced {
			return ErrReplaced
		}
		if !ok {
			return nil
		}
		res := k.run(ctx, op)
		if res.Err != nil {
			k.log.Debug("table call failed", "kind", int(op.Kind), "error", res.Err)
		}
		k.mu.Lock()
		k.dec.Done(time.Now(), op, res)
		k.mu.Unlock()
	}
	return nil
}

// readList reads the platform's list when it is due. A failure keeps what is known.
func (k *Keeper) readList(ctx context.Context) {
	if k.list == nil || time.Since(k.listAt) < listInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.listAt = time.Now()
	entries, err := k.list.List(ctx)
	if err != nil {
		k.log.Debug("read of live list failed", "error", err)
		return
	}
	names := make([]string, 0, len(entries))
	for _, h := range entries {
		names = append(names, h.Name)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dec.Hosts(time.Now(), names)
}

func (k *Keeper) run(ctx context.Context, op Op) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if op.Kind != ReadAll {
		rev, err := k.tab.Commit(ctx, op.Txn)
		return Result{Revision: rev, Err: err}
	}
	leases, err := scanAll(ctx, k.tab, NodePrefix)
	if err != nil {
		return Result{Err: err}
	}
	duties, err := scanAll(ctx, k.tab, DutyPrefix)
	return Result{Leases: leases, Duties: duties, Err: err}
}

func scanAll(ctx context.Context, tab table.Table, prefix string) ([]table.Row, error) {
	var out []table.Row
	after := ""
	for {
		rows, err := tab.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return nil, errors.Newf("scan %s: %w", prefix, err)
		}
		out = append(out, rows...)
		if len(rows) < pageRows {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Holds reports whether the process holds the duty under a valid lease now; see Decider.Holds.
func (k *Keeper) Holds(duty string, fence uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dec.Holds(time.Now(), duty, fence)
}

// Tenures returns the duties that the process holds or has not consented to the loss of.
func (k *Keeper) Tenures() []Tenure {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dec.Tenures()
}

// Holder returns the node that the last read showed as holder of the duty, or "".
func (k *Keeper) Holder(duty string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dec.Holder(duty)
}

// Wants returns a duty with the prefix that should move for balance, if one is due.
func (k *Keeper) Wants(prefix string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dec.Wants(time.Now(), prefix)
}

// Yield releases a held duty; see Decider.Yield.
func (k *Keeper) Yield(duty string, clean bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dec.Yield(duty, clean)
}

// Consent leaves the list of earlier holders of a lost duty; see Decider.Consent.
func (k *Keeper) Consent(duty string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dec.Consent(duty)
}

// Drain stops the process from taking duties.
func (k *Keeper) Drain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dec.Drain()
}

// Rescan has the rows read at the next step: something is known to have changed.
func (k *Keeper) Rescan() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dec.Rescan()
}

// Leave deletes the lease row; Run returns once that is done.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dec.Leave()
}
