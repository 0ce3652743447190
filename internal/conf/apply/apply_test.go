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

// lateTable fails a commit with an unknown outcome and lets it take effect only after later reads.
type lateTable struct {
	*store.Store
	held *table.Txn
}

func (l *lateTable) Commit(_ context.Context, txn table.Txn) (uint64, error) {
	l.held = &txn
	return 0, table.ErrUnknown
}

// Guards against a commit that is reported wrongly when operators race or the table fails: an
// accepted change must be in the table, a rejected one must not.
func TestCommitFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		base    uint64
		prepare func(p *store.Store)
		want    error
		version uint64
	}{
		{"accepted", 1, func(*store.Store) {}, nil, 2},
		{"old base", 0, func(*store.Store) {}, apply.ErrConflict, 1},
		{"base that does not exist", 7, func(*store.Store) {}, apply.ErrConflict, 1},
		{"answer lost", 1, func(p *store.Store) { p.LoseAnswers(1) }, nil, 2},
		{"table down", 1, func(p *store.Store) { p.SetDown(true) }, table.ErrUnavailable, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := store.New()
			s := apply.New(p, time.Now)
			if _, err := s.Commit(t.Context(), 0, "first", document("a")); err != nil {
				t.Fatalf("first commit: %v", err)
			}
			tt.prepare(p)
			_, err := s.Commit(t.Context(), tt.base, "second", document("b"))
			if !errors.Is(err, tt.want) {
				t.Errorf("commit: got %v, want %v", err, tt.want)
			}
			p.SetDown(false)
			if v, _, err := s.Version(t.Context()); err != nil || v != tt.version {
				t.Errorf("version %d, %v; want %d", v, err, tt.version)
			}
		})
	}
}

// Guards against a commit being called rejected while its write is still on its way.
func TestCommitLateWrite(t *testing.T) {
	t.Parallel()
	l := &lateTable{Store: store.New()}
	s := apply.New(l, time.Now)
	e, err := s.Commit(t.Context(), 0, "late", document("a"))
	if !errors.Is(err, table.ErrUnknown) || e.Version != 1 || e.Token == "" {
		t.Fatalf("got version %d, token %q, %v; want ErrUnknown and the entry to look for", e.Version, e.Token, err)
	}
	if _, err := l.Store.Commit(t.Context(), *l.held); err != nil {
		t.Fatalf("late write: %v", err)
	}
	if v, _, err := s.Version(t.Context()); err != nil || v != 1 {
		t.Errorf("version %d, %v; want 1", v, err)
	}
}

// Guards against two operators who both believe that their change was accepted.
func TestCommitRace(t *testing.T) {
	t.Parallel()
	p := store.New()
	const operators = 8
	results := make(chan error, operators)
	g := tasks.New(t.Context())
	for i := range operators {
		g.Go("operator", func(ctx context.Context) error {
			p.LoseAnswers(i % 2)
			_, err := apply.New(p, time.Now).Commit(ctx, 0, "racer", document("a"))
			results <- err
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for range operators {
		if err := <-results; err == nil {
			accepted++
		} else if !errors.Is(err, apply.ErrConflict) {
			t.Errorf("loser got %v, want ErrConflict", err)
		}
	}
	if accepted != 1 {
		t.Errorf("%d commits accepted, want 1", accepted)
	}
}

// Guards against a history that misses versions or is out of order.
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
