package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
)

// rejectingFeed is a client of a store that may reject it.
type rejectingFeed struct {
	*fakeFeed
	mu       sync.Mutex
	rejected bool
}

func (f *rejectingFeed) reject(rejected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected = rejected
}

func (f *rejectingFeed) failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejected {
		return table.ErrUnavailable
	}
	return nil
}

func (f *rejectingFeed) Snapshot(ctx context.Context, family string) (table.State, error) {
	if err := f.failure(); err != nil {
		return table.State{}, err
	}
	return f.fakeFeed.Snapshot(ctx, family)
}

func (f *rejectingFeed) Changes(ctx context.Context, family string, after table.Revision, wait time.Duration) (table.Delta, error) {
	if err := f.failure(); err != nil {
		return table.Delta{}, err
	}
	return f.fakeFeed.Changes(ctx, family, after, wait)
}

// fleetNode is a node of a fleet of copies.
type fleetNode struct {
	copy   *mirror.Copy
	rows   *recorder
	store  *rejectingFeed
	parent *fleetNode
	// links are the nodes to which there is a link, children those of them that follow this node.
	links    []*fleetNode
	children map[*fleetNode]bool
}

// Sizes of a fleet of copies.
const (
	fleetCentres = 3
	fleetSize    = 12
	fanOut       = 4
	// hintLatency is how long a hint is on its way.
	hintLatency = time.Millisecond
)

// startFleet starts copies that are linked as nodes are: a tree in each data centre, with links between the roots and some
// between other nodes. It returns them by data centre, the root first.
func startFleet(ctx context.Context, t *testing.T, s *fakeFeed) [][]*fleetNode {
	t.Helper()
	fleet := make([][]*fleetNode, fleetCentres)
	for c := range fleet {
		for i := range fleetSize {
			n := &fleetNode{store: &rejectingFeed{fakeFeed: s}, children: make(map[*fleetNode]bool)}
			fleet[c] = append(fleet[c], n)
			switch {
			case i > 0:
				n.parent = fleet[c][(i-1)/fanOut]
				n.parent.children[n] = true
				n.parent.links, n.links = append(n.parent.links, n), append(n.links, n.parent)
			case c > 0:
				n.parent = fleet[0][0]
			}
			if c > 0 {
				other := fleet[c-1][i]
				other.links, n.links = append(other.links, n), append(n.links, other)
			}
		}
	}
	root := fleet[0][0]
	last := fleet[fleetCentres-1][0]
	root.links, last.links = append(root.links, last), append(last.links, root)
	for _, centre := range fleet {
		for i, n := range centre {
			n.makeCopy(i)
		}
	}
	for _, n := range slices.Concat(fleet...) {
		runCopy(ctx, t, n.copy)
	}
	return fleet
}

// makeCopy makes the copy of a node at a position of its data centre.
func (n *fleetNode) makeCopy(i int) {
	turn := i
	cfg := mirror.Config{
		Store: n.store, StoreWait: readWait, MinReadInterval: 100 * time.Millisecond,
		Peer: func() table.Feed {
			turn++
			return n.links[turn%len(n.links)].copy
		},
		StoreReadDelay: func(bool) time.Duration {
			if i > 2 {
				return time.Hour
			}
			return time.Duration(i) * 500 * time.Millisecond
		},
		OnRevision: func(r table.Revision, followed bool) {
			for _, o := range n.links {
				if !followed || !n.children[o] {
					time.AfterFunc(hintLatency, func() { o.copy.Hint(r, n.copy) })
				}
			}
		},
	}
	if n.parent != nil {
		cfg.Source = func() mirror.Source { return mirror.Source{Node: n.parent.copy} }
	}
	n.copy, n.rows = newCopy(cfg)
}

// Guards against nodes that keep an old configuration while they take each other for sources of rows, and against nodes that
// have a newer one and do not hand it on.
func TestChangeWhileStoreRejectsReaders(t *testing.T) {
	t.Parallel()
	const limit = 2 * time.Second // the time in which a configuration must be in force
	for _, rejected := range [][]int{{0}, {0, 1}, {0, 5, 7}, {0, 1, 3, 4, 6, 8, 10}} {
		for centre := range fleetCentres {
			t.Run(fmt.Sprintf("%v of %d", rejected, centre), func(t *testing.T) {
				t.Parallel()
				runSynctest(t, func(t *testing.T, ctx context.Context) {
					s := newFakeFeed()
					s.put("op/config", "1")
					fleet := startFleet(ctx, t, s)
					time.Sleep(5 * time.Second)
					for c, nodes := range fleet {
						for i, n := range nodes {
							n.store.reject(slices.Contains(rejected, i) || c <= centre && i == 0)
						}
					}
					time.Sleep(750 * time.Millisecond)
					s.put("op/config", "2")
					time.Sleep(limit)
					for c, nodes := range fleet {
						for i, n := range nodes {
							if got := n.rows.get("op/config"); got != "2" {
								t.Errorf("node %d of data centre %d has %q %v after the change", i, c, got, limit)
							}
						}
					}
				})
			})
		}
	}
}
