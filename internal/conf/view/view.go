// Package view provides an immutable, indexed form of the configuration document. It is built once for each
// version or change of placements and read by every request.
package view

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
)

// Server is a backend server: the leader of a serving group, or an instance of a plain service.
type Server struct {
	Name       string
	Address    string
	DataCentre string
	Model      string
	Version    string
	Adapters   sets.Set[string]
	// Hosts are the members of the group, leader first. It is empty for a plain service.
	Hosts []string
	// Generation is the generation number that all members of the group must report if the system placed
	// the group. It is 0 for a group with pinned hosts, whose members must all report the same number, but
	// may report any.
	Generation    uint64
	ChecksFencing bool
	Capacity      schema.Capacity
}

// Service is a plain HTTP service with its backend servers that are in service.
type Service struct {
	Name    string
	Servers []Server
	Routes  []schema.ServiceRoute
}

// Placement is the assignment of hosts to a group without pinned hosts.
type Placement struct {
	Group        string
	Generation   uint64
	FabricDomain string
	// Hosts are the members, leader first.
	Hosts []string
}

// View is a version of the configuration together with the placements of its groups. It is immutable.
type View struct {
	Version uint64
	Limits  schema.Limits

	doc         *schema.Document
	placements  map[string]Placement
	models      map[string]schema.Model
	servers     map[string][]Server
	services    map[string]Service
	accounts    map[string]schema.Account
	accountKeys map[string]string
	dataCentres map[string]schema.DataCentre
	distances   map[[2]string]time.Duration
}

// New returns a view of doc with the given version number. It has no placements, so groups without pinned
// hosts have no server in it. Neither have groups and service instances that are out of service, that are in
// a data centre that is out of service, or that have a host that is out of service. doc must not be modified
// afterwards.
func New(version uint64, doc *schema.Document) *View {
	v := &View{
		Version:     version,
		Limits:      doc.Limits.WithDefaults(),
		doc:         doc,
		models:      make(map[string]schema.Model, len(doc.Models)),
		servers:     make(map[string][]Server, len(doc.Models)),
		services:    make(map[string]Service, len(doc.Services)),
		accounts:    make(map[string]schema.Account, len(doc.Accounts)),
		accountKeys: make(map[string]string, len(doc.Accounts)),
		dataCentres: make(map[string]schema.DataCentre, len(doc.DataCentres)),
		distances:   make(map[[2]string]time.Duration, 2*len(doc.Distances)),
	}
	for _, m := range doc.Models {
		v.models[m.Name] = m.WithDefaults()
	}
	for _, dc := range doc.DataCentres {
		v.dataCentres[dc.Name] = dc
	}
	for _, d := range doc.Distances {
		oneWay := time.Duration(d.OneWayUs) * time.Microsecond
		v.distances[[2]string{d.From, d.To}] = oneWay
		v.distances[[2]string{d.To, d.From}] = oneWay
	}
	v.indexAccounts()
	v.indexGroups()
	v.indexServices()
	return v
}

// WithPlacements returns a view of the same version in which the groups without pinned hosts run on the
// hosts of the given placements.
func (v *View) WithPlacements(placements []Placement) *View {
	placed := *v
	placed.placements = make(map[string]Placement, len(placements))
	for _, p := range placements {
		placed.placements[p.Group] = p
	}
	placed.servers = make(map[string][]Server, len(v.servers))
	placed.indexGroups()
	return &placed
}

func (v *View) indexAccounts() {
	for _, a := range v.doc.Accounts {
		v.accounts[a.Name] = a.WithDefaults()
		for _, h := range a.KeyHashes {
			v.accountKeys[h] = a.Name
		}
	}
}

func (v *View) indexGroups() {
	domainDataCentres := make(map[string]string, len(v.doc.FabricDomains))
	for _, d := range v.doc.FabricDomains {
		domainDataCentres[d.Name] = d.DataCentre
	}
	hosts := make(map[string]schema.Host, len(v.doc.Hosts))
	for _, h := range v.doc.Hosts {
		hosts[h.Name] = h
	}
	for _, g := range v.doc.Groups {
		p := v.placementOf(g)
		dc := domainDataCentres[p.FabricDomain]
		if g.OutOfService || !v.dataCentres[dc].InService || !allInService(p.Hosts, hosts) {
			continue
		}
		v.servers[g.Model] = append(v.servers[g.Model], Server{
			Name:          g.Name,
			Address:       hosts[p.Hosts[0]].Address,
			DataCentre:    dc,
			Model:         g.Model,
			Version:       g.Version,
			Adapters:      sets.New(g.Adapters...),
			Hosts:         p.Hosts,
			Generation:    p.Generation,
			ChecksFencing: g.ChecksFencing,
			Capacity:      g.Capacity,
		})
	}
}

// placementOf returns the placement of a group. It has no hosts if the system has not placed the group.
func (v *View) placementOf(g schema.Group) Placement {
	if len(g.Hosts) > 0 {
		return Placement{Group: g.Name, FabricDomain: g.FabricDomain, Hosts: g.Hosts}
	}
	return v.placements[g.Name]
}

// allInService reports whether names is not empty and all hosts in it are in service.
func allInService(names []string, hosts map[string]schema.Host) bool {
	for _, n := range names {
		if !hosts[n].InService {
			return false
		}
	}
	return len(names) > 0
}

func (v *View) indexServices() {
	for _, s := range v.doc.Services {
		svc := Service{Name: s.Name}
		for _, r := range s.Routes {
			svc.Routes = append(svc.Routes, r.WithDefaults())
		}
		for _, b := range s.Backends {
			if b.OutOfService || !v.dataCentres[b.DataCentre].InService {
				continue
			}
			svc.Servers = append(svc.Servers, Server{
				Name: b.Name, Address: b.Address, DataCentre: b.DataCentre, Capacity: b.Capacity,
			})
		}
		v.services[s.Name] = svc
	}
}

// Document returns the document that the view was built from. It must not be modified.
func (v *View) Document() *schema.Document { return v.doc }

// Model returns a model by name.
func (v *View) Model(name string) (schema.Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Servers returns the backend servers of a model that are in service. The slice must not be modified.
func (v *View) Servers(model string) []Server { return v.servers[model] }

// Service returns a plain service by name.
func (v *View) Service(name string) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// AccountByKey returns the client account that a bearer key, as sent by the caller, belongs to.
func (v *View) AccountByKey(key string) (schema.Account, bool) {
	name, ok := v.accountKeys[HashKey(key)]
	if !ok {
		return schema.Account{}, false
	}
	return v.accounts[name], true
}

// DataCentre returns a data centre by name.
func (v *View) DataCentre(name string) (schema.DataCentre, bool) {
	dc, ok := v.dataCentres[name]
	return dc, ok
}

// Distance returns the one-way network delay between two data centres, or 0 if the document has none.
func (v *View) Distance(from, to string) time.Duration { return v.distances[[2]string{from, to}] }

// Route returns the route for a call of the service: among those with its method, the one with the longest
// prefix of path.
func (s Service) Route(method, path string) (schema.ServiceRoute, bool) {
	var best schema.ServiceRoute
	found := false
	for _, r := range s.Routes {
		if string(r.Method) != method || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

// HashKey returns the SHA-256 hash of a bearer key in lower-case hex, as in the key_hashes of the document.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
