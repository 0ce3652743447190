package index

import (
	"time"

	"geraniumhollow/internal/fleet/server"
)

// firstEra is the era of a registry that was never restored.
const firstEra = 1

// readKind tells what the entries of a read of the whole registry are worth.
type readKind int

const (
	// current entries are what their servers last wrote.
	current readKind = iota
	// unknownAge marks the first read of a registry that was restored at some time.
	unknownAge
	// justRestored marks the first read of an era, if the registry was known in the era before.
	justRestored
)

// beginRead records the era of a read of the whole registry, and returns the kind of the read.
func (x *Index) beginRead(now time.Time, era uint64) readKind {
	kind := current
	switch {
	case !x.loaded && era > firstEra:
		kind = unknownAge
	case x.loaded && era > x.era:
		kind = justRestored
		clear(x.restored)
		x.keepExpiredUntil = now.Add(ReregistrationGrace)
	}
	if kind != current {
		x.settledAt = now.Add(x.settleTime())
	}
	x.loaded, x.era = true, max(x.era, era)
	return kind
}

// readEntry applies an entry of a read of the whole registry.
func (x *Index) readEntry(now time.Time, i server.Info, kind readKind) {
	known := x.entries[i.ID]
	unconfirmed := kind == unknownAge
	if kind == justRestored {
		if mayBeOutdated(known, i) {
			x.restored[i.ID] = i
			return
		}
		if known.SameState(i) && !known.Expired {
			return
		}
		unconfirmed = known.Expired || !known.SameProcess(i)
	}
	if x.unchanged(i) {
		return
	}
	x.putEntry(now, i)
	x.entries[i.ID].Unconfirmed = unconfirmed
}

// mayBeOutdated reports whether an entry of a registry that has just been restored may be older than what is known of its
// server. The entry of a server that is not known may be one that was removed.
func mayBeOutdated(known *Entry, i server.Info) bool {
	switch {
	case known == nil:
		return true
	case !i.StartedAt.IsZero() && !known.StartedAt.IsZero() && !i.StartedAt.Equal(known.StartedAt):
		return i.StartedAt.Before(known.StartedAt)
	default:
		return i.RenewalSeq < known.RenewalSeq
	}
}

// unchanged reports whether a server has not written its entry since it was read from a restored registry.
func (x *Index) unchanged(i server.Info) bool {
	old, ok := x.restored[i.ID]
	if e, known := x.entries[i.ID]; !ok && known && e.Unconfirmed {
		old, ok = e.Info, true
	}
	return ok && old.RenewalSeq == i.RenewalSeq && old.SameState(i)
}

// SetAside returns the number of entries of a restored registry that are not used because they may be outdated.
func (x *Index) SetAside() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.restored)
}

// settleTime is how long entries of a restored registry stay there although their servers are gone.
func (x *Index) settleTime() time.Duration {
	return missedHeartbeats*x.heartbeatInterval + ReregistrationGrace
}

// settle uses the remaining entries of a restored registry as they are: their servers have renewed them without a change, as
// the registry would have removed them otherwise. A server that was leaving does not return to service.
func (x *Index) settle(now time.Time) {
	for id, i := range x.restored {
		if e, ok := x.entries[id]; ok && e.Draining && !i.StartedAt.IsZero() && i.SameProcess(e.Info) {
			i.Draining = true
		}
		x.putEntry(now, i)
	}
	for id, e := range x.entries {
		if e.Unconfirmed {
			confirmed := *e
			confirmed.Unconfirmed = false
			x.entries[id] = &confirmed
		}
	}
}
