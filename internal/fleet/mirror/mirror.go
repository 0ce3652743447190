// Package mirror keeps an in-memory copy of a family of rows of the platform's store: the rows whose keys start
// with the family's name and a slash. One node reads the store, and the others follow its copy or that of one of
// its followers, so that the load on the store does not grow with the number of nodes. A copy whose origin fails,
// be it the store or a node, follows another node instead. If a copy that should follow a node finds none, it
// reads the store.
//
// Rows carry the names of the copies that they passed through. A copy does not follow one that got its rows
// from it, because no change would reach a cycle of copies that follow each other.
//
// Rows also carry their age: how long ago the store confirmed them. A copy that has lost its origin follows only copies
// whose rows were confirmed after that, because a copy whose rows came from the same origin may not have noticed the
// loss yet.
package mirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Timeouts and intervals of a copy.
const (
	// defaultStoreWait is how long a read of the store waits for changes unless Config.StoreWait is set.
	defaultStoreWait = 4 * time.Second
	// peerWait is how long a read from another node waits for changes. A node that stops responding is
	// noticed after this time plus peerReadMargin.
	peerWait = 700 * time.Millisecond
	// storeReadMargin is added to the wait for the deadline of a read from the store. It allows for a slow
	// store.
	storeReadMargin = 600 * time.Millisecond
	// peerReadMargin is added to the wait for the deadline of a read from another node.
	peerReadMargin = 350 * time.Millisecond
	// snapshotTimeout bounds a read of all rows.
	snapshotTimeout = 3 * time.Second
	// retryMin and retryMax bound the delay after a failed read.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// originRetryInterval is how long another node is followed before the failed origin, the store or a node,
	// is read again.
	originRetryInterval = time.Second
	// minAgeGain is the minimum by which the age of a follower's rows falls for it to be told at once.
	minAgeGain = 100 * time.Millisecond
	// ageMargin is added to twice Config.StoreWait for the age of rows from which a copy counts as out of date.
	ageMargin = 500 * time.Millisecond
	// hintDelay is how long a hinted revision may take to arrive from the copy's own source, if that has not failed.
	hintDelay = 80 * time.Millisecond
	// rejectStaleFor is how long a new copy accepts only rows that are up to date. A restarted node must not
	// use servers that have left, or keys that were revoked.
	rejectStaleFor = 2500 * time.Millisecond
	// failedOriginDelay is how long an origin that failed is not followed.
	failedOriginDelay = 800 * time.Millisecond
	// noSourceGrace is how long a copy that should follow a node may be without one before it counts as out of
	// date.
	noSourceGrace = time.Second
	// backoffMin and backoffMax bound the time between reads of the store by a copy that should follow a
	// node.
	backoffMin = 500 * time.Millisecond
	backoffMax = 8 * time.Second
)

// maxPeerFailures is how many reads from other nodes may fail in a row before the copy stops trying them.
const maxPeerFailures = 3

// maxHistoryRows is the maximum number of changes kept for followers.
const maxHistoryRows = 4096

// Update is a change of the copy's rows.
type Update struct {
	// Full reports that Put holds all rows; any other row has been removed.
	Full bool
	// Era is the era of the rows, if Full is set. It is higher than in the update before if the store was restored.
	Era     uint64
	Put     []table.Row
	Removed []string
}

// Config configures a Copy.
type Config struct {
	// Family is the name of the row family, without a slash.
	Family string
	Store  table.Feed
	// Name is the name of the copy, as its followers see it.
	Name string
	// Source returns the source to read from. If nil, it is the store.
	Source func() Source
	// Peer returns another node's copy to follow while the origin fails, a different one at each call, or
	// nil.
	Peer func() table.Feed
	// StoreReadDelay returns how long a copy that should follow a node waits without one before it reads the store.
	// upstream reports that its node answers but has no source either. If nil, the copy does not wait.
	StoreReadDelay func(upstream bool) time.Duration
	// Apply is called with each change, one at a time and in order.
	Apply func(u Update)
	// Keep reports whether a row is kept when the store was restored from an older copy, in which the row is restored, or
	// missing if that is nil. A row that is missing is kept for KeepTime. The number of the revision of a kept row is 0. If
	// Keep is nil, no row is kept.
	Keep     func(known table.Row, restored *table.Row) bool
	KeepTime time.Duration
	// PeerWait is how long the copy waits for another node, which may keep rows, when its first read is one of a store that
	// was restored at some time. If it is 0, the copy does not ask.
	PeerWait time.Duration
	// OnUpToDate is called with false when the copy is no longer kept up to date, and with true when it is
	// again. It may be nil.
	OnUpToDate func(reached bool)
	// OnRevision is called with the new revision after each change, so that other nodes can be notified. followed
	// reports that other copies can follow this one, and so receive the change from it. It must not block. It may be nil.
	OnRevision func(revision table.Revision, followed bool)
	// StoreWait is how long a read of the store waits for changes, or 0 for a default. A source that stops
	// responding is noticed after this time plus a margin, so it bounds how old the copy may be without its
	// node knowing.
	StoreWait time.Duration
	// MinReadInterval is the minimum time between two reads, so that changes in quick succession cost one call.
	MinReadInterval time.Duration
	Log             hclog.Logger
}

// Source is the configured source of a copy: the store, or the copy of a node. Node is nil while none is
// known.
type Source struct {
	Store bool
	Node  table.Feed
}

// ErrNoSource is returned by a copy that is not kept up to date. The error is also marked
// table.ErrUnavailable.
var ErrNoSource = errors.New("copy has no source")

// Copy is a copy of a row family. It is safe for concurrent use, and implements table.Feed for followers.
type Copy struct {
	cfg Config

	mu       sync.Mutex
	rows     map[string]table.Row
	revision table.Revision
	loaded   bool
	// kept holds the keys of the rows that a restored store lacks, with the time until which they are kept, and of those
	// that are older in it, with the zero time.
	kept map[string]time.Time
	// history holds the latest changes in order. historyFloor is the revision before the oldest of them.
	history      []change
	historyFloor table.Revision
	changed      chan struct{}
	reached      bool
	// createdAt is when the copy was made.
	createdAt time.Time
	// confirmedAt is the latest time at which the store is known to have held these rows.
	confirmedAt time.Time
	// lastSource is the source of the last read, and storeLostAt is when the store failed as the origin of the copy, or the
	// zero time. They are used only by the goroutine running follow.
	lastSource  table.Feed
	storeLostAt time.Time
	// via names the copies that the rows passed through, nearest first.
	via []string
	// usesPeer reports that the copy reads another node because the store fails. sourceFailed reports that
	// its source has failed and it has not found another yet, so it must not be followed.
	usesPeer     bool
	sourceFailed bool
	// latestHint is the hint with the highest revision. hintSignal signals a new one.
	latestHint hint
	hintSignal chan struct{}
}

// hint records that another node has a revision.
type hint struct {
	revision table.Revision
	feed     table.Feed
}

// change is an entry of the history.
type change struct {
	revision table.Revision
	row      table.Row
	removed  bool
}

var _ table.Feed = (*Copy)(nil)

// New returns an empty copy.
func New(cfg Config) *Copy {
	if cfg.OnUpToDate == nil {
		cfg.OnUpToDate = func(bool) {}
	}
	if cfg.StoreWait == 0 {
		cfg.StoreWait = defaultStoreWait
	}
	if cfg.Peer == nil {
		cfg.Peer = func() table.Feed { return nil }
	}
	if cfg.Keep == nil {
		cfg.Keep = func(table.Row, *table.Row) bool { return false }
	}
	if cfg.OnRevision == nil {
		cfg.OnRevision = func(table.Revision, bool) {}
	}
	if cfg.Source == nil {
		cfg.Source = func() Source { return Source{Store: true} }
	}
	if cfg.StoreReadDelay == nil {
		cfg.StoreReadDelay = func(bool) time.Duration { return 0 }
	}
	return &Copy{createdAt: time.Now(), cfg: cfg, rows: make(map[string]table.Row), kept: make(map[string]time.Time), changed: make(chan struct{}), reached: true, hintSignal: make(chan struct{}, 1)}
}

// Run keeps the copy up to date until ctx ends.
func (c *Copy) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("follow", c.follow)
	g.Go("catch up", c.followHints)
	if err := g.Wait(); err != nil {
		return errors.Newf("run copy of %s: %w", c.cfg.Family, err)
	}
	return nil
}

// Hint reports that another node has a revision. If the copy does not reach it within hintDelay, for instance
// because its source has stopped responding, it reads from that node.
func (c *Copy) Hint(revision table.Revision, from table.Feed) {
	c.mu.Lock()
	if c.latestHint.revision.Before(revision) {
		c.latestHint = hint{revision: revision, feed: from}
	}
	c.mu.Unlock()
	select {
	case c.hintSignal <- struct{}{}:
	default:
	}
}

// followHints processes hints until ctx ends.
func (c *Copy) followHints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.hintSignal:
		}
		c.mu.Lock()
		delay := hintDelay
		if !c.followable() {
			delay = 0
		}
		c.mu.Unlock()
		if !tasks.Sleep(ctx, delay) {
			return nil
		}
		c.mu.Lock()
		h, behind := c.latestHint, c.revision.Before(c.latestHint.revision)
		c.mu.Unlock()
		if !behind {
			continue
		}
		if _, err := c.pull(ctx, h.feed, 0); err != nil {
			c.cfg.Log.Info("reading a revision announced by another node failed", "family", c.cfg.Family, "revision", h.revision, "error", err)
		}
	}
}

// pull reads once from a source and applies the result. It returns the copies that the rows passed through.
func (c *Copy) pull(ctx context.Context, from table.Feed, wait time.Duration) ([]string, error) {
	margin := peerReadMargin
	if from == c.cfg.Store {
		margin = storeReadMargin
	}
	c.mu.Lock()
	loaded, after := c.loaded, c.revision
	c.mu.Unlock()
	if !loaded {
		return c.loadSnapshot(ctx, from)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	start := time.Now()
	d, err := from.Changes(callCtx, c.cfg.Family, after, wait)
	if errors.Is(err, table.ErrHistoryLost) {
		c.cfg.Log.Info("history was lost, reading all rows", "family", c.cfg.Family, "revision", after)
		return c.loadSnapshot(ctx, from)
	}
	if err != nil {
		return nil, errors.Newf("read changes of %s: %w", c.cfg.Family, err)
	}
	if wait <= pollWait {
		d.Age += time.Since(start) // Counts the time that the reply may have been on its way.
	}
	c.applyDelta(d, after)
	c.dropKept()
	return d.Via, nil
}

// loadSnapshot reads all rows. It rejects a state older than the copy.
func (c *Copy) loadSnapshot(ctx context.Context, from table.Feed) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	start := time.Now()
	s, err := from.Snapshot(ctx, c.cfg.Family)
	if err != nil {
		return nil, errors.Newf("read all rows of %s: %w", c.cfg.Family, err)
	}
	confirmedAt := start.Add(-s.Age)
	c.mu.Lock()
	first := !c.loaded
	c.mu.Unlock()
	if first && from == c.cfg.Store && s.Revision.Era > firstEra && c.cfg.PeerWait > 0 {
		c.addKept(ctx, &s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Stale && (c.loaded || time.Since(c.createdAt) < rejectStaleFor) {
		return nil, errors.Mark(errors.Newf("rows of %s are not up to date: %w", c.cfg.Family, table.ErrUnavailable), ErrNoSource)
	}
	if c.loaded && s.Revision.Before(c.revision) {
		return nil, errors.Newf("rows of %s are from revision %+v, older than %+v: %w", c.cfg.Family, s.Revision, c.revision, table.ErrUnavailable)
	}
	c.replaceRows(s)
	c.loaded, c.revision = true, s.Revision
	c.confirm(confirmedAt)
	c.history, c.historyFloor = c.history[:0], s.Revision
	c.cfg.Apply(Update{Full: true, Era: s.Revision.Era, Put: slices.Collect(maps.Values(c.rows))})
	c.cfg.OnRevision(c.revision, c.followable())
	c.notifyFollowers()
	return s.Via, nil
}

// applyDelta applies the changes after a revision. Reads may overlap, so the copy may have advanced since this
// one began. A result that is not newer than the copy is then ignored. A newer one can be applied, as it holds the
// latest state of each row changed since the revision.
func (c *Copy) applyDelta(d table.Delta, after table.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirm(time.Now().Add(-d.Age)) {
		defer c.notifyFollowers()
	}
	if c.revision != after && !c.revision.Before(d.Revision) {
		return
	}
	u := Update{}
	for _, r := range d.Changed {
		if old, ok := c.rows[r.Key]; ok && (!old.Revision.Before(r.Revision) || c.keeps(old, r)) {
			continue
		}
		delete(c.kept, r.Key)
		c.rows[r.Key] = r
		u.Put = append(u.Put, r)
		c.appendHistory(change{revision: d.Revision, row: r})
	}
	for _, k := range d.Removed {
		if _, ok := c.rows[k]; !ok {
			continue
		}
		delete(c.rows, k)
		delete(c.kept, k)
		u.Removed = append(u.Removed, k)
		c.appendHistory(change{revision: d.Revision, row: table.Row{Key: k}, removed: true})
	}
	c.revision = c.revision.Later(d.Revision)
	if len(u.Put)+len(u.Removed) == 0 {
		return
	}
	c.cfg.Apply(u)
	c.cfg.OnRevision(c.revision, c.followable())
	c.notifyFollowers()
}

// appendHistory adds a change to the history. All changes of one read have the same revision and are
// discarded together.
func (c *Copy) appendHistory(x change) {
	c.history = append(c.history, x)
	if len(c.history) <= maxHistoryRows {
		return
	}
	c.historyFloor = c.history[maxHistoryRows/2].revision
	kept := c.history[:0]
	for _, h := range c.history {
		if c.historyFloor.Before(h.revision) {
			kept = append(kept, h)
		}
	}
	c.history = kept
}

// notifyFollowers wakes waiting Changes calls. The lock must be held.
func (c *Copy) notifyFollowers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ComesThrough reports whether the rows passed through the named copy.
func (c *Copy) ComesThrough(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.via, name)
}

// followerVia returns the copies that the rows of a follower pass through. The lock must be held.
func (c *Copy) followerVia() []string { return append([]string{c.cfg.Name}, c.via...) }

// Revision returns the revision of the rows.
func (c *Copy) Revision() table.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// UpToDate reports whether the copy is kept up to date.
func (c *Copy) UpToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && c.reached
}

// followable reports whether other copies may follow this one. The lock must be held.
func (c *Copy) followable() bool {
	return c.loaded && c.reached && !c.sourceFailed && time.Since(c.confirmedAt) <= c.maxAge()
}

// maxAge is the age of rows from which the copy counts as out of date.
func (c *Copy) maxAge() time.Duration { return 2*c.cfg.StoreWait + ageMargin }

// confirm records that the store held the rows at a time, and reports whether followers should be told. The lock must be held.
func (c *Copy) confirm(at time.Time) bool {
	gain := at.Sub(c.confirmedAt)
	if gain > 0 {
		c.confirmedAt = at
	}
	return gain >= minAgeGain
}

// confirmedSince reports whether the store is known to have held the rows after a time.
func (c *Copy) confirmedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt.After(t)
}

// Age returns how long ago the store confirmed the rows.
func (c *Copy) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.confirmedAt)
}

// Snapshot implements table.Feed.
func (c *Copy) Snapshot(context.Context, string) (table.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return table.State{}, errors.Mark(table.ErrUnavailable, ErrNoSource)
	}
	s := table.State{
		Revision: c.revision, Rows: make([]table.Row, 0, len(c.rows)), Via: c.followerVia(), Stale: !c.followable(),
		Age: time.Since(c.confirmedAt),
	}
	for _, r := range c.rows {
		s.Rows = append(s.Rows, r)
	}
	return s, nil
}

// Changes implements table.Feed. A copy that is not kept up to date refuses to be followed, but answers a
// read without a wait.
func (c *Copy) Changes(ctx context.Context, _ string, after table.Revision, wait time.Duration) (table.Delta, error) {
	return c.ChangesFor(ctx, after, 0, wait)
}

// ChangesFor returns the changes after a revision for a follower whose rows have the given age. It also returns, without
// changes, when the store has confirmed the rows again.
func (c *Copy) ChangesFor(ctx context.Context, after table.Revision, age, wait time.Duration) (table.Delta, error) {
	known := time.Now().Add(-age)
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		d, changed, err := c.changesSince(after, wait > 0)
		if err != nil || len(d.Changed)+len(d.Removed) > 0 || time.Since(known)-d.Age >= minAgeGain {
			return d, err
		}
		select {
		case <-changed:
		case <-t.C:
			// The copy may no longer be kept up to date.
			d, _, err := c.changesSince(after, wait > 0)
			return d, err
		case <-ctx.Done():
			return table.Delta{}, errors.Mark(errors.Newf("wait for changes: %w", ctx.Err()), table.ErrUnavailable)
		}
	}
}

// changesSince returns the changes after a revision, and a channel that is closed at the next change.
func (c *Copy) changesSince(after table.Revision, following bool) (table.Delta, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.loaded || following && !c.followable():
		return table.Delta{}, nil, errors.Mark(table.ErrUnavailable, ErrNoSource)
	case after.Before(c.historyFloor):
		return table.Delta{}, nil, table.ErrHistoryLost
	}
	// A follower may be ahead of this copy and must not go back.
	d := table.Delta{Revision: after.Later(c.revision), Via: c.followerVia(), Age: time.Since(c.confirmedAt)}
	latest := make(map[string]change)
	for _, h := range c.history {
		if after.Before(h.revision) {
			latest[h.row.Key] = h
		}
	}
	for k, h := range latest {
		if h.removed {
			d.Removed = append(d.Removed, k)
		} else {
			d.Changed = append(d.Changed, h.row)
		}
	}
	return d, c.changed, nil
}
