// Package lease manages the leases of nodes, and the duties that depend on them, as rows of the platform's
// table. A duty is a task that one node at a time performs for the whole fleet, such as granting the budgets of
// one shard of the backend servers.
//
// A node renews one row, lease/node/<id>. A duty row names its holder and is written only when the duty
// changes: a duty is held for as long as the holder's node lease is valid. A process that claims a duty from
// a holder whose lease has expired deletes the holder's lease row in the same transaction, so that a holder
// that resumes after a pause can't renew its lease and continue.
package lease

import (
	"encoding/json"
	"slices"
	"strings"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// Key prefixes.
const (
	NodePrefix = "lease/node/"
	DutyPrefix = "duty/"
)

// NodeLease is the value of a node's lease row.
type NodeLease struct {
	// Incarnation identifies the process. A process that has registered and then finds another incarnation in
	// its row never registers again.
	Incarnation string `json:"inc"`
	// Session counts the registrations of the process.
	Session uint64 `json:"session"`
	// RenewalSeq counts the renewals of the process, so that each renewal changes the row.
	RenewalSeq uint64 `json:"beat"`
	// Draining nodes claim no duties.
	Draining bool `json:"draining,omitempty"`
}

// EarlierHolder is an earlier holder of a duty whose granted resources may still be in use: it has neither
// confirmed that none is, nor been confirmed terminated.
type EarlierHolder struct {
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
	Depth       int    `json:"depth"`
}

// DutyRow is the value of a duty row.
type DutyRow struct {
	// Holder is the node that holds the duty; empty once it has been released.
	Holder      string `json:"holder"`
	Incarnation string `json:"inc"`
	Session     uint64 `json:"session"`
	// Fence is the fencing number. It grows with each change of holder or session.
	Fence uint64 `json:"fence"`
	// Depth is the smallest number that no entry of Earlier had when the duty was claimed. Each holder whose
	// resources may be in use thus has its own, from which the share that it may grant is computed.
	Depth   int             `json:"depth"`
	Earlier []EarlierHolder `json:"earlier,omitempty"`
	// Clean reports that no resource granted by an earlier holder was in use when the last holder released
	// the duty. It is also set when the row is created.
	Clean bool `json:"clean,omitempty"`
}

// without returns the earlier holders for which drop is false.
func (r DutyRow) without(drop func(EarlierHolder) bool) []EarlierHolder {
	return slices.DeleteFunc(slices.Clone(r.Earlier), drop)
}

// freeDepth returns the smallest depth not used by an earlier holder.
func freeDepth(earlier []EarlierHolder) int {
	for d := 0; ; d++ {
		if !slices.ContainsFunc(earlier, func(e EarlierHolder) bool { return e.Depth == d }) {
			return d
		}
	}
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Newf("encode row: %w", err)
	}
	return b, nil
}

// versioned is a decoded row with its revision.
type versioned[T any] struct {
	value    T
	revision table.Revision
}

// decode returns the rows keyed without the prefix. It fails on a row that it can't decode: a newer program
// version may have written it, and treating it as absent would give its duty away.
func decode[T any](prefix string, rows []table.Row) (map[string]versioned[T], error) {
	out := make(map[string]versioned[T], len(rows))
	for _, row := range rows {
		var v versioned[T]
		if err := json.Unmarshal(row.Value, &v.value); err != nil {
			return nil, errors.Newf("decode row %s: %w", row.Key, err)
		}
		v.revision = row.Revision
		out[strings.TrimPrefix(row.Key, prefix)] = v
	}
	return out, nil
}

// Preferred returns the node with the highest rendezvous hash for the duty, or "" if there are no nodes.
func Preferred(duty string, nodes []string) string {
	best, weight := "", uint64(0)
	for _, n := range nodes {
		w := xxh3.HashString(n + "\x00" + duty)
		if best == "" || w > weight || (w == weight && n < best) {
			best, weight = n, w
		}
	}
	return best
}
