package seat

import (
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/pass"
)

// noticeKept is how long a notice of a server outlives its registration, which may lapse and come back during an outage
// of the store.
const noticeKept = time.Minute

// notice is what a backend server has asked of this node in its answers.
type notice struct {
	// by is the server that asked; another process with the same ID has not.
	by *index.Entry
	// leaving servers get no new work.
	leaving bool
	// until is when the server takes requests of this node again.
	until time.Time
	// seen is when the server was last registered.
	seen time.Time
}

// notices are kept apart from the servers' records, which end with each change of a group, and outlive what the
// registry says, which lags.
type notices map[string]notice

// take notes what an answer of a server says.
func (n notices) take(now time.Time, e *index.Entry, a pass.Answer) {
	if !a.Leaving && a.RetryAfter <= 0 {
		return
	}
	x, ok := n[e.ID]
	if !ok || !x.by.SameLife(e.Info) {
		x = notice{by: e}
	}
	x.leaving = x.leaving || a.Leaving
	if a.RetryAfter > 0 {
		x.until = now.Add(a.RetryAfter)
	}
	x.seen = now
	n[e.ID] = x
}

// forbids reports whether a server gets no new work now, and when it will again; zero for never.
func (n notices) forbids(now time.Time, e *index.Entry) (bool, time.Time) {
	x, ok := n[e.ID]
	switch {
	case !ok || !x.by.SameLife(e.Info):
		return false, time.Time{}
	case x.leaving:
		return true, time.Time{}
	default:
		return now.Before(x.until), x.until
	}
}

// forget drops the notices of servers that have not been registered for long.
func (n notices) forget(now time.Time, v *index.View) {
	for id, x := range n {
		if _, ok := v.Servers[id]; ok {
			x.seen = now
			n[id] = x
		} else if now.Sub(x.seen) >= noticeKept {
			delete(n, id)
		}
	}
}
