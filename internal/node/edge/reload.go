package edge

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/plat/table"
)

// reloadInterval is the time between reads of the settings, which may change without a signal.
const reloadInterval = 2 * time.Second

// reload puts changed settings in force until ctx ends. Addresses that the node listens on stay as they
// are: they change with a restart.
func (n *Node) reload(ctx context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-n.cfg.Reload:
			signalled = true
		}
		n.readSettings(signalled)
	}
}

func (n *Node) readSettings(signalled bool) {
	set, err := n.cfg.Settings()
	if err != nil {
		n.cfg.Log.Warn("settings cannot be read, keeping those in force", "signalled", signalled, "error", err)
		return
	}
	old := n.settings.Swap(&set)
	if *old == set {
		if signalled {
			n.cfg.Log.Info("settings read again, nothing has changed")
		}
		return
	}
	n.cfg.Log.Info("settings changed", "signalled", signalled, "store", set.StoreAddress, "grace_ms", set.Grace.Milliseconds(),
		"retry_ratio", set.RetryRatio, "retry_slack", set.RetrySlack)
	n.moved.move(set.StoreAddress)
}

// movable is a store whose address may change.
type movable struct {
	make func(address string) Store
	now  atomic.Pointer[placed]
}

// placed is a store at an address.
type placed struct {
	Store
	address string
}

var _ Store = (*movable)(nil)

func newMovable(create func(address string) Store, address string) *movable {
	s := &movable{make: create}
	s.move(address)
	return s
}

// move uses another address for all further calls.
func (s *movable) move(address string) {
	if p := s.now.Load(); p != nil && p.address == address {
		return
	}
	s.now.Store(&placed{address: address, Store: s.make(address)})
}

// Get implements table.Table.
func (s *movable) Get(ctx context.Context, key string) (table.Row, error) {
	return s.now.Load().Get(ctx, key)
}

// Scan implements table.Table.
func (s *movable) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	return s.now.Load().Scan(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (s *movable) Commit(ctx context.Context, txn table.Txn) (uint64, error) {
	return s.now.Load().Commit(ctx, txn)
}

// Snapshot implements table.Feed.
func (s *movable) Snapshot(ctx context.Context, family string) (table.State, error) {
	return s.now.Load().Snapshot(ctx, family)
}

// Changes implements table.Feed.
func (s *movable) Changes(ctx context.Context, family string, after uint64, wait time.Duration) (table.Delta, error) {
	return s.now.Load().Changes(ctx, family, after, wait)
}
