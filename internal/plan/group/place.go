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

// groupedServerShare is the expected share of servers that are in groups. The others are spares,
// and the remainders of domains that do not divide into groups.
const groupedServerShare = 0.82

// domainSettleTime is how long a domain must have had no new server before groups are formed there
// from servers that have to load weights. Servers that start together register within a few
// seconds. Placing earlier would let small groups take the room of larger ones, and servers would
// load a model although they hold the weights of another.
const domainSettleTime = 700 * time.Millisecond

// freeServers returns the usable servers of a domain that have no place in the plan.
func (d *Decider) freeServers(p *Plan, domain string) []*serverState {
	taken := sets.New[string]()
	for _, f := range p.Current {
		if f.Domain != domain {
			continue
		}
		for _, id := range f.Members {
			taken.Add(id)
		}
	}
	var out []*serverState
	for _, s := range d.inDomain(domain) {
		if s.usable() && !taken.Has(s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// freeWithWeights returns the free servers of a domain that have the weights of a model and that late
// orders do not bind, fastest to join first.
func (d *Decider) freeWithWeights(now time.Time, p *Plan, domain, model string) []*serverState {
	bound := d.boundServers(now, p.Retired)
	out := slices.DeleteFunc(d.freeServers(p, domain), func(s *serverState) bool { return !s.hasWeights(model) || bound.Has(s.ID) })
	d.sortByReadiness(now, out, model)
	return out
}

// sortByReadiness sorts servers by how soon they can join a group of the model.
func (d *Decider) sortByReadiness(now time.Time, list []*serverState, model string) {
	rank := func(s *serverState) int {
		loads := d.loadingModel(now, s)
		switch {
		case s.Model == model:
			return 0
		case s.HasStaged(model):
			return 1
		case loads == model:
			return 2
		case loads == "" && len(s.StagedModels) == 0:
			return 3
		case loads == "":
			return 4
		default:
			return 5
		}
	}
	slices.SortStableFunc(list, func(a, b *serverState) int { return cmp.Compare(rank(a), rank(b)) })
}

// targetGroups returns how many groups a model should have, given the total number of servers.
func targetGroups(model batch.Model, total int) int {
	return int(math.Round(model.WorkFraction * float64(total) * groupedServerShare / float64(model.Hosts)))
}

// placeGroups forms the missing groups of models from free servers.
func (d *Decider) placeGroups(now time.Time, p *Plan) bool {
	input, settling := d.placementInput(now, p)
	if len(input.Requests) == 0 {
		return false
	}
	changed := false
	for _, placement := range form.Place(input) {
		if !placement.Placed() || (settling.Has(placement.Domain) && placement.Reason.Loaded < placement.Reason.Need) {
			continue
		}
		i := slices.IndexFunc(input.Requests, func(r form.Request) bool { return r.Group == placement.Group })
		p.Epoch++
		f := Formation{
			Group: "g" + strconv.FormatUint(p.Epoch, 10), Epoch: p.Epoch, Service: d.cfg.Service,
			Model: input.Requests[i].Weights.Model, Domain: placement.Domain,
		}
		f = d.withMembers(f, placement.Hosts)
		p.Current = append(p.Current, f)
		d.addNote("form", f, string(placement.Reason.Cause))
		changed = true
	}
	return changed
}

// placementInput returns the free servers that late orders do not bind, the missing groups, and the domains that are still
// settling.
func (d *Decider) placementInput(now time.Time, p *Plan) (form.Input, sets.Set[string]) {
	var input form.Input
	dataCentres := make(map[string]string)
	settling := sets.New[string]()
	total := 0
	for _, id := range d.serverIDs() {
		s := d.servers[id]
		if s.Domain == "" || !s.listed || s.lost() || d.isHeld(s.Domain) || d.isOut(s.DataCentre) {
			continue
		}
		total++
		dataCentres[s.Domain] = s.DataCentre
		if now.Sub(s.firstSeen) < domainSettleTime {
			settling.Add(s.Domain)
		}
	}
	bound := d.boundServers(now, p.Retired)
	for _, domain := range slices.Sorted(maps.Keys(dataCentres)) {
		input.Domains = append(input.Domains, form.Domain{Name: domain, DataCentre: dataCentres[domain]})
		for _, s := range d.freeServers(p, domain) {
			if !bound.Has(s.ID) {
				input.Hosts = append(input.Hosts, form.Host{Name: s.ID, Domain: domain, Accelerators: 1, Loaded: loadedWeights(s)})
			}
		}
	}
	input.Requests = d.missingGroups(now, p, total)
	if r, ok := d.extraGroup(now, p, input); ok {
		input.Requests = []form.Request{r}
	}
	return input, settling
}

// loadedWeights returns the weights on the host of a server.
func loadedWeights(s *serverState) []form.Weights {
	out := make([]form.Weights, 0, len(s.StagedModels))
	for _, m := range s.StagedModels {
		out = append(out, form.Weights{Model: m})
	}
	return out
}

// missingGroups returns the groups that models lack for their share of the work.
func (d *Decider) missingGroups(now time.Time, p *Plan, total int) []form.Request {
	current := d.countGroups(p)
	var out []form.Request
	for _, m := range d.cfg.Engine.Models {
		target := d.target(now, m, total)
		for i := current[m.Name]; i < target; i++ {
			out = append(out, form.Request{
				Group: fmt.Sprintf("%s/%d", m.Name, i), Weights: form.Weights{Model: m.Name}, Hosts: m.Hosts,
				// The first missing group of a model is more urgent than the next.
				Shortfall: 1 - float64(i)/float64(target),
			})
		}
	}
	return out
}
