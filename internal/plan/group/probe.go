package group

import (
	"time"

	"geraniumhollow/internal/fleet/server"
)

// Times of probes.
const (
	// probeAgain is the pause before a server that left a probe unanswered is asked again.
	probeAgain = 50 * time.Millisecond
	// probeUnlisted is the time between probes of a server that the registry does not have.
	probeUnlisted = time.Second
	// probeLost is the longest time between probes of a lost server; maxDoublings is how often the time
	// between them doubles.
	probeLost    = 8 * time.Second
	maxDoublings = 3
	// probeSlow is the time between probes of a slow server, which may recover.
	probeSlow = 2 * time.Second
)

// probes returns the servers to ask for their state.
func (d *Decider) probes(now time.Time) []Probe {
	var out []Probe
	for _, id := range d.sorted() {
		h := d.hosts[id]
		if h.asked || h.gone || !h.due(now) {
			continue
		}
		h.asked, h.suspect, h.probed = true, false, now
		out = append(out, Probe{Server: id, Address: h.Address})
	}
	return out
}

// due reports whether a server is to be probed now.
func (h *host) due(now time.Time) bool {
	since := now.Sub(h.probed)
	switch {
	case h.misses >= lostMisses:
		// A lost server is asked less and less often; it is listed anew when it is back.
		return since >= min(probeUnlisted<<min(h.misses-lostMisses, maxDoublings), probeLost)
	case h.misses > 0:
		return since >= probeAgain
	case h.suspect:
		return true
	case h.slow():
		return since >= probeSlow
	default:
		return !h.listed && since >= probeUnlisted
	}
}

// Probed takes the answer to a probe.
func (d *Decider) Probed(now time.Time, id string, r server.Report) {
	h, ok := d.hosts[id]
	if !ok {
		return
	}
	h.asked, h.suspect = false, false
	if !r.Born.IsZero() && !h.Born.IsZero() && !r.Born.Equal(h.Born) {
		// Another process has the address.
		h.gone = true
		return
	}
	if h.Born.IsZero() {
		h.Born = r.Born
	}
	h.gone, h.misses, h.excused, h.unseen, h.pace = false, 0, 0, false, r.Pace
	h.confirmed = now
	h.take(r.Info)
}

// Missed takes the failure of a probe. gone is proof that the process has ended.
func (d *Decider) Missed(id string, gone bool) {
	h, ok := d.hosts[id]
	if !ok {
		return
	}
	h.asked = false
	if !gone && h.misses == lostMisses-1 && h.excused < maxExcused && d.othersMiss(h) {
		h.excused++
		return
	}
	h.misses++
	h.gone = h.gone || gone
}

// maxExcused is how many more probes a server may miss while servers of other domains miss theirs as well: then the
// fault may be this node's own, which had no processor time for the answers.
const maxExcused = 2

// missTogether is the time within which misses of several servers may have the same cause.
const missTogether = time.Second

// othersMiss reports whether servers of other domains are in doubt too.
func (d *Decider) othersMiss(h *host) bool {
	for _, o := range d.hosts {
		if o.Domain != h.Domain && o.misses == lostMisses-1 && !o.gone && h.probed.Sub(o.probed).Abs() < missTogether {
			return true
		}
	}
	return false
}

// Times of registrations.
const (
	// beatFactor is how many intervals between renewals a server may be silent.
	beatFactor = 1.3
	// beatsAge is the age past which a read of the registrations proves no silence.
	beatsAge = 1200 * time.Millisecond
)

// Beats takes the renewals of all registrations, by server, as of a time. A server that does not renew its
// registration is probed.
func (d *Decider) Beats(asOf time.Time, beats map[string]uint64) {
	d.beatsAt = asOf
	for id, h := range d.hosts {
		b, ok := beats[id]
		if ok && (b != h.beat || h.beatAt.IsZero()) {
			h.beat, h.beatAt = b, asOf
		}
		if d.silent(asOf, h) && asOf.Sub(h.probed) >= probeUnlisted {
			h.suspect = true
		}
	}
}

// silent reports whether a late read showed that a server had not renewed its registration for longer than
// an interval.
func (d *Decider) silent(now time.Time, h *host) bool {
	return now.Sub(d.beatsAt) < beatsAge && !h.beatAt.IsZero() &&
		d.beatsAt.Sub(h.beatAt) >= time.Duration(beatFactor*float64(d.cfg.BeatInterval))
}

// Times and numbers of witnesses.
const (
	// minWitnesses is how many other nodes must fail to reach a server that this node does not reach.
	minWitnesses = 2
	// witnessAgain is the time between questions to other nodes about a server.
	witnessAgain = 400 * time.Millisecond
)

// witness returns the lost heads of retired formations to ask other nodes about.
func (d *Decider) witness(now time.Time) []Probe {
	var out []Probe
	for _, f := range d.plan.Retired {
		h := d.hosts[f.Head()]
		if h == nil || !h.lost() || h.gone || h.unseen || now.Sub(h.witnessed) < witnessAgain {
			continue
		}
		h.witnessed = now
		out = append(out, Probe{Server: h.ID, Address: h.Address})
	}
	return out
}

// Witnessed takes what other nodes say of a server: asked of them answered, and reached of these reach it.
func (d *Decider) Witnessed(id string, asked, reached int) {
	if h, ok := d.hosts[id]; ok && h.lost() {
		h.unseen = asked >= minWitnesses && reached == 0
	}
}

// dead reports whether a lost server has certainly ended: its process is gone, or neither this node nor
// others reach it and it does not renew its registration.
func (d *Decider) dead(now time.Time, h *host) bool {
	return h.gone || (h.lost() && h.unseen && d.silent(now, h))
}
