package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryLost means that the changes after a revision are no longer known; a new Snapshot is needed.
var ErrHistoryLost = errors.New("history of changes lost")

// State is the rows of one family at a revision.
type State struct {
	Rows []Row
	// Revision is where Changes continues. Rows may be newer than it when they came in several parts.
	Revision Revision
	// Via names the copies through which the rows came, the nearest first; empty from the store itself.
	Via []string
	// Stale says that the rows are from a copy that is not kept up to date.
	Stale bool
	// Age is how long ago the store confirmed that these are the rows; 0 from the store itself.
	Age time.Duration
}

// Delta is what changed between two revisions.
type Delta struct {
	Changed []Row
	// Removed are the keys of deleted rows.
	Removed []string
	// Revision is where the next Changes continues.
	Revision Revision
	// Via names the copies through which the changes came, as in State.
	Via []string
	// Age is how long ago the store confirmed that there were no further changes, as in State.
	Age time.Duration
}

// Feed reads a family of rows, those whose keys start with the family's name and a slash, and follows
// its changes. Implementations are safe for concurrent use.
type Feed interface {
	// Snapshot returns all rows of a family, or ErrUnavailable.
	Snapshot(ctx context.Context, family string) (State, error)
	// Changes waits up to wait for a change after a revision and returns all that are known. It returns
	// an empty delta when there was none, ErrHistoryLost, or ErrUnavailable.
	Changes(ctx context.Context, family string, after Revision, wait time.Duration) (Delta, error)
}
