package edge

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/plat/table"
)

// reloadInterval is the time between reads of the settings, which can change without a signal.
const reloadInterval = 2 * time.Second

// reload reads the settings at regular intervals and on a signal, and applies changes, until ctx ends. The
// listening addresses change only with a restart.
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
		n.cfg.Log.Warn("reading the settings failed; keeping the current settings", "signalled", signalled, "error", err)
		return
	}
	old := n.settings.Swap(&set)
	if *old == set {
		if signalled {
			n.cfg.Log.Info("settings reloaded without changes")
		}
		return
	}
	n.cfg.Log.Info("settings changed", "signalled", signalled, "store", set.StoreAddress, "grace_ms", set.Grace.Milliseconds(),
		"retry_ratio", set.RetryRatio, "retry_slack", set.RetrySlack)
	n.switchable.setAddress(set.StoreAddress)
}

// switchableStore is a store client whose address can change.
type switchableStore struct {
	make    func(address string) Store
	current atomic.Pointer[addressedStore]
}

// addressedStore is a store client with its address.
type addressedStore struct {
	Store
	address string
}

var _ Store = (*switchableStore)(nil)

func newSwitchableStore(newClient func(address string) Store, address string) *switchableStore {
	s := &switchableStore{make: newClient}
	s.setAddress(address)
	return s
}

// setAddress sends all further calls to the store at address.
func (s *switchableStore) setAddress(address string) {
	if p := s.current.Load(); p != nil && p.address == address {
		return
	}
	s.current.Store(&addressedStore{address: address, Store: s.make(address)})
}

// Get implements table.Table.
func (s *switchableStore) Get(ctx context.Context, key string) (table.Row, error) {
	return s.current.Load().Get(ctx, key)
}

// Scan implements table.Table.
func (s *switchableStore) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	return s.current.Load().Scan(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (s *switchableStore) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	return s.current.Load().Commit(ctx, txn)
}

// Snapshot implements table.Feed.
func (s *switchableStore) Snapshot(ctx context.Context, family string) (table.State, error) {
	return s.current.Load().Snapshot(ctx, family)
}

// Changes implements table.Feed.
func (s *switchableStore) Changes(ctx context.Context, family string, after table.Revision, wait time.Duration) (table.Delta, error) {
	return s.current.Load().Changes(ctx, family, after, wait)
}
