package group

import (
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/route/batch"
)

// Spares are prepared for the models of their domain in two steps. A spare first loads the weights
// of a model onto its host. It then joins a group of its own, which never opens: a server whose
// last group had the same model joins the next group in a fraction of the time.

// standbyPrefix is the prefix of the names of groups that consist of one spare.
const standbyPrefix = "standby-"

// isStandby reports whether a membership is in a group that consists of one spare.
func isStandby(m server.Member) bool { return strings.HasPrefix(m.Group, standbyPrefix) }

// spareOrders returns the orders that prepare spares. It also removes unanswered orders that can no
// longer be executed.
func (d *Decider) spareOrders(now time.Time) []Order {
	domains := make(map[string][]*serverState)
	for _, id := range d.serverIDs() {
		s := d.servers[id]
		s.expireUnconfirmed(now, d.lookup().planned)
		if d.hasPlace(id) || !s.memberKnown || d.isHeld(s.Domain) || !s.usable() || s.Domain == "" || d.boundToRetired(now, id) {
			continue
		}
		if !s.Member.InGroup() || isStandby(s.Member) {
			domains[s.Domain] = append(domains[s.Domain], s)
		}
	}
	out := make([]Order, 0, len(domains))
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		out = append(out, d.domainSpareOrders(now, domain, domains[domain])...)
	}
	return out
}

// hasPlace reports whether a server has a place in the plan in force or in the plan that is being
// stored. Preparing such a server would make its join wait for the load.
func (d *Decider) hasPlace(id string) bool {
	_, used := d.formationOf(id)
	if !used && d.pending != nil {
		_, used = d.pending.FormationOf(id)
	}
	return used
}

// domainSpareOrders distributes the spares of a domain over the models of its groups, in proportion
// to the number of group members of each model. More members need more spares to cover losses.
func (d *Decider) domainSpareOrders(now time.Time, domain string, idle []*serverState) []Order {
	members := make(map[string]int)
	for _, f := range d.plan.Current {
		if f.Domain == domain {
			members[f.Model] += len(f.Members)
		}
	}
	out := make([]Order, 0, len(idle))
	spares := make(map[string]int)
	for len(idle) > 0 {
		model := nextSpareModel(d.cfg.Engine.Models, members, spares)
		if model == "" {
			return out
		}
		spares[model]++
		d.sortByReadiness(now, idle, model)
		out = append(out, d.readySpare(now, idle[0], model)...)
		idle = idle[1:]
	}
	return out
}

// readySpare returns the next order that prepares a spare for a model.
func (d *Decider) readySpare(now time.Time, s *serverState, model string) []Order {
	switch {
	case s.Model == model || s.Member.State == server.Joining || d.isSettling(now, s.Domain):
		return nil
	case !s.HasStaged(model):
		if d.loadingModel(now, s) != "" || d.stageRejected(now, s) || !d.reserveLoad(now, s, spareLoadShare) {
			return nil
		}
		return d.issue(now, s, Order{Kind: Stage, Model: model})
	default:
		return d.issue(now, s, Order{
			Kind: Join, Group: standbyPrefix + s.ID, Epoch: d.plan.Epoch, Model: model, Members: []string{s.ID},
		})
	}
}

// loadingModel returns the model whose weights a server was ordered to load and does not have yet,
// or "".
func (d *Decider) loadingModel(now time.Time, s *serverState) string {
	o, ok := s.lastOrders[Stage]
	if !ok || s.HasStaged(o.order.Model) || !d.loadMayRun(now, o) {
		return ""
	}
	return o.order.Model
}

// loadMayRun reports whether a load that an order started may still be running.
func (d *Decider) loadMayRun(now time.Time, o sentOrder) bool {
	m, _ := d.cfg.Engine.Model(o.order.Model)
	return o.outcome != Rejected && now.Sub(o.at) < time.Duration(maxLoadFactor*float64(m.ColdLoadTime))+orderRetryInterval
}

// maxLoadFactor is the longest expected duration of a load, as a multiple of the usual one. It
// allows for loads that an earlier keeper started, which are not counted and slow others down.
const maxLoadFactor = 1.25

// stageRejected reports whether a server has recently refused to load weights because it is busy
// with another load.
func (d *Decider) stageRejected(now time.Time, s *serverState) bool {
	o, ok := s.lastOrders[Stage]
	return ok && o.outcome == Rejected && now.Sub(o.at) < stageRetryDelay
}

// stageRetryDelay is the delay after a server has refused to load weights.
const stageRetryDelay = 3 * time.Second

// isSettling reports whether servers are still being added to a domain, so that its free servers
// may soon be in a group.
func (d *Decider) isSettling(now time.Time, domain string) bool {
	for _, s := range d.inDomain(domain) {
		if now.Sub(s.firstSeen) < domainSettleTime {
			return true
		}
	}
	return false
}

// noSpareBonus is added to the score of a model without a spare, so that it precedes a model with
// one spare and the same number of members per spare.
const noSpareBonus = 0.5

// nextSpareModel returns the model with the most members per prepared spare, or "".
func nextSpareModel(models []batch.Model, members, spares map[string]int) string {
	best, most := "", 0.0
	for _, m := range models {
		score := float64(members[m.Name]) / float64(spares[m.Name]+1)
		if members[m.Name] > 0 && spares[m.Name] == 0 {
			score += noSpareBonus
		}
		if score > most {
			best, most = m.Name, score
		}
	}
	return best
}

// Limits of the rate of weight loads.
const (
	// loadWindow is the time over which the platform counts loads.
	loadWindow = 5 * time.Second
	// loadRateShare is the share of the platform's rate that the keeper uses. The rest covers loads
	// that were started in the same window by an earlier keeper or by a delayed order.
	loadRateShare = 0.8
)

// Shares of the concurrent loads that the engine supports. More loads slow each other down, so that
// no group is ready before all of them have ended. The share of spares leaves room for groups that
// lack a member.
const (
	groupLoadShare = 1.0
	spareLoadShare = 0.75
)

// reserveLoad reports whether a server may be ordered to load weights now, and counts the load if
// loads are limited. share is the share of the concurrent loads that the caller may use.
func (d *Decider) reserveLoad(now time.Time, s *serverState, share float64) bool {
	for _, k := range []Kind{Join, Stage} {
		if o, ok := s.lastOrders[k]; ok && now.Sub(o.at) < orderRetryInterval {
			return false
		}
	}
	if !d.trafficStarted {
		return true
	}
	if limit := int(d.cfg.Engine.LoadsPerSecond * loadWindow.Seconds() * loadRateShare); d.recentLoads.Count(now) >= limit {
		return false
	}
	if limit := d.cfg.Engine.LoadsAtOnce; limit > 0 && float64(d.runningLoads(now, s)) >= share*float64(limit) {
		return false
	}
	d.recentLoads.Add(now)
	return true
}

// runningLoads counts the servers, except one, that are loading weights.
func (d *Decider) runningLoads(now time.Time, except *serverState) int {
	n := 0
	for _, s := range d.servers {
		if s != except && !s.lost() && (d.loadingModel(now, s) != "" || d.joinLoadsWeights(now, s)) {
			n++
		}
	}
	return n
}

// joinLoadsWeights reports whether a server is loading weights in order to join a group.
func (d *Decider) joinLoadsWeights(now time.Time, s *serverState) bool {
	if f, ok := d.formationOf(s.ID); ok && s.isMemberOf(f) && s.Member.State == server.Joining && !s.hasWeights(f.Model) {
		return true
	}
	o, ok := s.lastOrders[Join]
	return ok && !s.hasWeights(o.order.Model) && d.loadMayRun(now, o)
}
