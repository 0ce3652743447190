package group

import (
	"strings"
	"time"

	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/route/batch"
)

// Spares get ready for the models of their domain in two steps. A spare first loads the weights of a
// model onto its host, and then joins a group of its own, which never opens: a server whose last group had
// the same model joins the next one in a fraction of the time.

// standbyPrefix begins the names of groups that a spare forms alone.
const standbyPrefix = "standby-"

// standsBy reports whether a membership is that of a spare alone.
func standsBy(m server.Member) bool { return strings.HasPrefix(m.Group, standbyPrefix) }

// stage gives the orders that make spares ready.
func (d *Decider) stage(now time.Time) []Order {
	var out []Order
	domains := make(map[string][]*host)
	for _, id := range d.sorted() {
		h := d.hosts[id]
		if _, used := d.plan.Of(id); used || !h.usable() || h.Domain == "" || d.heldBack(now, id) {
			continue
		}
		if !h.Member.Some() || standsBy(h.Member) {
			domains[h.Domain] = append(domains[h.Domain], h)
		}
	}
	for domain, list := range domains {
		out = append(out, d.stageDomain(now, domain, list)...)
	}
	return out
}

// stageDomain spreads the models of a domain's groups over its spares, by the members that may be lost.
func (d *Decider) stageDomain(now time.Time, domain string, list []*host) []Order {
	members := make(map[string]int)
	for _, f := range d.plan.Current {
		if f.Domain == domain {
			members[f.Model] += len(f.Members)
		}
	}
	var out []Order
	held := make(map[string]int)
	for {
		model := nextStaged(d.cfg.Engine.Models, members, held)
		if model == "" || len(list) == 0 {
			return out
		}
		held[model]++
		sortFor(list, model)
		out = append(out, d.prepare(now, list[0], model)...)
		list = list[1:]
	}
}

// prepare gives the next order that makes a spare ready for a model.
func (d *Decider) prepare(now time.Time, h *host, model string) []Order {
	switch {
	case h.Model == model:
		return nil
	case !h.HasStaged(model):
		o, ok := h.orders[Stage]
		loading := ok && o.order.Model == model && (!o.done || o.accepted) && now.Sub(o.at) < d.stagingTime(model)
		if loading || h.Member.State == server.Joining || !d.mayLoad(now, h) {
			return nil
		}
		return d.give(now, h, Order{Kind: Stage, Model: model})
	case h.Member.State == server.Joining || d.settling(now, h):
		return nil
	default:
		return d.give(now, h, Order{
			Kind: Join, Group: standbyPrefix + h.ID, Epoch: d.plan.Epoch, Model: model, Members: []string{h.ID},
		})
	}
}

// settling reports whether the domain of a server still fills up, so that it may soon be in a group.
func (d *Decider) settling(now time.Time, h *host) bool {
	for _, o := range d.hosts {
		if o.Domain == h.Domain && now.Sub(o.since) < settle {
			return true
		}
	}
	return false
}

// stagingTime is how long a load may take before it is ordered again.
func (d *Decider) stagingTime(model string) time.Duration {
	m, _ := d.cfg.Engine.Model(model)
	return 2*m.Load + orderRepeat
}

// nextStaged returns the model with most members for each spare that is ready for it.
func nextStaged(models []batch.Model, members, held map[string]int) string {
	best, most := "", 0.0
	for _, m := range models {
		score := float64(members[m.Name]) / float64(held[m.Name]+1)
		if members[m.Name] > 0 && held[m.Name] == 0 {
			score += uncovered
		}
		if score > most {
			best, most = m.Name, score
		}
	}
	return best
}

// uncovered is added for a model without a spare, so that it comes before one that has a spare and as many
// members for each.
const uncovered = 0.5
