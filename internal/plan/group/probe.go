package group

import (
	"slices"
	"time"

	"geraniumhollow/internal/fleet/server"
)

// Timing of probes.
const (
	// probeRetryDelay is the delay before a server that missed a probe is probed again.
	probeRetryDelay = 50 * time.Millisecond
	// unlistedProbeInterval is the time between probes of a server that is missing from the
	// registry.
	unlistedProbeInterval = time.Second
	// maxLostProbeInterval limits the time between probes of a lost server, which doubles up to
	// maxLostProbeDoublings times.
	maxLostProbeInterval  = 8 * time.Second
	maxLostProbeDoublings = 3
	// slowProbeInterval is the time between probes of a slow server, which may recover.
	slowProbeInterval = time.Second
	// doubtProbeInterval is the time between probes of a silent server that may run.
	doubtProbeInterval = 250 * time.Millisecond
)

// probes returns the servers to probe now.
func (d *Decider) probes(now time.Time) []Probe {
	var out []Probe
	for _, id := range d.serverIDs() {
		s := d.servers[id]
		if s.probePending || s.exited || !s.probeDue(now) {
			continue
		}
		s.probePending, s.needsProbe, s.probedAt = true, false, now
		out = append(out, Probe{Server: id, Address: s.Address})
	}
	return out
}

// probeDue reports whether a server should be probed now.
func (s *serverState) probeDue(now time.Time) bool {
	since := now.Sub(s.probedAt)
	switch {
	case s.inDoubt:
		return since >= doubtProbeInterval
	case s.missedProbes >= lostAfterMisses:
		// A lost server is probed with exponential backoff. The registry lists it again when it
		// returns.
		return since >= min(unlistedProbeInterval<<min(s.missedProbes-lostAfterMisses, maxLostProbeDoublings), maxLostProbeInterval)
	case s.missedProbes > 0:
		return since >= probeRetryDelay
	case s.needsProbe:
		return true
	case s.isSlow():
		return since >= slowProbeInterval
	default:
		return !s.listed && since >= unlistedProbeInterval
	}
}

// ProbeAnswered applies the answer to a probe.
func (d *Decider) ProbeAnswered(now time.Time, id string, r server.Report) {
	s, ok := d.servers[id]
	if !ok {
		return
	}
	s.probePending, s.needsProbe = false, false
	if s.StartedAt.IsZero() && d.identifies(id, r.Member) {
		s.StartedAt = r.StartedAt
	}
	switch {
	case s.StartedAt.IsZero() && s.exited:
		return // An order has shown that another process uses the address.
	case !r.StartedAt.IsZero() && !s.StartedAt.IsZero() && !r.StartedAt.Equal(s.StartedAt):
		// Another process uses the address now.
		s.exited = true
		return
	}
	if s.lost() {
		d.domainReturned(s)
	}
	s.exited, s.missedProbes, s.excusedMisses, s.unreachableByPeers, s.inDoubt = false, 0, 0, false, false
	s.setPace(now, r.Slowdown)
	s.answeredAt = now
	s.tell(s.probedAt, r.Member)
	s.update(r.Info)
}

// domainReturned has the lost servers of a domain probed again, by other nodes as well, because one of its servers answers again:
// they may have been cut off together, and what nobody reached may have gone on to serve.
func (d *Decider) domainReturned(s *serverState) {
	for _, o := range d.inDomain(s.Domain) {
		if o != s && o.lost() && !o.exited {
			o.unreachableByPeers, o.peersAskedAt, o.probedAt = false, time.Time{}, time.Time{}
		}
	}
}

// identifies reports whether a membership is one that the plan gives to a server. Reports do not have the ID of the server, and
// any process at the address answers, but a rank of a formation belongs to one ID.
func (d *Decider) identifies(id string, m server.Member) bool {
	for _, f := range slices.Concat(d.plan.Current, d.plan.Retired) {
		if m.InFormation(f.Group, f.Epoch) && m.Rank >= 0 && m.Rank < len(f.Members) && f.Members[m.Rank] == id {
			return true
		}
	}
	return false
}

// ProbeDiscarded records a probe that failed for a reason that has nothing to do with the server. It is made again.
func (d *Decider) ProbeDiscarded(id string) {
	if s, ok := d.servers[id]; ok {
		s.probePending, s.needsProbe = false, true
	}
}

// ProbeFailed records a failed probe. If exited is set, the process is known to have ended.
func (d *Decider) ProbeFailed(id string, exited bool) {
	s, ok := d.servers[id]
	if !ok {
		return
	}
	s.probePending = false
	if !exited && s.missedProbes == lostAfterMisses-1 && s.excusedMisses < maxExcusedMisses && d.otherDomainsMiss(s) {
		s.excusedMisses++
		return
	}
	if s.missedProbes == 0 {
		s.silentSince = s.probedAt
	}
	if !s.inDoubt {
		s.missedProbes++
	}
	s.exited = s.exited || exited
}

// maxExcusedMisses is how many additional probes a server may miss while servers of other domains
// miss theirs too. The cause may then be this node, which had no CPU time to process the answers.
const maxExcusedMisses = 2

// sharedMissWindow is the time within which missed probes of several servers may have the same
// cause.
const sharedMissWindow = time.Second

// otherDomainsMiss reports whether servers of other domains are also one missed probe away from
// being lost.
func (d *Decider) otherDomainsMiss(s *serverState) bool {
	for _, o := range d.servers {
		if o.Domain != s.Domain && o.missedProbes == lostAfterMisses-1 && !o.exited && s.probedAt.Sub(o.probedAt).Abs() < sharedMissWindow {
			return true
		}
	}
	return false
}

// Timing of heartbeats.
const (
	// heartbeatTimeoutFactor is the time without a heartbeat, in heartbeat intervals, after which
	// one is overdue.
	heartbeatTimeoutFactor = 1.3
	// maxHeartbeatReadAge is how old a read of the registrations may be to show that a heartbeat is
	// overdue.
	maxHeartbeatReadAge = 1200 * time.Millisecond
)

// ApplyHeartbeats applies the latest heartbeat of each registration, by server ID, as of a time. Servers
// whose heartbeat is overdue are probed.
func (d *Decider) ApplyHeartbeats(asOf time.Time, heartbeats map[string]uint64) {
	d.heartbeatsReadAt = asOf
	for id, s := range d.servers {
		heartbeat, ok := heartbeats[id]
		switch {
		case !ok:
		case heartbeat != s.heartbeat || s.heartbeatAt.IsZero():
			s.renewedAfter = s.heartbeatReadAt
			s.heartbeat, s.heartbeatAt, s.heartbeatReadAt = heartbeat, asOf, asOf
		default:
			s.heartbeatReadAt = asOf
		}
		if d.heartbeatOverdue(asOf, s) && asOf.Sub(s.probedAt) >= unlistedProbeInterval {
			s.needsProbe = true
		}
	}
}

// heartbeatOverdue reports whether a recent read of the registrations showed that a server had not
// sent a heartbeat in time.
func (d *Decider) heartbeatOverdue(now time.Time, s *serverState) bool {
	return now.Sub(d.heartbeatsReadAt) < maxHeartbeatReadAge && !s.heartbeatAt.IsZero() &&
		d.heartbeatsReadAt.Sub(s.heartbeatAt) >= time.Duration(heartbeatTimeoutFactor*float64(d.cfg.HeartbeatInterval))
}

// Limits of probes by other nodes.
const (
	// minPeerAnswers is how many other nodes must have probed a server, all without reaching it,
	// for it to count as unreachable.
	minPeerAnswers = 2
	// peerProbeInterval is the time between requests to other nodes to probe the same server.
	peerProbeInterval = 400 * time.Millisecond
	// maxPeerProbes is how many members other nodes are asked about in one step.
	maxPeerProbes = 8
)

// peerProbes returns the servers that other nodes should probe: the lost heads of retired formations, and silent members of those that
// serve.
func (d *Decider) peerProbes(now time.Time) []Probe {
	var out []Probe
	for _, f := range d.plan.Retired {
		if s := d.servers[f.Head()]; s != nil && s.lost() && !s.unreachableByPeers {
			out = append(out, s.askPeers(now)...)
		}
	}
	asked := 0
	for _, f := range d.plan.Current {
		for _, id := range f.Members {
			s := d.servers[id]
			if s == nil || s.missedProbes == 0 || s.lost() && !s.inDoubt || asked >= maxPeerProbes || !d.serves(f) {
				continue
			}
			list := s.askPeers(now)
			asked += len(list)
			out = append(out, list...)
		}
	}
	return out
}

// askPeers returns the probe of a server by other nodes, unless they were asked lately or its process is known to have ended.
func (s *serverState) askPeers(now time.Time) []Probe {
	if s.exited || now.Sub(s.peersAskedAt) < peerProbeInterval {
		return nil
	}
	s.peersAskedAt, s.peersPending = now, true
	return []Probe{{Server: s.ID, Address: s.Address}}
}

// PeerProbesDone applies the results of probes by other nodes: asked nodes replied, and reached of them
// reached the server.
func (d *Decider) PeerProbesDone(id string, asked, reached int) {
	s, ok := d.servers[id]
	if !ok {
		return
	}
	s.peersPending, s.peersAnswered, s.peersReached = false, asked, reached
	if reached > 0 {
		s.seenAlive(s.peersAskedAt)
	}
	if s.lost() {
		s.unreachableByPeers = asked >= minPeerAnswers && reached == 0
	}
}

// confirmedDead reports whether a lost server has certainly ended: its process is known to have
// exited, or neither this node nor others reach it and its heartbeat is overdue.
func (d *Decider) confirmedDead(now time.Time, s *serverState) bool {
	return s.exited || (s.lost() && s.unreachableByPeers && d.heartbeatOverdue(now, s))
}
