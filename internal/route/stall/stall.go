// Package stall decides which backend servers make no progress, from the bytes that their answers bring.
//
// A server that writes for several requests gives each of them an event in each of its passes, so a server
// whose streams are all silent for several passes stands still: a member of its group may be gone, or
// it cannot be reached. That is known long before the registry drops it.
package stall

import (
	"time"
)

// Config shapes a watch.
type Config struct {
	// Silence is how long all streams of a server must be silent before it counts as stalled.
	Silence time.Duration
	// Passes is the same in multiples of the time between events that the server has shown.
	Passes float64
	// Few multiplies the silence for a server with one stream, or with two: one lost packet can silence
	// them.
	Few [2]float64
	// Slack is how much longer than a pass of the server a silence must last.
	Slack time.Duration
	// Hold is how long a stalled server gets no new work unless it makes progress. It doubles with each
	// stall that follows without progress between them, up to MaxHold.
	Hold    time.Duration
	MaxHold time.Duration
}

// DefaultConfig returns the shape in use. Engines that have no prompts to read give three streams or more an event
// within 0.2 s, and callers whose first event is due after 0.25 s are still served in time elsewhere after
// that. The slack covers the way over the network and the time between checks.
func DefaultConfig() Config {
	return Config{
		Silence: 200 * time.Millisecond, Passes: 4, Few: [2]float64{1.5, 1.25}, Slack: 100 * time.Millisecond,
		Hold: 1200 * time.Millisecond, MaxHold: 6 * time.Second,
	}
}

// ID names a stream.
type ID uint64

// smoothing is the weight of each new time between events in the mean of a server.
const smoothing = 0.1

// entry is what is known of one server.
type entry struct {
	streams map[ID]struct{}
	// last is when any of the streams brought bytes, or when the first of them began to write.
	last time.Time
	// gap is the mean time between events of one stream.
	gap     time.Duration
	stalled bool
	// until is when a stalled server may be tried again; hold is how long it was held the last time.
	until time.Time
	hold  time.Duration
}

// Watch watches the servers that a node has streams from. It is not safe for concurrent use.
type Watch struct {
	cfg     Config
	servers map[string]*entry
	last    map[ID]time.Time
	next    ID
}

// New returns a watch without streams.
func New(cfg Config) *Watch {
	return &Watch{cfg: cfg, servers: make(map[string]*entry), last: make(map[ID]time.Time)}
}

// Begin adds a stream that has brought its first bytes.
func (w *Watch) Begin(now time.Time, server string) ID {
	w.next++
	e := w.entry(server)
	e.streams[w.next] = struct{}{}
	e.progress(now)
	w.last[w.next] = now
	return w.next
}

// Progress notes that a stream brought bytes.
func (w *Watch) Progress(now time.Time, server string, id ID) {
	e := w.entry(server)
	if since := now.Sub(w.last[id]); e.gap == 0 {
		e.gap = since
	} else {
		e.gap += time.Duration(smoothing * float64(since-e.gap))
	}
	e.progress(now)
	w.last[id] = now
}

// End removes a stream.
func (w *Watch) End(server string, id ID) {
	delete(w.last, id)
	if e, ok := w.servers[server]; ok {
		delete(e.streams, id)
	}
}

// Forget removes a server.
func (w *Watch) Forget(server string) { delete(w.servers, server) }

// Check returns the servers that have begun to stall. pass returns how long a pass of a server may take with
// the prompts that it has to read, 0 if that is not known.
func (w *Watch) Check(now time.Time, pass func(server string) time.Duration) []string {
	var out []string
	for name, e := range w.servers {
		if e.stalled || len(e.streams) == 0 || now.Sub(e.last) < w.limit(e) || now.Sub(e.last) < pass(name)+w.cfg.Slack {
			continue
		}
		w.stall(now, e)
		out = append(out, name)
	}
	return out
}

// Stalled reports whether a server should get no new work. After the hold, one request at a time tries it.
func (w *Watch) Stalled(now time.Time, server string) bool {
	e, ok := w.servers[server]
	return ok && e.stalled && now.Before(e.until)
}

// Trial says that a request is sent to a server. If the server was stalled, no other one follows until it
// makes progress or is held again.
func (w *Watch) Trial(now time.Time, server string) {
	if e, ok := w.servers[server]; ok && e.stalled {
		e.until = now.Add(max(e.hold, w.cfg.Hold))
	}
}

// Mark says that a server stalls although none of its streams shows it.
func (w *Watch) Mark(now time.Time, server string) {
	w.stall(now, w.entry(server))
}

func (w *Watch) stall(now time.Time, e *entry) {
	e.hold = min(max(w.cfg.Hold, 2*e.hold), w.cfg.MaxHold)
	e.stalled, e.until = true, now.Add(e.hold)
}

func (e *entry) progress(now time.Time) { e.last, e.stalled, e.hold = now, false, 0 }

// Silence returns how long a server may be silent whose passes take up to a time.
func (w *Watch) Silence(server string, pass time.Duration) time.Duration {
	return max(w.limit(w.entry(server)), pass+w.cfg.Slack)
}

func (w *Watch) limit(e *entry) time.Duration {
	limit := max(w.cfg.Silence, time.Duration(w.cfg.Passes*float64(e.gap)))
	if n := max(1, len(e.streams)); n <= len(w.cfg.Few) {
		limit = time.Duration(w.cfg.Few[n-1] * float64(limit))
	}
	return limit
}

func (w *Watch) entry(server string) *entry {
	e, ok := w.servers[server]
	if !ok {
		e = &entry{streams: make(map[ID]struct{})}
		w.servers[server] = e
	}
	return e
}
