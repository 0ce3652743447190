// Package apply commits configuration documents to the table and reads them back.
package apply

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Keys of the rows.
const (
	currentKey    = "config/current"
	versionPrefix = "config/v/"
)

// ErrConflict means that the document was made from a version that is no longer the current one.
var ErrConflict = errors.New("base version is not the current version")

// Current is the row that names the version in force.
type Current struct {
	Version uint64 `json:"version"`
}

// Entry is one version in the history.
type Entry struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	// Token tells the writer of a commit whose answer was lost that the entry is its own.
	Token    string           `json:"token"`
	Author   string           `json:"author"`
	At       time.Time        `json:"at"`
	Document *schema.Document `json:"document"`
}

// head is an entry without its document, which takes most of the time to decode.
type head struct {
	Version uint64    `json:"version"`
	Base    uint64    `json:"base"`
	Token   string    `json:"token"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
}

// Store commits and reads versions. It is safe for concurrent use.
type Store struct {
	table table.Table
	now   func() time.Time
}

// New returns a store on t.
func New(t table.Table, now func() time.Time) *Store {
	return &Store{table: t, now: now}
}

// Version returns the number of the version in force, 0 when there is none yet, and its row.
func (s *Store) Version(ctx context.Context) (uint64, table.Row, error) {
	row, err := s.table.Get(ctx, currentKey)
	if errors.Is(err, table.ErrNotFound) {
		return 0, table.Row{Key: currentKey}, nil
	}
	if err != nil {
		return 0, table.Row{}, errors.Newf("read current version: %w", err)
	}
	var c Current
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return 0, table.Row{}, errors.Newf("decode current version: %w", err)
	}
	return c.Version, row, nil
}

// Entry returns one version of the history, or table.ErrNotFound.
func (s *Store) Entry(ctx context.Context, version uint64) (Entry, error) {
	var e Entry
	if err := s.read(ctx, version, &e); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// read decodes the row of a version into out.
func (s *Store) read(ctx context.Context, version uint64, out any) error {
	row, err := s.table.Get(ctx, versionKey(version))
	if err != nil {
		return errors.Newf("read version %d: %w", version, err)
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return errors.Newf("decode version %d: %w", version, err)
	}
	return nil
}

// Commit makes doc the next version after base. It returns ErrConflict when base is not the
// current version, and table.ErrUnknown when the outcome could not be found out. The entry that comes
// with table.ErrUnknown is the one that may have been committed, so that its token can be looked for.
func (s *Store) Commit(ctx context.Context, base uint64, author string, doc *schema.Document) (Entry, error) {
	current, row, err := s.Version(ctx)
	if err != nil {
		return Entry{}, err
	}
	if current != base {
		return Entry{}, errors.Newf("base %d, current %d: %w", base, current, ErrConflict)
	}
	e := Entry{
		Version: base + 1, Base: base, Token: uuid.NewString(), Author: author, At: s.now(), Document: doc,
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
		return s.resolve(ctx, e)
	default:
		return Entry{}, errors.Newf("commit version %d: %w", e.Version, err)
	}
}

// resolveTimeout bounds the read that finds out what became of a commit. It outlives the caller's own
// deadline, which has often passed when an answer was lost.
const resolveTimeout = 2 * time.Second

// maxHistory bounds how many versions History returns.
const maxHistory = 200

// History returns the versions below before, or the newest ones when before is 0, up to limit, newest
// first and without their documents, which would take hundreds of megabytes at the target size.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]Entry, error) {
	version, _, err := s.Version(ctx)
	if err != nil {
		return nil, err
	}
	if before > 0 {
		version = min(version, before-1)
	}
	var out []Entry
	for n := version; n > 0 && len(out) < min(limit, maxHistory); n-- {
		var h head
		err := s.read(ctx, n, &h)
		if errors.Is(err, table.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		out = append(out, Entry{Version: h.Version, Base: h.Base, Token: h.Token, Author: h.Author, At: h.At})
	}
	return out, nil
}

// resolve finds out whether a commit whose answer was lost took effect.
func (s *Store) resolve(ctx context.Context, e Entry) (Entry, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	got, err := s.Entry(ctx, e.Version)
	switch {
	case err == nil && got.Token == e.Token:
		return e, nil
	case err == nil:
		return Entry{}, errors.Newf("version %d belongs to another commit: %w", e.Version, ErrConflict)
	default:
		// An absent row proves nothing: the write may still be on its way.
		return e, errors.Mark(errors.Newf("find out commit of version %d: %w", e.Version, err), table.ErrUnknown)
	}
}

func commitTxn(current table.Row, e Entry) (table.Txn, error) {
	entry, err := json.Marshal(e)
	if err != nil {
		return table.Txn{}, errors.Newf("encode version %d: %w", e.Version, err)
	}
	pointer, err := json.Marshal(Current{Version: e.Version})
	if err != nil {
		return table.Txn{}, errors.Newf("encode current version: %w", err)
	}
	return table.Txn{
		Conditions: []table.Condition{
			{Key: currentKey, Revision: current.Revision},
			{Key: versionKey(e.Version), Revision: table.Absent},
		},
		Puts: []table.Put{{Key: currentKey, Value: pointer}, {Key: versionKey(e.Version), Value: entry}},
	}, nil
}

func versionKey(version uint64) string { return versionPrefix + strconv.FormatUint(version, 10) }
