package drain

import (
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plat/hosts"
)

// Set determines which backend servers get no new work. It is immutable; the With methods return modified
// copies. The zero value allows every server.
type Set struct {
	doc          *schema.Document
	leavingHosts sets.Set[string]
	// onlyDataCentre is the only allowed data centre, or "" for all.
	onlyDataCentre string
	// drainedServers and drainedDataCentres are derived from doc and leavingHosts.
	drainedServers     sets.Set[string]
	drainedDataCentres sets.Set[string]
}

// WithDocument returns a copy of the set for another version of the configuration.
func (s Set) WithDocument(doc *schema.Document) Set {
	s.doc = doc
	return s.recomputed()
}

// WithHosts returns a copy of the set for a new read of the platform's host list. Backend servers on hosts
// marked as leaving get no new work. A host that is not listed is allowed, because the list may not cover it.
func (s Set) WithHosts(list []hosts.Host) Set {
	s.leavingHosts = sets.New[string]()
	for _, h := range list {
		if h.State == hosts.Leaving {
			s.leavingHosts.Add(h.Name)
		}
	}
	return s.recomputed()
}

// WithOnlyDataCentre returns a copy of the set that allows only one data centre, or all for "". It is used by an
// isolated node that may continue to serve from its own data centre.
func (s Set) WithOnlyDataCentre(dataCentre string) Set {
	s.onlyDataCentre = dataCentre
	return s
}

// Allowed reports whether a backend server may get new work.
func (s Set) Allowed(server, dataCentre string) bool {
	if s.onlyDataCentre != "" && dataCentre != s.onlyDataCentre {
		return false
	}
	return !s.drainedServers.Has(server) && !s.drainedDataCentres.Has(dataCentre)
}

// OnlyDataCentre returns the only allowed data centre, or "" for all.
func (s Set) OnlyDataCentre() string { return s.onlyDataCentre }

// Draining returns the backend servers that get no new work because they or their hosts are out of service or
// leaving. The caller must not modify the result.
func (s Set) Draining() sets.Set[string] { return s.drainedServers }

// recomputed returns s with its derived fields recomputed.
func (s Set) recomputed() Set {
	s.drainedServers, s.drainedDataCentres = sets.New[string](), sets.New[string]()
	if s.doc == nil {
		return s
	}
	for _, dc := range s.doc.DataCentres {
		if !dc.InService {
			s.drainedDataCentres.Add(dc.Name)
		}
	}
	drainedHosts := sets.New[string]()
	for _, h := range s.doc.Hosts {
		if !h.InService || s.leavingHosts.Has(h.Name) {
			drainedHosts.Add(h.Name)
		}
	}
	for _, g := range s.doc.Groups {
		if g.OutOfService || containsAny(g.Hosts, drainedHosts) {
			s.drainedServers.Add(g.Name)
		}
	}
	for _, svc := range s.doc.Services {
		for _, b := range svc.Backends {
			// An instance of a plain service is listed, if at all, under its own name.
			if b.OutOfService || s.leavingHosts.Has(b.Name) {
				s.drainedServers.Add(b.Name)
			}
		}
	}
	return s
}

func containsAny(names []string, set sets.Set[string]) bool {
	for _, n := range names {
		if set.Has(n) {
			return true
		}
	}
	return false
}
