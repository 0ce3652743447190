package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxRemembered limits the records of a memory, each with an answer of up to maxInlineBytes.
	maxRemembered = 1024
	// memoryTime is how long a record is remembered. It is longer than a copy of the table is old.
	memoryTime = 2 * time.Minute
	// checkInterval is the time between checks whether the table has lost what is remembered.
	checkInterval = time.Second
	// idleCheckInterval is the time between reads for the era of the table while nothing is remembered.
	idleCheckInterval = 5 * time.Second
	// settleTime is the time from the first sign of a restoration of the table until all nodes have written again what
	// it has lost.
	settleTime = 5 * time.Second
)

// memory holds the records of calls that this node has sent, and the era of the table. A table that is restored
// from an older copy lacks claims that it has confirmed.
type memory struct {
	records *lru.Cache[string, remembered]

	mu sync.Mutex
	// era is the latest era of the table that this node has seen, first at eraSince. checkedEra is the era for which the
	// records have been compared with the table.
	era        uint64
	eraSince   time.Time
	checkedEra uint64
}

// remembered is a record with the time from which it is remembered.
type remembered struct {
	Record
	at time.Time
}

// observe records the era of a row. It reports whether the table may lack claims that other nodes know. A node that
// starts cannot know how long ago an era after the first began.
func (m *memory) observe(r table.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era == 0 {
		m.checkedEra = r.Era
	}
	if r.Era > m.era {
		m.era, m.eraSince = r.Era, time.Now()
	}
	return m.era > 1 && time.Since(m.eraSince) < settleTime
}

func (m *memory) remember(key string, r Record) {
	m.records.Add(key, remembered{Record: r, at: time.Now()})
}

// Sent remembers that the call of a claim is being sent.
func (s *Store) Sent(key string, r Record) { s.memory.remember(key, r) }

// finished remembers the final record of a call that was sent.
func (s *Store) finished(key string, r Record) {
	if m, ok := s.memory.records.Get(key); ok && m.Token == r.Token {
		s.memory.remember(key, r)
	}
}

// heldByOther reports whether this node knows that a call with the key was sent by an attempt other than that of r, and has
// not proved that it did not run. If so, the row of that attempt is written if it is missing.
func (s *Store) heldByOther(ctx context.Context, key string, r Record) (bool, error) {
	m, ok := s.memory.records.Get(key)
	if !ok || m.Token == r.Token || m.State == Released {
		return false, nil
	}
	return true, s.writeAgain(ctx, key, m.Record)
}

// Run writes claims again that a restored table has lost, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var idleCheckAt time.Time
	return tasks.Every(ctx, checkInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, settleTime)
		defer cancel()
		// After a failure, the next check tries again.
		key, ok := s.memory.expire()
		if ok {
			_ = s.check(ctx, key)
		} else if now := time.Now(); now.Sub(idleCheckAt) >= idleCheckInterval {
			idleCheckAt = now
			_ = s.readEra(ctx)
		}
	})
}

// expire forgets records. It returns the key of one that the table must have, if any is left: its row names the era, or is
// missing if the table has lost it. Rows of released claims need not be there.
func (m *memory) expire() (string, bool) {
	held, ok := "", false
	for _, key := range m.records.Keys() {
		switch r, known := m.records.Peek(key); {
		case known && time.Since(r.at) > memoryTime:
			m.records.Remove(key)
		case known && r.State != Released:
			held, ok = key, true
		}
	}
	return held, ok
}

// readEra reads the era of the table from any claim row.
func (s *Store) readEra(ctx context.Context) error {
	rows, err := s.table.Scan(ctx, rowPrefix, "", 1)
	if err != nil {
		return errors.Newf("read era: %w", err)
	}
	for _, r := range rows {
		s.memory.observe(r.Revision)
	}
	return nil
}

// check reads the row of a record that the table must have and, if the table was restored, compares all of them with it.
func (s *Store) check(ctx context.Context, held string) error {
	row, err := s.table.Get(ctx, held)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return errors.Newf("check for lost claims: %w", err)
	}
	s.memory.observe(row.Revision)
	s.memory.mu.Lock()
	era := s.memory.era
	done := s.memory.checkedEra == era && err == nil
	s.memory.mu.Unlock()
	if done {
		return nil
	}
	for _, key := range s.memory.records.Keys() {
		if r, ok := s.memory.records.Peek(key); ok {
			if err := s.writeAgain(ctx, key, r.Record); err != nil {
				return err
			}
		}
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.checkedEra = era
	return nil
}

// writeAgain writes a record if the table has an older one of its attempt, or lacks it.
func (s *Store) writeAgain(ctx context.Context, key string, r Record) error {
	row, err := s.table.Get(ctx, key)
	var stored Record
	switch {
	case errors.Is(err, table.ErrNotFound):
		row = table.Row{Key: key, Revision: table.Absent}
	case err != nil:
		return errors.Newf("read claim: %w", err)
	default:
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return errors.Newf("decode claim: %w", err)
		}
	}
	// The attempt of a record that is not released keeps its row, so that another one there shows that it was lost.
	if stored.Token == r.Token && stored.State == r.State || stored.Token != r.Token && r.State == Released {
		return nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Newf("encode claim: %w", err)
	}
	revision, err := s.table.Commit(ctx, table.Replace(row, value))
	if err != nil {
		return errors.Newf("write claim again: %w", err)
	}
	s.memory.observe(revision)
	return nil
}
