package mesh

import (
	"strings"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
)

// Times of a row that shows up in a restored list of nodes.
const (
	// UnlinkDelay is how long such a node has no link until its row is deleted.
	UnlinkDelay = 4 * time.Second
	// returnedFor is how long the node is kept out of the topology unless it has a link, so that the nodes that know the list
	// before the row is deleted follow no node that has left.
	returnedFor = 2 * UnlinkDelay
)

// Returned holds the nodes that were not known before the list of nodes was restored from an older copy: they have left, or
// have just registered. It is not safe for concurrent use.
type Returned struct {
	loaded bool
	era    uint64
	nodes  map[string]returnedNode
}

type returnedNode struct {
	row   table.Row
	since time.Time
	// linkedAt is when there was last a link: a process that has left may still be finishing requests.
	linkedAt time.Time
}

// NewReturned returns an empty Returned.
func NewReturned() *Returned { return &Returned{nodes: make(map[string]returnedNode)} }

// Observe applies an update of the list. known reports whether a node was listed before.
func (r *Returned) Observe(now time.Time, u mirror.Update, known func(node string) bool) {
	restored := u.Full && r.loaded && u.Era > r.era
	if u.Full {
		r.loaded, r.era = true, max(r.era, u.Era)
	}
	listed := sets.New[string]()
	for _, row := range u.Put {
		node := strings.TrimPrefix(row.Key, Family+"/")
		listed.Add(node)
		old, returned := r.nodes[node]
		switch {
		case restored && (returned || !known(node)):
			r.nodes[node] = returnedNode{row: row, since: now, linkedAt: now}
		case returned && old.row.Revision != row.Revision:
			delete(r.nodes, node) // It has registered again.
		}
	}
	for _, k := range u.Removed {
		delete(r.nodes, strings.TrimPrefix(k, Family+"/"))
	}
	for node := range r.nodes {
		if u.Full && !listed.Has(node) {
			delete(r.nodes, node)
		}
	}
}

// Update forgets the nodes that have been there for long, and returns those without a link and the rows to delete. If this node
// deletes the rows, it does not forget one before it is gone.
func (r *Returned) Update(now time.Time, deletes bool, linked func(node string) bool) (sets.Set[string], []table.Row) {
	out := sets.New[string]()
	var rows []table.Row
	for node, n := range r.nodes {
		isLinked := linked(node)
		switch {
		case now.Sub(n.since) >= returnedFor && (isLinked || !deletes):
			delete(r.nodes, node)
		case isLinked:
			n.linkedAt = now
			r.nodes[node] = n
		default:
			out.Add(node)
			if now.Sub(n.linkedAt) >= UnlinkDelay {
				rows = append(rows, n.row)
			}
		}
	}
	return out, rows
}
