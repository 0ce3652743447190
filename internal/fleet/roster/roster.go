// Package roster decides membership: which nodes there are, which of them are heard, and which nodes
// a node talks to.
//
// The platform's list says which nodes exist; it lags. Heartbeats say which of them are heard. A
// Roster is a decider: it takes events and the time, and returns what to send. It is not safe for
// concurrent use.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plat/hosts"
)

// Times of membership.
const (
	// BeatInterval is the time between heartbeats to a neighbour.
	BeatInterval = time.Second
	// SuspectAfter is the silence after which a neighbour is probed through others.
	SuspectAfter = 3 * time.Second
	// UnreachableAfter is the silence after which a neighbour is left out of this node's topology
	// even if others reach it: it is of no use to this node.
	UnreachableAfter = 6 * time.Second
	// TwoWayAfter bounds the age of the last own heartbeat that a neighbour has echoed. Past it the
	// neighbour does not count as heard: messages to it are lost. An echo is up to 2 s old on a
	// link without faults.
	TwoWayAfter = 4 * time.Second
	// probeInterval is the time between rounds of probes of one node.
	probeInterval = time.Second
	// pauseGap is the time between ticks that shows that this node itself was paused.
	pauseGap = time.Second
	// freshGap is how much younger a confirmation must be to send a heartbeat before its time. Confirmations
	// then cross the tree in one sweep instead of waiting up to 1 s in each node. With 500 ms the
	// readers of several data centres cause a fifth more traffic and save no read of the table.
	freshGap = 800 * time.Millisecond
	// forgetAfter is how long the end of a listing is remembered.
	forgetAfter = 10 * time.Minute
)

// minAge is the smallest age in a heartbeat, where 0 means that there is no confirmation.
const minAge = time.Millisecond

// Probers is the number of nodes that are asked whether they reach a silent one.
const Probers = 2

// beatsKept is the number of own heartbeats to a neighbour whose send time is remembered.
const beatsKept = 16

// State is the state of a node.
type State string

// States of a node. A node that is gone is absent.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
)

// Member is one node of the fleet.
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

// Beat is a heartbeat to send or one that was received.
type Beat struct {
	Seq      int
	Echo     int
	Hold     time.Duration
	Relation Relation
	Version  uint64
	// Age is the confirmation age of the version; 0 means that the sender has no confirmation.
	Age   time.Duration
	Drain string
	Heard int
	Fleet int
	// Next is the highest version that the sender or a node behind it knows of but does not have.
	Next uint64
}

// Own is what a node's heartbeats say of itself.
type Own struct {
	Version uint64
	// Confirmed is when the table last confirmed the version; zero for never.
	Confirmed time.Time
	Drain     string
	// Next is the highest version that the node knows of but does not have, or 0.
	Next uint64
}

// Send is an order to send a heartbeat.
type Send struct {
	To   string
	Beat Beat
}

// Probe is an order to ask other nodes whether they reach a silent one, and to report the result
// with Probed.
type Probe struct {
	Node string
	Via  []string
}

// member is what is known of a node.
type member struct {
	host        hosts.Host
	incarnation string
	// heard is when the last heartbeat came; begun is when this node began to expect them.
	heard   time.Time
	begun   time.Time
	beat    Beat
	suspect bool
	probed  time.Time
	probing bool

	seq int
	// sentAt is made with the first heartbeat: most nodes of a large fleet are no neighbours.
	sentAt    *[beatsKept]time.Time
	lastSent  time.Time
	confirmed time.Time
	echoed    time.Time
	answer    bool
}

// Roster is the decider of one node.
type Roster struct {
	self     Place
	firstSeq int
	members  map[string]*member
	dropped  map[string]time.Time
	topology *Topology
	lastTick time.Time
	woke     time.Time

	// base and near are the neighbours with nobody left out, and without the suspects.
	base  map[string]Relation
	near  map[string]Relation
	stale bool
}

// New returns a roster of the node alone. Its heartbeats are numbered from firstSeq, which has to
// differ between incarnations: an echo of an earlier incarnation's heartbeat must not pass for one
// of this incarnation's.
func New(self Place, firstSeq int, now time.Time) *Roster {
	r := &Roster{
		self: self, firstSeq: firstSeq, members: make(map[string]*member), dropped: make(map[string]time.Time), lastTick: now, woke: now,
	}
	r.rebuild()
	return r
}

// List takes the platform's list. Nodes that it no longer has are gone; their names are returned.
func (r *Roster) List(now time.Time, list []hosts.Host) []string {
	listed := sets.New[string]()
	changed := false
	for _, h := range list {
		if h.Kind != hosts.Entry || h.Name == r.self.Node {
			continue
		}
		listed.Add(h.Name)
		m, ok := r.members[h.Name]
		if !ok {
			m = &member{begun: now, seq: r.firstSeq}
			r.members[h.Name] = m
			delete(r.dropped, h.Name)
		}
		changed = changed || !ok || m.host.DataCentre != h.DataCentre
		m.host = h
	}
	var gone []string
	for name := range r.members {
		if !listed.Has(name) {
			delete(r.members, name)
			r.dropped[name] = now
			gone = append(gone, name)
		}
	}
	maps.DeleteFunc(r.dropped, func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter })
	if changed || len(gone) > 0 {
		r.rebuild()
	}
	slices.Sort(gone)
	return gone
}

// rebuild makes the topology anew.
func (r *Roster) rebuild() {
	places := append(make([]Place, 0, r.Size()), r.self)
	for name, m := range r.members {
		places = append(places, Place{Node: name, DataCentre: m.host.DataCentre})
	}
	r.topology = NewTopology(places)
	r.base = r.topology.Neighbours(r.self.Node, nil)
	r.stale = true
}

// suspects returns the nodes that are left out of the topology.
func (r *Roster) suspects() sets.Set[string] {
	out := sets.New[string]()
	for name, m := range r.members {
		if m.suspect {
			out.Add(name)
		}
	}
	return out
}

// neighbours returns the neighbours without the suspects.
func (r *Roster) neighbours() map[string]Relation {
	if r.stale {
		r.near = r.topology.Neighbours(r.self.Node, r.suspects())
		r.stale = false
	}
	return r.near
}

// Incarnation reports whether an incarnation of a node may be talked to. A newer one replaces what
// was known of the node; an older one is refused. Incarnations are compared as strings.
func (r *Roster) Incarnation(now time.Time, node, incarnation string) bool {
	m, ok := r.members[node]
	if !ok {
		// The list lags: a new node may be heard before it is listed.
		return true
	}
	if incarnation < m.incarnation {
		return false
	}
	if incarnation > m.incarnation {
		*m = member{host: m.host, incarnation: incarnation, begun: now, seq: m.seq, sentAt: m.sentAt}
		r.stale = true
	}
	return true
}

// Linked notes a new link to a node, which gets a heartbeat at the next tick.
func (r *Roster) Linked(node string) {
	if m, ok := r.members[node]; ok {
		m.answer = true
	}
}

// Received takes a heartbeat. It returns when, by this node's clock, the table had confirmed the
// version in it at the earliest. That is known only if the heartbeat echoes one of this node's own:
// it was then sent no earlier than the own one plus the time that the sender held it, so a message
// that was delayed counts as old, without synchronised clocks.
func (r *Roster) Received(now time.Time, from string, b Beat) (time.Time, bool) {
	m, ok := r.members[from]
	if !ok {
		return time.Time{}, false
	}
	if b.Seq > m.beat.Seq {
		m.beat = b
		m.heard = now
	}
	// The first heartbeat of a link is answered at once, which gives the sender its first echo.
	m.answer = m.answer || b.Echo == 0
	if m.suspect {
		m.suspect = false
		r.stale = true
	}
	sent, ok := m.sentTime(b.Echo)
	if !ok {
		return time.Time{}, false
	}
	if sent.After(m.echoed) {
		m.echoed = sent
	}
	if b.Version == 0 || b.Hold < 0 || b.Age <= 0 {
		return time.Time{}, false
	}
	return sent.Add(b.Hold - b.Age), true
}

// sentTime returns when the own heartbeat with a number was sent.
func (m *member) sentTime(seq int) (time.Time, bool) {
	if m.sentAt == nil || seq <= 0 || seq > m.seq || seq <= m.seq-beatsKept {
		return time.Time{}, false
	}
	at := m.sentAt[seq%beatsKept]
	return at, !at.IsZero()
}

// Probed takes the result of a Probe: whether one of the asked nodes reaches the silent one.
func (r *Roster) Probed(now time.Time, node string, reached bool) {
	m, ok := r.members[node]
	if !ok {
		return
	}
	m.probing = false
	if !reached && r.silence(now, m) >= SuspectAfter {
		r.setSuspect(m)
	}
}

func (r *Roster) setSuspect(m *member) {
	m.suspect = true
	r.stale = true
}

// silence returns how long nothing was heard of a node while this node was running.
func (r *Roster) silence(now time.Time, m *member) time.Duration {
	since := m.begun
	for _, t := range []time.Time{m.heard, r.woke} {
		if t.After(since) {
			since = t
		}
	}
	return now.Sub(since)
}

// Tick returns the heartbeats and probes that are due. It is called several times a second, and at
// once after a heartbeat that brought a younger confirmation.
func (r *Roster) Tick(now time.Time, own Own) ([]Send, []Probe) {
	if now.Sub(r.lastTick) > pauseGap {
		// This node was paused: the silence is its own.
		r.woke = now
	}
	r.lastTick = now
	probes := r.probes(now)
	var sends []Send
	heard, fleet := r.counts(now)
	talking := r.talkingTo(now)
	for _, name := range slices.Sorted(maps.Keys(talking)) {
		rel, m := talking[name], r.members[name]
		if !m.due(now, own.Confirmed) {
			continue
		}
		sends = append(sends, Send{To: name, Beat: m.next(now, own, rel, heard, fleet, r.nextFor(now, own.Next, rel))})
	}
	return sends, probes
}

// talkingTo returns the neighbours, and the nodes that take this one for a neighbour.
func (r *Roster) talkingTo(now time.Time) map[string]Relation {
	all := maps.Clone(r.neighbours())
	for name, rel := range r.base {
		if _, ok := all[name]; !ok {
			all[name] = rel
		}
	}
	for name, m := range r.members {
		if _, ok := all[name]; !ok && !m.heard.IsZero() && now.Sub(m.heard) < SuspectAfter {
			all[name] = m.beat.Relation.Inverse()
		}
	}
	return all
}

// due reports whether a heartbeat has to be sent.
func (m *member) due(now, confirmed time.Time) bool {
	since := now.Sub(m.lastSent)
	switch {
	case m.answer || since >= BeatInterval:
		return true
	default:
		return since >= freshGap && confirmed.Sub(m.confirmed) >= freshGap
	}
}

// next makes the next heartbeat to a node.
func (m *member) next(now time.Time, own Own, rel Relation, heard, fleet int, next uint64) Beat {
	if m.sentAt == nil {
		m.sentAt = new([beatsKept]time.Time)
	}
	m.seq++
	m.sentAt[m.seq%beatsKept] = now
	m.lastSent = now
	m.confirmed = own.Confirmed
	m.answer = false
	b := Beat{Seq: m.seq, Relation: rel, Version: own.Version, Drain: own.Drain, Next: next}
	if m.beat.Seq > 0 {
		b.Echo, b.Hold = m.beat.Seq, now.Sub(m.heard)
	}
	if !own.Confirmed.IsZero() {
		b.Age = max(now.Sub(own.Confirmed), minAge)
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

// probes returns the rounds of probes that are due, and suspects silent nodes that nobody can probe.
func (r *Roster) probes(now time.Time) []Probe {
	var out []Probe
	for _, name := range slices.Sorted(maps.Keys(r.neighbours())) {
		m := r.members[name]
		silence := r.silence(now, m)
		if m.suspect || silence < SuspectAfter {
			continue
		}
		if silence >= UnreachableAfter {
			r.setSuspect(m)
			continue
		}
		if m.probing || now.Sub(m.probed) < probeInterval {
			continue
		}
		via := r.probers(now, name)
		if len(via) == 0 {
			r.setSuspect(m)
			continue
		}
		m.probing, m.probed = true, now
		out = append(out, Probe{Node: name, Via: via})
	}
	return out
}

// probers returns the nodes to ask about a silent one: those heard last.
func (r *Roster) probers(now time.Time, silent string) []string {
	var names []string
	for name, m := range r.members {
		if name != silent && !m.suspect && now.Sub(m.heard) < SuspectAfter {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(r.members[b].heard.Compare(r.members[a].heard), cmp.Compare(a, b))
	})
	return names[:min(len(names), Probers)]
}

// Hears reports whether heartbeats of a node arrive and it has lately echoed one of this node.
func (r *Roster) Hears(now time.Time, node string) bool {
	m, ok := r.members[node]
	return ok && m.counts(now)
}

// Reaches reports whether heartbeats of a node arrive.
func (r *Roster) Reaches(now time.Time, node string) bool {
	m, ok := r.members[node]
	return ok && !m.heard.IsZero() && now.Sub(m.heard) < SuspectAfter
}

// counts reports whether a node counts as heard. Unlike suspicion it takes no account of an own
// pause: the count bounds what may be accepted.
func (m *member) counts(now time.Time) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) < SuspectAfter && now.Sub(m.echoed) < TwoWayAfter
}

// counts returns the nodes heard in the own subtree and in the whole fleet, this node included.
func (r *Roster) counts(now time.Time) (int, int) {
	subtree, across, fromParent := 1, 0, 0
	for _, m := range r.members {
		if !m.counts(now) {
			continue
		}
		// The relation in a heartbeat is what this node is to the sender.
		switch m.beat.Relation {
		case Mesh:
			subtree++
		case Parent:
			subtree += max(m.beat.Heard, 0)
		case Root:
			across += max(m.beat.Heard, 0)
		case Child:
			fromParent = max(fromParent, m.beat.Fleet)
		}
	}
	// A node that has just changed its parent is counted by both for up to SuspectAfter.
	size := r.Size()
	return min(subtree, size), min(max(subtree+across, fromParent), size)
}

// Next returns the highest version that a node that this one hears knows of but does not have.
func (r *Roster) Next(now time.Time) uint64 {
	next := uint64(0)
	for _, m := range r.members {
		if m.counts(now) {
			next = max(next, m.beat.Next)
		}
	}
	return next
}

// nextFor returns the announced version to tell a neighbour: the own one, and in the tree also those
// of the nodes behind this one as the neighbour sees it, as with the counts.
func (r *Roster) nextFor(now time.Time, own uint64, to Relation) uint64 {
	next := own
	for _, m := range r.members {
		if !m.counts(now) {
			continue
		}
		// The relation in a heartbeat is what this node is to the sender.
		if from := m.beat.Relation; from == Parent || (to == Child && (from == Child || from == Root)) {
			next = max(next, m.beat.Next)
		}
	}
	return next
}

// Heard returns the number of nodes heard in the fleet, this node included.
func (r *Roster) Heard(now time.Time) int {
	_, fleet := r.counts(now)
	return fleet
}

// Suspects returns the number of nodes that had been heard and are suspect.
func (r *Roster) Suspects() int {
	n := 0
	for _, m := range r.members {
		if m.suspect && !m.heard.IsZero() {
			n++
		}
	}
	return n
}

// Size returns the number of nodes in the fleet, this node included.
func (r *Roster) Size() int { return len(r.members) + 1 }

// MayCommit is the commit rule: a change may be accepted only while this node hears at least half of
// the fleet, itself included.
func (r *Roster) MayCommit(now time.Time) bool { return 2*r.Heard(now) >= r.Size() }

// Reader returns the node of this node's data centre that reads the table for the others: the first
// in the order of the tree. Two nodes may both take themselves for it without harm.
func (r *Roster) Reader() string { return r.topology.RootOf(r.self.DataCentre, r.suspects()) }

// Links returns the nodes to hold links to, sorted. Suspects among the ordinary neighbours stay in
// it, so that they are heard when they return.
func (r *Roster) Links() []string {
	all := sets.New[string]()
	for name := range r.base {
		all.Add(name)
	}
	for name := range r.neighbours() {
		all.Add(name)
	}
	return sets.Sorted(all)
}

// Neighbours returns the nodes that this node talks to now and what they are to it.
func (r *Roster) Neighbours() map[string]Relation { return maps.Clone(r.neighbours()) }

// Member returns what is known of a node that is not gone.
func (r *Roster) Member(node string) (Member, bool) {
	m, ok := r.members[node]
	if !ok {
		return Member{}, false
	}
	return m.export(node), true
}

// Members returns the other nodes of the fleet, sorted by name.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		out = append(out, r.members[name].export(name))
	}
	return out
}

// DroppedAt returns when the platform's list dropped a node. It is forgotten after 10 minutes.
func (r *Roster) DroppedAt(node string) (time.Time, bool) {
	at, ok := r.dropped[node]
	return at, ok
}

func (m *member) export(node string) Member {
	state := Live
	switch {
	case m.suspect:
		state = Suspect
	case m.host.State == hosts.Leaving:
		state = Leaving
	}
	return Member{
		Node: node, DataCentre: m.host.DataCentre, Address: m.host.PeerAddress, Incarnation: m.incarnation,
		State: state, Drain: m.beat.Drain, Version: m.beat.Version,
	}
}
