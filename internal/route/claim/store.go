package claim

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// rowPrefix starts the keys of all claim rows.
const rowPrefix = "claim/"

// maxInlineBytes bounds an answer body that is kept in the row; larger ones go to the object store.
const maxInlineBytes = 16 << 10

// Retention is how long a claim is kept: a key that comes back later is a new request.
const Retention = 24 * time.Hour

// sweepMargin is added to Retention before a row is removed, because rows carry the wall-clock time
// of other nodes.
const sweepMargin = time.Hour

// sweepPage is the number of rows that Sweep reads at once.
const sweepPage = 128

// Store carries out the reads and writes of claims. It is safe for concurrent use.
type Store struct {
	table   table.Table
	objects object.Store
}

// NewStore returns a store that keeps rows in t and large answers in o.
func NewStore(t table.Table, o object.Store) *Store {
	return &Store{table: t, objects: o}
}

// Key returns the key of the claim row of an account's idempotency key. Both parts are escaped, so
// that a slash in one of them cannot make two pairs equal.
func Key(account, idempotencyKey string) string {
	return rowPrefix + url.PathEscape(account) + "/" + url.PathEscape(idempotencyKey)
}

// Write carries out a Write action on the row key. The error explains a result other than Written.
func (s *Store) Write(ctx context.Context, key string, w Write) (WriteEnded, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	rec, err := s.shrink(ctx, key, w.Record)
	if err != nil {
		return WriteEnded{Result: Unavailable}, err
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return WriteEnded{Result: Unavailable}, errors.Newf("encode claim: %w", err)
	}
	rev, err := s.table.Commit(ctx, table.Replace(table.Row{Key: key, Revision: w.Base}, value))
	if err == nil {
		return WriteEnded{Result: Written, Revision: rev}, nil
	}
	err = errors.Newf("write claim: %w", err)
	switch {
	case errors.Is(err, table.ErrConflict):
		return WriteEnded{Result: Conflict}, err
	case errors.Is(err, table.ErrUnavailable):
		return WriteEnded{Result: Unavailable}, err
	default:
		return WriteEnded{Result: Uncertain}, err
	}
}

// shrink moves a large answer body to the object store.
func (s *Store) shrink(ctx context.Context, key string, rec Record) (Record, error) {
	if rec.Answer == nil || len(rec.Answer.Body) <= maxInlineBytes {
		return rec, nil
	}
	a := *rec.Answer
	a.Ref = key + "/" + rec.Token
	if err := s.objects.Put(ctx, a.Ref, a.Body); err != nil {
		return rec, errors.Newf("store answer: %w", err)
	}
	a.Body = nil
	rec.Answer = &a
	return rec, nil
}

// Read carries out a Read action on the row key. The error explains the result Failed, or a missing
// answer.
func (s *Store) Read(ctx context.Context, key string, r Read) (ReadEnded, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return ReadEnded{Result: Absent}, nil
	}
	if err != nil {
		return ReadEnded{Result: Failed}, errors.Newf("read claim: %w", err)
	}
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return ReadEnded{Result: Failed}, errors.Newf("decode claim: %w", err)
	}
	out := ReadEnded{Result: Found, Record: rec, Revision: row.Revision}
	if rec.Answer == nil || rec.Answer.Ref == "" {
		return out, nil
	}
	rec.Answer.Body, err = s.objects.Get(ctx, rec.Answer.Ref)
	if err != nil {
		rec.Answer.Missing = true
		return out, errors.Newf("read stored answer: %w", err)
	}
	return out, nil
}

// Sweep removes the rows whose retention has passed and returns how many it removed. One node does
// this at a time, under a duty. Objects of large answers stay: the object store has no delete.
func (s *Store) Sweep(ctx context.Context, now time.Time) (int, error) {
	removed, after := 0, ""
	for {
		rows, err := s.table.Scan(ctx, rowPrefix, after, sweepPage)
		if err != nil {
			return removed, errors.Newf("scan claims: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			var rec Record
			if json.Unmarshal(row.Value, &rec) != nil || now.Sub(rec.ClaimedAt) <= Retention+sweepMargin {
				continue
			}
			_, err := s.table.Commit(ctx, table.Remove(row))
			if errors.Is(err, table.ErrConflict) {
				continue
			}
			if err != nil {
				return removed, errors.Newf("remove claim: %w", err)
			}
			removed++
		}
		if len(rows) < sweepPage {
			return removed, nil
		}
	}
}
