// Package lease holds the leases of nodes and the duties that depend on them, in the table.
//
// A node renews one row, lease/node/<id>. A duty row names its holder and is written only when the
// duty moves: a duty is held for as long as the holder's node lease is valid. Whoever takes a duty
// from a lapsed holder deletes the holder's lease row in the same transaction, so that a holder that
// wakes up can't renew and go on as if nothing had happened.
package lease

import (
	"encoding/json"
	"slices"
	"strings"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// Key prefixes of the rows.
const (
	NodePrefix = "lease/node/"
	DutyPrefix = "duty/"
)

// NodeRow is the value of a node's lease row.
type NodeRow struct {
	// Incarnation identifies the process. A process that finds another one in its row never
	// registers again.
	Incarnation string `json:"inc"`
	// Session counts the registrations of the process.
	Session uint64 `json:"session"`
	// Beat counts the renewals of the process, so that each renewal changes the row.
	Beat uint64 `json:"beat"`
	// Draining nodes take no duties.
	Draining bool `json:"draining,omitempty"`
}

// Earlier is an earlier holder of a duty that has not been confirmed gone.
type Earlier struct {
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
	Depth       int    `json:"depth"`
}

// DutyRow is the value of a duty row.
type DutyRow struct {
	// Holder is the node that holds the duty; empty when the last holder has released it.
	Holder      string `json:"holder"`
	Incarnation string `json:"inc"`
	Session     uint64 `json:"session"`
	// Fence grows with each change of holder or session.
	Fence uint64 `json:"fence"`
	// Depth is the position of the holder among holders that are not confirmed gone.
	Depth   int       `json:"depth"`
	Earlier []Earlier `json:"earlier,omitempty"`
	// Clean says that nothing of any earlier holder was in use when the last holder released the
	// duty, or when the row was made.
	Clean bool `json:"clean,omitempty"`
}

// without returns the earlier holders for which drop is false.
func (r DutyRow) without(drop func(Earlier) bool) []Earlier {
	return slices.DeleteFunc(slices.Clone(r.Earlier), drop)
}

// freeDepth returns the smallest depth that none of the earlier holders has.
func freeDepth(earlier []Earlier) int {
	for d := 0; ; d++ {
		if !slices.ContainsFunc(earlier, func(e Earlier) bool { return e.Depth == d }) {
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
	revision uint64
}

// decode returns the rows by key without the prefix. A row that can't be decoded is an error: a
// newer program version may have written it, and to treat it as absent would give its duty away.
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

// Preferred returns the node with the highest rendezvous weight for the duty, or "" without nodes.
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
