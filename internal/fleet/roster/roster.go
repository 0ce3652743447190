// Package roster tracks the membership of the fleet: which nodes exist, which of them are heard, and which
// neighbours a node exchanges messages with.
//
// The platform's host list says which nodes exist, but it lags. Heartbeats show which of them are heard. A
// Roster does no I/O: it takes events and the time, and returns what to send. It is not safe for concurrent
// use.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plat/hosts"
)

// Timeouts and intervals.
const (
	// HeartbeatInterval is the time between heartbeats to a neighbour.
	HeartbeatInterval = time.Second
	// SuspectTimeout is the silence after which a neighbour is probed through other nodes.
	SuspectTimeout = 3 * time.Second
	// UnreachableTimeout is the silence after which a neighbour is suspected even if other nodes reach it:
	// this node can't exchange messages with it.
	UnreachableTimeout = 6 * time.Second
	// EchoTimeout bounds the age of this node's latest heartbeat that a neighbour has echoed. A neighbour
	// with an older echo does not count as heard, because messages to it are being lost. On a link without
	// faults an echo is up to 2 s old.
	EchoTimeout = 4 * time.Second
	// probeInterval is the time between probe rounds for one node.
	probeInterval = time.Second
	// pauseThreshold is the time between ticks above which this node counts as having been paused.
	pauseThreshold = time.Second
	// earlyHeartbeatGap is how much newer a confirmation must be for a heartbeat to be sent early, and the
	// minimum time since the last heartbeat. Confirmations then cross the tree in one sweep instead of
	// waiting up to 1 s in each node. At 500 ms the readers of several data centres cause a fifth more
	// traffic and save no read of the table.
	earlyHeartbeatGap = 800 * time.Millisecond
	// droppedRetention is how long the removal of a host from the list is remembered.
	droppedRetention = 10 * time.Minute
)

// minReportedAge is the minimum age in a heartbeat; 0 means no confirmation.
const minReportedAge = time.Millisecond

// ProbersPerRound is the maximum number of nodes that are asked whether they reach a silent one.
const ProbersPerRound = 2

// sentTimesKept is the number of heartbeats per neighbour whose send times are kept.
const sentTimesKept = 16

// State is the state of a member.
type State string

// Member states. A node that has left the fleet has no entry.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
)

// Member describes one node of the fleet.
type Member struct {
	Node        string
	DataCentre  string
	Address     string
	Incarnation string
	State       State
	// Drain is the drain state in the node's last heartbeat.
	Drain string
	// Version is the configuration version in the node's last heartbeat.
	Version uint64
}

// Heartbeat is a heartbeat, sent or received.
type Heartbeat struct {
	// Seq numbers the sender's heartbeats to the recipient.
	Seq int
	// Echo is the Seq of the last heartbeat that the sender received from the recipient, or 0 for none. Hold is
	// the time since it arrived.
	Echo int
	Hold time.Duration
	// Relation is the role of the recipient relative to the sender.
	Relation Relation
	// Version is the sender's configuration version.
	Version uint64
	// Age is the time since the version was confirmed; 0 means that the sender has no confirmation.
	Age   time.Duration
	Drain string
	// Heard is the number of nodes heard in the sender's subtree, sent to a parent or another root. Fleet is the
	// number heard in the whole fleet, sent to a child.
	Heard int
	Fleet int
	// HighestKnown is the highest version that the sender, or a node beyond it in the tree, has been told of but does
	// not have.
	HighestKnown uint64
}

// LocalState is the state that a node reports in its heartbeats.
type LocalState struct {
	Version uint64
	// Confirmed is when the table last confirmed the version; the zero time for never.
	Confirmed time.Time
	Drain     string
	// HighestKnown is the highest version that the node has been told of but does not have, or 0.
	HighestKnown uint64
}

// OutgoingHeartbeat requests that a heartbeat be sent.
type OutgoingHeartbeat struct {
	To        string
	Heartbeat Heartbeat
}

// ProbeRequest requests that the nodes in Via be asked whether they reach Node. The caller reports the result with
// ProbeDone.
type ProbeRequest struct {
	Node string
	Via  []string
}

// member is the state kept for a node.
type member struct {
	host        hosts.Host
	incarnation string
	// lastHeard is when the last heartbeat arrived. expectedSince is when this node began to expect
	// heartbeats.
	lastHeard     time.Time
	expectedSince time.Time
	lastBeat      Heartbeat
	suspect       bool
	lastProbe     time.Time
	probing       bool

	lastSeq int
	// sentAt is allocated with the first heartbeat: in a large fleet most nodes are not neighbours.
	sentAt        *[sentTimesKept]time.Time
	lastSent      time.Time
	sentConfirmed time.Time
	echoedSentAt  time.Time
	sendDue       bool
}

// Roster is the membership state machine of one node.
type Roster struct {
	self      NodeInfo
	firstSeq  int
	members   map[string]*member
	droppedAt map[string]time.Time
	topology  *Topology
	lastTick  time.Time
	resumedAt time.Time

	// fullNeighbours ignores suspicion; liveNeighbours excludes suspects and is recomputed when
	// neighboursStale is set.
	fullNeighbours  map[string]Relation
	liveNeighbours  map[string]Relation
	neighboursStale bool
}

// New returns a roster that contains only this node. Its heartbeats are numbered from firstSeq, which must
// differ between incarnations so that an echo of an earlier incarnation's heartbeat is not mistaken for an
// echo of one from this incarnation.
func New(self NodeInfo, firstSeq int, now time.Time) *Roster {
	r := &Roster{
		self: self, firstSeq: firstSeq, members: make(map[string]*member), droppedAt: make(map[string]time.Time), lastTick: now, resumedAt: now,
	}
	r.rebuildTopology()
	return r
}

// SetHosts applies a new read of the platform's host list. It returns the names of the nodes that are no longer
// listed.
func (r *Roster) SetHosts(now time.Time, list []hosts.Host) []string {
	listed := sets.New[string]()
	changed := false
	for _, h := range list {
		if h.Kind != hosts.Entry || h.Name == r.self.Node {
			continue
		}
		listed.Add(h.Name)
		m, ok := r.members[h.Name]
		if !ok {
			m = &member{expectedSince: now, lastSeq: r.firstSeq}
			r.members[h.Name] = m
			delete(r.droppedAt, h.Name)
		}
		changed = changed || !ok || m.host.DataCentre != h.DataCentre
		m.host = h
	}
	var removed []string
	for name := range r.members {
		if !listed.Has(name) {
			delete(r.members, name)
			r.droppedAt[name] = now
			removed = append(removed, name)
		}
	}
	maps.DeleteFunc(r.droppedAt, func(_ string, at time.Time) bool { return now.Sub(at) > droppedRetention })
	if changed || len(removed) > 0 {
		r.rebuildTopology()
	}
	slices.Sort(removed)
	return removed
}

// rebuildTopology recomputes the topology from the members.
func (r *Roster) rebuildTopology() {
	places := append(make([]NodeInfo, 0, r.Size()), r.self)
	for name, m := range r.members {
		places = append(places, NodeInfo{Node: name, DataCentre: m.host.DataCentre})
	}
	r.topology = NewTopology(places)
	r.fullNeighbours = r.topology.Neighbours(r.self.Node, nil)
	r.neighboursStale = true
}

// suspects returns the nodes that are excluded from the topology.
func (r *Roster) suspects() sets.Set[string] {
	out := sets.New[string]()
	for name, m := range r.members {
		if m.suspect {
			out.Add(name)
		}
	}
	return out
}

// neighbours returns the neighbours when suspects are excluded.
func (r *Roster) neighbours() map[string]Relation {
	if r.neighboursStale {
		r.liveNeighbours = r.topology.Neighbours(r.self.Node, r.suspects())
		r.neighboursStale = false
	}
	return r.liveNeighbours
}

// AcceptIncarnation reports whether messages of a node's incarnation are accepted. A newer incarnation resets the
// state kept for the node, and an older one is rejected. Incarnations are compared as strings.
func (r *Roster) AcceptIncarnation(now time.Time, node, incarnation string) bool {
	m, ok := r.members[node]
	if !ok {
		// The list lags: a new node may be heard before it is listed.
		return true
	}
	if incarnation < m.incarnation {
		return false
	}
	if incarnation > m.incarnation {
		*m = member{host: m.host, incarnation: incarnation, expectedSince: now, lastSeq: m.lastSeq, sentAt: m.sentAt}
		r.neighboursStale = true
	}
	return true
}

// LinkEstablished records a new link to a node, which is sent a heartbeat at the next tick.
func (r *Roster) LinkEstablished(node string) {
	if m, ok := r.members[node]; ok {
		m.sendDue = true
	}
}

// HeartbeatReceived processes a heartbeat. It returns the earliest time, by this node's clock, at which the table can
// have confirmed the reported version. The time is known only if the heartbeat echoes one from this node: it
// was sent no earlier than that one plus the time that the sender held it. A delayed message thus counts as
// old, without synchronised clocks.
func (r *Roster) HeartbeatReceived(now time.Time, from string, b Heartbeat) (time.Time, bool) {
	m, ok := r.members[from]
	if !ok {
		return time.Time{}, false
	}
	if b.Seq > m.lastBeat.Seq {
		m.lastBeat = b
		m.lastHeard = now
	}
	// The first heartbeat on a link is answered at once, which gives its sender a first echo.
	m.sendDue = m.sendDue || b.Echo == 0
	if m.suspect {
		m.suspect = false
		r.neighboursStale = true
	}
	sent, ok := m.sentTime(b.Echo)
	if !ok {
		return time.Time{}, false
	}
	if sent.After(m.echoedSentAt) {
		m.echoedSentAt = sent
	}
	if b.Version == 0 || b.Hold < 0 || b.Age <= 0 {
		return time.Time{}, false
	}
	return sent.Add(b.Hold - b.Age), true
}

// sentTime returns when this node's heartbeat with the given number was sent.
func (m *member) sentTime(seq int) (time.Time, bool) {
	if m.sentAt == nil || seq <= 0 || seq > m.lastSeq || seq <= m.lastSeq-sentTimesKept {
		return time.Time{}, false
	}
	at := m.sentAt[seq%sentTimesKept]
	return at, !at.IsZero()
}

// ProbeDone processes the result of a ProbeRequest: whether any of the asked nodes reaches the silent one.
func (r *Roster) ProbeDone(now time.Time, node string, reached bool) {
	m, ok := r.members[node]
	if !ok {
		return
	}
	m.probing = false
	if !reached && r.silentFor(now, m) >= SuspectTimeout {
		r.setSuspect(m)
	}
}

func (r *Roster) setSuspect(m *member) {
	m.suspect = true
	r.neighboursStale = true
}

// silentFor returns how long a node has been silent: the time since it was last heard or first expected, or
// since this node's last pause ended.
func (r *Roster) silentFor(now time.Time, m *member) time.Duration {
	since := m.expectedSince
	for _, t := range []time.Time{m.lastHeard, r.resumedAt} {
		if t.After(since) {
			since = t
		}
	}
	return now.Sub(since)
}

// Tick returns the heartbeats and probes that are due. The caller calls it several times a second, and at
// once after a heartbeat with a newer confirmation.
func (r *Roster) Tick(now time.Time, own LocalState) ([]OutgoingHeartbeat, []ProbeRequest) {
	if now.Sub(r.lastTick) > pauseThreshold {
		// This node was paused, so it could not have heard anything.
		r.resumedAt = now
	}
	r.lastTick = now
	probes := r.dueProbes(now)
	var sends []OutgoingHeartbeat
	heard, fleet := r.heardCounts(now)
	targets := r.heartbeatTargets(now)
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		rel, m := targets[name], r.members[name]
		if !m.heartbeatDue(now, own.Confirmed) {
			continue
		}
		sends = append(sends, OutgoingHeartbeat{To: name, Heartbeat: m.nextHeartbeat(now, own, rel, heard, fleet, r.announcedVersionFor(now, own.HighestKnown, rel))})
	}
	return sends, probes
}

// heartbeatTargets returns the neighbours, and the nodes that have this one as a neighbour.
func (r *Roster) heartbeatTargets(now time.Time) map[string]Relation {
	targets := maps.Clone(r.neighbours())
	for name, rel := range r.fullNeighbours {
		if _, ok := targets[name]; !ok {
			targets[name] = rel
		}
	}
	for name, m := range r.members {
		if _, ok := targets[name]; !ok && !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < SuspectTimeout {
			targets[name] = m.lastBeat.Relation.Inverse()
		}
	}
	return targets
}

// heartbeatDue reports whether a heartbeat to the member is due.
func (m *member) heartbeatDue(now, confirmed time.Time) bool {
	since := now.Sub(m.lastSent)
	switch {
	case m.sendDue || since >= HeartbeatInterval:
		return true
	default:
		return since >= earlyHeartbeatGap && confirmed.Sub(m.sentConfirmed) >= earlyHeartbeatGap
	}
}

// nextHeartbeat returns the next heartbeat to the member.
func (m *member) nextHeartbeat(now time.Time, own LocalState, rel Relation, heard, fleet int, next uint64) Heartbeat {
	if m.sentAt == nil {
		m.sentAt = new([sentTimesKept]time.Time)
	}
	m.lastSeq++
	m.sentAt[m.lastSeq%sentTimesKept] = now
	m.lastSent = now
	m.sentConfirmed = own.Confirmed
	m.sendDue = false
	b := Heartbeat{Seq: m.lastSeq, Relation: rel, Version: own.Version, Drain: own.Drain, HighestKnown: next}
	if m.lastBeat.Seq > 0 {
		b.Echo, b.Hold = m.lastBeat.Seq, now.Sub(m.lastHeard)
	}
	if !own.Confirmed.IsZero() {
		b.Age = max(now.Sub(own.Confirmed), minReportedAge)
	}
	switch rel {
	case Parent, Root:
		b.Heard = heard
	case Child:
		b.Fleet = fleet
	case Mesh:
	}
	return b
}

// dueProbes returns the probe rounds that are due. It suspects nodes that are silent for UnreachableTimeout,
// and silent ones that no other node can probe.
func (r *Roster) dueProbes(now time.Time) []ProbeRequest {
	var out []ProbeRequest
	for _, name := range slices.Sorted(maps.Keys(r.neighbours())) {
		m := r.members[name]
		silence := r.silentFor(now, m)
		if m.suspect || silence < SuspectTimeout {
			continue
		}
		if silence >= UnreachableTimeout {
			r.setSuspect(m)
			continue
		}
		if m.probing || now.Sub(m.lastProbe) < probeInterval {
			continue
		}
		via := r.selectProbers(now, name)
		if len(via) == 0 {
			r.setSuspect(m)
			continue
		}
		m.probing, m.lastProbe = true, now
		out = append(out, ProbeRequest{Node: name, Via: via})
	}
	return out
}

// selectProbers returns the nodes to ask about a silent one, most recently heard first.
func (r *Roster) selectProbers(now time.Time, silent string) []string {
	var names []string
	for name, m := range r.members {
		if name != silent && !m.suspect && now.Sub(m.lastHeard) < SuspectTimeout {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(r.members[b].lastHeard.Compare(r.members[a].lastHeard), cmp.Compare(a, b))
	})
	return names[:min(len(names), ProbersPerRound)]
}

// HearsBothWays reports whether a node's heartbeats arrive and it has recently echoed one from this node.
func (r *Roster) HearsBothWays(now time.Time, node string) bool {
	m, ok := r.members[node]
	return ok && m.isHeard(now)
}

// HearsFrom reports whether a node's heartbeats arrive.
func (r *Roster) HearsFrom(now time.Time, node string) bool {
	m, ok := r.members[node]
	return ok && !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < SuspectTimeout
}

// isHeard reports whether a node counts as heard. Unlike suspicion it does not allow for a pause of this
// node, because the count decides whether a change may be accepted.
func (m *member) isHeard(now time.Time) bool {
	return !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < SuspectTimeout && now.Sub(m.echoedSentAt) < EchoTimeout
}

// heardCounts returns the number of nodes heard in this node's subtree and in the whole fleet, including this
// node.
func (r *Roster) heardCounts(now time.Time) (int, int) {
	subtree, otherTrees, fromParent := 1, 0, 0
	for _, m := range r.members {
		if !m.isHeard(now) {
			continue
		}
		// The relation in a heartbeat is this node's role relative to the sender: with Parent, the sender is a
		// child of this node.
		switch m.lastBeat.Relation {
		case Mesh:
			subtree++
		case Parent:
			subtree += max(m.lastBeat.Heard, 0)
		case Root:
			otherTrees += max(m.lastBeat.Heard, 0)
		case Child:
			fromParent = max(fromParent, m.lastBeat.Fleet)
		}
	}
	// A node that has just changed its parent is counted under both for up to SuspectTimeout.
	size := r.Size()
	return min(subtree, size), min(max(subtree+otherTrees, fromParent), size)
}

// HighestKnown returns the highest version that any node heard by this one has been told of but does not have.
func (r *Roster) HighestKnown(now time.Time) uint64 {
	next := uint64(0)
	for _, m := range r.members {
		if m.isHeard(now) {
			next = max(next, m.lastBeat.HighestKnown)
		}
	}
	return next
}

// announcedVersionFor returns the version to announce to a neighbour: this node's own and, along the tree,
// those announced by nodes that the neighbour reaches only through this one, as with the counts in heartbeats.
func (r *Roster) announcedVersionFor(now time.Time, own uint64, to Relation) uint64 {
	next := own
	for _, m := range r.members {
		if !m.isHeard(now) {
			continue
		}
		// The relation in a heartbeat is this node's role relative to the sender, as in heardCounts.
		if from := m.lastBeat.Relation; from == Parent || (to == Child && (from == Child || from == Root)) {
			next = max(next, m.lastBeat.HighestKnown)
		}
	}
	return next
}

// HeardCount returns the number of nodes heard in the fleet, including this node.
func (r *Roster) HeardCount(now time.Time) int {
	_, fleet := r.heardCounts(now)
	return fleet
}

// SuspectCount returns the number of suspects that had been heard before.
func (r *Roster) SuspectCount() int {
	n := 0
	for _, m := range r.members {
		if m.suspect && !m.lastHeard.IsZero() {
			n++
		}
	}
	return n
}

// Size returns the number of nodes in the fleet, including this node.
func (r *Roster) Size() int { return len(r.members) + 1 }

// MayCommit reports whether a change may be accepted: only while this node hears at least half of the fleet,
// including itself.
func (r *Roster) MayCommit(now time.Time) bool { return 2*r.HeardCount(now) >= r.Size() }

// Reader returns the node that reads the table on behalf of this node's data centre: the root of its tree. It
// is harmless if two nodes both consider themselves the reader.
func (r *Roster) Reader() string { return r.topology.RootOf(r.self.DataCentre, r.suspects()) }

// LinkTargets returns the nodes to keep links to, sorted. It includes suspected neighbours so that they are heard
// when they return.
func (r *Roster) LinkTargets() []string {
	all := sets.New[string]()
	for name := range r.fullNeighbours {
		all.Add(name)
	}
	for name := range r.neighbours() {
		all.Add(name)
	}
	return sets.Sorted(all)
}

// Neighbours returns the current neighbours and their relations to this node.
func (r *Roster) Neighbours() map[string]Relation { return maps.Clone(r.neighbours()) }

// Member returns the description of another node, if it is in the fleet.
func (r *Roster) Member(node string) (Member, bool) {
	m, ok := r.members[node]
	if !ok {
		return Member{}, false
	}
	return m.toMember(node), true
}

// Members returns the other nodes of the fleet, sorted by name.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		out = append(out, r.members[name].toMember(name))
	}
	return out
}

// DroppedAt returns when a node was dropped from the platform's host list, if that was within the last 10
// minutes.
func (r *Roster) DroppedAt(node string) (time.Time, bool) {
	at, ok := r.droppedAt[node]
	return at, ok
}

func (m *member) toMember(node string) Member {
	state := Live
	switch {
	case m.suspect:
		state = Suspect
	case m.host.State == hosts.Leaving:
		state = Leaving
	}
	return Member{
		Node: node, DataCentre: m.host.DataCentre, Address: m.host.PeerAddress, Incarnation: m.incarnation,
		State: state, Drain: m.lastBeat.Drain, Version: m.lastBeat.Version,
	}
}
