package drain

import (
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plat/hosts"
)

// Set says which backend servers get no new work. It is immutable; the With methods return changed
// copies. The zero value allows everything.
type Set struct {
	doc     *schema.Document
	leaving sets.Set[string]
	// home is the only data centre that is allowed, or "" for all.
	home string
	// servers and dataCentres are what the document and the list take out.
	servers     sets.Set[string]
	dataCentres sets.Set[string]
}

// WithDocument returns a set for another version of the configuration.
func (s Set) WithDocument(doc *schema.Document) Set {
	s.doc = doc
	return s.rebuilt()
}

// WithHosts returns a set for another answer of the platform's list: backend servers on hosts that
// are marked as leaving get no new work. A host that the list does not have says nothing: the list
// may not cover it.
func (s Set) WithHosts(list []hosts.Host) Set {
	s.leaving = sets.New[string]()
	for _, h := range list {
		if h.State == hosts.Leaving {
			s.leaving.Add(h.Name)
		}
	}
	return s.rebuilt()
}

// WithHome returns a set that allows one data centre only, or all for "". A node that is cut off
// and may go on with its own data centre uses it.
func (s Set) WithHome(dataCentre string) Set {
	s.home = dataCentre
	return s
}

// Allowed reports whether a backend server may get new work.
func (s Set) Allowed(server, dataCentre string) bool {
	if s.home != "" && dataCentre != s.home {
		return false
	}
	return !s.servers.Has(server) && !s.dataCentres.Has(dataCentre)
}

// Home returns the only data centre that is allowed, or "" for all.
func (s Set) Home() string { return s.home }

// Draining returns the backend servers that get no new work because of themselves or their hosts.
// The set must not be changed.
func (s Set) Draining() sets.Set[string] { return s.servers }

// rebuilt returns s with its indexes made anew.
func (s Set) rebuilt() Set {
	s.servers, s.dataCentres = sets.New[string](), sets.New[string]()
	if s.doc == nil {
		return s
	}
	for _, dc := range s.doc.DataCentres {
		if !dc.InService {
			s.dataCentres.Add(dc.Name)
		}
	}
	out := sets.New[string]()
	for _, h := range s.doc.Hosts {
		if !h.InService || s.leaving.Has(h.Name) {
			out.Add(h.Name)
		}
	}
	for _, g := range s.doc.Groups {
		if g.OutOfService || anyIn(g.Hosts, out) {
			s.servers.Add(g.Name)
		}
	}
	for _, svc := range s.doc.Services {
		for _, b := range svc.Backends {
			// An instance of a plain service is listed under its own name, if at all.
			if b.OutOfService || s.leaving.Has(b.Name) {
				s.servers.Add(b.Name)
			}
		}
	}
	return s
}

func anyIn(names []string, set sets.Set[string]) bool {
	for _, n := range names {
		if set.Has(n) {
			return true
		}
	}
	return false
}
