package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// errNoNode is the reason logged when a copy finds no node to follow.
var errNoNode = errors.New("no node to follow")

// follow reads from the copy's source until ctx ends.
func (c *Copy) follow(ctx context.Context) error {
	var s upstreamSearch
	for ctx.Err() == nil {
		if o := c.cfg.Source(); o.Store {
			s = upstreamSearch{}
			c.followStore(ctx)
		} else {
			c.followNode(ctx, o.Node, &s)
		}
	}
	return nil
}

// upstreamSearch is the state of a copy that should follow a node.
type upstreamSearch struct {
	// lostAt is when the origin failed, or the zero time. skipOriginUntil is the time before which it is not followed.
	lostAt          time.Time
	skipOriginUntil time.Time
	// noNodeSince is when the copy was left without a node to follow. readStoreAt is when it reads the store
	// unless it finds a node before, and storeReadDelay the delay before that. storeFailures counts consecutive failures
	// of these reads.
	noNodeSince    time.Time
	readStoreAt    time.Time
	storeReadDelay time.Duration
	storeFailures  int
}

// lose records that the origin failed, unless it is known to.
func (s *upstreamSearch) lose(now time.Time, storeReadDelay time.Duration) {
	if s.lostAt.IsZero() {
		s.lostAt, s.noNodeSince, s.storeReadDelay = now, now, storeReadDelay
		s.readStoreAt = now.Add(storeReadDelay)
	}
}

// followNode reads once from the origin node. If that fails, it reads from another node for up to
// originRetryInterval.
func (c *Copy) followNode(ctx context.Context, node table.Feed, s *upstreamSearch) {
	start := time.Now()
	originHasNoSource := false
	if node != nil && start.After(s.skipOriginUntil) {
		err := c.pullAsSource(ctx, node, peerWait)
		if err == nil {
			*s = upstreamSearch{}
			c.sourceAnswered(ctx, start, min(c.cfg.MinReadInterval, maxNodeReadPause))
			return
		}
		originHasNoSource = errors.Is(err, ErrNoSource)
		pause := failedOriginDelay
		if originHasNoSource {
			pause = retryMax // The node may find a source at any moment.
		}
		s.skipOriginUntil = time.Now().Add(pause)
		c.cfg.Log.Debug("read from the followed node failed", "family", c.cfg.Family, "error", err)
	}
	s.lose(time.Now(), c.cfg.StoreReadDelay(originHasNoSource))
	if c.followPeer(ctx, s.lostAt, s.readStoreAt) {
		s.noNodeSince = time.Now()
		s.readStoreAt = s.noNodeSince.Add(peerWait + s.storeReadDelay)
		return
	}
	c.awaitNode(ctx, s)
}

// awaitNode waits for a node to follow, and reads the store once none has been found for too long.
func (c *Copy) awaitNode(ctx context.Context, s *upstreamSearch) {
	now := time.Now()
	if now.Before(s.readStoreAt) {
		c.markSourceFailed()
		if now.Sub(s.noNodeSince) >= noSourceGrace {
			c.setReached(ctx, errNoNode)
		}
		tasks.Sleep(ctx, min(retryMin+rand.N(retryMax-retryMin), time.Until(s.readStoreAt)))
		return
	}
	err := c.pullAsSource(ctx, c.cfg.Store, c.cfg.StoreWait)
	if err == nil {
		s.storeFailures = 0
		c.sourceAnswered(ctx, now, c.cfg.MinReadInterval)
		return
	}
	c.cfg.Log.Info("reading the store for want of a node to follow failed", "family", c.cfg.Family, "failures", s.storeFailures+1, "error", err)
	c.markSourceFailed()
	c.setReached(ctx, err)
	pause := min(backoffMin<<s.storeFailures, backoffMax)
	s.readStoreAt = time.Now().Add(pause/2 + rand.N(pause))
	s.storeFailures = min(s.storeFailures+1, maxBackoffDoublings)
}

// maxBackoffDoublings bounds the exponential backoff between reads of the store.
const maxBackoffDoublings = 4

// followStore reads once from the store. If the store fails, it reads from another node for up to
// storeRetryInterval. While the store is known to fail, it is read without a wait, so that a store that does
// not answer delays the rows from the other node as little as possible.
func (c *Copy) followStore(ctx context.Context) {
	start := time.Now()
	failing, wait := c.storeFailing(), c.cfg.StoreWait
	if failing {
		wait = pollWait
	}
	err := c.pullAsSource(ctx, c.cfg.Store, wait)
	if err != nil && time.Since(start) < wait && !failing {
		// A single failed call is retried before the copy switches to another node.
		tasks.Sleep(ctx, retryMin)
		err = c.pullAsSource(ctx, c.cfg.Store, wait)
	}
	if err == nil {
		c.storeLostAt = time.Time{}
		c.setUsesPeer(false)
		c.sourceAnswered(ctx, start, c.cfg.MinReadInterval)
		return
	}
	if c.storeLostAt.IsZero() {
		c.storeLostAt = time.Now()
	}
	if !c.setUsesPeer(true) {
		c.markSourceFailed()
	}
	if !c.followPeer(ctx, c.storeLostAt, time.Now().Add(originRetryInterval)) {
		c.markSourceFailed()
		c.setReached(ctx, err)
	}
	tasks.Sleep(ctx, retryMin+rand.N(retryMax-retryMin))
}

// storeFailing reports whether the store is known to be failing.
func (c *Copy) storeFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usesPeer || !c.reached
}

// setUsesPeer records whether the copy reads another node because the store fails. It returns the previous
// value.
func (c *Copy) setUsesPeer(usesPeer bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.usesPeer
	c.usesPeer = usesPeer
	return was
}

// pollWait is the wait of a read that should return at once.
const pollWait = time.Millisecond

// pullAsSource reads once from a feed and makes it the copy's source. It fails if the rows passed through
// this copy, or if the store confirmed them too long ago. The first read from a new source returns at once, because
// followers must soon know which copies their rows pass through.
func (c *Copy) pullAsSource(ctx context.Context, from table.Feed, wait time.Duration) error {
	return c.pullConfirmed(ctx, from, wait, time.Now().Add(-c.maxAge()))
}

// pullConfirmed is like pullAsSource, but fails if the store did not confirm the rows after a given time. It reads again from a
// new source that may still be confirmed.
func (c *Copy) pullConfirmed(ctx context.Context, from table.Feed, wait time.Duration, after time.Time) error {
	isNew := from != c.lastSource
	if isNew {
		if err := c.pullFrom(ctx, from, min(wait, pollWait)); err != nil {
			return err
		}
	}
	if !isNew || !c.confirmedSince(after) {
		if err := c.pullFrom(ctx, from, wait); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmedAt.After(after) {
		return errors.Mark(errors.Newf("the store confirmed the rows of %s %v ago: %w", c.cfg.Family, time.Since(c.confirmedAt), table.ErrUnavailable), ErrNoSource)
	}
	c.sourceFailed = false
	return nil
}

// pullFrom reads once from a feed. It fails if the rows passed through this copy.
func (c *Copy) pullFrom(ctx context.Context, from table.Feed, wait time.Duration) error {
	via, err := c.pull(ctx, from, wait)
	if err != nil {
		return err
	}
	if from != c.lastSource {
		c.cfg.Log.Info("reads rows from another source", "family", c.cfg.Family, "source", sourceName(via), "via", via, "revision", c.Revision(), "age", c.Age())
	}
	c.lastSource = from
	if slices.Contains(via, c.cfg.Name) {
		return errors.Mark(errors.Newf("rows of %s come from this copy: %w", via[0], table.ErrUnavailable), ErrNoSource)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.via = via
	return nil
}

// sourceName returns the name of the source of rows that passed through the given copies.
func sourceName(via []string) string {
	if len(via) == 0 {
		return "store"
	}
	return via[0]
}

// markSourceFailed records that the source has failed, and notifies followers at once.
func (c *Copy) markSourceFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sourceFailed {
		c.sourceFailed = true
		c.notifyFollowers()
	}
}

// maxNodeReadPause bounds Config.MinReadInterval for reads from another node, because every hop between the store and this
// node adds the pause to the delay of a change.
const maxNodeReadPause = 20 * time.Millisecond

// sourceAnswered records a successful read from the copy's own source, and waits until pause has passed since
// its start.
func (c *Copy) sourceAnswered(ctx context.Context, start time.Time, pause time.Duration) {
	c.setReached(ctx, nil)
	tasks.Sleep(ctx, pause-time.Since(start))
}

// followPeer reads from other nodes until the copy's own source is due for a retry, or until a given time. It reports whether
// any of them answered with rows that the store confirmed after lostAt, when the copy's own source failed.
func (c *Copy) followPeer(ctx context.Context, lostAt, until time.Time) bool {
	if latest := time.Now().Add(originRetryInterval); until.After(latest) {
		until = latest
	}
	answered := false
	for failed := 0; failed < maxPeerFailures && ctx.Err() == nil && time.Now().Before(until); {
		peer := c.cfg.Peer()
		if peer == nil {
			return answered
		}
		if err := c.pullConfirmed(ctx, peer, min(peerWait, time.Until(until)), lostAt); err != nil {
			c.cfg.Log.Debug("read from another node failed", "family", c.cfg.Family, "error", err)
			tasks.Sleep(ctx, retryMin)
			failed++
			continue
		}
		answered, failed = true, 0
		c.setReached(ctx, nil)
	}
	return answered
}

// setReached records whether the copy is kept up to date. On a change it notifies followers, logs, and calls
// Config.OnUpToDate.
func (c *Copy) setReached(ctx context.Context, err error) {
	reached := err == nil
	c.mu.Lock()
	was := c.reached
	c.reached = reached
	if was != reached {
		c.notifyFollowers()
	}
	c.mu.Unlock()
	if reached == was || ctx.Err() != nil {
		return
	}
	if reached {
		c.cfg.Log.Info("copy of rows is up to date again", "family", c.cfg.Family, "revision", c.Revision())
	} else {
		c.cfg.Log.Warn("copy of rows is no longer kept up to date", "family", c.cfg.Family, "revision", c.Revision(), "error", err)
	}
	c.cfg.OnUpToDate(reached)
}
