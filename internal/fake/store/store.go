// Package store is a stand-in for the platform: the table, the object store and the live list, with
// faults that tests can inject.
package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Counts are the calls that a store has carried out.
type Counts struct {
	Reads  uint64
	Writes uint64
}

// Store is the whole platform in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision table.Revision
	rows     map[string]table.Row
	objects  map[string][]byte
	hosts    []hosts.Host
	counts   Counts
	undo     []replacedRow

	down        bool
	delay       time.Duration
	loseAnswers int
}

// replacedRow is what a transaction replaced or deleted.
type replacedRow struct {
	at  time.Time
	key string
	// row is zero if there was none.
	row table.Row
	// revision is the revision of the store before the transaction.
	revision table.Revision
}

var (
	_ table.Table  = (*Store)(nil)
	_ hosts.Lister = (*Store)(nil)
)

// New returns an empty platform.
func New() *Store {
	return &Store{rows: make(map[string]table.Row), objects: make(map[string][]byte), revision: table.Revision{Era: 1}}
}

// SetDown makes every call fail without effect, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Copy copies the rows and returns a function that restores the store from the copy, in the next era.
func (s *Store) Copy() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, number := maps.Clone(s.rows), s.revision.Number
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rows, s.revision = rows, table.Revision{Era: max(s.revision.Era, 1) + 1, Number: number}
		for key, r := range s.rows {
			r.Revision.Era = s.revision.Era
			s.rows[key] = r
		}
	}
}

// SetDelay delays every call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseResponses lets the next n commits take effect and then fail with table.ErrUnknown.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// Restore replaces the rows by a copy of them that is age old, and begins a new era.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.Now().Add(-age)
	for n := len(s.undo) - 1; n >= 0 && s.undo[n].at.After(end); n-- {
		u := s.undo[n]
		s.revision.Number = u.revision.Number
		if u.row.Key == "" {
			delete(s.rows, u.key)
		} else {
			s.rows[u.key] = u.row
		}
		s.undo = s.undo[:n]
	}
	s.revision.Era++
}

// maxUndo limits the replaced rows that are kept.
const maxUndo = 4096

// row returns a row with its revision in this era, or a zero row. The lock must be held.
func (s *Store) row(key string) (table.Row, bool) {
	r, ok := s.rows[key]
	if ok {
		r.Revision.Era = s.revision.Era
	}
	return r, ok
}

// replace notes what a change of a row replaces. The lock must be held.
func (s *Store) replace(key string, before table.Revision) {
	if len(s.undo) == maxUndo {
		s.undo = s.undo[1:]
	}
	s.undo = append(s.undo, replacedRow{at: time.Now(), key: key, row: s.rows[key], revision: before})
}

// SetHosts replaces the live list.
func (s *Store) SetHosts(list []hosts.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(list)
}

// Counts returns the calls carried out so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// begin applies the delay and the outage, and returns with the lock held when err is nil.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), table.ErrUnavailable)
		case <-t.C:
		}
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return table.ErrUnavailable
	}
	return nil
}

// Get implements table.Table.
func (s *Store) Get(ctx context.Context, key string) (table.Row, error) {
	if err := s.begin(ctx); err != nil {
		return table.Row{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	row, ok := s.row(key)
	if !ok {
		return table.Row{}, table.ErrNotFound
	}
	return row, nil
}

// Scan implements table.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	var out []table.Row
	for _, k := range slices.Sorted(maps.Keys(s.rows)) {
		if !strings.HasPrefix(k, prefix) || k <= after {
			continue
		}
		if len(out) == limit {
			break
		}
		r, _ := s.row(k)
		out = append(out, r)
	}
	return out, nil
}

// Commit implements table.Table.
func (s *Store) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	if err := s.begin(ctx); err != nil {
		return table.Absent, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	for _, c := range txn.Conditions {
		if r, _ := s.row(c.Key); r.Revision != c.Revision {
			return table.Absent, table.ErrConflict
		}
	}
	before := s.revision
	s.revision.Number++
	for _, p := range txn.Puts {
		s.replace(p.Key, before)
		s.rows[p.Key] = table.Row{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision}
	}
	for _, k := range txn.Deletes {
		s.replace(k, before)
		delete(s.rows, k)
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return table.Absent, table.ErrUnknown
	}
	return s.revision, nil
}

// List implements hosts.Lister.
func (s *Store) List(ctx context.Context) ([]hosts.Host, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	return slices.Clone(s.hosts), nil
}

// Objects returns the object store of the platform.
func (s *Store) Objects() *Objects { return &Objects{s: s} }

// Objects is the object store side of a Store.
type Objects struct {
	s *Store
}

var _ object.Store = (*Objects)(nil)

// Put implements object.Store.
func (o *Objects) Put(ctx context.Context, key string, value []byte) error {
	if err := o.s.begin(ctx); err != nil {
		return err
	}
	defer o.s.mu.Unlock()
	o.s.objects[key] = slices.Clone(value)
	return nil
}

// Get implements object.Store.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.s.begin(ctx); err != nil {
		return nil, err
	}
	defer o.s.mu.Unlock()
	v, ok := o.s.objects[key]
	if !ok {
		return nil, object.ErrNotFound
	}
	return slices.Clone(v), nil
}

// List implements object.Store.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.s.begin(ctx); err != nil {
		return nil, err
	}
	defer o.s.mu.Unlock()
	var keys []string
	for _, k := range slices.Sorted(maps.Keys(o.s.objects)) {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	return keys, nil
}
