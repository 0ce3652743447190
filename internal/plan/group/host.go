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
	// listed says that the registry has it, since says since when.
	listed bool
	since  time.Time
	// leaves is when it was first seen to be draining; zero for a server that was so when it was first seen, as it may
	// have been for long.
	leaves time.Time
	// known is set once the server has said of itself, in the registry or to a probe. Before that nothing
	// is known of its membership.
	known bool
	// gone is proof that the process has ended.
	gone bool
	// misses counts probes in a row without an answer; confirmed is when one was answered last.
	misses    int
	confirmed time.Time
	// excused counts misses that did not count, see Decider.Missed.
	excused int
	// probed is when the last probe was sent; asked says that its result is awaited, suspect that one is
	// wanted.
	probed  time.Time
	asked   bool
	suspect bool
	// pace is how many times slower than usual it works, 0 if that is not known.
	pace float64
	// beat is the last renewal of its registration, beatAt when it was first seen.
	beat   uint64
	beatAt time.Time
	// unseen says that other nodes do not reach it either; witnessed is when they were asked.
	unseen    bool
	witnessed time.Time
	// orders are the latest orders, by kind.
	orders map[Kind]sent
	// epoch is the highest epoch that it is known to have seen. It refuses to join with a lower one.
	epoch uint64
	// doubtful are epochs of orders that were not answered and may be carried out late.
	doubtful map[uint64]time.Time
}

func newHost(now time.Time) *host {
	return &host{since: now, orders: make(map[Kind]sent), doubtful: make(map[uint64]time.Time)}
}

// lostMisses is how many probes in a row a server leaves unanswered before it counts as lost.
const lostMisses = 2

// lost reports whether the server must be taken as gone.
func (h *host) lost() bool { return h.gone || h.misses >= lostMisses }

// usable reports whether the server may be given to a group.
func (h *host) usable() bool {
	return h.listed && !h.Draining && !h.gone && h.misses == 0 && !h.slow()
}

// slowPace is the pace from which on a server is left out of groups where another one is free.
const slowPace = 1.8

func (h *host) slow() bool { return h.pace >= slowPace }

// holds reports whether the server can join a group of a model without a load.
func (h *host) holds(model string) bool { return h.Model == model || h.HasStaged(model) }

// in reports whether the server says that it has a place in a formation.
func (h *host) in(f Formation) bool { return h.Member.Of(f.Group, f.Epoch) }

// take takes what a server says of its membership and weights.
func (h *host) take(i server.Info) {
	h.known = true
	h.Member, h.Staged, h.Model = i.Member, i.Staged, i.Model
	h.epoch = max(h.epoch, i.Member.Epoch)
}

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
	if h, ok := d.hosts[e.ID]; ok && h.entry == e && h.listed {
		return
	}
	h := d.recordOf(now, e)
	news := !h.listed || h.entry.Expired || !h.Same(e.Info)
	h.entry, h.Info, h.listed = e, e.Info, true
	h.take(e.Info)
	if e.Expired {
		h.suspect = true
		return
	}
	if !news {
		// A repeated read of the registry proves no life.
		return
	}
	h.gone, h.misses, h.excused = false, 0, 0
	if e.Member.State == server.Broken {
		d.Suspect(e.Member.Group, e.Member.Epoch)
	}
}

// recordOf returns the record of a listed server, a new one for a process that was not known.
func (d *Decider) recordOf(now time.Time, e *index.Entry) *host {
	h, ok := d.hosts[e.ID]
	if !ok || !h.SameLife(e.Info) {
		h = newHost(now)
		d.hosts[e.ID] = h
		d.moved()
		return h
	}
	if e.Draining && !h.Draining && h.listed {
		h.leaves = now
	}
	if h.Domain != e.Domain {
		d.moved()
	}
	return h
}

// Suspect asks for probes of the members of a formation, because its head makes no progress or is slow.
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

// forgetAfter is how long a lost server without a group is remembered.
const forgetAfter = 10 * time.Second

// forget drops servers that have left for good.
func (d *Decider) forget(now time.Time) {
	for id, h := range d.hosts {
		if h.listed || !h.lost() || now.Sub(h.probed) <= forgetAfter {
			continue
		}
		if _, used := d.placeOf(id); !used && !d.retired(id) {
			delete(d.hosts, id)
			d.moved()
		}
	}
}

// retired reports whether a server was a member of a formation that is still held as retired.
func (d *Decider) retired(id string) bool {
	for _, f := range d.plan.Retired {
		if f.Has(id) {
			return true
		}
	}
	return false
}
