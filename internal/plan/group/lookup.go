package group

import (
	"maps"
	"slices"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
)

// planIndex indexes the servers and the plan for the lookups of a step. It is rebuilt when they
// change. With thousands of servers, scanning all of them for each server takes longer than a step
// may take.
type planIndex struct {
	// ids holds the sorted IDs of all servers. domains holds the servers of each domain, sorted by
	// ID.
	ids     []string
	domains map[string][]*serverState
	// places holds the current formations of the plan in force, by member.
	places map[string]Formation
	// planned holds the current and retired formations of the plan in force.
	planned sets.Set[index.Formation]
}

// lookup returns the index of the current servers and plan.
func (d *Decider) lookup() *planIndex {
	if d.index != nil {
		return d.index
	}
	l := &planIndex{
		ids: slices.Sorted(maps.Keys(d.servers)), domains: make(map[string][]*serverState), places: make(map[string]Formation),
		planned: sets.New[index.Formation](),
	}
	for _, id := range l.ids {
		s := d.servers[id]
		l.domains[s.Domain] = append(l.domains[s.Domain], s)
	}
	for _, f := range d.plan.Retired {
		l.planned.Add(f.key())
	}
	for _, f := range d.plan.Current {
		l.planned.Add(f.key())
		for _, id := range f.Members {
			l.places[id] = f
		}
	}
	d.index = l
	return l
}

// serverIDs returns the sorted IDs of all servers. Decisions must not depend on map order.
func (d *Decider) serverIDs() []string { return d.lookup().ids }

// inDomain returns the servers of a domain, sorted by ID.
func (d *Decider) inDomain(domain string) []*serverState { return d.lookup().domains[domain] }

// formationOf returns the formation of a server in the plan in force.
func (d *Decider) formationOf(id string) (Formation, bool) {
	f, ok := d.lookup().places[id]
	return f, ok
}

// invalidateIndex must be called when the servers, their domains or the plan have changed.
func (d *Decider) invalidateIndex() { d.index = nil }
