package spread

import (
	"fmt"
	"time"

	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/plat/hosts"
	"github.com/cockroachdb/errors"
)

// ErrRuleBroken marks an interleaving in which a promise did not hold.
var ErrRuleBroken = errors.New("promise broken")

// Draw returns a number from 0 to n-1.
type Draw func(n int) int

// Sizes of an interleaving.
const (
	mixNodes = 3
	mixSteps = 250
)

// mixNode is one node of the model: the two deciders, and what is on its way to it.
type mixNode struct {
	name    string
	start   int
	roster  *roster.Roster
	watch   *watch.Tracker
	paused  bool
	storeUp bool
	highest uint64
}

// mixEvent is a message or an answer of the table that has not arrived.
type mixEvent struct {
	to, toStart     int
	from, fromStart int
	beat            *roster.Heartbeat
	version         uint64
	document        bool
	read            bool
	failed          bool
	sentAt          time.Time
}

// mix is a fleet of deciders under one clock. Messages wait until a step delivers or loses them.
type mix struct {
	draw    Draw
	now     time.Time
	nodes   []*mixNode
	list    []hosts.Host
	waiting []mixEvent
	commits []time.Time
	notices int
	// restarts lets nodes restart, which forgets the notices of commits. gaps counts the steps at
	// which a node in store_down then lacked a change older than the bound.
	restarts bool
	gaps     int
}

// Interleave runs one random interleaving of heartbeats, documents, reads, commits, pauses, restarts
// and outages over three nodes' roster and watch. It returns an error marked ErrRuleBroken when a
// version goes down in a node, or when a node serves without a change that was accepted more than
// watch.MaxCurrentAge ago. With restarts, which forget the notices of commits, that may happen in store_down;
// the number is that of steps in which it did.
func Interleave(draw Draw, restarts bool) (int, error) {
	m := &mix{draw: draw, restarts: restarts, now: time.Unix(1_000_000, 0), commits: []time.Time{{}}}
	for i := range mixNodes {
		name := fmt.Sprintf("n%d", i)
		m.list = append(m.list, hosts.Host{Name: name, Kind: hosts.Entry, State: hosts.Live, DataCentre: "dc"})
		m.nodes = append(m.nodes, &mixNode{name: name, storeUp: true})
	}
	for i := range m.nodes {
		m.restart(i)
	}
	m.commits = append(m.commits, m.now)
	for step := range mixSteps {
		m.step()
		if err := m.check(); err != nil {
			return m.gaps, errors.Newf("step %d: %w", step, err)
		}
	}
	return m.gaps, nil
}

// step does one random thing. Ticks and deliveries are the most frequent.
func (m *mix) step() {
	switch k := m.draw(20); {
	case k < 5:
		m.disturb(k, m.nodes[m.draw(len(m.nodes))])
	case k < 9:
		m.now = m.now.Add(time.Duration(m.draw(400)) * time.Millisecond)
		for i := range m.nodes {
			m.tick(i)
		}
	case len(m.waiting) == 0:
	case k == 9:
		m.take(m.draw(len(m.waiting)))
	default:
		m.deliver(m.draw(len(m.waiting)))
	}
}

// disturb lets time jump, pauses or restarts a node, cuts it from the table, or commits a change.
func (m *mix) disturb(kind int, n *mixNode) {
	switch kind {
	case 0:
		m.now = m.now.Add(time.Duration(m.draw(3000)) * time.Millisecond)
	case 1:
		n.paused = !n.paused
	case 2:
		n.storeUp = !n.storeUp
	case 3:
		if m.restarts && m.draw(4) == 0 {
			m.restart(m.index(n.name))
		}
	default:
		if n.storeUp && !n.paused && n.roster.MayCommit(m.now) && m.announce(n) {
			m.commits = append(m.commits, m.now)
		}
	}
}

// announce tells a random part of the fleet of the next commit and reports whether it is made: half
// of the fleet has noted it, and the commit does not fail. One that fails may be withdrawn.
func (m *mix) announce(n *mixNode) bool {
	m.notices++
	key := fmt.Sprint(m.notices)
	noted := 0
	for _, other := range m.nodes {
		if other == n || (!other.paused && m.draw(2) == 0) {
			other.watch.CommitAnnounced(m.now, key, m.current()+1)
			noted++
		}
	}
	if 2*noted >= len(m.nodes) && m.draw(4) > 0 {
		return true
	}
	for _, other := range m.nodes {
		if m.draw(2) == 0 {
			other.watch.CommitWithdrawn(key)
		}
	}
	return false
}

func (m *mix) restart(i int) {
	n := m.nodes[i]
	n.start++
	n.roster = roster.New(roster.NodeInfo{Node: n.name, DataCentre: "dc"}, n.start<<16, m.now)
	n.roster.SetHosts(m.now, m.list)
	n.watch = watch.New()
	n.highest = 0
}

// take removes an event that waits. Messages between two nodes stay in order on a link, but a
// delivery may overtake those on other links.
func (m *mix) take(i int) mixEvent {
	e := m.waiting[i]
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
	return e
}

func (m *mix) tick(i int) {
	n := m.nodes[i]
	if n.paused {
		return
	}
	sends, probes := n.roster.Tick(m.now, roster.LocalState{
		Version: n.watch.Version(), Confirmed: n.watch.Confirmed(), HighestKnown: n.watch.HighestKnown(),
	})
	for _, s := range sends {
		beat := s.Heartbeat
		m.post(mixEvent{from: i, to: m.index(s.To), beat: &beat})
	}
	for _, p := range probes {
		n.roster.ProbeDone(m.now, p.Node, m.draw(2) == 0)
	}
	for _, a := range n.watch.Tick(m.now, n.roster.Reader() == n.name) {
		m.act(i, a)
	}
}

// act carries out an action of a watch. A read sees the table as it is when it is sent.
func (m *mix) act(i int, a watch.Action) {
	n := m.nodes[i]
	e := mixEvent{from: i, to: i, sentAt: m.now, version: m.current(), failed: !n.storeUp}
	switch a.Kind {
	case watch.ReadVersion:
		e.read = true
	case watch.ReadDocument:
		e.document = true
	case watch.RequestDocument:
		peer := m.nodes[m.index(a.Peer)]
		e.document, e.version, e.failed = true, peer.watch.Version(), peer.paused || peer.watch.Version() < a.Version
	}
	m.post(e)
}

func (m *mix) post(e mixEvent) {
	e.toStart, e.fromStart = m.nodes[e.to].start, m.nodes[e.from].start
	m.waiting = append(m.waiting, e)
}

func (m *mix) deliver(i int) {
	n := m.nodes[m.waiting[i].to]
	if n.paused {
		return
	}
	e := m.take(i)
	if e.toStart != n.start {
		return
	}
	from := m.nodes[e.from]
	switch {
	case e.beat != nil:
		if !n.roster.AcceptIncarnation(m.now, from.name, fmt.Sprintf("%06d", e.fromStart)) {
			return
		}
		asOf, proved := n.roster.HeartbeatReceived(m.now, from.name, *e.beat)
		n.watch.HeartbeatReceived(m.now, from.name, e.beat.Version, e.beat.Age)
		if proved {
			n.watch.PeerConfirmed(asOf, e.beat.Version)
		}
	case e.read && e.failed:
		n.watch.VersionReadFailed()
	case e.read:
		n.watch.VersionRead(e.sentAt, e.version)
	case e.failed:
		n.watch.DocumentLoadFailed()
	case n.watch.DocumentLoaded(e.version):
		for j := range m.nodes {
			if j != e.to {
				m.post(mixEvent{from: e.to, to: j, document: true, version: e.version})
			}
		}
	}
}

// current returns the version in the table.
func (m *mix) current() uint64 { return uint64(len(m.commits) - 1) }

// due returns the version that every node that serves has to have.
func (m *mix) due() uint64 {
	v := uint64(0)
	for i, at := range m.commits {
		if i > 0 && m.now.Sub(at) > watch.MaxCurrentAge {
			v = uint64(i)
		}
	}
	return v
}

func (m *mix) check() error {
	due := m.due()
	for _, n := range m.nodes {
		v := n.watch.Version()
		if v < n.highest {
			return errors.Newf("%s went from version %d to %d: %w", n.name, n.highest, v, ErrRuleBroken)
		}
		n.highest = v
		if n.paused || v >= due {
			continue
		}
		mode := n.watch.Mode(m.now, n.roster.HeardCount(m.now), n.roster.Size(), n.roster.HighestKnown(m.now))
		switch {
		case mode == watch.Isolated:
		case mode == watch.StoreDown && m.restarts:
			m.gaps++
		default:
			return errors.Newf("%s is %s with version %d, %d is due: %w", n.name, mode, v, due, ErrRuleBroken)
		}
	}
	return nil
}

func (m *mix) index(name string) int {
	for i, n := range m.nodes {
		if n.name == name {
			return i
		}
	}
	return 0
}
