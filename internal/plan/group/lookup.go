package group

import (
	"maps"
	"slices"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
)

// lookup holds the hosts and the plan in the forms in which each step searches them. It is made anew when they change: at
// thousands of servers, a search of all of them for each server takes more time than a step has.
type lookup struct {
	// ids are the IDs of all hosts in order, domains the hosts of each domain in the order of their IDs.
	ids     []string
	domains map[string][]*host
	// places are the formations of the plan in force, by member.
	places map[string]Formation
	// planned are the formations of the plan in force, the retired ones among them.
	planned sets.Set[index.Formation]
}

// find returns the lookup of the hosts and the plan as they are.
func (d *Decider) find() *lookup {
	if d.found != nil {
		return d.found
	}
	l := &lookup{
		ids: slices.Sorted(maps.Keys(d.hosts)), domains: make(map[string][]*host), places: make(map[string]Formation),
		planned: sets.New[index.Formation](),
	}
	for _, id := range l.ids {
		h := d.hosts[id]
		l.domains[h.Domain] = append(l.domains[h.Domain], h)
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
	d.found = l
	return l
}

// sorted returns the IDs of all hosts, so that decisions do not depend on the order of a map.
func (d *Decider) sorted() []string { return d.find().ids }

// in returns the hosts of a domain in the order of their IDs.
func (d *Decider) in(domain string) []*host { return d.find().domains[domain] }

// placeOf returns the formation of a server in the plan in force.
func (d *Decider) placeOf(id string) (Formation, bool) {
	f, ok := d.find().places[id]
	return f, ok
}

// moved notes that the hosts, their domains or the plan have changed.
func (d *Decider) moved() { d.found = nil }
