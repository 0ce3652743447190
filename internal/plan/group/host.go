package group

import (
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

// host is what the decider believes of one backend server.
type host struct {
	server.Info
	entry *index.Entry
	// listed says that the registry has it.
	listed bool
	// gone is proof that the process has ended.
	gone bool
	// misses counts probes in a row without an answer.
	misses int
	// probed is when the last probe was sent; asked says that its result is awaited, suspect that one is
	// wanted.
	probed  time.Time
	asked   bool
	suspect bool
	// confirmed is when the server answered a probe last.
	confirmed time.Time
	// beat is the last renewal of its registration, beatAt when it was first seen.
	beat   uint64
	beatAt time.Time
	// unseen says that other nodes do not reach it either; witnessed is when they were asked.
	unseen    bool
	witnessed time.Time
	// orders are the latest orders, by kind.
	orders map[Kind]sent
	// since is when the registry was first seen to have it.
	since time.Time
	// pace is how many times slower than usual it works, 0 if that is not known.
	pace float64
}

// sent is an order that has been sent.
type sent struct {
	order Order
	at    time.Time
	// done says that the server has answered.
	done     bool
	accepted bool
}

// lostMisses is how many probes in a row a server leaves unanswered before it counts as lost.
const lostMisses = 2

// lost reports whether the server must be taken as gone.
func (h *host) lost() bool { return h.gone || h.misses >= lostMisses }

// usable reports whether the server may be given to a group.
func (h *host) usable() bool { return h.listed && !h.Draining && !h.gone && h.misses == 0 }

// in reports whether the server says that it has a place in a formation.
func (h *host) in(f Formation) bool { return h.Member.Of(f.Group, f.Epoch) }

// View takes what the registry says.
func (d *Decider) View(now time.Time, v *index.View) {
	if v == d.view {
		return
	}
	d.view = v
	for id, h := range d.hosts {
		if e, ok := v.Servers[id]; (!ok || e.Service != d.cfg.Service) && h.listed {
			// The registry drops a server that is cut off from the store, too; a probe tells.
			h.listed, h.suspect = false, true
		}
	}
	for _, e := range v.Services[d.cfg.Service] {
		d.list(now, e)
	}
}

// list takes one entry of the registry.
func (d *Decider) list(now time.Time, e *index.Entry) {
	h, ok := d.hosts[e.ID]
	if ok && h.entry == e && h.listed {
		return
	}
	if !ok || !h.SameLife(e.Info) {
		h = &host{orders: make(map[Kind]sent), since: now}
		d.hosts[e.ID] = h
	}
	h.entry, h.Info, h.listed = e, e.Info, true
	if e.Expired {
		h.suspect = true
		return
	}
	h.gone, h.misses = false, 0
	if e.Member.State == server.Broken {
		d.Suspect(e.Member.Group, e.Member.Epoch)
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
	h.gone, h.misses, h.unseen, h.pace = false, 0, false, r.Pace
	h.confirmed = now
	h.Member, h.Staged, h.Model = r.Member, r.Staged, r.Model
}

// Missed takes the failure of a probe. gone is proof that the process has ended.
func (d *Decider) Missed(id string, gone bool) {
	h, ok := d.hosts[id]
	if !ok {
		return
	}
	h.asked = false
	h.misses++
	h.gone = h.gone || gone
}

// Times of registrations.
const (
	// beatFactor is how many intervals between renewals a server may be silent.
	beatFactor = 1.3
	// beatsAge is the age past which a read of the registrations proves no silence.
	beatsAge = 1200 * time.Millisecond
)

// Beats takes a read of all registrations, which was sent at a time. A server that does not renew its
// registration is probed.
func (d *Decider) Beats(now time.Time, beats map[string]uint64) {
	d.beatsAt = now
	for id, h := range d.hosts {
		b, ok := beats[id]
		if ok && (b != h.beat || h.beatAt.IsZero()) {
			h.beat, h.beatAt = b, now
		}
		if d.silent(now, h) && now.Sub(h.probed) >= probeUnlisted {
			h.suspect = true
		}
	}
}

// silent reports whether a server has not renewed its registration for longer than an interval.
func (d *Decider) silent(now time.Time, h *host) bool {
	return now.Sub(d.beatsAt) < beatsAge && !h.beatAt.IsZero() &&
		now.Sub(h.beatAt) >= time.Duration(beatFactor*float64(d.cfg.BeatInterval))
}

// Witnessed takes what other nodes say of a server: asked of them answered, and reached of these reach it.
func (d *Decider) Witnessed(id string, asked, reached int) {
	if h, ok := d.hosts[id]; ok && h.lost() {
		h.unseen = asked >= minWitnesses && reached == 0
	}
}

// minWitnesses is how many other nodes must fail to reach a server that this node does not reach.
const minWitnesses = 2

// dead reports whether a lost server has certainly ended: its process is gone, or neither this node nor
// others reach it and it does not renew its registration.
func (d *Decider) dead(now time.Time, h *host) bool {
	return h.gone || (h.lost() && h.unseen && d.silent(now, h))
}

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

// witnessAgain is the time between questions to other nodes about a server.
const witnessAgain = 400 * time.Millisecond

// Suspect asks for probes of the members of a formation, because its head makes no progress.
func (d *Decider) Suspect(group string, epoch uint64) {
	for _, f := range d.plan.Current {
		if f.Group != group || f.Epoch != epoch {
			continue
		}
		for _, id := range f.Members {
			if h, ok := d.hosts[id]; ok {
				h.suspect = true
			}
		}
	}
}

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
)

// probes returns the servers to ask for their state.
func (d *Decider) probes(now time.Time) []Probe {
	var out []Probe
	for _, id := range d.sorted() {
		h := d.hosts[id]
		if h.asked || h.gone {
			continue
		}
		if !h.due(now) {
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
	default:
		return !h.listed && since >= probeUnlisted
	}
}

// forget drops servers that have left for good.
func (d *Decider) forget(now time.Time) {
	for id, h := range d.hosts {
		_, used := d.plan.Of(id)
		if !used && !h.listed && h.lost() && now.Sub(h.probed) > forgetAfter && !d.inRetired(id) {
			delete(d.hosts, id)
		}
	}
}

// forgetAfter is how long a lost server without a group is remembered.
const forgetAfter = 10 * time.Second

func (d *Decider) inRetired(id string) bool {
	for _, f := range d.plan.Retired {
		if f.Has(id) {
			return true
		}
	}
	return false
}
