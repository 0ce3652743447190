package seat

import (
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/pass"
)

// noticeRetention is how long a notice is kept after the registration of its server has ended: during an outage of the
// store, a registration may expire and return.
const noticeRetention = time.Minute

// notice holds what a backend server has requested of this node in response headers.
type notice struct {
	// sender is the server that sent the notice, which does not apply to another process with the same ID.
	sender *index.Entry
	// leaving is set if the server is draining and gets no new requests.
	leaving bool
	// blockedUntil is when the server accepts requests of this node again.
	blockedUntil time.Time
	// lastRegistered is when the server was last seen in the registry or sent a notice.
	lastRegistered time.Time
}

// notices holds the notices by server ID. They are separate from the server records, which are replaced on each change
// of a group, and take precedence over the registry, which lags behind.
type notices map[string]notice

// record stores the notice in a response of a server, if there is one.
func (n notices) record(now time.Time, e *index.Entry, a pass.ResponseInfo) {
	if !a.Draining && a.RetryAfter <= 0 {
		return
	}
	x, ok := n[e.ID]
	if !ok || !x.sender.SameProcess(e.Info) {
		x = notice{sender: e}
	}
	x.leaving = x.leaving || a.Draining
	if until := now.Add(a.RetryAfter); until.After(x.blockedUntil) {
		x.blockedUntil = until
	}
	x.lastRegistered = now
	n[e.ID] = x
}

// blocks reports whether a server must get no new requests now, and when that ends; zero for never.
func (n notices) blocks(now time.Time, e *index.Entry) (bool, time.Time) {
	x, ok := n[e.ID]
	switch {
	case !ok || !x.sender.SameProcess(e.Info):
		return false, time.Time{}
	case x.leaving:
		return true, time.Time{}
	default:
		return now.Before(x.blockedUntil), x.blockedUntil
	}
}

// expire deletes the notices of servers that have been unregistered for noticeRetention.
func (n notices) expire(now time.Time, v *index.View) {
	for id, x := range n {
		if _, ok := v.Servers[id]; ok {
			x.lastRegistered = now
			n[id] = x
		} else if now.Sub(x.lastRegistered) >= noticeRetention {
			delete(n, id)
		}
	}
}
