package metric

import (
	"context"
	"time"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Table counts the calls of another table.
type Table struct {
	set  *Set
	next table.Table
}

var _ table.Table = (*Table)(nil)

// Table returns next with its calls counted.
func (s *Set) Table(next table.Table) *Table { return &Table{set: s, next: next} }

// Get implements table.Table.
func (t *Table) Get(ctx context.Context, key string) (table.Row, error) {
	start := time.Now()
	row, err := t.next.Get(ctx, key)
	t.set.TableCalled("get", tableResult(err), time.Since(start))
	return row, err
}

// Scan implements table.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	start := time.Now()
	rows, err := t.next.Scan(ctx, prefix, after, limit)
	t.set.TableCalled("scan", tableResult(err), time.Since(start))
	return rows, err
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	start := time.Now()
	rev, err := t.next.Commit(ctx, txn)
	t.set.TableCalled("commit", tableResult(err), time.Since(start))
	return rev, err
}

func tableResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, table.ErrNotFound):
		return "not_found"
	case errors.Is(err, table.ErrConflict):
		return "conflict"
	case errors.Is(err, table.ErrHistoryLost):
		return "history_lost"
	case errors.Is(err, table.ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}

// feeding is a table whose changes can be followed.
type feeding interface {
	table.Table
	table.Feed
}

// Store counts the calls of another table and feed.
type Store struct {
	*Table
	next table.Feed
}

var _ table.Feed = (*Store)(nil)

// Store returns next with its calls counted.
func (s *Set) Store(next feeding) *Store { return &Store{Table: s.Table(next), next: next} }

// Snapshot implements table.Feed.
func (t *Store) Snapshot(ctx context.Context, family string) (table.State, error) {
	start := time.Now()
	st, err := t.next.Snapshot(ctx, family)
	t.set.TableCalled("snapshot", tableResult(err), time.Since(start))
	return st, err
}

// Changes implements table.Feed. The time of the call contains the wait for a change.
func (t *Store) Changes(ctx context.Context, family string, after table.Revision, wait time.Duration) (table.Delta, error) {
	start := time.Now()
	d, err := t.next.Changes(ctx, family, after, wait)
	t.set.TableCalled("changes", tableResult(err), time.Since(start))
	return d, err
}
