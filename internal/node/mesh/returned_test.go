package mesh_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/plat/table"
)

// Guards against nodes that have left and are followed, and count in limits for good, because the store was restored.
func TestNodesThatReturnWithARestoredList(t *testing.T) {
	t.Parallel()
	row := func(node string, number uint64) table.Row {
		return table.Row{Key: "nodes/" + node, Revision: table.Revision{Era: 2, Number: number}}
	}
	now, r := time.Unix(1000, 0), mesh.NewReturned()
	known := func(node string) bool { return node == "known" }
	linked := func(node string) bool { return node == "linked" }
	r.Observe(now, mirror.Update{Full: true, Era: 1}, known)
	r.Observe(now, mirror.Update{Full: true, Era: 2, Put: []table.Row{row("known", 1), row("left", 2), row("linked", 3), row("again", 4), row("removed", 5)}}, known)
	if away, due := r.Update(now, false, linked); away.Len() != 3 || !away.Has("left") || len(due) > 0 {
		t.Errorf("at once %v are away and %v due, want left, again and removed, and no row", away, due)
	}
	r.Observe(now, mirror.Update{Put: []table.Row{row("again", 6), row("new", 7)}, Removed: []string{"nodes/removed"}}, known)
	now = now.Add(mesh.UnlinkDelay)
	if away, due := r.Update(now, false, linked); away.Len() != 1 || len(due) != 1 || due[0].Key != "nodes/left" {
		t.Errorf("later %v are away and %v due, want left", away, due)
	}
	r.Observe(now, mirror.Update{Full: true, Era: 2, Put: []table.Row{row("known", 1)}}, known)
	if away, _ := r.Update(now, false, linked); away.Len() > 0 {
		t.Errorf("%v are away although they are no longer listed", away)
	}
}

// Guards against nodes that have left and count for good after two restorations in a row: the first one has made them known.
func TestNodesThatReturnTwice(t *testing.T) {
	t.Parallel()
	list := func(era uint64) mirror.Update {
		return mirror.Update{Full: true, Era: era, Put: []table.Row{{Key: "nodes/left", Revision: table.Revision{Era: era, Number: 2}}}}
	}
	now, r := time.Unix(1000, 0), mesh.NewReturned()
	unknown := func(string) bool { return false }
	listed := func(node string) bool { return node == "left" }
	unlinked := func(string) bool { return false }
	r.Observe(now, mirror.Update{Full: true, Era: 1}, unknown)
	r.Observe(now, list(2), unknown)
	r.Observe(now, list(3), listed)
	if away, _ := r.Update(now, false, unlinked); !away.Has("left") {
		t.Errorf("%v are away after the second restoration, want left", away)
	}
	now = now.Add(mesh.UnlinkDelay)
	if _, due := r.Update(now, false, unlinked); len(due) != 1 || due[0].Revision.Era != 3 {
		t.Errorf("rows %v are due, want that of the second restoration", due)
	}
}

// Guards against a node that has left and counts for good because its row could not be deleted at once.
func TestNodeThatReturnedUntilDeleted(t *testing.T) {
	t.Parallel()
	now, r := time.Unix(1000, 0), mesh.NewReturned()
	unknown := func(string) bool { return false }
	linked := func(node string) bool { return node == "linked" }
	r.Observe(now, mirror.Update{Full: true, Era: 1}, unknown)
	r.Observe(now, mirror.Update{Full: true, Era: 2, Put: []table.Row{{Key: "nodes/left"}, {Key: "nodes/linked"}}}, unknown)
	now = now.Add(10 * mesh.UnlinkDelay)
	if away, due := r.Update(now, true, linked); away.Len() != 1 || len(due) != 1 || due[0].Key != "nodes/left" {
		t.Errorf("%v are away and %v due at the node that deletes the rows, want left", away, due)
	}
	if away, due := r.Update(now, false, linked); away.Len() != 0 || len(due) != 0 {
		t.Errorf("%v are away and %v due at another node, want none", away, due)
	}
}
