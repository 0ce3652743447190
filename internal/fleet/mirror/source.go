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

// errWithout is why a copy that finds no node to follow is not kept up to date.
var errWithout = errors.New("no node to follow")

// follow reads from the source of the copy until ctx ends.
func (c *Copy) follow(ctx context.Context) error {
	var s search
	for ctx.Err() == nil {
		if o := c.cfg.Origin(); o.Store {
			s = search{}
			c.followStore(ctx)
		} else {
			c.followNode(ctx, o.Node, &s)
		}
	}
	return nil
}

// search is the state of a copy that looks for a node to follow.
type search struct {
	// distrusted is until when an origin that failed is not followed; lacks says that it has no source itself.
	distrusted time.Time
	lacks      bool
	// since is when the copy was left without a node, storeAt when it reads the store for want of one, and failed how
	// often in a row the store did not answer.
	since   time.Time
	storeAt time.Time
	failed  int
}

// followNode reads once from the node that the copy is to follow, or for a while from another one.
func (c *Copy) followNode(ctx context.Context, node table.Feed, s *search) {
	begun := time.Now()
	if node != nil && begun.After(s.distrusted) {
		err := c.pullFrom(ctx, node, peerWait)
		if err == nil {
			*s = search{}
			c.kept(ctx, begun, min(c.cfg.Pause, nodePause))
			return
		}
		s.lacks = errors.Is(err, ErrNoSource)
		pause := distrust
		if s.lacks {
			pause = retryMax // It may find a source at any moment.
		}
		s.distrusted = time.Now().Add(pause)
		c.cfg.Log.Debug("the node that is followed does not answer", "family", c.cfg.Family, "error", err)
	}
	if c.followPeer(ctx) {
		s.since = time.Time{}
		return
	}
	c.goWithout(ctx, s)
}

// goWithout waits for a node to follow, and reads the store when there has been none for too long.
func (c *Copy) goWithout(ctx context.Context, s *search) {
	now := time.Now()
	if s.since.IsZero() {
		s.since, s.storeAt = now, now.Add(c.cfg.Patience(s.lacks))
	}
	if now.Before(s.storeAt) {
		c.drift()
		if now.Sub(s.since) >= withoutMax {
			c.note(ctx, errWithout)
		}
		tasks.Sleep(ctx, min(retryMin+rand.N(retryMax-retryMin), time.Until(s.storeAt)))
		return
	}
	err := c.pullFrom(ctx, c.cfg.Store, c.cfg.Wait)
	if err == nil {
		s.failed = 0
		c.kept(ctx, now, c.cfg.Pause)
		return
	}
	c.drift()
	c.note(ctx, err)
	pause := min(backoffMin<<s.failed, backoffMax)
	s.storeAt = time.Now().Add(pause/2 + rand.N(pause))
	s.failed = min(s.failed+1, maxDoublings)
}

// maxDoublings is how often the time between reads of the store doubles.
const maxDoublings = 4

// followStore reads once from the store, or for a while from another node if the store does not answer. While another
// node helps, the store is only looked at, so that a silent one does not keep the copy from the rows that the node has.
func (c *Copy) followStore(ctx context.Context) {
	begun := time.Now()
	troubled, wait := c.troubled(), c.cfg.Wait
	if troubled {
		wait = look
	}
	err := c.pullFrom(ctx, c.cfg.Store, wait)
	if err != nil && time.Since(begun) < wait && !troubled {
		// One call was cut or refused; the next one shows whether the store serves this node.
		tasks.Sleep(ctx, retryMin)
		err = c.pullFrom(ctx, c.cfg.Store, wait)
	}
	if err == nil {
		c.setHelped(false)
		c.kept(ctx, begun, c.cfg.Pause)
		return
	}
	if !c.setHelped(true) {
		c.drift()
	}
	if !c.followPeer(ctx) {
		c.drift()
		c.note(ctx, err)
	}
	tasks.Sleep(ctx, retryMin+rand.N(retryMax-retryMin))
}

// troubled reports whether the store is known not to serve this node.
func (c *Copy) troubled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.helped || !c.reached
}

// setHelped notes whether the copy reads another node for want of the store, and returns whether it did before.
func (c *Copy) setHelped(helped bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.helped
	c.helped = helped
	return was
}

// look is the wait of a read that is to be answered at once.
const look = time.Millisecond

// pullFrom makes one read from a source that the copy follows from now on. A copy that got its rows from this one is
// no source. The first read from another source than before is answered at once: those that follow this copy must soon
// know through which copies its rows come.
func (c *Copy) pullFrom(ctx context.Context, from table.Feed, wait time.Duration) error {
	if from != c.source {
		wait = min(wait, look)
	}
	via, err := c.pull(ctx, from, wait)
	if err != nil {
		return err
	}
	c.source = from
	if slices.Contains(via, c.cfg.Self) {
		return errors.Mark(errors.Newf("%s follows this copy: %w", via[0], table.ErrUnavailable), ErrNoSource)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.via, c.adrift = via, false
	return nil
}

// drift notes that the source has failed. Those that follow the copy learn of it at once.
func (c *Copy) drift() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.adrift {
		c.adrift = true
		c.wake()
	}
}

// nodePause is the least time between two reads from another node. Each node between the store and this one adds it.
const nodePause = 20 * time.Millisecond

// kept notes that a read of the copy's own source, which began at a time, was answered, and waits for the next one.
func (c *Copy) kept(ctx context.Context, begun time.Time, pause time.Duration) {
	c.note(ctx, nil)
	tasks.Sleep(ctx, pause-time.Since(begun))
}

// followPeer reads from other nodes until it is time to try the copy's own source again, and reports whether one of
// them answered.
func (c *Copy) followPeer(ctx context.Context) bool {
	until := time.Now().Add(storeRetry)
	answered := false
	for failed := 0; failed < peerTries && ctx.Err() == nil && time.Now().Before(until); {
		peer := c.cfg.Peer()
		if peer == nil {
			return answered
		}
		if err := c.pullFrom(ctx, peer, min(peerWait, time.Until(until))); err != nil {
			c.cfg.Log.Debug("cannot follow another node", "family", c.cfg.Family, "error", err)
			tasks.Sleep(ctx, retryMin)
			failed++
			continue
		}
		answered, failed = true, 0
		c.note(ctx, nil)
	}
	return answered
}

// note tells of the beginning and the end of an outage. Those that follow the copy learn of it at once.
func (c *Copy) note(ctx context.Context, err error) {
	reached := err == nil
	c.mu.Lock()
	was := c.reached
	c.reached = reached
	if was != reached {
		c.wake()
	}
	c.mu.Unlock()
	if reached == was || ctx.Err() != nil {
		return
	}
	if reached {
		c.cfg.Log.Info("rows are kept up to date again", "family", c.cfg.Family, "revision", c.Revision())
	} else {
		c.cfg.Log.Warn("rows are not kept up to date", "family", c.cfg.Family, "revision", c.Revision(), "error", err)
	}
	c.cfg.Reached(reached)
}
