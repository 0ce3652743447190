package group

import (
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

// serverState is the last known state of one backend server.
type serverState struct {
	server.Info
	entry *index.Entry
	// listed is set while the registry has the server. firstSeen is when the record was created, or
	// zero if it was restored from a stored plan.
	listed    bool
	firstSeen time.Time
	// drainingSince is when the server was first seen draining. It is zero if the server was
	// already draining when first seen, because the start is unknown then.
	drainingSince time.Time
	// memberKnown is set once the server has reported its membership, in the registry or in a probe
	// answer.
	memberKnown bool
	// exited is set when the process is known to have ended.
	exited bool
	// missedProbes counts consecutive probes without an answer. answeredAt is when a probe was last
	// answered.
	missedProbes int
	answeredAt   time.Time
	// silentSince is when the first of these probes was sent. aliveAt is when there was last another sign that the server runs,
	// and inDoubt is set while it keeps a place because of that.
	silentSince time.Time
	aliveAt     time.Time
	// connectedAt is when its host last accepted a connection although the server was silent.
	connectedAt time.Time
	inDoubt     bool
	// excusedMisses counts missed probes that missedProbes leaves out. See maxExcusedMisses.
	excusedMisses int
	// probedAt is when the last probe was sent. probePending is set while its result is
	// outstanding, needsProbe when a probe should be sent.
	probedAt     time.Time
	probePending bool
	needsProbe   bool
	// pace is how many times slower than usual the server works, or 0 if unknown.
	pace float64
	// slowSince and slowSeen are when the first and the last of its consecutive reports of being slow arrived.
	slowSince, slowSeen time.Time
	// heartbeat is the latest heartbeat number of its registration, and heartbeatAt is when it was
	// first seen. renewedAfter is when the one before it was last seen.
	heartbeat    uint64
	heartbeatAt  time.Time
	renewedAfter time.Time
	// heartbeatReadAt is when its registration was last read.
	heartbeatReadAt time.Time
	// unreachableByPeers is set when other nodes cannot reach the server either. peersAskedAt is
	// when they were last asked.
	unreachableByPeers bool
	peersAskedAt       time.Time
	// peersAnswered and peersReached are the numbers of other nodes that answered last and of those that reached the server.
	peersAnswered int
	peersReached  int
	peersPending  bool
	// lastOrders holds the latest order of each kind.
	lastOrders map[Kind]sentOrder
	// highestEpoch is the highest epoch that the server is known to have seen. It refuses to join
	// with a lower one.
	highestEpoch uint64
	// unconfirmed holds the orders that were not answered and may still be executed, with the time at
	// which the outcome became unknown.
	unconfirmed map[unansweredOrder]time.Time
	// joinedBy is by when the joins of a formation whose outcome is known, or known to be unknown, have been executed if they are at all.
	joinedBy map[index.Formation]time.Time
	// told is the membership that the server itself reported last, in an answer to a probe or by accepting to leave. toldAt is when
	// that probe or order was sent, so no later than the membership was as reported.
	told   server.Member
	toldAt time.Time
}

func newServerState(now time.Time) *serverState {
	return &serverState{
		firstSeen: now, lastOrders: make(map[Kind]sentOrder), unconfirmed: make(map[unansweredOrder]time.Time),
		joinedBy: make(map[index.Formation]time.Time),
	}
}

// lostAfterMisses is how many consecutive probes a server misses before it counts as lost.
const lostAfterMisses = 2

// lost reports whether the server has exited or does not answer probes.
func (s *serverState) lost() bool { return s.exited || s.missedProbes >= lostAfterMisses }

// usable reports whether the server may be assigned to a group.
func (s *serverState) usable() bool {
	return s.listed && !s.Draining && !s.exited && s.missedProbes == 0 && !s.isSlow()
}

// slowPace is the pace from which a server is not assigned to groups, and is replaced in its group
// if a spare is ready.
const slowPace = 1.8

func (s *serverState) isSlow() bool { return s.pace >= slowPace }

// slowConfirmTime is how long a server must have been slow before it is replaced. A server that only pauses is soon as fast as
// before, and closing its group, or those of all servers that pause together, takes longer than that.
const slowConfirmTime = 2 * time.Second

// isConfirmedSlow reports whether the server has been slow for slowConfirmTime.
func (s *serverState) isConfirmedSlow() bool {
	return s.isSlow() && s.slowSeen.Sub(s.slowSince) >= slowConfirmTime
}

// setPace records how many times slower than usual the server works.
func (s *serverState) setPace(now time.Time, pace float64) {
	if !s.isSlow() {
		s.slowSince = now
	}
	s.pace, s.slowSeen = pace, now
}

// hasWeights reports whether the server can join a group of a model without loading weights.
func (s *serverState) hasWeights(model string) bool { return s.Model == model || s.HasStaged(model) }

// isMemberOf reports whether the server reported being a member of a formation.
func (s *serverState) isMemberOf(f Formation) bool { return s.Member.InFormation(f.Group, f.Epoch) }

// hasJoined reports whether the server reported being the member of a formation that the plan has at a rank. The process at the
// address of a member may be another one, and be a member too.
func (s *serverState) hasJoined(f Formation, rank int) bool {
	start := f.startedAt(rank)
	return s.isMemberOf(f) && s.Member.Rank == rank && (start.IsZero() || s.StartedAt.IsZero() || start.Equal(s.StartedAt))
}

// update applies the membership and weights that a server reported.
func (s *serverState) update(i server.Info) {
	s.memberKnown = true
	s.Member, s.StagedModels, s.Model = i.Member, i.StagedModels, i.Model
	s.highestEpoch = max(s.highestEpoch, i.Member.Epoch)
}

// ApplyView updates the server states from the registry.
func (d *Decider) ApplyView(now time.Time, v *index.View) {
	if v == d.view {
		return
	}
	d.view = v
	for id, s := range d.servers {
		if e, ok := v.Servers[id]; (!ok || e.Service != d.cfg.Service) && s.listed {
			// The registry also drops servers that cannot reach the store, so a probe has to tell.
			s.listed, s.needsProbe = false, true
		}
	}
	for _, e := range v.Services[d.cfg.Service] {
		d.observeEntry(now, e)
	}
}

// observeEntry applies one registry entry.
func (d *Decider) observeEntry(now time.Time, e *index.Entry) {
	if s, ok := d.servers[e.ID]; ok && s.entry == e && s.listed {
		return
	}
	if e.Unconfirmed {
		d.observeUnconfirmed(now, e)
		return
	}
	if s, ok := d.servers[e.ID]; ok && s.listed && s.confirms(e) {
		s.entry = e
		return
	}
	s := d.stateOf(now, e)
	changed := !s.listed || s.entry.Expired || !s.SameState(e.Info)
	s.entry, s.Info, s.listed = e, e.Info, true
	s.update(e.Info)
	if e.Expired {
		s.needsProbe = true
		return
	}
	if !changed {
		// Reading the same registry entry again does not prove that the server is alive.
		return
	}
	if s.lost() {
		d.domainReturned(s)
	}
	s.exited, s.missedProbes, s.excusedMisses = false, 0, 0
	if e.Member.State == server.Broken {
		d.RequestProbes(e.Member.Group, e.Member.Epoch)
	}
}

// stateOf returns the state of a listed server. It creates a new one for an unknown process.
func (d *Decider) stateOf(now time.Time, e *index.Entry) *serverState {
	s, ok := d.servers[e.ID]
	if !ok || !s.SameProcess(e.Info) {
		s = newServerState(now)
		d.servers[e.ID] = s
		d.invalidateIndex()
		return s
	}
	if s.firstSeen.IsZero() {
		s.firstSeen = now
	}
	if e.Draining && !s.Draining && s.listed {
		s.drainingSince = now
	}
	if s.Domain != e.Domain {
		d.invalidateIndex()
	}
	return s
}

// RequestProbes requests probes of the members of a formation whose head is slow or makes no progress.
func (d *Decider) RequestProbes(group string, epoch uint64) {
	for _, f := range d.plan.Current {
		if f.Group != group || f.Epoch != epoch {
			continue
		}
		for _, id := range f.Members {
			if s, ok := d.servers[id]; ok {
				s.needsProbe = true
			}
		}
	}
}

// lostServerRetention is how long a lost server without a group is kept after its last probe.
const lostServerRetention = 10 * time.Second

// removeLost deletes lost servers that neither the registry nor the plan has.
func (d *Decider) removeLost(now time.Time) {
	for id, s := range d.servers {
		if s.listed || !s.lost() || now.Sub(s.probedAt) <= lostServerRetention {
			continue
		}
		if _, used := d.formationOf(id); !used && !d.isRetiredMember(id) {
			delete(d.servers, id)
			d.invalidateIndex()
		}
	}
}

// isRetiredMember reports whether a server belongs to a retired formation.
func (d *Decider) isRetiredMember(id string) bool {
	for _, f := range d.plan.Retired {
		if f.HasMember(id) {
			return true
		}
	}
	return false
}
