package mirror

import (
	"maps"
	"time"

	"geraniumhollow/internal/plat/table"
)

// replaceRows replaces the rows by those of a read of all rows, except those that are kept. The lock must be held.
func (c *Copy) replaceRows(s table.State) {
	before, keptBefore, now := c.rows, c.kept, time.Now()
	restored := c.loaded && s.Revision.Era > c.revision.Era
	c.rows, c.kept = make(map[string]table.Row, len(s.Rows)), make(map[string]time.Time)
	for _, r := range s.Rows {
		c.rows[r.Key] = r
		if r.Revision.Number == 0 {
			c.kept[r.Key] = now.Add(c.cfg.KeepTime) // The source keeps it.
		}
	}
	for k, known := range before {
		until, kept := keptBefore[k]
		if !restored && !kept {
			continue
		}
		r, ok := c.rows[k]
		switch {
		case ok && !c.cfg.Keep(known, &r), !ok && !c.cfg.Keep(known, nil):
			continue
		case ok:
			until = time.Time{}
		case restored || until.IsZero():
			until = now.Add(c.cfg.KeepTime)
		case !now.Before(until):
			continue
		}
		known.Revision = table.Revision{Era: s.Revision.Era}
		c.rows[k], c.kept[k] = known, until
	}
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

// dropKept removes the rows that the store has lacked for Config.KeepTime. Followers remove them by themselves.
func (c *Copy) dropKept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, u := time.Now(), Update{}
	maps.DeleteFunc(c.kept, func(k string, until time.Time) bool {
		if until.IsZero() || now.Before(until) {
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
