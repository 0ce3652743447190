package mirror

import (
	"context"
	"maps"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// peerRetryDelay is the delay between attempts to read from another node.
const peerRetryDelay = 20 * time.Millisecond

// addKept adds to the first read of a store that was restored the rows that another node keeps.
func (c *Copy) addKept(ctx context.Context, s *table.State) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.PeerWait)
	defer cancel()
	for ctx.Err() == nil {
		if peer := c.cfg.Peer(); peer != nil {
			if known, err := peer.Snapshot(ctx, c.cfg.Family); err == nil {
				c.merge(s, known)
				return
			}
		}
		tasks.Sleep(ctx, peerRetryDelay)
	}
}

// merge adds the rows that another node keeps, or knows from an earlier era.
func (c *Copy) merge(s *table.State, known table.State) {
	index := make(map[string]int, len(s.Rows))
	for i, r := range s.Rows {
		index[r.Key] = i
	}
	for _, r := range known.Rows {
		if r.Revision.Number > 0 && r.Revision.Era >= s.Revision.Era {
			continue
		}
		r.Revision = table.Revision{Era: s.Revision.Era}
		if i, ok := index[r.Key]; !ok && c.cfg.Keep(r, nil) {
			s.Rows = append(s.Rows, r)
		} else if ok && c.cfg.Keep(r, &s.Rows[i]) {
			s.Rows[i] = r
		}
	}
}

// replaceRows replaces the rows by those of a read of all rows, except those that are kept. The lock must be held.
func (c *Copy) replaceRows(s table.State) {
	before, keptBefore := c.rows, c.kept
	restored := c.loaded && s.Revision.Era > c.revision.Era
	c.rows, c.kept = make(map[string]table.Row, len(s.Rows)), make(map[string]time.Time)
	for _, r := range s.Rows {
		c.rows[r.Key] = r
		if r.Revision.Number == 0 {
			c.kept[r.Key] = c.keepMissing(r) // The source keeps it.
		}
	}
	for k, known := range before {
		until, wasKept := keptBefore[k]
		r, ok := c.rows[k]
		switch {
		case !restored && !wasKept:
			continue
		case ok && !c.cfg.Keep(known, &r), !ok && !c.cfg.Keep(known, nil):
			continue
		case ok:
			until = time.Time{}
		case restored || until.IsZero():
			until = c.keepMissing(known)
		}
		known.Revision = table.Revision{Era: s.Revision.Era}
		c.rows[k], c.kept[k] = known, until
	}
}

// keepMissing returns until when a row is kept that the store lacks, or the zero time if it is kept until it is written again.
func (c *Copy) keepMissing(r table.Row) time.Time {
	if !c.cfg.Keep(r, nil) {
		return time.Time{}
	}
	return time.Now().Add(c.cfg.KeepTime)
}

// keeps reports whether a row is kept although the store has another one. The lock must be held.
func (c *Copy) keeps(known, r table.Row) bool {
	_, kept := c.kept[r.Key]
	if !kept || !c.cfg.Keep(known, &r) {
		return false
	}
	c.kept[r.Key] = time.Time{}
	return true
}

// dropKept removes the rows that the store has lacked for Config.KeepTime. Followers remove them by themselves. The time begins
// anew when the copy has not been kept up to date, as nobody may have been able to write the rows again meanwhile.
func (c *Copy) dropKept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, u := time.Now(), Update{}
	maps.DeleteFunc(c.kept, func(k string, until time.Time) bool {
		switch {
		case until.IsZero():
			return false
		case !c.reached:
			c.kept[k] = now.Add(c.cfg.KeepTime)
			return false
		case now.Before(until):
			return false
		}
		delete(c.rows, k)
		u.Removed = append(u.Removed, k)
		return true
	})
	if len(u.Removed) > 0 {
		c.cfg.Apply(u)
	}
}
