// Package view holds an immutable, indexed form of the configuration document, made once for each
// version and read by every request.
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
	// Hosts are the members of the group, leader first; empty for a plain service.
	Hosts []string
	// Generation is what the members of a formed group must report; 0 for pinned hosts, whose members
	// must report the same generation, whichever it is.
	Generation    uint64
	ChecksFencing bool
	Capacity      schema.Capacity
}

// Service is a plain service.
type Service struct {
	Name    string
	Servers []Server
	Routes  []schema.ServiceRoute
}

// Placement says which hosts the system has given to a group that has no pinned hosts.
type Placement struct {
	Group        string
	Generation   uint64
	FabricDomain string
	// Hosts are the members, leader first.
	Hosts []string
}

// View is one version of the configuration, with the placements of its groups. It is immutable.
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

// New returns the view of doc as the given version. Groups and services whose data centre, hosts or
// own entry are out of service have no servers in it. doc must not be changed afterwards.
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

// WithPlacements returns a view of the same version in which the groups without pinned hosts run
// where the placements say.
func (v *View) WithPlacements(list []Placement) *View {
	c := *v
	c.placements = make(map[string]Placement, len(list))
	for _, p := range list {
		c.placements[p.Group] = p
	}
	c.servers = make(map[string][]Server, len(v.servers))
	c.indexGroups()
	return &c
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
	domains := make(map[string]string, len(v.doc.FabricDomains))
	for _, d := range v.doc.FabricDomains {
		domains[d.Name] = d.DataCentre
	}
	hosts := make(map[string]schema.Host, len(v.doc.Hosts))
	for _, h := range v.doc.Hosts {
		hosts[h.Name] = h
	}
	for _, g := range v.doc.Groups {
		p := v.placement(g)
		dc := domains[p.FabricDomain]
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

// placement returns where a group runs; it has no hosts when the system has not placed it yet.
func (v *View) placement(g schema.Group) Placement {
	if len(g.Hosts) > 0 {
		return Placement{Group: g.Name, FabricDomain: g.FabricDomain, Hosts: g.Hosts}
	}
	return v.placements[g.Name]
}

// allInService reports whether a group has hosts and every one of them is in service.
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

// Document returns the document that the view was made of. It must not be changed.
func (v *View) Document() *schema.Document { return v.doc }

// Model returns a model by name.
func (v *View) Model(name string) (schema.Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Servers returns the backend servers of a model that are in service. The slice must not be changed.
func (v *View) Servers(model string) []Server { return v.servers[model] }

// Service returns a plain service by name.
func (v *View) Service(name string) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// AccountByKey returns the client account that a bearer key belongs to.
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

// Distance returns the one-way delay between two data centres, or 0 when it is not declared.
func (v *View) Distance(from, to string) time.Duration { return v.distances[[2]string{from, to}] }

// Route returns the rule for a call of the service: the one with the longest matching path prefix.
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

// HashKey returns the form in which the document holds a bearer key: lower-case hex SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
