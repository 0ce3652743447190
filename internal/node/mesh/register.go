package mesh

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Times of a registration.
const (
	// registerRetryDelay is the delay between attempts to register and the timeout of each.
	registerRetryDelay = 700 * time.Millisecond
	// MinRewriteDelay and MaxRewriteDelay bound the random delay before a row that is gone is written again. Many nodes may
	// have lost theirs at once, and the list of a node that has just registered may not have its row yet. Other nodes keep
	// the row meanwhile, see mirror.Config.Keep.
	MinRewriteDelay = time.Second
	MaxRewriteDelay = 5 * time.Second
)

// Registration keeps the row of a node in the store, which loses it if it is restored from an older copy. It is safe for
// concurrent use.
type Registration struct {
	table table.Table
	row   table.Put
	log   hclog.Logger

	// written is set once the row was written, missing while the list of nodes lacks it, and left once the node has left.
	written atomic.Bool
	missing atomic.Bool
	left    atomic.Bool
	changed chan struct{}
}

// NewRegistration returns a registration that is not written yet.
func NewRegistration(t table.Table, row table.Put, log hclog.Logger) *Registration {
	return &Registration{table: t, row: row, log: log, changed: make(chan struct{}, 1)}
}

// Write writes the row unless the node has left.
func (r *Registration) Write(ctx context.Context) {
	if r.left.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerRetryDelay)
	defer cancel()
	_, err := r.table.Commit(ctx, table.Txn{Puts: []table.Put{r.row}})
	r.written.Store(err == nil)
	if err != nil {
		r.log.Info("cannot write the registration of this node", "error", err)
	}
}

// Run repeats a write that failed, and writes the row again when it is gone, until ctx ends. Once the node has left, it
// deletes the row when it shows again.
func (r *Registration) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.written.Load() && !r.left.Load() {
			if tasks.Sleep(ctx, registerRetryDelay) {
				r.Write(ctx)
			}
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		}
		if r.gone() && tasks.Sleep(ctx, MinRewriteDelay+rand.N(MaxRewriteDelay-MinRewriteDelay)) && r.gone() {
			r.log.Info("the registration of this node is gone, writing it again")
			r.Write(ctx)
		}
		if r.left.Load() && !r.missing.Load() {
			r.leaveAgain(ctx)
		}
	}
	return nil
}

// gone reports whether the row must be written again.
func (r *Registration) gone() bool { return r.missing.Load() && !r.left.Load() }

// leaveAgain deletes the row if it still shows after the list had time to follow the first deletion.
func (r *Registration) leaveAgain(ctx context.Context) {
	if !tasks.Sleep(ctx, MinRewriteDelay) || r.missing.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerRetryDelay)
	defer cancel()
	if err := r.Leave(ctx); err != nil {
		r.log.Info("cannot delete the registration of this node again", "error", err)
	}
}

// Observe tells of an update of the list of nodes.
func (r *Registration) Observe(u mirror.Update) {
	missing := r.missing.Load() || u.Full
	for _, k := range u.Removed {
		missing = missing || k == r.row.Key
	}
	for _, row := range u.Put {
		if row.Key == r.row.Key {
			missing = row.Revision.Number == 0 || !bytes.Equal(row.Value, r.row.Value) // 0 if it is only kept, see mirror.Config.Keep.
		}
	}
	r.missing.Store(missing)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Leave deletes the row.
func (r *Registration) Leave(ctx context.Context) error {
	r.left.Store(true)
	if _, err := r.table.Commit(ctx, table.Txn{Deletes: []string{r.row.Key}}); err != nil {
		return errors.Newf("delete registration: %w", err)
	}
	return nil
}
