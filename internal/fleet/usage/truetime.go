package usage

import (
	"slices"
	"time"
)

// Parameters of TrueTime.
const (
	// peerTimeout is how long the clock of another node counts after it was last heard.
	peerTimeout = 10 * time.Second
	// peerSamples is the number of samples of another clock that count. The latest time of them is used: a message that is delayed, as
	// while this process is frozen, shows an earlier time.
	peerSamples = 3
	// pauseTime is the time without a call of ObserveOwn after which this process was not running. Clocks of other nodes that arrive for
	// as long after it resumes are ignored, because they were sent earlier.
	pauseTime = time.Second
	// minClocks is the number of wall clocks from which estimates of other nodes are not needed.
	minClocks = 3
	// maxLoneStep is the largest difference to its own wall clock that a node without other nodes follows at once. It follows a
	// larger one when the clock has kept it for loneTime.
	maxLoneStep = 100 * time.Millisecond
	loneTime    = 10 * time.Minute
)

// TrueTime estimates true time: the median of this node's wall clock and those of the nodes that it has links to, relative to its
// monotonic clock. The wall clocks are close to true time, but single ones may jump by seconds and back. A node with links to
// fewer than two others also uses their estimates, as a second opinion on its own clock and theirs. It does no I/O. Times named mono are
// readings of a monotonic clock that includes time suspended. It is not safe for concurrent use.
type TrueTime struct {
	// offset is true time less the monotonic clock, as nanoseconds since 1970.
	offset time.Duration
	// own is the offset of this node's wall clock, which it has had since ownSince.
	own      time.Duration
	ownSince time.Duration
	peers    map[string]*peerClock
	// observedAt is when ObserveOwn was last called, and ignoreUntil is until when other clocks are ignored.
	observedAt  time.Duration
	ignoreUntil time.Duration
}

// peerClock holds the last samples of the clock of another node, and when the last one arrived.
type peerClock struct {
	walls     []time.Duration
	estimates []time.Duration
	heardAt   time.Duration
}

// NewTrueTime returns an estimate that follows this node's wall clock until others are heard.
func NewTrueTime(mono time.Duration, wall time.Time) *TrueTime {
	o := offsetOf(mono, wall)
	return &TrueTime{offset: o, own: o, ownSince: mono, observedAt: mono, peers: make(map[string]*peerClock)}
}

func offsetOf(mono time.Duration, t time.Time) time.Duration {
	return time.Duration(t.UnixNano()) - mono
}

// Now returns the estimate of true time.
func (t *TrueTime) Now(mono time.Duration) time.Time { return time.Unix(0, int64(t.offset+mono)) }

// OwnOffset returns how far this node's wall clock is ahead of the estimate.
func (t *TrueTime) OwnOffset() time.Duration { return t.own - t.offset }

// ObserveOwn records the time of this node's wall clock.
func (t *TrueTime) ObserveOwn(mono time.Duration, wall time.Time) {
	t.checkPause(mono)
	t.observedAt = mono
	o := offsetOf(mono, wall)
	if (o - t.own).Abs() > maxLoneStep {
		t.ownSince = mono
	}
	t.own = o
	t.update(mono)
}

// checkPause notices that this process was not running. It is to call ObserveOwn several times a second.
func (t *TrueTime) checkPause(mono time.Duration) {
	if mono-t.observedAt >= pauseTime {
		t.ignoreUntil = mono + pauseTime
	}
}

// ObservePeer records the time of another node's wall clock, and its estimate of true time.
func (t *TrueTime) ObservePeer(mono time.Duration, node string, wall, estimate time.Time) {
	if t.checkPause(mono); mono < t.ignoreUntil {
		return
	}
	p := t.peers[node]
	if p == nil || mono-p.heardAt >= peerTimeout {
		p = &peerClock{}
		t.peers[node] = p
	}
	p.heardAt = mono
	p.walls = lastSamples(append(p.walls, offsetOf(mono, wall)))
	p.estimates = lastSamples(append(p.estimates, offsetOf(mono, estimate)))
	t.update(mono)
}

func lastSamples(s []time.Duration) []time.Duration { return s[max(0, len(s)-peerSamples):] }

// update sets the estimate from what is known.
func (t *TrueTime) update(mono time.Duration) {
	clocks, estimates := []time.Duration{t.own}, []time.Duration(nil)
	for node, p := range t.peers {
		if mono-p.heardAt >= peerTimeout {
			delete(t.peers, node)
			continue
		}
		clocks = append(clocks, slices.Max(p.walls))
		estimates = append(estimates, slices.Max(p.estimates))
	}
	if len(clocks) == 1 {
		if (t.own-t.offset).Abs() <= maxLoneStep || mono-t.ownSince >= loneTime {
			t.offset = t.own
		}
		return
	}
	if len(clocks) < minClocks {
		clocks = append(clocks, estimates...)
	}
	t.offset = medianNear(clocks, t.offset)
}

// medianNear returns the median, or of an even number of values the one of the two in the middle that is nearer to last.
func medianNear(values []time.Duration, last time.Duration) time.Duration {
	slices.Sort(values)
	low, high := values[(len(values)-1)/2], values[len(values)/2]
	if (low - last).Abs() <= (high - last).Abs() {
		return low
	}
	return high
}
