package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// RowPrefix is the prefix of the keys of the rows of a Ledger.
const RowPrefix = "usage/"

// maxRowDeletes limits the rows of old windows that are deleted with a new one.
const maxRowDeletes = 40

// Row is the stored form of the counts of a window.
type Row struct {
	Counts Counts `json:"counts"`
	// Fence is the fencing number of the holder that created the row.
	Fence uint64 `json:"fence"`
	// Floor is the last window of which no row may be created any more in the era of the store.
	Floor uint64 `json:"floor,omitempty"`
}

// RowKey returns the key of the row of a window.
func RowKey(window uint64) string { return RowPrefix + strconv.FormatUint(window, 10) }

// windowOfKey returns the window of a key.
func windowOfKey(key string) (uint64, bool) {
	k, err := strconv.ParseUint(strings.TrimPrefix(key, RowPrefix), 10, 64)
	return k, err == nil && strings.HasPrefix(key, RowPrefix)
}

func decodeRow(value []byte) (Row, bool) {
	var r Row
	err := json.Unmarshal(value, &r)
	return r, err == nil
}

// insert returns the transaction that creates the row of a window, unless there is one, and deletes those of old windows.
func (l *Ledger) insert(now time.Time, window uint64, counts Counts) (table.Txn, error) {
	value, err := json.Marshal(Row{Counts: counts, Fence: l.fence, Floor: l.floor})
	if err != nil {
		return table.Txn{}, errors.Newf("encode counts of window %d: %w", window, err)
	}
	txn := table.Insert(RowKey(window), value)
	for _, k := range slices.Sorted(maps.Keys(l.rows)) {
		if len(txn.Deletes) < maxRowDeletes && k != window && now.Sub(WindowEnd(k, l.cfg.Length)) > l.expiry() {
			txn.Deletes = append(txn.Deletes, RowKey(k))
		}
	}
	return txn, nil
}
