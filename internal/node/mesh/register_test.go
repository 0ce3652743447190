package mesh_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/plat/table"
	"github.com/hashicorp/go-hclog"
)

// Guards against a node that others no longer know because the store lost its registration, against writes of all nodes at
// once, and against a node that registers again after it has left.
func TestRegistrationIsWrittenAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, own := store.New(), table.Put{Key: "nodes/a", Value: []byte("{}")}
		r := mesh.NewRegistration(s, own, hclog.NewNullLogger())
		go func() { _ = r.Run(ctx) }()
		stored := func() (table.Row, bool) {
			row, err := s.Get(ctx, own.Key)
			return row, err == nil
		}
		time.Sleep(time.Second)
		row, ok := stored()
		if !ok {
			t.Fatal("the registration was not written after the start")
		}
		for _, u := range []mirror.Update{
			{Full: true},
			{Removed: []string{own.Key}},
			{Full: true, Put: []table.Row{{Key: own.Key, Value: own.Value}}},
			{Put: []table.Row{{Key: own.Key, Value: []byte("of the process before"), Revision: row.Revision}}},
		} {
			before, _ := stored()
			r.Observe(u)
			time.Sleep(mesh.MinRewriteDelay - 1)
			if row, _ := stored(); row.Revision != before.Revision {
				t.Errorf("the registration was written at once after %+v", u)
			}
			time.Sleep(mesh.MaxRewriteDelay)
			if row, _ = stored(); row.Revision == before.Revision {
				t.Errorf("the registration was not written again after %+v", u)
			}
			r.Observe(mirror.Update{Put: []table.Row{row}})
			time.Sleep(mesh.MaxRewriteDelay)
			if now, _ := stored(); now.Revision != row.Revision {
				t.Error("the registration was written again although it is listed")
			}
		}
		r.Observe(mirror.Update{Full: true})
		if err := r.Leave(ctx); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * mesh.MaxRewriteDelay)
		if _, ok := stored(); ok {
			t.Error("a node that has left is registered")
		}
		if _, err := s.Commit(ctx, table.Txn{Puts: []table.Put{own}}); err != nil {
			t.Error(err)
		}
		restored, _ := stored()
		r.Observe(mirror.Update{Full: true, Put: []table.Row{restored}})
		time.Sleep(mesh.MaxRewriteDelay)
		if _, ok := stored(); ok {
			t.Error("a node that has left is registered because the store was restored")
		}
		cancel()
		synctest.Wait()
	})
}
