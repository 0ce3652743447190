// Package apply stores versions of the configuration document in the table and reads them.
package apply

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Keys of the table rows: the current version, and the prefix of the entry of each version.
const (
	currentKey    = "config/current"
	versionPrefix = "config/v/"
)

// ErrConflict means that the document is based on a version that is not the current one.
var ErrConflict = errors.New("base version is not the current version")

// currentVersion is the value of the row that holds the number of the current version.
type currentVersion struct {
	Version uint64 `json:"version"`
}

// Entry is a committed version of the document.
type Entry struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	// Token is unique to a commit. A writer that lost the response to its commit compares it to find out
	// whether the stored entry is its own. It is empty if WriteAgain wrote the entry.
	Token    string           `json:"token"`
	Author   string           `json:"author"`
	At       time.Time        `json:"at"`
	Document *schema.Document `json:"document"`
}

// entryHeader is an Entry without the document, which accounts for most of the decoding time.
type entryHeader struct {
	Version uint64    `json:"version"`
	Base    uint64    `json:"base"`
	Token   string    `json:"token"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
}

// Store commits and reads versions of the document. It is safe for concurrent use.
type Store struct {
	table table.Table
	now   func() time.Time
}

// New returns a Store that keeps its rows in t and takes commit times from now.
func New(t table.Table, now func() time.Time) *Store {
	return &Store{table: t, now: now}
}

// Version returns the number of the current version, or 0 if nothing was committed yet, and the row that
// holds it.
func (s *Store) Version(ctx context.Context) (uint64, table.Row, error) {
	row, err := s.table.Get(ctx, currentKey)
	if errors.Is(err, table.ErrNotFound) {
		return 0, table.Row{Key: currentKey}, nil
	}
	if err != nil {
		return 0, table.Row{}, errors.Newf("read current version: %w", err)
	}
	v, err := decodeVersion(row)
	return v, row, err
}

// decodeVersion returns the version in the row of the current version, or 0 if there is no row.
func decodeVersion(row table.Row) (uint64, error) {
	if row.Revision == table.Absent {
		return 0, nil
	}
	var c currentVersion
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return 0, errors.Newf("decode current version: %w", err)
	}
	return c.Version, nil
}

// Entry returns the entry of a version, or table.ErrNotFound if there is none.
func (s *Store) Entry(ctx context.Context, version uint64) (Entry, error) {
	var e Entry
	if err := s.readVersion(ctx, version, &e); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// readVersion reads the row of a version and decodes it into out.
func (s *Store) readVersion(ctx context.Context, version uint64, out any) error {
	row, err := s.table.Get(ctx, versionKey(version))
	if err != nil {
		return errors.Newf("read version %d: %w", version, err)
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return errors.Newf("decode version %d: %w", version, err)
	}
	return nil
}

// Commit stores doc as the next version after base and makes it the current one. It returns ErrConflict if
// base is not the current version, and table.ErrUnknown if the outcome could not be determined. The entry
// returned with table.ErrUnknown is the one that may have been committed, so that the caller can look for
// its token later. Versions of each era of the table are higher than all earlier ones, also than those that a
// restored table has lost.
func (s *Store) Commit(ctx context.Context, base uint64, author string, doc *schema.Document) (Entry, error) {
	current, row, err := s.Version(ctx)
	if err != nil {
		return Entry{}, err
	}
	if current != base {
		return Entry{}, errors.Newf("base %d, current %d: %w", base, current, ErrConflict)
	}
	e := Entry{
		Version: max(base, duty.FirstOfEra(row.Revision.Era)) + 1, Base: base, Token: uuid.NewString(), Author: author, At: s.now(), Document: doc,
	}
	txn, err := commitTxn(row, e)
	if err != nil {
		return Entry{}, err
	}
	_, err = s.table.Commit(ctx, txn)
	switch {
	case err == nil:
		return e, nil
	case errors.Is(err, table.ErrConflict):
		return Entry{}, errors.Newf("commit version %d: %w", e.Version, ErrConflict)
	case errors.Is(err, table.ErrUnknown):
		return s.resolveOutcome(ctx, e)
	default:
		return Entry{}, errors.Newf("commit version %d: %w", e.Version, err)
	}
}

// WriteAgain stores a version that was accepted, and that the table has lost since, as the current one. row is the row of
// the current version, which is older. It returns ErrConflict if another version has become the current one since row
// was read. The entry does not name the author, and its base is the version in row.
func (s *Store) WriteAgain(ctx context.Context, row table.Row, version uint64, doc *schema.Document) error {
	base, err := decodeVersion(row)
	if err != nil {
		return err
	}
	txn, err := commitTxn(row, Entry{Version: version, Base: base, At: s.now(), Document: doc})
	if err != nil {
		return err
	}
	if _, err := s.table.Commit(ctx, txn); err != nil {
		if errors.Is(err, table.ErrConflict) {
			err = ErrConflict
		}
		return errors.Newf("write version %d again: %w", version, err)
	}
	return nil
}

// resolveTimeout limits the read that determines the outcome of a commit. It is independent of the
// caller's deadline, which has often expired by the time a response is lost.
const resolveTimeout = 2 * time.Second

// maxHistory is the largest number of versions that History returns.
const maxHistory = 200

// History returns up to limit versions, but at most maxHistory, newest first: those below before, or the
// newest ones if before is 0. Entries have no documents, which would take hundreds of megabytes at the
// target size.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]Entry, error) {
	version, _, err := s.Version(ctx)
	if err != nil {
		return nil, err
	}
	if before > 0 && before <= version {
		version, err = s.baseOf(ctx, before)
		if err != nil {
			return nil, err
		}
	}
	var entries []Entry
	for version > 0 && len(entries) < min(limit, maxHistory) {
		var header entryHeader
		err := s.readVersion(ctx, version, &header)
		if errors.Is(err, table.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{Version: header.Version, Base: header.Base, Token: header.Token, Author: header.Author, At: header.At})
		version = header.Base
	}
	return entries, nil
}

// baseOf returns the version that a version is based on, which precedes it by more than one if the table has lost versions.
func (s *Store) baseOf(ctx context.Context, version uint64) (uint64, error) {
	var header entryHeader
	err := s.readVersion(ctx, version, &header)
	if errors.Is(err, table.ErrNotFound) {
		return version - 1, nil
	}
	return header.Base, err
}

// resolveOutcome determines whether a commit whose response was lost took effect.
func (s *Store) resolveOutcome(ctx context.Context, e Entry) (Entry, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	stored, err := s.Entry(ctx, e.Version)
	switch {
	case err == nil && stored.Token == e.Token:
		return e, nil
	case err == nil && stored.Token == "":
		return e, errors.Newf("version %d was written again after the table lost it: %w", e.Version, table.ErrUnknown)
	case err == nil:
		return Entry{}, errors.Newf("version %d was written by another commit: %w", e.Version, ErrConflict)
	default:
		// A missing row does not prove that the commit failed: the write may still be in flight.
		return e, errors.Mark(errors.Newf("determine outcome of commit of version %d: %w", e.Version, err), table.ErrUnknown)
	}
}

func commitTxn(currentRow table.Row, e Entry) (table.Txn, error) {
	entryValue, err := json.Marshal(e)
	if err != nil {
		return table.Txn{}, errors.Newf("encode version %d: %w", e.Version, err)
	}
	currentValue, err := json.Marshal(currentVersion{Version: e.Version})
	if err != nil {
		return table.Txn{}, errors.Newf("encode current version: %w", err)
	}
	return table.Txn{
		Conditions: []table.Condition{
			{Key: currentKey, Revision: currentRow.Revision},
			{Key: versionKey(e.Version), Revision: table.Absent},
		},
		Puts: []table.Put{{Key: currentKey, Value: currentValue}, {Key: versionKey(e.Version), Value: entryValue}},
	}, nil
}

func versionKey(version uint64) string { return versionPrefix + strconv.FormatUint(version, 10) }
