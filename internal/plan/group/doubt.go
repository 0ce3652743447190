package group

import (
	"fmt"
	"time"
)

// A server that misses probes is lost, unless something shows that it runs: then its group, if it serves, is not changed. The server or
// this process may be short of processor time, and all requests of the group would end.

// Times of signs that a silent server runs.
const (
	// signOfLifeAge is how long such a sign counts.
	signOfLifeAge = 2 * time.Second
	// maxSilence is how long a server may be silent whose only sign is its registration, or that its host accepts connections: it may
	// reach nothing but the store, or not run any more.
	maxSilence = 2 * time.Second
	// peerAnswerTimeout limits the wait for the answers of other nodes.
	peerAnswerTimeout = 400 * time.Millisecond
	// lateObserverTime is for how long after it was late this process may miss answers.
	lateObserverTime = 5 * time.Second
)

// mayRun reports whether a lost server that is a member of a formation may be running although it is silent, and probes it if so.
func (d *Decider) mayRun(now time.Time, f Formation, s *serverState) bool {
	s.inDoubt = !s.exited && s.missedProbes <= lostAfterMisses && d.serves(f) && d.hasSign(now, s)
	return s.inDoubt
}

// hasSign reports whether there is a sign that a silent server runs, or one is still awaited.
func (d *Decider) hasSign(now time.Time, s *serverState) bool {
	silence := now.Sub(s.silentSince)
	switch {
	case s.aliveAt.After(s.silentSince) && now.Sub(s.aliveAt) < signOfLifeAge:
		return true
	case s.peersPending && now.Sub(s.peersAskedAt) < peerAnswerTimeout:
		return true
	case silence >= maxSilence:
		return false
	case !s.renewedAfter.Before(s.silentSince), s.connectedAt.After(s.silentSince):
		return true
	default:
		// Servers often share processors with this process.
		return now.Before(d.observerLateUntil) && !d.heartbeatOverdue(now, s)
	}
}

// seenAlive records a sign that a server runs.
func (s *serverState) seenAlive(at time.Time) {
	if at.After(s.aliveAt) {
		s.aliveAt = at
	}
}

// AnsweredLate records an answer to a probe that counts as missed. The server runs, but the state that the answer tells may be outdated.
func (d *Decider) AnsweredLate(now time.Time, id string, startedAt time.Time) {
	if s, ok := d.servers[id]; ok && !startedAt.IsZero() && startedAt.Equal(s.StartedAt) {
		s.seenAlive(now)
	}
}

// HostConnected records that the host of a silent server accepts connections. A server that lacks processor time is silent, but the
// kernel of its host answers.
func (d *Decider) HostConnected(now time.Time, id string) {
	if s, ok := d.servers[id]; ok {
		s.connectedAt = now
	}
}

// ObserverLate records that this process was not scheduled for a while, and may have missed answers.
func (d *Decider) ObserverLate(now time.Time) { d.observerLateUntil = now.Add(lateObserverTime) }

// evidence describes what is known of a lost server.
func (s *serverState) evidence(now time.Time) string {
	ago := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return now.Sub(at).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%s: exited %t, missed %d, silent %s, answered %s, connected %s, renewed %s, peers asked %s, %d of %d reached it",
		s.ID, s.exited, s.missedProbes, ago(s.silentSince), ago(s.answeredAt), ago(s.connectedAt), ago(s.heartbeatAt), ago(s.peersAskedAt), s.peersReached, s.peersAnswered)
}
