package budget

import (
	"maps"
	"slices"
	"time"
)

// phase is how far a grant has come at its holder.
type phase int

const (
	asked phase = iota
	held
	used
)

// entry is one ask or grant of a holder.
type entry struct {
	phase    phase
	server   string
	owner    string
	instance string
	until    time.Time
}

// Returned is a release that must reach the owner that gave the grant.
type Returned struct {
	Owner   string
	Server  string
	Release Release
}

// Holder decides about the grants of one process. It is not safe for concurrent use.
type Holder struct {
	id      string
	ttl     time.Duration
	next    uint64
	entries map[uint64]entry
	fences  map[string]uint64
	// unsure are grants that ended without proof. A late copy of their reply must not free them.
	unsure map[uint64]time.Time
}

// unsureMemory is how long a copy of a reply may be delayed. Links that are silent for 3 s are broken.
const unsureMemory = 5 * time.Minute

// NewHolder returns a holder. id must be unique to the process, because it names its grants.
func NewHolder(id string, ttl time.Duration) *Holder {
	return &Holder{id: id, ttl: ttl, entries: make(map[uint64]entry), fences: make(map[string]uint64), unsure: make(map[uint64]time.Time)}
}

// Ask starts an ask to an owner. The validity counts from now, before the ask is sent.
func (h *Holder) Ask(now time.Time, owner, server string, tokens int) Ask {
	h.next++
	h.entries[h.next] = entry{server: server, owner: owner, until: now.Add(h.ttl)}
	return Ask{Key: Key{Holder: h.id, ID: h.next}, Tokens: tokens}
}

// Reply takes the answer to an ask. It returns true when the grant may be used, and otherwise the
// release that the owner must get, if any.
func (h *Holder) Reply(now time.Time, owner, server string, r Reply) (bool, *Returned) {
	e, ok := h.entries[r.Key.ID]
	if r.Key.Holder != h.id {
		return false, nil
	}
	if !ok {
		// The grant was given up, or this is a late copy of a reply. Both are unused.
		if _, unsure := h.unsure[r.Key.ID]; unsure || r.Status != Granted {
			return false, nil
		}
		return false, h.back(owner, server, r.Key.ID, Release{End: Unused})
	}
	if e.phase != asked {
		return false, nil
	}
	if r.Status != Granted {
		delete(h.entries, r.Key.ID)
		return false, nil
	}
	stale := r.Fence < h.fences[server]
	if stale || !now.Before(e.until) {
		delete(h.entries, r.Key.ID)
		return false, h.back(owner, server, r.Key.ID, Release{End: Unused})
	}
	h.fences[server] = r.Fence
	e.phase, e.instance = held, r.Instance
	h.entries[r.Key.ID] = e
	return true, nil
}

// Use is the last check before the send on a connection whose hello named the instance. It allows one
// send.
func (h *Holder) Use(now time.Time, id uint64, instance string) bool {
	e, ok := h.entries[id]
	if !ok || e.phase != held || !now.Before(e.until) || instance != e.instance {
		return false
	}
	e.phase = used
	h.entries[id] = e
	return true
}

// Until returns when the right to use a grant ends.
func (h *Holder) Until(id uint64) time.Time { return h.entries[id].until }

// End ends a grant and returns the release for its owner. A grant that Use has not allowed to be
// sent is unused whatever the release says.
func (h *Holder) End(now time.Time, id uint64, r Release) *Returned {
	e, ok := h.entries[id]
	if !ok {
		return nil
	}
	if e.phase != used {
		r.End = Unused
	}
	if r.End == Unsure {
		h.unsure[id] = now
	}
	delete(h.entries, id)
	return h.back(e.owner, e.server, id, r)
}

// Expire gives up asks without an answer and grants without a use after their validity. The owner may
// have granted them, so each returns a release.
func (h *Holder) Expire(now time.Time) []*Returned {
	var out []*Returned
	maps.DeleteFunc(h.unsure, func(_ uint64, at time.Time) bool { return now.Sub(at) > unsureMemory })
	for _, id := range slices.Sorted(maps.Keys(h.entries)) {
		if e := h.entries[id]; e.phase != used && !now.Before(e.until) {
			out = append(out, h.End(now, id, Release{End: Unused}))
		}
	}
	return out
}

func (h *Holder) back(owner, server string, id uint64, r Release) *Returned {
	r.Key = Key{Holder: h.id, ID: id}
	return &Returned{Owner: owner, Server: server, Release: r}
}
