package group

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/route/batch"
)

// Where the number of servers of a service follows demand, the number of groups of each model does, too. Groups beyond that number
// make room for another model if it lacks groups, unless requests of their own model are late. Otherwise they are kept, because loading
// the weights of another model takes long. Data centres that are out of service are left out, as their groups serve nothing.

// Targets are the desired numbers of groups.
type Targets struct {
	// Groups holds the number of groups by model, or is nil while the size of demand is not known. Urgent has the models whose open
	// groups cannot carry their demand, and Late those whose requests are late or refused.
	Groups map[string]int
	Urgent map[string]bool
	Late   map[string]bool
}

// FollowDemand sets whether the number of groups of each model follows demand. targets is nil while there is no demand.
func (d *Decider) FollowDemand(follow bool, targets *Targets) {
	d.follows, d.targets = follow, targets
	if follow && targets != nil {
		// This process may not have served callers itself.
		d.TrafficStarted()
	}
}

// Times of changes for another model.
const (
	// urgentNeedTime is how long a model whose groups are overloaded must have lacked groups before others make room. For other
	// models it is as long as a load of weights takes, so that the groups are not needed elsewhere once they can serve.
	urgentNeedTime = 500 * time.Millisecond
	// roomCloseTimeout limits the time that a group has to finish its requests before it makes room.
	roomCloseTimeout = 8 * time.Second
	// maxStagger is how long a draining member waits while other groups of its model are formed anew. The platform lets it stay for
	// 10 s while its head has requests.
	maxStagger = 5 * time.Second
	// scaledCloseTimeout is the closeTimeout of a group with a draining member. Scaling in has many groups finish their requests, so
	// more of them would be cut off. With maxStagger it is less than a draining member may stay.
	scaledCloseTimeout = 4 * time.Second
	// staggerShare is the share of the groups of a model that may be formed anew at the same time because members are draining. The
	// platform may end many servers at once when it is told to have fewer.
	staggerShare = 0.25
	// inheritTime is how long a new keeper keeps the numbers of groups of the plan although it has not heard of callers. Nodes report
	// demand once a second.
	inheritTime = 3 * time.Second
)

// memberReassigned is the reason to dissolve a group whose members another model needs.
const memberReassigned = "member_reassigned"

// target returns the number of groups that a model should have. total is the number of servers.
func (d *Decider) target(now time.Time, m batch.Model, total int) int {
	switch {
	case d.byDemand():
		return d.targets.Groups[m.Name]
	case d.keepsInherited(now):
		return d.inherited[m.Name]
	default:
		return targetGroups(m, total)
	}
}

// keepsInherited reports whether a decider that continues from a plan keeps its numbers of groups, because the configured shares of the
// work may be far from demand. Only before there are callers the shares may be better than an unfinished plan.
func (d *Decider) keepsInherited(now time.Time) bool {
	return d.follows && len(d.inherited) > 0 && (d.trafficStarted || now.Sub(d.startedAt) < inheritTime)
}

// byDemand reports whether the number of groups follows known demand.
func (d *Decider) byDemand() bool { return d.follows && d.targets != nil && d.targets.Groups != nil }

// isOut reports whether the servers of a data centre get no requests, and are therefore left out.
func (d *Decider) isOut(dataCentre string) bool {
	return d.follows && d.view != nil && d.view.OutOfService.Has(dataCentre)
}

// isOutDomain reports whether a domain is in a data centre that is left out.
func (d *Decider) isOutDomain(domain string) bool {
	servers := d.inDomain(domain)
	return len(servers) > 0 && d.isOut(servers[0].DataCentre)
}

// countGroups counts the current formations by model, without those that are left out or make room.
func (d *Decider) countGroups(p *Plan) map[string]int {
	out := make(map[string]int)
	for _, f := range p.Current {
		if !d.isOutDomain(f.Domain) && !d.dissolving.Has(f.key()) {
			out[f.Model]++
		}
	}
	return out
}

// isSurplus reports whether a group that has lost a member is not formed anew, because its model has more groups than it should have
// and another one lacks some.
func (d *Decider) isSurplus(p *Plan, f Formation) bool {
	if !d.byDemand() || d.isOutDomain(f.Domain) || d.targets.Late[f.Model] {
		return false
	}
	counts := d.countGroups(p)
	return counts[f.Model] > d.targets.Groups[f.Model] && slices.ContainsFunc(d.cfg.Engine.Models, func(m batch.Model) bool {
		return m.Name != f.Model && counts[m.Name] < d.targets.Groups[m.Name]
	})
}

// wantedShare returns the number of groups that a model should have in relation to other models.
func (d *Decider) wantedShare(m batch.Model) float64 {
	if d.byDemand() {
		return float64(d.targets.Groups[m.Name])
	}
	return m.WorkFraction / float64(max(1, m.Hosts))
}

// extraGroup returns a request for one more group than is missing, or false if none fits or a missing one does. Free servers that make up
// a group are used: by the model that has the least of what it should have, or before there are callers, when weights load much faster
// than later, of its configured share.
func (d *Decider) extraGroup(now time.Time, p *Plan, input form.Input) (form.Request, bool) {
	if !d.byDemand() && (!d.follows || d.trafficStarted || d.keepsInherited(now)) {
		return form.Request{}, false
	}
	free, largest := make(map[string]int), 0
	for _, h := range input.Hosts {
		free[h.Domain]++
		largest = max(largest, free[h.Domain])
	}
	for _, domain := range input.Domains {
		// Servers that late orders still bind, or whose groups make room, will be free for a missing group.
		room := d.room(p, domain.Name, 0)
		if slices.ContainsFunc(input.Requests, func(r form.Request) bool { return r.Hosts <= room }) {
			return form.Request{}, false
		}
	}
	var best batch.Model
	current, least := d.countGroups(p), math.Inf(1)
	for _, m := range d.cfg.Engine.Models {
		wanted := d.wantedShare(m)
		if share := float64(current[m.Name]) / wanted; wanted > 0 && m.Hosts <= largest && share < least {
			best, least = m, share
		}
	}
	if best.Hosts == 0 {
		return form.Request{}, false
	}
	return form.Request{Group: best.Name + "/extra", Weights: form.Weights{Model: best.Name}, Hosts: best.Hosts}, true
}

// makeRoom chooses groups of models that have more than they need to be dissolved, if another model needs their servers.
func (d *Decider) makeRoom(now time.Time, p *Plan) {
	if !d.byDemand() {
		d.dissolving = sets.New[index.Formation]()
		clear(d.lackingSince)
		return
	}
	d.keepNeeded(p)
	for _, m := range d.cfg.Engine.Models {
		lacking := d.targets.Groups[m.Name] - d.countGroups(p)[m.Name]
		for domain := range d.lookup().domains {
			lacking -= d.room(p, domain, 0) / m.Hosts
		}
		if lacking <= 0 {
			delete(d.lackingSince, m.Name)
			continue
		}
		since, ok := d.lackingSince[m.Name]
		if !ok {
			since, d.lackingSince[m.Name] = now, now
		}
		wait := m.ColdLoadTime
		if d.targets.Urgent[m.Name] {
			wait = urgentNeedTime
		}
		for now.Sub(since) >= wait && lacking > 0 {
			gain := d.dissolveFor(p, m)
			if gain == 0 {
				break
			}
			lacking -= gain
		}
	}
}

// keepNeeded forgets dissolving formations that are gone, and keeps those that their model needs by now.
func (d *Decider) keepNeeded(p *Plan) {
	remaining := sets.New[index.Formation]()
	for _, f := range p.Current {
		if !d.dissolving.Has(f.key()) {
			continue
		}
		d.dissolving.Remove(f.key())
		if d.countGroups(p)[f.Model] > d.targets.Groups[f.Model] && !d.targets.Late[f.Model] {
			remaining.Add(f.key())
		}
	}
	d.dissolving = remaining
}

// room returns the number of servers of a domain for groups: those that are free, those of groups that make room, and extra ones.
func (d *Decider) room(p *Plan, domain string, extra int) int {
	if domain == "" || d.isHeld(domain) || d.isOutDomain(domain) {
		return 0
	}
	n := len(d.freeServers(p, domain)) + extra
	for _, f := range p.Current {
		if f.Domain == domain && d.dissolving.Has(f.key()) {
			n += len(f.Members)
		}
	}
	return n
}

// isRoomForOther reports whether the servers that are free in a domain suffice for a group that another model lacks, and would not if a
// group moved there. It would take the room that other groups have made.
func (d *Decider) isRoomForOther(p *Plan, domain string, f *Formation) bool {
	if !d.byDemand() {
		return false
	}
	counts, room := d.countGroups(p), d.room(p, domain, 0)
	return slices.ContainsFunc(d.cfg.Engine.Models, func(m batch.Model) bool {
		return m.Name != f.Model && counts[m.Name] < d.targets.Groups[m.Name] && room >= m.Hosts && room-len(f.Members) < m.Hosts
	})
}

// roomChoice is a choice of groups of one domain that make room.
type roomChoice struct {
	formations []Formation
	// gain is the number of groups for which there is then room. loaded is the number of their servers that have the weights.
	gain   int
	loaded int
	// alike is the number of groups of the same model in the domain. Large groups that share a domain leave more servers over when
	// it loses some.
	alike int
}

// better reports whether a choice is better than another one.
func (c roomChoice) better(o roomChoice) bool {
	if len(o.formations) == 0 {
		return true
	}
	return cmp.Or(cmp.Compare(c.gain*len(o.formations), o.gain*len(c.formations)), cmp.Compare(c.loaded, o.loaded), cmp.Compare(c.alike, o.alike)) > 0
}

// dissolveFor chooses groups to dissolve so that there is room for a group of a model, and returns the number of groups for which
// there is then room, or 0 if there is no choice.
func (d *Decider) dissolveFor(p *Plan, m batch.Model) int {
	var best roomChoice
	counts := d.countGroups(p)
	for _, domain := range slices.Sorted(maps.Keys(d.lookup().domains)) {
		if d.isHeld(domain) || d.isOutDomain(domain) {
			continue
		}
		for _, other := range d.cfg.Engine.Models {
			surplus := counts[other.Name] - d.targets.Groups[other.Name]
			if other.Name == m.Name || surplus <= 0 || d.targets.Late[other.Name] {
				continue
			}
			if c := d.roomIn(p, domain, m, other.Name, surplus); c.gain > 0 && c.better(best) {
				best = c
			}
		}
	}
	for _, f := range best.formations {
		d.dissolving.Add(f.key())
		d.addNote("make_room", f, m.Name)
	}
	return best.gain
}

// roomIn returns the fewest groups of a model, at most limit, that make room for a group of another one in a domain.
func (d *Decider) roomIn(p *Plan, domain string, need batch.Model, model string, limit int) roomChoice {
	var groups []Formation
	for _, f := range p.Current {
		if f.Domain == domain && f.Model == model && !d.dissolving.Has(f.key()) {
			groups = append(groups, f)
		}
	}
	// Groups that do not serve come first, then the latest.
	slices.SortStableFunc(groups, func(a, b Formation) int {
		return cmp.Or(cmp.Compare(serving(d, a), serving(d, b)), cmp.Compare(b.Epoch, a.Epoch))
	})
	before, c, extra := d.room(p, domain, 0)/need.Hosts, roomChoice{alike: len(groups)}, 0
	for _, s := range d.freeServers(p, domain) {
		if s.hasWeights(need.Name) {
			c.loaded++
		}
	}
	for _, f := range groups[:min(len(groups), limit)] {
		c.formations = append(c.formations, f)
		extra += len(f.Members)
		for _, id := range f.Members {
			if s := d.servers[id]; s != nil && s.hasWeights(need.Name) {
				c.loaded++
			}
		}
		if c.gain = d.room(p, domain, extra)/need.Hosts - before; c.gain > 0 {
			return c
		}
	}
	return roomChoice{}
}

// serving returns 1 if a formation serves, else 0.
func serving(d *Decider, f Formation) int {
	if d.serves(f) {
		return 1
	}
	return 0
}

// closeForRoom starts closing a group that makes room. It returns the reason to dissolve it, or "" if it still has requests, and
// whether it is closing.
func (d *Decider) closeForRoom(now time.Time, f Formation) (string, bool) {
	if !d.dissolving.Has(f.key()) {
		return "", false
	}
	since, ok := d.closingSince[f.key()]
	if !ok {
		since, d.closingSince[f.key()] = now, now
	}
	if d.serves(f) && now.Sub(since) < roomCloseTimeout {
		return "", true
	}
	return memberReassigned, true
}

// mayWait reports whether a draining member may stay for now because other groups of its model are being formed anew.
func (d *Decider) mayWait(now time.Time, p *Plan, f Formation, id string) bool {
	_, closing := d.closingSince[f.key()]
	if !d.follows || closing || now.Sub(d.servers[id].drainingSince) >= maxStagger || !d.serves(f) {
		return false
	}
	total, down := 0, 0
	for _, o := range p.Current {
		if o.Model != f.Model || d.isOutDomain(o.Domain) {
			continue
		}
		total++
		_, closes := d.closingSince[o.key()]
		head := d.servers[o.Head()]
		open := head != nil && head.isMemberOf(o) && head.Member.State == server.Open
		if closes || !open && len(d.unloadedMembers(o)) == 0 { // Groups that load weights take much longer.
			down++
		}
	}
	return down >= int(math.Ceil(staggerShare*float64(total)))
}
