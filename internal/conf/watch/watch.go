// Package watch tracks the configuration version of a node and the time since it was last confirmed by the
// table, which stores the accepted versions. It decides from them what the node may do.
//
// A confirmation states that the current version in the table was V at time T. Versions only increase, so no
// version above V had been accepted by T, and a node that has version V or a later one has every change that
// was accepted before T. The confirmation age of a node is the time since the latest such T by its own clock.
// Confirmations come from the node's own reads, where T is the time at which the read was sent, and from
// peers, where T is the earliest time that the peer's heartbeat allows. A peer's confirmation is proved only
// if its heartbeat echoes one of this node's own, because the time at which the peer sent its heartbeat is
// not known otherwise.
//
// A Tracker does no I/O: the caller performs the actions that Tick returns and reports their results. It is not
// safe for concurrent use.
package watch

import (
	"maps"
	"slices"
	"time"
)

// Limits on the confirmation age, and intervals of reads and loads.
const (
	// MaxCurrentAge is the largest confirmation age at which a node is in mode Current.
	MaxCurrentAge = 4 * time.Second
	// DirectReadAge is the confirmation age above which a node reads the table itself, even if it is not the
	// reader of its data centre.
	DirectReadAge = 2 * time.Second
	// ReadInterval is the shortest time between two reads of the version row, unless RequestRead requests one.
	ReadInterval = time.Second
	// loadRetryInterval is the time between two attempts to load a document. Attempts rotate through the
	// sources.
	loadRetryInterval = 500 * time.Millisecond
	// offerGracePeriod is the delay before the first attempt to load a version that a peer offers. Most
	// documents arrive in that time without a request.
	offerGracePeriod = 200 * time.Millisecond
	// MaxCommitDelay is the longest time between the notice of a commit and its effect. A confirmation of an
	// older version from after that time shows that the commit did not happen.
	MaxCommitDelay = 10 * time.Second
	// reportedAgeMargin is subtracted from MaxCurrentAge for the ages that peers report. A reported age lags behind
	// by the message delay, so when the table fails, the node's own age exceeds MaxCurrentAge first. Without the
	// margin the node would be isolated until the reported age exceeds MaxCurrentAge as well.
	reportedAgeMargin = time.Second
)

// maxOfferingPeers is the largest number of peers to load a version from.
const maxOfferingPeers = 4

// maxNotices is the largest number of announced commits that are stored, including withdrawn ones.
const maxNotices = 64

// Mode determines what a node may do.
type Mode string

// Modes of a node.
const (
	// Current means that the confirmation age is at most MaxCurrentAge.
	Current Mode = "current"
	// StoreDown means that the table answers no node, so that no change can be accepted. The node continues
	// with its last configuration.
	StoreDown Mode = "store_down"
	// Isolated means that changes may have been accepted that the node does not know of.
	Isolated Mode = "isolated"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ReadVersion reads the version row. The result is reported with VersionRead or VersionReadFailed.
	ReadVersion ActionKind = iota
	// ReadDocument reads the document of a version from the table. The result is reported with DocumentLoaded or
	// DocumentLoadFailed.
	ReadDocument
	// RequestDocument requests the document of a version from a peer, which may send that of a newer version. The
	// result is reported with DocumentLoaded or DocumentLoadFailed.
	RequestDocument
)

// Action is an operation that the caller of Tick must perform.
type Action struct {
	Kind    ActionKind
	Version uint64
	Peer    string
}

// Tracker is the state of one node.
type Tracker struct {
	version   uint64
	confirmed time.Time

	// wantedVersion is the highest version above the node's own that it has learned of. wantedConfirmed is the
	// time of the latest confirmation of a version above the node's own; it counts once the wanted version is
	// loaded.
	wantedVersion   uint64
	wantedConfirmed time.Time
	offeringPeers   []string
	loadPending     bool
	lastLoadAt      time.Time
	loadAttempts    int

	readPending      bool
	lastReadAt       time.Time
	refreshRequested bool
	// notices are the commits that were announced to this node and whose outcome is not known, and withdrawn
	// ones, by key.
	notices map[string]notice
	// reportedConfirmed is the time of the latest confirmation that a peer reported, including those that
	// could not be proved.
	reportedConfirmed time.Time
}

// notice is an announced commit. Its version is 0 if the commit was withdrawn.
type notice struct {
	version     uint64
	announcedAt time.Time
}

// New returns the Tracker of a node that has no version yet.
func New() *Tracker { return &Tracker{notices: make(map[string]notice)} }

// Version returns the version that the node has, or 0 if it has none.
func (w *Tracker) Version() uint64 { return w.version }

// Confirmed returns the time of the latest confirmation, or the zero time if there was none.
func (w *Tracker) Confirmed() time.Time { return w.confirmed }

// WantedVersion returns the highest version above the node's own that it has learned of, or 0 if there is none.
func (w *Tracker) WantedVersion() uint64 { return w.wantedVersion }

// confirm records that the current version in the table was v at asOf.
func (w *Tracker) confirm(asOf time.Time, v uint64) {
	maps.DeleteFunc(w.notices, func(_ string, n notice) bool {
		return v < n.version && asOf.After(n.announcedAt.Add(MaxCommitDelay))
	})
	if v <= w.version {
		if asOf.After(w.confirmed) {
			w.confirmed = asOf
		}
		return
	}
	w.wantedVersion = max(w.wantedVersion, v)
	if asOf.After(w.wantedConfirmed) {
		w.wantedConfirmed = asOf
	}
}

// CommitAnnounced records that a node is about to commit version v; key identifies the notice. This node does not
// enter StoreDown, and reports the version to its peers, until it has the version, the notice is withdrawn or
// a confirmation shows that the commit did not happen. A commit is announced to half of the fleet, so every
// majority includes a node that knows of it. CommitAnnounced returns false if maxNotices other notices are open.
func (w *Tracker) CommitAnnounced(now time.Time, key string, v uint64) bool {
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
	w.notices[key] = notice{version: v, announcedAt: now}
	return true
}

// CommitWithdrawn records that an announced commit had no effect. The key is kept until space is needed or a newer
// version is loaded, because the notice may arrive after its withdrawal.
func (w *Tracker) CommitWithdrawn(key string) {
	delete(w.notices, key)
	if len(w.notices) < maxNotices {
		w.notices[key] = notice{}
	}
}

// HighestKnown returns the highest version above the node's own that is known to exist or was announced, or 0 if
// there is none.
func (w *Tracker) HighestKnown() uint64 {
	highest := w.wantedVersion
	for _, n := range w.notices {
		highest = max(highest, n.version)
	}
	if highest > w.version {
		return highest
	}
	return 0
}

// HeartbeatReceived processes the version and the confirmation age in a peer's heartbeat, which may arrive late. An age
// of 0 means that the peer has no confirmation.
func (w *Tracker) HeartbeatReceived(now time.Time, from string, v uint64, age time.Duration) {
	if v == 0 {
		return
	}
	if reportedAt := now.Add(-age); age > 0 && reportedAt.After(w.reportedConfirmed) {
		w.reportedConfirmed = reportedAt
	}
	w.VersionOffered(now, from, v)
}

// PeerConfirmed processes a proved confirmation from a peer: the current version in the table was v at asOf.
func (w *Tracker) PeerConfirmed(asOf time.Time, v uint64) { w.confirm(asOf, v) }

// VersionOffered records that a peer has version v.
func (w *Tracker) VersionOffered(now time.Time, from string, v uint64) {
	if v <= w.version {
		return
	}
	if v > w.wantedVersion {
		w.wantedVersion = v
		w.offeringPeers = nil
		// Prevents a load of the new version before the end of offerGracePeriod.
		if backdated := now.Add(offerGracePeriod - loadRetryInterval); backdated.After(w.lastLoadAt) {
			w.lastLoadAt = backdated
		}
	}
	if v == w.wantedVersion && !slices.Contains(w.offeringPeers, from) && len(w.offeringPeers) < maxOfferingPeers {
		w.offeringPeers = append(w.offeringPeers, from)
	}
}

// RequestRead requests a read of the version row by the next Tick, or by the first one after a pending read.
func (w *Tracker) RequestRead() { w.refreshRequested = true }

// VersionRead processes the response to a read of the version row that was sent at asOf.
func (w *Tracker) VersionRead(asOf time.Time, v uint64) {
	w.readPending = false
	w.confirm(asOf, v)
}

// VersionReadFailed records that a read of the version row failed.
func (w *Tracker) VersionReadFailed() { w.readPending = false }

// DocumentLoaded processes the arrival of the document of version v and reports whether the node must apply it.
// Documents may arrive in any order, so the node ignores those that are not above its own version.
func (w *Tracker) DocumentLoaded(v uint64) bool {
	w.loadPending = false
	if v <= w.version {
		return false
	}
	w.version = v
	maps.DeleteFunc(w.notices, func(_ string, n notice) bool { return n.version <= v })
	if w.wantedVersion <= v {
		if w.wantedConfirmed.After(w.confirmed) {
			w.confirmed = w.wantedConfirmed
		}
		w.wantedVersion, w.wantedConfirmed, w.offeringPeers = 0, time.Time{}, nil
		// The retry interval of this version must not delay the load of the next one.
		w.loadAttempts, w.lastLoadAt = 0, time.Time{}
	}
	return true
}

// DocumentLoadFailed records that loading a document failed.
func (w *Tracker) DocumentLoadFailed() { w.loadPending = false }

// Tick returns the reads and requests to perform now. readsTable is true if this node reads the table for its
// data centre.
func (w *Tracker) Tick(now time.Time, readsTable bool) []Action {
	var actions []Action
	if w.wantedVersion > w.version && !w.loadPending && now.Sub(w.lastLoadAt) >= loadRetryInterval {
		actions = append(actions, w.load(now))
	}
	due := readsTable || w.Age(now) > DirectReadAge
	if !w.readPending && (w.refreshRequested || due && now.Sub(w.lastReadAt) >= ReadInterval) {
		w.readPending, w.lastReadAt, w.refreshRequested = true, now, false
		actions = append(actions, Action{Kind: ReadVersion})
	}
	return actions
}

// load returns the next attempt to load the wanted version. Attempts rotate through the peers that offered
// the version and then the table.
func (w *Tracker) load(now time.Time) Action {
	w.loadPending, w.lastLoadAt = true, now
	i := w.loadAttempts % (len(w.offeringPeers) + 1)
	w.loadAttempts++
	if i < len(w.offeringPeers) {
		return Action{Kind: RequestDocument, Version: w.wantedVersion, Peer: w.offeringPeers[i]}
	}
	return Action{Kind: ReadDocument, Version: w.wantedVersion}
}

// Age returns the confirmation age. It is very large if there was no confirmation.
func (w *Tracker) Age(now time.Time) time.Duration { return now.Sub(w.confirmed) }

// Mode returns the mode of the node. reachable is the number of reachable nodes, including this one, and
// fleetSize the number of all nodes. highestKnown is the highest version that a reachable node knows to exist
// or to be announced.
func (w *Tracker) Mode(now time.Time, reachable, fleetSize int, highestKnown uint64) Mode {
	switch {
	case w.version == 0:
		return Isolated
	case w.Age(now) <= MaxCurrentAge:
		return Current
	case max(highestKnown, w.HighestKnown()) > w.version, now.Sub(w.reportedConfirmed) <= MaxCurrentAge-reportedAgeMargin:
		// A newer version exists or may exist, or the table still answers a peer.
		return Isolated
	case 2*reachable > fleetSize:
		return StoreDown
	default:
		return Isolated
	}
}
