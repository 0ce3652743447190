package apply_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

func document(region string) *schema.Document {
	return &schema.Document{Regions: []schema.Region{{Name: region}}}
}

// delayedTable answers a commit with ErrUnknown and keeps the transaction, so that a test can apply it
// after later reads.
type delayedTable struct {
	*store.Store
	pending *table.Txn
}

func (d *delayedTable) Commit(_ context.Context, txn table.Txn) (table.Revision, error) {
	d.pending = &txn
	return table.Absent, table.ErrUnknown
}

// Guards against a wrong result of Commit after a conflict or a table failure: an accepted change must be
// in the table, a rejected one must not.
func TestCommitFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		base    uint64
		prepare func(tbl *store.Store)
		want    error
		version uint64
	}{
		{"accepted", 1, func(*store.Store) {}, nil, 2},
		{"outdated base", 0, func(*store.Store) {}, apply.ErrConflict, 1},
		{"nonexistent base", 7, func(*store.Store) {}, apply.ErrConflict, 1},
		{"response lost", 1, func(tbl *store.Store) { tbl.LoseResponses(1) }, nil, 2},
		{"table unavailable", 1, func(tbl *store.Store) { tbl.SetDown(true) }, table.ErrUnavailable, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tbl := store.New()
			s := apply.New(tbl, time.Now)
			if _, err := s.Commit(t.Context(), 0, "first", document("a")); err != nil {
				t.Fatalf("first commit: %v", err)
			}
			tt.prepare(tbl)
			_, err := s.Commit(t.Context(), tt.base, "second", document("b"))
			if !errors.Is(err, tt.want) {
				t.Errorf("commit: got %v, want %v", err, tt.want)
			}
			tbl.SetDown(false)
			if v, _, err := s.Version(t.Context()); err != nil || v != tt.version {
				t.Errorf("version %d, %v; want %d", v, err, tt.version)
			}
		})
	}
}

// Guards against reporting a commit as rejected while its write is still in flight.
func TestCommitLateWrite(t *testing.T) {
	t.Parallel()
	tbl := &delayedTable{Store: store.New()}
	s := apply.New(tbl, time.Now)
	e, err := s.Commit(t.Context(), 0, "late", document("a"))
	if !errors.Is(err, table.ErrUnknown) || e.Version != 1 || e.Token == "" {
		t.Fatalf("got version %d, token %q, %v; want ErrUnknown and the entry that may have been committed", e.Version, e.Token, err)
	}
	if _, err := tbl.Store.Commit(t.Context(), *tbl.pending); err != nil {
		t.Fatalf("delayed write: %v", err)
	}
	if v, _, err := s.Version(t.Context()); err != nil || v != 1 {
		t.Errorf("version %d, %v; want 1", v, err)
	}
}

// Guards against concurrent commits with the same base that are both reported as accepted.
func TestCommitRace(t *testing.T) {
	t.Parallel()
	tbl := store.New()
	const numOperators = 8
	results := make(chan error, numOperators)
	g := tasks.New(t.Context())
	for i := range numOperators {
		g.Go("operator", func(ctx context.Context) error {
			tbl.LoseResponses(i % 2)
			_, err := apply.New(tbl, time.Now).Commit(ctx, 0, "racer", document("a"))
			results <- err
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for range numOperators {
		if err := <-results; err == nil {
			accepted++
		} else if !errors.Is(err, apply.ErrConflict) {
			t.Errorf("rejected commit: got %v, want ErrConflict", err)
		}
	}
	if accepted != 1 {
		t.Errorf("%d commits accepted, want 1", accepted)
	}
}

// Guards against a history with missing versions or in the wrong order.
func TestHistory(t *testing.T) {
	t.Parallel()
	s := apply.New(store.New(), time.Now)
	for i := range 5 {
		if _, err := s.Commit(t.Context(), uint64(i), "operator", document("a")); err != nil {
			t.Fatal(err)
		}
	}
	for before, want := range map[uint64]string{0: "5 4 3 ", 5: "4 3 2 ", 3: "2 1 ", 1: "", 99: "5 4 3 "} {
		entries, err := s.History(t.Context(), before, 3)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		for _, e := range entries {
			got += fmt.Sprint(e.Version, " ")
		}
		if got != want {
			t.Errorf("before %d: got versions %s, want %s", before, got, want)
		}
	}
}

// restoredTable answers a commit with ErrUnknown, after it was lost in a restoration and another node wrote it again.
type restoredTable struct {
	*store.Store
	t *testing.T
}

func (r restoredTable) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	const margin = 50 * time.Millisecond
	time.Sleep(margin)
	before := time.Now()
	time.Sleep(margin)
	if _, err := r.Store.Commit(ctx, txn); err != nil {
		r.t.Fatal(err)
	}
	r.Restore(time.Since(before))
	s := apply.New(r.Store, time.Now)
	v, row, err := s.Version(ctx)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := s.WriteAgain(ctx, row, v+1, document("b")); err != nil {
		r.t.Fatal(err)
	}
	return table.Absent, table.ErrUnknown
}

// Guards against a commit that is reported as rejected although it is in force, as a restored table lost it and another
// node wrote it again.
func TestCommitWrittenAgain(t *testing.T) {
	t.Parallel()
	tbl := store.New()
	if _, err := apply.New(tbl, time.Now).Commit(t.Context(), 0, "first", document("a")); err != nil {
		t.Fatal(err)
	}
	e, err := apply.New(restoredTable{tbl, t}, time.Now).Commit(t.Context(), 1, "second", document("b"))
	if !errors.Is(err, table.ErrUnknown) || e.Version != 2 {
		t.Errorf("got version %d, %v; want 2 and an unknown outcome", e.Version, err)
	}
}

// Guards against a version that is written again over one that was accepted meanwhile.
func TestWriteAgainConflict(t *testing.T) {
	t.Parallel()
	tbl := store.New()
	s := apply.New(tbl, time.Now)
	_, row, err := s.Version(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Commit(t.Context(), 0, "operator", document("a")); err != nil {
		t.Fatal(err)
	}
	if err := s.WriteAgain(t.Context(), row, 1, document("b")); !errors.Is(err, apply.ErrConflict) {
		t.Errorf("got %v, want ErrConflict", err)
	}
}
