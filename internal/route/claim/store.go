package claim

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

// rowPrefix is the key prefix of all claim rows.
const rowPrefix = "claim/"

// maxInlineBytes is the maximum size of an answer body stored in the row; larger bodies are stored in
// the object store.
const maxInlineBytes = 16 << 10

// Retention is the time for which a claim is kept. A later request with the same key is a new request.
const Retention = 24 * time.Hour

// sweepMargin is added to Retention before a row is removed, because rows contain wall-clock times of
// other nodes.
const sweepMargin = time.Hour

// sweepPageSize is the number of rows that Sweep reads per scan.
const sweepPageSize = 128

// Store reads and writes claim rows. It is safe for concurrent use.
type Store struct {
	table   table.Table
	objects object.Store
	memory  *memory
}

// NewStore returns a Store that keeps rows in t and large answer bodies in o.
func NewStore(t table.Table, o object.Store) (*Store, error) {
	records, err := lru.New[string, remembered](maxRemembered)
	if err != nil {
		return nil, errors.Newf("create memory of claims: %w", err)
	}
	return &Store{table: t, objects: o, memory: &memory{records: records}}, nil
}

// Key returns the row key for an idempotency key of an account. Both parts are escaped, so that a
// slash in one of them cannot make two different pairs share a row.
func Key(account, idempotencyKey string) string {
	return rowPrefix + url.PathEscape(account) + "/" + url.PathEscape(idempotencyKey)
}

// Write performs a Write action on the row at key. The error is set if the result is not Written.
func (s *Store) Write(ctx context.Context, key string, w Write) (WriteEnded, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	rec, err := s.offloadBody(ctx, key, w.Record)
	if err != nil {
		return WriteEnded{Result: Unavailable}, err
	}
	if rec.State == Claimed {
		if held, err := s.heldByOther(ctx, key, rec); held {
			return WriteEnded{Result: Conflict}, err
		}
	} else {
		s.finished(key, rec)
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return WriteEnded{Result: Unavailable}, errors.Newf("encode claim: %w", err)
	}
	rev, err := s.table.Commit(ctx, table.Replace(table.Row{Key: key, Revision: w.Base}, value))
	if err == nil {
		return WriteEnded{Result: Written, Revision: rev, Unsettled: s.memory.observe(rev)}, nil
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

// offloadBody returns the record with a large answer body moved to the object store.
func (s *Store) offloadBody(ctx context.Context, key string, rec Record) (Record, error) {
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

// Read performs a Read action on the row at key. The error is set if the result is Failed, or if the
// body of a large answer could not be read.
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
	out := ReadEnded{Result: Found, Record: rec, Revision: row.Revision, Unsettled: s.memory.observe(row.Revision)}
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

// Sweep removes the rows whose retention has passed and returns their number. The node that holds the
// lease for sweeping calls it; concurrent sweeps by two nodes are harmless. The objects of large answers
// are kept, because the object store has no delete operation.
func (s *Store) Sweep(ctx context.Context, now time.Time) (int, error) {
	removed, after := 0, ""
	for {
		rows, err := s.table.Scan(ctx, rowPrefix, after, sweepPageSize)
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
		if len(rows) < sweepPageSize {
			return removed, nil
		}
	}
}
