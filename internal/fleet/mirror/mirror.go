// Package mirror keeps a copy of a family of rows of the platform's store in memory. One node reads the store, and the
// others follow its copy or the copies of those that follow it, so that the store's work does not grow with the number
// of nodes. A copy whose origin fails follows any other node, and reads the store if it finds none. A copy that the
// store does not serve follows any other node as well.
//
// Rows carry the names of the copies through which they came. A copy follows none that got its rows from it, so copies
// never follow each other in a circle in which no change would arrive.
package mirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Times of a copy.
const (
	// defaultWait is how long one read for changes stays open where the configuration does not say.
	defaultWait = 4 * time.Second
	// peerWait is the same for reads from other nodes. A node that has gone silent is noticed after this time and
	// peerMargin.
	peerWait = 700 * time.Millisecond
	// readMargin is added to the wait for the deadline of a read. It covers a store that is slow.
	readMargin = 600 * time.Millisecond
	// peerMargin is the same for reads from other nodes.
	peerMargin = 350 * time.Millisecond
	// snapshotTimeout bounds the read of a whole family.
	snapshotTimeout = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed read.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// storeRetry is the time between tries of the store while another node is followed for want of it.
	storeRetry = time.Second
	// hintDelay is how long a revision that another node has may take to come from the copy's own source.
	hintDelay = 80 * time.Millisecond
	// staleAfter is how long a copy that has just begun looks for rows that are up to date before it takes others. A node
	// that was started again must not use servers that have left, or keys that were withdrawn.
	staleAfter = 2500 * time.Millisecond
	// distrust is how long an origin that failed is not followed.
	distrust = 800 * time.Millisecond
	// withoutMax is how long a copy may be without a source before it counts as not kept up to date.
	withoutMax = time.Second
	// backoffMin and backoffMax bound the time between reads of the store by a copy that should follow a node.
	backoffMin = 500 * time.Millisecond
	backoffMax = 8 * time.Second
)

// peerTries is how many other nodes a copy asks in a row before it counts as without a source.
const peerTries = 3

// historyRows is how many changes a copy remembers for those that follow it.
const historyRows = 4096

// Update is a change of the copy.
type Update struct {
	// Full says that Put is everything and rows that are not in it are gone.
	Full    bool
	Put     []table.Row
	Removed []string
}

// Config is what a copy is made of.
type Config struct {
	// Family is the family of rows, without a slash.
	Family string
	Store  table.Feed
	// Self names the copy to those that follow it.
	Self string
	// Origin returns where the copy reads. Nil is the store.
	Origin func() Origin
	// Peer returns another node's copy, another one at each call, to follow while the origin does not answer, or nil.
	Peer func() table.Feed
	// Patience returns how long a copy that is to follow a node goes without any before it reads the store. upstream
	// says that its node answers, but has no source either. Nil is no time.
	Patience func(upstream bool) time.Duration
	// Apply is called with each change, one at a time and in order.
	Apply func(u Update)
	// Reached is called when the copy begins or ceases to be kept up to date. It may be nil.
	Reached func(reached bool)
	// Advanced is called with each new revision, so that other nodes hear of it. It must not block. It may be
	// nil.
	Advanced func(revision uint64)
	// Wait is how long one read of the store stays open, 0 for a default. A source that has gone silent is
	// noticed after this time and a margin, so it bounds how old the copy may be without its node knowing.
	Wait time.Duration
	// Pause is the least time between two reads, so that changes that come together cost one call.
	Pause time.Duration
	Log   hclog.Logger
}

// Origin is where a copy reads: the store, or the copy of a node, which is nil while none is known.
type Origin struct {
	Store bool
	Node  table.Feed
}

// ErrNoSource marks the refusal of a copy that is not kept up to date itself. It is also marked ErrUnavailable.
var ErrNoSource = errors.New("copy has no source")

// Copy is a copy of a family. It is safe for concurrent use and implements table.Feed for other nodes.
type Copy struct {
	cfg Config

	mu       sync.Mutex
	rows     map[string]table.Row
	revision uint64
	known    bool
	// history holds the latest changes in order; floor is the revision before the oldest of them.
	history []change
	floor   uint64
	changed chan struct{}
	reached bool
	// began is when the copy was made.
	began time.Time
	// source was read last. Only the goroutine that follows uses it.
	source table.Feed
	// via names the copies through which the rows come, the nearest first.
	via []string
	// helped says that the copy reads another node for want of the store. adrift says that its source has failed and it
	// has found no other one yet, so that nobody should follow it.
	helped bool
	adrift bool
	// hinted is the newest word of another node; news tells of it.
	hinted hint
	news   chan struct{}
}

// hint is another node's word that it has a revision.
type hint struct {
	revision uint64
	from     table.Feed
}

// change is one entry of the history.
type change struct {
	at      uint64
	row     table.Row
	removed bool
}

var _ table.Feed = (*Copy)(nil)

// New returns an empty copy.
func New(cfg Config) *Copy {
	if cfg.Reached == nil {
		cfg.Reached = func(bool) {}
	}
	if cfg.Wait == 0 {
		cfg.Wait = defaultWait
	}
	if cfg.Peer == nil {
		cfg.Peer = func() table.Feed { return nil }
	}
	if cfg.Advanced == nil {
		cfg.Advanced = func(uint64) {}
	}
	if cfg.Origin == nil {
		cfg.Origin = func() Origin { return Origin{Store: true} }
	}
	if cfg.Patience == nil {
		cfg.Patience = func(bool) time.Duration { return 0 }
	}
	return &Copy{began: time.Now(), cfg: cfg, rows: make(map[string]table.Row), changed: make(chan struct{}), reached: true, news: make(chan struct{}, 1)}
}

// Run keeps the copy up to date until ctx ends.
func (c *Copy) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("follow", c.follow)
	g.Go("catch up", c.catchUp)
	if err := g.Wait(); err != nil {
		return errors.Newf("copy of %s: %w", c.cfg.Family, err)
	}
	return nil
}

// Hint says that another node has a revision. If the copy does not reach it by itself soon, it is read from
// that node: the source of this copy may have gone silent.
func (c *Copy) Hint(revision uint64, from table.Feed) {
	c.mu.Lock()
	if revision > c.hinted.revision {
		c.hinted = hint{revision: revision, from: from}
	}
	c.mu.Unlock()
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// catchUp follows hints until ctx ends.
func (c *Copy) catchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.news:
		}
		if !tasks.Sleep(ctx, hintDelay) {
			return nil
		}
		c.mu.Lock()
		h, behind := c.hinted, c.revision < c.hinted.revision
		c.mu.Unlock()
		if !behind {
			continue
		}
		if _, err := c.pull(ctx, h.from, 0); err != nil {
			c.cfg.Log.Info("cannot catch up with another node", "family", c.cfg.Family, "revision", h.revision, "error", err)
		}
	}
}

// pull makes one read from a source and applies it. It returns the copies through which the rows came.
func (c *Copy) pull(ctx context.Context, from table.Feed, wait time.Duration) ([]string, error) {
	margin := peerMargin
	if from == c.cfg.Store {
		margin = readMargin
	}
	c.mu.Lock()
	known, after := c.known, c.revision
	c.mu.Unlock()
	if !known {
		return c.load(ctx, from)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	d, err := from.Changes(callCtx, c.cfg.Family, after, wait)
	if errors.Is(err, table.ErrHistoryLost) {
		c.cfg.Log.Info("history was lost, reading all rows", "family", c.cfg.Family, "revision", after)
		return c.load(ctx, from)
	}
	if err != nil {
		return nil, errors.Newf("read changes of %s: %w", c.cfg.Family, err)
	}
	c.apply(d, after)
	return d.Via, nil
}

// load reads the whole family. A state that is older than the copy is not taken.
func (c *Copy) load(ctx context.Context, from table.Feed) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	s, err := from.Snapshot(ctx, c.cfg.Family)
	if err != nil {
		return nil, errors.Newf("read all rows of %s: %w", c.cfg.Family, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Stale && (c.known || time.Since(c.began) < staleAfter) {
		return nil, errors.Mark(errors.Newf("rows of %s are not up to date: %w", c.cfg.Family, table.ErrUnavailable), ErrNoSource)
	}
	if c.known && s.Revision < c.revision {
		return nil, errors.Newf("rows of %s are from revision %d, older than %d: %w", c.cfg.Family, s.Revision, c.revision, table.ErrUnavailable)
	}
	clear(c.rows)
	for _, r := range s.Rows {
		c.rows[r.Key] = r
	}
	c.known, c.revision = true, s.Revision
	c.history, c.floor = c.history[:0], s.Revision
	c.cfg.Apply(Update{Full: true, Put: s.Rows})
	c.cfg.Advanced(c.revision)
	c.wake()
	return s.Via, nil
}

// apply takes what changed after a revision. Two reads may be answered at the same time: one that is not
// newer than the copy says nothing, and one that is holds the last state of each row that changed.
func (c *Copy) apply(d table.Delta, after uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != after && d.Revision <= c.revision {
		return
	}
	u := Update{}
	for _, r := range d.Changed {
		if old, ok := c.rows[r.Key]; ok && old.Revision >= r.Revision {
			continue
		}
		c.rows[r.Key] = r
		u.Put = append(u.Put, r)
		c.remember(change{at: d.Revision, row: r})
	}
	for _, k := range d.Removed {
		if _, ok := c.rows[k]; !ok {
			continue
		}
		delete(c.rows, k)
		u.Removed = append(u.Removed, k)
		c.remember(change{at: d.Revision, row: table.Row{Key: k}, removed: true})
	}
	c.revision = max(c.revision, d.Revision)
	if len(u.Put)+len(u.Removed) == 0 {
		return
	}
	c.cfg.Apply(u)
	c.cfg.Advanced(c.revision)
	c.wake()
}

// remember adds to the history. Changes of one read have one revision and are forgotten together.
func (c *Copy) remember(x change) {
	c.history = append(c.history, x)
	if len(c.history) <= historyRows {
		return
	}
	c.floor = c.history[historyRows/2].at
	kept := c.history[:0]
	for _, h := range c.history {
		if h.at > c.floor {
			kept = append(kept, h)
		}
	}
	c.history = kept
}

// wake lets those that follow the copy look at it again. The lock must be held.
func (c *Copy) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ComesThrough reports whether the rows come through a copy.
func (c *Copy) ComesThrough(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.via, name)
}

// chain returns the copies through which those that follow this one get their rows. The lock must be held.
func (c *Copy) chain() []string { return append([]string{c.cfg.Self}, c.via...) }

// Revision returns the revision of the copy.
func (c *Copy) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Reached reports whether the copy is kept up to date.
func (c *Copy) Reached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && c.reached
}

// Snapshot implements table.Feed.
func (c *Copy) Snapshot(context.Context, string) (table.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return table.State{}, errors.Mark(table.ErrUnavailable, ErrNoSource)
	}
	s := table.State{
		Revision: c.revision, Rows: make([]table.Row, 0, len(c.rows)), Via: c.chain(), Stale: c.adrift || !c.reached,
	}
	for _, r := range c.rows {
		s.Rows = append(s.Rows, r)
	}
	return s, nil
}

// Changes implements table.Feed. A copy that is not kept up to date cannot be followed; one look at it, without a wait,
// is answered.
func (c *Copy) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (table.Delta, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		d, changed, err := c.since(after, wait > 0)
		if err != nil || len(d.Changed)+len(d.Removed) > 0 {
			return d, err
		}
		select {
		case <-changed:
		case <-t.C:
			// The copy may have ceased to be kept up to date meanwhile.
			d, _, err := c.since(after, wait > 0)
			return d, err
		case <-ctx.Done():
			return table.Delta{}, errors.Mark(errors.Newf("wait for changes: %w", ctx.Err()), table.ErrUnavailable)
		}
	}
}

// since returns the changes after a revision, and a channel that is closed at the next one.
func (c *Copy) since(after uint64, follows bool) (table.Delta, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.known || follows && (c.adrift || !c.reached):
		return table.Delta{}, nil, errors.Mark(table.ErrUnavailable, ErrNoSource)
	case after < c.floor:
		return table.Delta{}, nil, table.ErrHistoryLost
	}
	// A follower may be ahead of this copy; it must not go back.
	d := table.Delta{Revision: max(after, c.revision), Via: c.chain()}
	latest := make(map[string]change)
	for _, h := range c.history {
		if h.at > after {
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
