package budget

import (
	"maps"
	"slices"
	"time"
)

// phase is the state of a grant at its holder.
type phase int

const (
	asked phase = iota
	held
	used
)

// entry is an ask or grant of a holder.
type entry struct {
	phase      phase
	server     string
	owner      string
	instance   string
	validUntil time.Time
}

// PendingRelease is a release to be sent to the owner that issued the grant.
type PendingRelease struct {
	Owner   string
	Server  string
	Release Release
}

// Holder manages the grants of one process. It is not safe for concurrent use.
type Holder struct {
	id      string
	ttl     time.Duration
	lastID  uint64
	entries map[uint64]entry
	fences  map[string]uint64
	// unsure records when grants ended without proof. A delayed duplicate of their reply must not release them.
	unsure map[uint64]time.Time
}

// unsureRetention is how long these grants are remembered. No duplicate reply is delayed for longer, because
// links that are silent for 3 s count as broken.
const unsureRetention = 5 * time.Minute

// NewHolder returns a holder. id must be unique to the process because it is part of the keys of its grants.
func NewHolder(id string, ttl time.Duration) *Holder {
	return &Holder{id: id, ttl: ttl, entries: make(map[uint64]entry), fences: make(map[string]uint64), unsure: make(map[uint64]time.Time)}
}

// Ask creates an ask for an owner. The validity of the grant starts now, before the ask is sent.
func (h *Holder) Ask(now time.Time, owner, server string, tokens int) Ask {
	h.lastID++
	h.entries[h.lastID] = entry{server: server, owner: owner, validUntil: now.Add(h.ttl)}
	return Ask{Key: Key{Holder: h.id, ID: h.lastID}, Tokens: tokens}
}

// Reply handles the answer to an ask. It returns true if the grant may be used, and otherwise the release to be
// sent to the owner, if any.
func (h *Holder) Reply(now time.Time, owner, server string, r Reply) (bool, *PendingRelease) {
	e, ok := h.entries[r.Key.ID]
	if r.Key.Holder != h.id {
		return false, nil
	}
	if !ok {
		// The grant has been released, or the reply is a delayed duplicate. Both count as unused, except for a
		// grant that ended without proof.
		if _, unsure := h.unsure[r.Key.ID]; unsure || r.Status != Granted {
			return false, nil
		}
		return false, h.newReturned(owner, server, r.Key.ID, Release{End: EndNotStarted})
	}
	if e.phase != asked {
		return false, nil
	}
	if r.Status != Granted {
		delete(h.entries, r.Key.ID)
		return false, nil
	}
	stale := r.Fence < h.fences[server]
	if stale || !now.Before(e.validUntil) {
		delete(h.entries, r.Key.ID)
		return false, h.newReturned(owner, server, r.Key.ID, Release{End: EndNotStarted})
	}
	h.fences[server] = r.Fence
	e.phase, e.instance = held, r.Instance
	h.entries[r.Key.ID] = e
	return true, nil
}

// Use is the final check before a request is sent on a connection whose hello message named the instance. It
// permits one send per grant.
func (h *Holder) Use(now time.Time, id uint64, instance string) bool {
	e, ok := h.entries[id]
	if !ok || e.phase != held || !now.Before(e.validUntil) || instance != e.instance {
		return false
	}
	e.phase = used
	h.entries[id] = e
	return true
}

// Until returns when the validity of a grant ends.
func (h *Holder) Until(id uint64) time.Time { return h.entries[id].validUntil }

// End ends a grant and returns the release for its owner. A grant that Use has not permitted to be sent is
// released as unused, whatever r says.
func (h *Holder) End(now time.Time, id uint64, r Release) *PendingRelease {
	e, ok := h.entries[id]
	if !ok {
		return nil
	}
	if e.phase != used {
		r.End = EndNotStarted
	}
	if r.End == EndUnknown {
		h.unsure[id] = now
	}
	delete(h.entries, id)
	return h.newReturned(e.owner, e.server, id, r)
}

// Expire ends unanswered asks and unused grants whose validity has passed. The owner may have granted the asks,
// so each returns a release.
func (h *Holder) Expire(now time.Time) []*PendingRelease {
	var out []*PendingRelease
	maps.DeleteFunc(h.unsure, func(_ uint64, at time.Time) bool { return now.Sub(at) > unsureRetention })
	for _, id := range slices.Sorted(maps.Keys(h.entries)) {
		if e := h.entries[id]; e.phase != used && !now.Before(e.validUntil) {
			out = append(out, h.End(now, id, Release{End: EndNotStarted}))
		}
	}
	return out
}

func (h *Holder) newReturned(owner, server string, id uint64, r Release) *PendingRelease {
	r.Key = Key{Holder: h.id, ID: id}
	return &PendingRelease{Owner: owner, Server: server, Release: r}
}
