package group

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/route/batch"
)

// groupShare is the part of all servers that is expected to be in groups: the rest are spares, and what
// groups leave over in their domains.
const groupShare = 0.82

// settle is how long no server of a domain must have been new before groups are formed there of servers that
// have to load weights. Servers that start together register over some seconds; small groups would take the
// room of larger ones, and servers would load one model that hold another.
const settle = 700 * time.Millisecond

// free returns the usable servers of a domain that have no place in the plan.
func (d *Decider) free(p *Plan, domain string) []*host {
	taken := sets.New[string]()
	for _, f := range p.Current {
		if f.Domain != domain {
			continue
		}
		for _, id := range f.Members {
			taken.Add(id)
		}
	}
	var out []*host
	for _, h := range d.in(domain) {
		if h.usable() && !taken.Has(h.ID) {
			out = append(out, h)
		}
	}
	return out
}

// holders returns the free servers of a domain that hold the weights of a model, those that join soonest first.
func (d *Decider) holders(now time.Time, p *Plan, domain, model string) []*host {
	out := slices.DeleteFunc(d.free(p, domain), func(h *host) bool { return !h.holds(model) })
	d.sortFor(now, out, model)
	return out
}

// sortFor puts servers first that can join a group of the model soonest.
func (d *Decider) sortFor(now time.Time, list []*host, model string) {
	rank := func(h *host) int {
		loads := d.loading(now, h)
		switch {
		case h.Model == model:
			return 0
		case h.HasStaged(model):
			return 1
		case loads == model:
			return 2
		case loads == "" && len(h.Staged) == 0:
			return 3
		case loads == "":
			return 4
		default:
			return 5
		}
	}
	slices.SortStableFunc(list, func(a, b *host) int { return cmp.Compare(rank(a), rank(b)) })
}

// wanted returns how many groups a model should have of so many servers.
func wanted(m batch.Model, total int) int {
	return int(math.Round(m.Share * float64(total) * groupShare / float64(m.Hosts)))
}

// place forms the groups that models lack, of free servers.
func (d *Decider) place(now time.Time, p *Plan) bool {
	in, arriving := d.room(now, p)
	if len(in.Requests) == 0 {
		return false
	}
	changed := false
	for _, c := range form.Place(in) {
		if !c.Placed() || (arriving.Has(c.Domain) && c.Reason.Loaded < c.Reason.Need) {
			continue
		}
		i := slices.IndexFunc(in.Requests, func(r form.Request) bool { return r.Group == c.Group })
		p.Epoch++
		p.Names++
		f := Formation{
			Group: "g" + strconv.Itoa(p.Names), Epoch: p.Epoch, Service: d.cfg.Service,
			Model: in.Requests[i].Weights.Model, Domain: c.Domain, Members: c.Hosts,
			Addresses: d.addresses(c.Hosts),
		}
		p.Current = append(p.Current, f)
		d.note("form", f, string(c.Reason.Cause))
		changed = true
	}
	return changed
}

// room returns the free servers and the groups that models lack, and the domains that still fill up.
func (d *Decider) room(now time.Time, p *Plan) (form.Input, sets.Set[string]) {
	var in form.Input
	centres := make(map[string]string)
	arriving := sets.New[string]()
	total := 0
	for _, id := range d.sorted() {
		h := d.hosts[id]
		if h.Domain == "" || !h.listed || h.lost() {
			continue
		}
		total++
		centres[h.Domain] = h.DataCentre
		if now.Sub(h.since) < settle {
			arriving.Add(h.Domain)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(centres)) {
		in.Domains = append(in.Domains, form.Domain{Name: domain, DataCentre: centres[domain]})
		for _, h := range d.free(p, domain) {
			in.Hosts = append(in.Hosts, form.Host{Name: h.ID, Domain: domain, Accelerators: 1, Loaded: weights(h)})
		}
	}
	in.Requests = d.lacking(p, total)
	return in, arriving
}

// weights returns what a server has loaded, in the terms of placing.
func weights(h *host) []form.Weights {
	out := make([]form.Weights, 0, len(h.Staged))
	for _, m := range h.Staged {
		out = append(out, form.Weights{Model: m})
	}
	return out
}

// lacking returns the groups that models have less than their share of the work asks for.
func (d *Decider) lacking(p *Plan, total int) []form.Request {
	have := make(map[string]int)
	for _, f := range p.Current {
		have[f.Model]++
	}
	var out []form.Request
	for _, m := range d.cfg.Engine.Models {
		want := wanted(m, total)
		for i := have[m.Name]; i < want; i++ {
			out = append(out, form.Request{
				Group: fmt.Sprintf("%s/%d", m.Name, i), Weights: form.Weights{Model: m.Name}, Hosts: m.Hosts,
				// The first group that a model lacks is worth more than the next.
				Lack: 1 - float64(i)/float64(want),
			})
		}
	}
	return out
}
