package mirror_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
)

// restoredFeed returns a feed with two changes, and a function that restores it to the first of them.
func restoredFeed() (*fakeFeed, func()) {
	s := newFakeFeed()
	s.put("op/config", "1")
	rows, number := maps.Clone(s.rows), s.revision.Number
	s.put("op/config", "2")
	return s, func() { s.restore(rows, number) }
}

// Guards against a copy that stays behind a restored store until the store's revision has passed its own.
func TestRestoredStoreIsFollowed(t *testing.T) {
	t.Parallel()
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		s, restore := restoredFeed()
		c, r := startCopy(ctx, t, mirror.Config{Store: s, StoreWait: time.Second})
		time.Sleep(100 * time.Millisecond)
		restore()
		time.Sleep(2 * time.Second)
		if got := r.get("op/config"); got != "1" {
			t.Errorf("got %q, want the restored value, 1", got)
		}
		s.put("op/config", "3") // The revision of the lost change is assigned again.
		time.Sleep(2 * time.Second)
		if got := r.get("op/config"); got != "3" || c.Revision() != (table.Revision{Era: 1, Number: 2}) {
			t.Errorf("got %q at revision %+v, want 3 at number 2 of era 1", got, c.Revision())
		}
	})
}

// Guards against nodes that stay in the era before because they compare what other nodes announce by number alone.
func TestRestorationReachesFollowers(t *testing.T) {
	t.Parallel()
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		s, restore := restoredFeed()
		first, _ := startCopy(ctx, t, mirror.Config{Name: "first", Store: s, StoreWait: time.Second})
		second, r := startCopy(ctx, t, mirror.Config{
			Name: "second", Store: newFakeFeed(), StoreReadDelay: func(bool) time.Duration { return time.Hour },
			Source: func() mirror.Source { return mirror.Source{Node: first} },
		})
		old := newFakeFeed() // A node that has not learned of the restoration.
		old.copyFrom(s)
		time.Sleep(time.Second)
		restore()
		s.put("op/config", "3")
		time.Sleep(2 * time.Second)
		if got := r.get("op/config"); got != "3" {
			t.Errorf("got %q through another node, want 3", got)
		}
		second.Hint(table.Revision{Number: 2}, old)
		time.Sleep(time.Second)
		if got := r.get("op/config"); got != "3" || second.Revision().Era != 1 {
			t.Errorf("got %q in era %d after a hint from the era before, want 3 in era 1", got, second.Revision().Era)
		}
	})
}

// Guards against a node that learns of a restoration only from the hint of another node.
func TestHintOfLaterEra(t *testing.T) {
	t.Parallel()
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		s, restore := restoredFeed()
		before := newFakeFeed()
		before.copyFrom(s)
		c, r := startCopy(ctx, t, mirror.Config{Store: before, StoreWait: time.Second})
		time.Sleep(100 * time.Millisecond)
		before.update(func() { before.hanging = true })
		restore()
		c.Hint(s.revision, s)
		time.Sleep(300 * time.Millisecond)
		if got := r.get("op/config"); got != "1" {
			t.Errorf("got %q, want 1 as in the later era", got)
		}
	})
}

// Guards against an older configuration, or the loss of an evacuation, at a node and at those that follow it, until the
// operator has written to the restored store again.
func TestRowsKeptAcrossRestoration(t *testing.T) {
	t.Parallel()
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		s, restore := restoredFeed()
		restore() // The first era is 1.
		s.put("op/config", "2")
		s.put("op/missing", "1")
		s.put("op/rewritten", "1")
		const keepTime = 10 * time.Second
		keep := func(known table.Row, restored *table.Row) bool {
			if restored == nil {
				return known.Key != "op/config"
			}
			return string(known.Value) > string(restored.Value)
		}
		first, r := startCopy(ctx, t, mirror.Config{Store: s, StoreWait: time.Second, KeepTime: keepTime, Keep: keep})
		time.Sleep(time.Second)
		restore()
		time.Sleep(keepTime - time.Second)
		_, follower := startCopy(ctx, t, mirror.Config{Store: newFakeFeed(), Source: fromNode(first), KeepTime: keepTime, Keep: keep})
		linked := time.Now().Add(100 * time.Millisecond)
		_, reader := startCopy(ctx, t, mirror.Config{Store: s, KeepTime: keepTime, Keep: keep, PeerWait: time.Second, Peer: func() table.Feed {
			if time.Now().Before(linked) {
				return nil
			}
			return first
		}})
		time.Sleep(200 * time.Millisecond)
		if got, want := reader.values(), r.values(); !maps.Equal(got, want) || len(got) != 3 {
			t.Errorf("a copy that starts has %v, want %v", got, want)
		}
		s.put("op/rewritten", "1")
		s.put("op/config", "0")
		time.Sleep(500 * time.Millisecond)
		if got, want := r.values(), (map[string]string{"op/config": "2", "op/missing": "1", "op/rewritten": "1"}); !maps.Equal(got, want) || !maps.Equal(follower.values(), want) {
			t.Errorf("got %v, and %v at a follower, want %v", got, follower.values(), want)
		}
		time.Sleep(2 * keepTime)
		if got, want := r.values(), (map[string]string{"op/config": "2", "op/rewritten": "1"}); !maps.Equal(got, want) || !maps.Equal(follower.values(), want) {
			t.Errorf("got %v later, and %v at a follower, want %v", got, follower.values(), want)
		}
		s.put("op/config", "3")
		time.Sleep(time.Second)
		if got, want := r.values(), (map[string]string{"op/config": "3", "op/rewritten": "1"}); !maps.Equal(got, want) || !maps.Equal(follower.values(), want) {
			t.Errorf("got %v in the end, and %v at a follower, want %v", got, follower.values(), want)
		}
	})
}

// Guards against an evacuation that ends because the store was away again before the operator could write it again.
func TestRowsKeptAcrossOutageAfterRestoration(t *testing.T) {
	t.Parallel()
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		s, restore := restoredFeed()
		s.put("op/missing", "1")
		const keepTime = 4 * time.Second
		_, r := startCopy(ctx, t, mirror.Config{Store: s, StoreWait: time.Second, KeepTime: keepTime, Keep: func(_ table.Row, restored *table.Row) bool {
			return restored == nil
		}})
		time.Sleep(time.Second)
		restore()
		time.Sleep(2 * time.Second)
		s.update(func() { s.unavailable = true })
		time.Sleep(2 * keepTime)
		s.update(func() { s.unavailable = false })
		time.Sleep(keepTime - time.Second)
		if got := r.get("op/missing"); got != "1" {
			t.Errorf("got %q %s after the store was back, want 1", got, keepTime-time.Second)
		}
		time.Sleep(2 * keepTime)
		if got := r.get("op/missing"); got != "" {
			t.Errorf("got %q in the end, want none", got)
		}
	})
}
