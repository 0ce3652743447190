package table_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// platform starts a stand-in and returns it with the address that it listens on.
func platform(t *testing.T) (*store.Store, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := store.New()
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("platform", func(ctx context.Context) error { return p.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return p, ln.Addr().String()
}

// tables returns the stand-in itself and a client that reaches it over HTTP; both must behave alike.
func tables(t *testing.T) map[string]func() (*store.Store, table.Table) {
	t.Helper()
	return map[string]func() (*store.Store, table.Table){
		"in process": func() (*store.Store, table.Table) {
			p := store.New()
			return p, p
		},
		"over http": func() (*store.Store, table.Table) {
			p, addr := platform(t)
			return p, table.New(addr)
		},
	}
}

// Guards against a table or a client that breaks the contract that claims, leases and configuration
// rely on: all or nothing, revisions, and errors that say truly whether a write took effect.
func TestContract(t *testing.T) {
	t.Parallel()
	put := func(key, value string, rev uint64) table.Txn {
		return table.Replace(table.Row{Key: key, Revision: table.Revision{Era: 1, Number: rev}}, []byte(value))
	}
	tests := []struct {
		name    string
		prepare func(p *store.Store)
		txn     table.Txn
		want    error
		value   string
	}{
		{"replace", func(*store.Store) {}, put("a", "new", 1), nil, "new"},
		{"old revision", func(*store.Store) {}, put("a", "new", 7), table.ErrConflict, "old"},
		{"insert over a row", func(*store.Store) {}, table.Insert("a", []byte("new")), table.ErrConflict, "old"},
		{"one of two conditions fails", func(*store.Store) {}, table.Txn{
			Conditions: []table.Condition{{Key: "a", Revision: table.Revision{Era: 1, Number: 1}}, {Key: "b", Revision: table.Revision{Era: 1, Number: 1}}},
			Puts:       []table.Put{{Key: "a", Value: []byte("new")}},
		}, table.ErrConflict, "old"},
		{"remove", func(*store.Store) {}, table.Remove(table.Row{Key: "a", Revision: table.Revision{Era: 1, Number: 1}}), nil, ""},
		{"down", func(p *store.Store) { p.SetDown(true) }, put("a", "new", 1), table.ErrUnavailable, "old"},
		{"answer lost", func(p *store.Store) { p.LoseResponses(1) }, put("a", "new", 1), table.ErrUnknown, "new"},
	}
	for kind, open := range tables(t) {
		for _, tt := range tests {
			t.Run(kind+"/"+tt.name, func(t *testing.T) {
				t.Parallel()
				p, tb := open()
				if _, err := tb.Commit(t.Context(), table.Insert("a", []byte("old"))); err != nil {
					t.Fatal(err)
				}
				tt.prepare(p)
				if _, err := tb.Commit(t.Context(), tt.txn); !errors.Is(err, tt.want) {
					t.Errorf("commit: got %v, want %v", err, tt.want)
				}
				p.SetDown(false)
				expectValue(t, tb, "a", tt.value)
			})
		}
	}
}

// expectValue checks a row; "" means that it must not exist.
func expectValue(t *testing.T, tb table.Table, key, want string) {
	t.Helper()
	row, err := tb.Get(t.Context(), key)
	if want == "" {
		if !errors.Is(err, table.ErrNotFound) {
			t.Errorf("get %s: %v, want ErrNotFound", key, err)
		}
		return
	}
	if err != nil || string(row.Value) != want {
		t.Errorf("get %s: %q, %v; want %q", key, row.Value, err, want)
	}
}

// Guards against a restored table whose revisions cannot be told from those of its lost writes.
func TestRestoredTable(t *testing.T) {
	t.Parallel()
	for kind, open := range tables(t) {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			p, tb := open()
			commit := func(txn table.Txn) table.Revision {
				t.Helper()
				rev, err := tb.Commit(t.Context(), txn)
				if err != nil {
					t.Fatal(err)
				}
				return rev
			}
			kept := table.Row{Key: "a", Revision: commit(table.Insert("a", []byte("kept")))}
			time.Sleep(100 * time.Millisecond)
			between := time.Now()
			time.Sleep(100 * time.Millisecond)
			lost := table.Row{Key: "a", Revision: commit(table.Replace(kept, []byte("lost")))}
			commit(table.Insert("b", []byte("lost")))
			p.Restore(time.Since(between))
			expectValue(t, tb, "a", "kept")
			expectValue(t, tb, "b", "")
			row, err := tb.Get(t.Context(), "a")
			if err != nil || row.Revision.Era != kept.Revision.Era+1 || row.Revision.Number != kept.Revision.Number {
				t.Errorf("restored row %+v, %v; want revision %+v in the next era", row, err, kept.Revision)
			}
			again := commit(table.Replace(row, []byte("new")))
			if again.Number != lost.Revision.Number || !lost.Revision.Before(again) {
				t.Errorf("the first write after the restoration has revision %+v, want the number of %+v", again, lost.Revision)
			}
			for _, old := range []table.Row{kept, lost} {
				if _, err := tb.Commit(t.Context(), table.Replace(old, nil)); !errors.Is(err, table.ErrConflict) {
					t.Errorf("write on the condition of revision %+v: %v, want a conflict", old.Revision, err)
				}
			}
			expectValue(t, tb, "a", "new")
		})
	}
}

// Guards against a slow table being taken for one that refused: a write whose answer came too late
// may have taken effect.
func TestSlowTable(t *testing.T) {
	t.Parallel()
	p, addr := platform(t)
	tb := table.New(addr)
	if _, err := tb.Commit(t.Context(), table.Insert("a", []byte("old"))); err != nil {
		t.Fatal(err)
	}
	p.SetDelay(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := tb.Commit(ctx, table.Insert("b", []byte("x"))); !errors.Is(err, table.ErrUnknown) {
		t.Errorf("commit: got %v, want ErrUnknown", err)
	}
	// The first commit can return a moment before the deadline.
	<-ctx.Done()
	if _, err := tb.Commit(ctx, table.Insert("c", []byte("x"))); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("commit after the deadline: got %v, want ErrUnavailable", err)
	}
	time.Sleep(400 * time.Millisecond)
	p.SetDelay(0)
	expectValue(t, tb, "b", "x")
	expectValue(t, tb, "c", "")
}

// Guards against a refused connection being taken for a write that may have happened.
func TestNobodyListens(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := table.New(addr).Commit(t.Context(), table.Insert("a", nil)); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// Guards against scans that skip or repeat rows at the border of a page.
func TestScanPages(t *testing.T) {
	t.Parallel()
	for kind, open := range tables(t) {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			_, tb := open()
			for i := range 5 {
				for _, prefix := range []string{"x/", "y/"} {
					if _, err := tb.Commit(t.Context(), table.Insert(fmt.Sprint(prefix, i), nil)); err != nil {
						t.Fatal(err)
					}
				}
			}
			var keys []string
			for after := ""; ; {
				rows, err := tb.Scan(t.Context(), "x/", after, 2)
				if err != nil {
					t.Fatal(err)
				}
				if len(rows) == 0 {
					break
				}
				for _, r := range rows {
					keys = append(keys, r.Key)
					after = r.Key
				}
			}
			if got := fmt.Sprint(keys); got != "[x/0 x/1 x/2 x/3 x/4]" {
				t.Errorf("got %s", got)
			}
		})
	}
}
