package group

import (
	"maps"
	"slices"
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

// prepare gives the orders that make spares ready.
func (d *Decider) prepare(now time.Time) []Order {
	domains := make(map[string][]*host)
	for _, id := range d.sorted() {
		h := d.hosts[id]
		h.settleDoubts(now)
		if d.placed(id) || !h.usable() || h.Domain == "" || d.heldBack(now, id) {
			continue
		}
		if !h.Member.Some() || standsBy(h.Member) {
			domains[h.Domain] = append(domains[h.Domain], h)
		}
	}
	out := make([]Order, 0, len(domains))
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		out = append(out, d.prepareDomain(now, domain, domains[domain])...)
	}
	return out
}

// placed reports whether a server has a place in the plan in force or in the one that is being stored. Its join would
// have to wait for the load that a spare is told to make.
func (d *Decider) placed(id string) bool {
	_, used := d.placeOf(id)
	if !used && d.next != nil {
		_, used = d.next.Of(id)
	}
	return used
}

// prepareDomain spreads the models of a domain's groups over its spares, by the members that may be lost.
func (d *Decider) prepareDomain(now time.Time, domain string, spares []*host) []Order {
	members := make(map[string]int)
	for _, f := range d.plan.Current {
		if f.Domain == domain {
			members[f.Model] += len(f.Members)
		}
	}
	out := make([]Order, 0, len(spares))
	held := make(map[string]int)
	for len(spares) > 0 {
		model := nextSpare(d.cfg.Engine.Models, members, held)
		if model == "" {
			return out
		}
		held[model]++
		d.sortFor(now, spares, model)
		out = append(out, d.ready(now, spares[0], model)...)
		spares = spares[1:]
	}
	return out
}

// ready gives the next order that makes a spare ready for a model.
func (d *Decider) ready(now time.Time, h *host, model string) []Order {
	switch {
	case h.Model == model || h.Member.State == server.Joining || d.settling(now, h.Domain):
		return nil
	case !h.HasStaged(model):
		if d.loading(now, h) != "" || d.refusedStage(now, h) || !d.mayLoad(now, h, spareLoads) {
			return nil
		}
		return d.give(now, h, Order{Kind: Stage, Model: model})
	default:
		return d.give(now, h, Order{
			Kind: Join, Group: standbyPrefix + h.ID, Epoch: d.plan.Epoch, Model: model, Members: []string{h.ID},
		})
	}
}

// loading returns the model whose weights a server was told to load and does not hold yet, or "".
func (d *Decider) loading(now time.Time, h *host) string {
	o, ok := h.orders[Stage]
	if !ok || h.HasStaged(o.order.Model) || !d.mayRun(now, o) {
		return ""
	}
	return o.order.Model
}

// mayRun reports whether a load that an order has begun may still run.
func (d *Decider) mayRun(now time.Time, o sent) bool {
	m, _ := d.cfg.Engine.Model(o.order.Model)
	return o.outcome != Rejected && now.Sub(o.at) < time.Duration(slowLoad*float64(m.Load))+orderRepeat
}

// slowLoad is the longest time that a load is expected to take, as a multiple of the usual one. Loads that an earlier
// keeper began are not counted and make it slower.
const slowLoad = 1.25

// refusedStage reports whether a server has refused to load weights of late: it is busy with another load.
func (d *Decider) refusedStage(now time.Time, h *host) bool {
	o, ok := h.orders[Stage]
	return ok && o.outcome == Rejected && now.Sub(o.at) < stageAgain
}

// stageAgain is the pause after a server has refused to load weights.
const stageAgain = 3 * time.Second

// settling reports whether a domain still fills up, so that its free servers may soon be in a group.
func (d *Decider) settling(now time.Time, domain string) bool {
	for _, h := range d.in(domain) {
		if now.Sub(h.since) < settle {
			return true
		}
	}
	return false
}

// uncovered is added for a model without a spare, so that it comes before one that has a spare and as many
// members for each.
const uncovered = 0.5

// nextSpare returns the model with most members for each spare that is ready for it, or "".
func nextSpare(models []batch.Model, members, held map[string]int) string {
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

// Bounds of weight loads.
const (
	// loadWindow is the time over which the platform counts loads.
	loadWindow = 5 * time.Second
	// loadShare is the part of the platform's rate that the keeper uses. The rest covers loads that an
	// earlier keeper, or an order that was carried out late, began in the same window.
	loadShare = 0.8
)

// Parts of the loads that may run at the same time. Loads beyond the engine's number slow each other down, so that
// no group is ready before all of them have ended; those of spares leave room for groups that lack a member.
const (
	groupLoads = 1.0
	spareLoads = 0.75
)

// mayLoad reports whether a server may be told to load weights now, and counts the load. part is the part of the
// loads at the same time up to which it may begin.
func (d *Decider) mayLoad(now time.Time, h *host, part float64) bool {
	for _, k := range []Kind{Join, Stage} {
		if o, ok := h.orders[k]; ok && now.Sub(o.at) < orderRepeat {
			return false
		}
	}
	if !d.traffic {
		return true
	}
	if limit := int(d.cfg.Engine.LoadsPerSecond * loadWindow.Seconds() * loadShare); d.loads.Count(now) >= limit {
		return false
	}
	if most := d.cfg.Engine.LoadsAtOnce; most > 0 && float64(d.loadsNow(now, h)) >= part*float64(most) {
		return false
	}
	d.loads.Add(now)
	return true
}

// loadsNow counts the servers but one that load weights.
func (d *Decider) loadsNow(now time.Time, but *host) int {
	n := 0
	for _, h := range d.hosts {
		if h != but && !h.lost() && (d.loading(now, h) != "" || d.joinLoads(now, h)) {
			n++
		}
	}
	return n
}

// joinLoads reports whether a server loads weights in order to join a group.
func (d *Decider) joinLoads(now time.Time, h *host) bool {
	if f, ok := d.placeOf(h.ID); ok && h.in(f) && h.Member.State == server.Joining && !h.holds(f.Model) {
		return true
	}
	o, ok := h.orders[Join]
	return ok && !h.holds(o.order.Model) && d.mayRun(now, o)
}
