package heal

import (
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plan/form"
)

// HostPlan is what the document says of a host.
type HostPlan struct {
	Domain       string
	Address      string
	Accelerators int
	// InService is false when the host, its domain's data centre or its engine address is missing or
	// out of service, or when a group has it pinned.
	InService bool
	// Pinned hosts belong to a group that the document places; the keeper never orders them.
	Pinned bool
}

// GroupPlan is what the document and the agenda say of a group without pinned hosts.
type GroupPlan struct {
	Name       string
	Weights    form.Weights
	Adapters   []string
	Hosts      int
	Domain     string
	DataCentre string
	// ChecksFencing is whether the engines refuse orders with an old fencing number.
	ChecksFencing bool
	// WeightBytes is what one host loads.
	WeightBytes float64
	// Wanted is false when the group is to be drained and its hosts handed back.
	Wanted bool
	// Change allows the group to change its version or adapters now.
	Change bool
	// Lack is how much callers lack the group; larger is more urgent.
	Lack float64
}

// Plan is what should run.
type Plan struct {
	Domains map[string]string // Domains in service, with their data centres.
	Hosts   map[string]HostPlan
	Groups  map[string]GroupPlan
}

// PlanOf returns the plan of a document in which every group without pinned hosts is wanted unless
// it is out of service. Groups with pinned hosts are left out and their hosts are out of service.
func PlanOf(doc *schema.Document) Plan {
	p := Plan{
		Domains: make(map[string]string, len(doc.FabricDomains)),
		Hosts:   make(map[string]HostPlan, len(doc.Hosts)),
		Groups:  make(map[string]GroupPlan, len(doc.Groups)),
	}
	inService := sets.New[string]()
	for _, dc := range doc.DataCentres {
		if dc.InService {
			inService.Add(dc.Name)
		}
	}
	for _, d := range doc.FabricDomains {
		if inService.Has(d.DataCentre) {
			p.Domains[d.Name] = d.DataCentre
		}
	}
	pinned := sets.New[string]()
	for _, g := range doc.Groups {
		for _, h := range g.Hosts {
			pinned.Add(h)
		}
	}
	for _, h := range doc.Hosts {
		_, ok := p.Domains[h.FabricDomain]
		p.Hosts[h.Name] = HostPlan{
			Domain: h.FabricDomain, Address: h.Address, Accelerators: h.Accelerators,
			InService: ok && h.InService && h.Address != "" && !pinned.Has(h.Name), Pinned: pinned.Has(h.Name),
		}
	}
	p.addGroups(doc)
	return p
}

func (p *Plan) addGroups(doc *schema.Document) {
	models := make(map[string]schema.Model, len(doc.Models))
	for _, m := range doc.Models {
		models[m.Name] = m
	}
	for _, g := range doc.Groups {
		if len(g.Hosts) > 0 {
			continue
		}
		m := models[g.Model]
		gp := GroupPlan{
			Name: g.Name, Weights: form.Weights{Model: g.Model, Version: g.Version}, Adapters: g.Adapters,
			Hosts: m.HostsPerGroup, Domain: g.FabricDomain, DataCentre: g.DataCentre,
			ChecksFencing: g.ChecksFencing, Wanted: !g.OutOfService, Lack: 1,
		}
		for _, v := range m.Versions {
			if v.Name == g.Version {
				gp.WeightBytes = float64(v.WeightBytes)
			}
		}
		p.Groups[g.Name] = gp
	}
}

// request returns what a group asks of form.Place.
func (g GroupPlan) request(row GroupRow) form.Request {
	return form.Request{
		Group: g.Name, Weights: g.Weights, Hosts: g.Hosts, Domain: g.Domain, DataCentre: g.DataCentre,
		Home: row.Domain, Lack: g.Lack,
	}
}

// allows reports whether the group may run in a domain of a data centre.
func (g GroupPlan) allows(domain, dataCentre string) bool {
	if g.Domain != "" {
		return g.Domain == domain
	}
	return g.DataCentre == "" || g.DataCentre == dataCentre
}
