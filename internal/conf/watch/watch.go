// Package watch decides which configuration version a node has, how old the table's last word on it
// is, and what the node may do with it.
//
// A confirmation is the statement that the table's current version was V at the time T. As versions only go
// up, nothing above V had been accepted by T, so a node whose own version is at least V knows of
// every change that was accepted before T. The confirmation age of the node is the time since the
// youngest such T by its own clock. Confirmations come from own reads, where T is when the read was sent,
// and from peers, where T is the earliest time that the peer's heartbeat allows.
//
// A Watch is a decider and is not safe for concurrent use.
package watch

import (
	"maps"
	"slices"
	"time"
)

// Times of the age rule.
const (
	// Bound is the age up to which a configuration is current.
	Bound = 4 * time.Second
	// OwnReadAfter is the age past which a node reads the table itself.
	OwnReadAfter = 2 * time.Second
	// ReadInterval is the time between reads of the version row.
	ReadInterval = time.Second
	// loadRetry is the time after which a document is asked for elsewhere.
	loadRetry = 500 * time.Millisecond
	// offerWait is how long an offered document is waited for before it is asked for: most are on
	// their way already.
	offerWait = 200 * time.Millisecond
	// NoticeLimit is how long after its notice a commit may take effect. A confirmation from after that
	// shows that the commit did not happen.
	NoticeLimit = 10 * time.Second
	// claimMargin keeps a node out of isolation when the store goes down: its own age runs ahead of
	// what its peers state by the time of a message, and passes Bound first.
	claimMargin = time.Second
)

// maxSources bounds the peers that are remembered as having a wanted version.
const maxSources = 4

// maxNotices bounds the announced commits that are remembered.
const maxNotices = 64

// Mode says what a node may do.
type Mode string

// Modes of a node.
const (
	// Current means that the age is within Bound.
	Current Mode = "current"
	// StoreDown means that the table answers nobody, so that nothing can be accepted: the node goes
	// on with the last configuration.
	StoreDown Mode = "store_down"
	// Isolated means that changes may have been accepted that the node does not know.
	Isolated Mode = "isolated"
)

// Kind is what an Action asks for.
type Kind int

// Kinds of actions.
const (
	// ReadVersion asks for a read of the version row, reported with Read or ReadFailed.
	ReadVersion Kind = iota
	// ReadDocument asks for a read of a version from the table, reported with Loaded or LoadFailed.
	ReadDocument
	// AskDocument asks a peer for a version or a newer one, reported like ReadDocument.
	AskDocument
)

// Action is an order to the shell.
type Action struct {
	Kind    Kind
	Version uint64
	Peer    string
}

// Watch is the decider of one node.
type Watch struct {
	version   uint64
	confirmed time.Time

	// wanted is the highest version heard of that is above the own one, and wantedAsOf the youngest
	// confirmation that needs it.
	wanted     uint64
	wantedAsOf time.Time
	sources    []string
	loading    bool
	loadAt     time.Time
	loads      int

	reading bool
	readAt  time.Time
	refresh bool
	// notices are the commits that were announced to this node and are open.
	notices map[string]notice
	// claimed is the youngest confirmation that a peer has stated, whether or not it could be proved.
	claimed time.Time
}

// notice is a commit that was announced; version 0 stands for one that was withdrawn.
type notice struct {
	version uint64
	at      time.Time
}

// New returns a watch without a version.
func New() *Watch { return &Watch{notices: make(map[string]notice)} }

// Version returns the version in force, 0 for none.
func (w *Watch) Version() uint64 { return w.version }

// Confirmed returns when the table last confirmed the version; zero for never.
func (w *Watch) Confirmed() time.Time { return w.confirmed }

// Wanted returns the highest version heard of that is above the own one, or 0.
func (w *Watch) Wanted() uint64 { return w.wanted }

// confirm takes the statement that the table's version was v at asOf.
func (w *Watch) confirm(asOf time.Time, v uint64) {
	maps.DeleteFunc(w.notices, func(_ string, n notice) bool {
		return v < n.version && asOf.After(n.at.Add(NoticeLimit))
	})
	if v <= w.version {
		if asOf.After(w.confirmed) {
			w.confirmed = asOf
		}
		return
	}
	w.wanted = max(w.wanted, v)
	if asOf.After(w.wantedAsOf) {
		w.wantedAsOf = asOf
	}
}

// Noticed notes that a node is about to commit version v; key names the notice. Until this node has
// the version, or the notice is withdrawn, or a confirmation shows that it was not committed, this node is
// not in store_down, and tells its peers so: a commit that was announced to half of the fleet leaves
// a trace in every majority. It reports false when there are too many notices to remember.
func (w *Watch) Noticed(now time.Time, key string, v uint64) bool {
	if v <= w.version {
		return true
	}
	if _, ok := w.notices[key]; ok {
		return true
	}
	if len(w.notices) >= maxNotices {
		maps.DeleteFunc(w.notices, func(_ string, n notice) bool { return n.version == 0 })
	}
	if len(w.notices) >= maxNotices {
		return false
	}
	w.notices[key] = notice{version: v, at: now}
	return true
}

// Withdrawn notes that an announced commit had no effect. The key stays for a while, because the
// notice may arrive after its withdrawal.
func (w *Watch) Withdrawn(key string) {
	delete(w.notices, key)
	if len(w.notices) < maxNotices {
		w.notices[key] = notice{}
	}
}

// Next returns the highest version above the own one that this node knows to exist or that was
// announced, or 0.
func (w *Watch) Next() uint64 {
	next := w.wanted
	for _, n := range w.notices {
		next = max(next, n.version)
	}
	if next > w.version {
		return next
	}
	return 0
}

// Heard takes the version and the confirmation age in a peer's heartbeat, however late it arrives. An age
// of 0 says that the peer has no confirmation.
func (w *Watch) Heard(now time.Time, from string, v uint64, age time.Duration) {
	if v == 0 {
		return
	}
	if at := now.Add(-age); age > 0 && at.After(w.claimed) {
		w.claimed = at
	}
	w.Offered(now, from, v)
}

// ConfirmedBy takes a proved confirmation of a peer: the table's version was v at asOf.
func (w *Watch) ConfirmedBy(asOf time.Time, v uint64) { w.confirm(asOf, v) }

// Offered notes that a peer has a version.
func (w *Watch) Offered(now time.Time, from string, v uint64) {
	if v <= w.version {
		return
	}
	if v > w.wanted {
		w.wanted = v
		w.sources = nil
		if wait := now.Add(offerWait - loadRetry); wait.After(w.loadAt) {
			w.loadAt = wait
		}
	}
	if v == w.wanted && !slices.Contains(w.sources, from) && len(w.sources) < maxSources {
		w.sources = append(w.sources, from)
	}
}

// Refresh makes the next tick read the version row.
func (w *Watch) Refresh() { w.refresh = true }

// Read takes the answer to a read of the version row that was sent at asOf.
func (w *Watch) Read(asOf time.Time, v uint64) {
	w.reading = false
	w.confirm(asOf, v)
}

// ReadFailed notes that the table did not answer.
func (w *Watch) ReadFailed() { w.reading = false }

// Loaded takes a document of a version and reports whether it has to be put in force. A version that
// is not above the own one never is, whatever the order in which documents arrive.
func (w *Watch) Loaded(v uint64) bool {
	w.loading = false
	if v <= w.version {
		return false
	}
	w.version = v
	maps.DeleteFunc(w.notices, func(_ string, n notice) bool { return n.version <= v })
	if w.wanted <= v {
		if w.wantedAsOf.After(w.confirmed) {
			w.confirmed = w.wantedAsOf
		}
		w.wanted, w.wantedAsOf, w.sources = 0, time.Time{}, nil
		// The next version does not wait for a retry of this one.
		w.loads, w.loadAt = 0, time.Time{}
	}
	return true
}

// LoadFailed notes that a document did not come.
func (w *Watch) LoadFailed() { w.loading = false }

// Tick returns what has to be read or asked for. reader says that this node reads the table for its
// data centre.
func (w *Watch) Tick(now time.Time, reader bool) []Action {
	var out []Action
	if w.wanted > w.version && !w.loading && now.Sub(w.loadAt) >= loadRetry {
		out = append(out, w.load(now))
	}
	due := reader || w.Age(now) > OwnReadAfter
	if !w.reading && (w.refresh || due && now.Sub(w.readAt) >= ReadInterval) {
		w.reading, w.readAt, w.refresh = true, now, false
		out = append(out, Action{Kind: ReadVersion})
	}
	return out
}

// load asks the peers that offered the wanted version in turn, and the table after them.
func (w *Watch) load(now time.Time) Action {
	w.loading, w.loadAt = true, now
	i := w.loads % (len(w.sources) + 1)
	w.loads++
	if i < len(w.sources) {
		return Action{Kind: AskDocument, Version: w.wanted, Peer: w.sources[i]}
	}
	return Action{Kind: ReadDocument, Version: w.wanted}
}

// Age returns the confirmation age, very large when there is no confirmation.
func (w *Watch) Age(now time.Time) time.Duration { return now.Sub(w.confirmed) }

// Mode returns what the node may do while it hears so many nodes of a fleet, itself included, and
// next is the highest version that one of them knows to exist or to have been announced.
func (w *Watch) Mode(now time.Time, heard, size int, next uint64) Mode {
	switch {
	case w.version == 0:
		return Isolated
	case w.Age(now) <= Bound:
		return Current
	case max(next, w.Next()) > w.version, now.Sub(w.claimed) <= Bound-claimMargin:
		// A newer version exists or may, or the table answers a node that this one hears.
		return Isolated
	case 2*heard > size:
		return StoreDown
	default:
		return Isolated
	}
}
