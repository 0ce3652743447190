// Package table is the client of the platform's transactional table service.
//
// A row has a key, a value and the revision of its last write. A transaction checks the revisions of rows and then writes
// or deletes rows, all or nothing.
package table

import (
	"cmp"
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a table. Each call returns one of them, wrapped, or nil.
var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = errors.New("row not found")
	// ErrConflict means that a condition failed and nothing was written.
	ErrConflict = errors.New("transaction conflict")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("table unavailable")
	// ErrRejected means that the call is not one that the table takes, so that nothing was done and it would be rejected
	// again: a row is too long, say.
	ErrRejected = errors.New("table rejects the call")
	// ErrUnknown means that the write may or may not have taken effect.
	ErrUnknown = errors.New("write outcome unknown")
)

// Revision identifies a state of the table. Its number grows with each transaction. A table that is restored from an older
// copy begins a new era, in which numbers of the era before are assigned again.
type Revision struct {
	Era    uint64 `json:"era,omitempty"`
	Number uint64 `json:"number"`
}

// Absent is the revision of a row that does not exist. It precedes all others.
var Absent Revision

// Compare returns a negative number if r precedes o, a positive one if it follows, and 0 if they are equal. Any state of a
// later era follows all states of the earlier ones.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r precedes o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// Later returns the later of two revisions.
func (r Revision) Later(o Revision) Revision {
	if r.Before(o) {
		return o
	}
	return r
}

// Row is one row. The value is never changed in place.
type Row struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Condition demands that the row has the revision; Absent demands that it does not exist. A revision of an earlier era is
// that of no row.
type Condition struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Put writes a value.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: all conditions hold and all writes happen, or nothing happens.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Table is the transactional table service. Implementations are safe for concurrent use and return
// when ctx ends.
type Table interface {
	// Get returns one row, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys start with prefix and come after the key after,
	// in key order, or ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction and returns the revision of its writes, or ErrConflict,
	// ErrUnavailable, ErrRejected or ErrUnknown.
	Commit(ctx context.Context, txn Txn) (Revision, error)
}

// Insert returns a transaction that writes a row only if it does not exist.
func Insert(key string, value []byte) Txn {
	return Replace(Row{Key: key, Revision: Absent}, value)
}

// Replace returns a transaction that writes a row only if it still has the revision of old.
func Replace(old Row, value []byte) Txn {
	return Txn{
		Conditions: []Condition{{Key: old.Key, Revision: old.Revision}},
		Puts:       []Put{{Key: old.Key, Value: value}},
	}
}

// Remove returns a transaction that deletes a row only if it still has the revision of old.
func Remove(old Row) Txn {
	return Txn{
		Conditions: []Condition{{Key: old.Key, Revision: old.Revision}},
		Deletes:    []string{old.Key},
	}
}
