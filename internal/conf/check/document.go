package check

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
	_ "time/tzdata" // Nodes are diskless; a document must be valid on all of them or on none.

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
)

// review collects the faults of one document that its schema cannot express.
type review struct {
	doc    *schema.Document
	faults []Fault

	regions     sets.Set[string]
	dataCentres sets.Set[string]
	domains     map[string]schema.FabricDomain
	hosts       map[string]schema.Host
	models      map[string]schema.Model
	accounts    sets.Set[string]
	calendars   sets.Set[string]
}

// Document returns the faults of a document that fits the schema: unknown and repeated names, hosts in
// two groups, groups across fabric domains, impossible sizes, and models with nowhere to run.
func Document(doc *schema.Document) []Fault {
	r := &review{doc: doc}
	r.index()
	r.places()
	r.hostAddresses()
	r.modelEntries()
	r.groups()
	r.services()
	r.accountKeys()
	r.limits()
	r.schedule()
	r.capacity()
	return r.faults
}

// addf notes a fault at a path.
func (r *review) addf(path, format string, args ...any) {
	r.faults = append(r.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// uniqueNames notes each name of a list that stands in it twice, and returns the names.
func uniqueNames[T any](r *review, list string, entries []T, name func(T) string) sets.Set[string] {
	seen := sets.New[string]()
	for i, e := range entries {
		if !seen.Add(name(e)) {
			r.addf(fmt.Sprintf("$.%s[%d].name", list, i), "the name %q stands twice", name(e))
		}
	}
	return seen
}

// byName returns entries by name.
func byName[T any](entries []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(entries))
	for _, e := range entries {
		m[name(e)] = e
	}
	return m
}

func (r *review) index() {
	d := r.doc
	domainName := func(f schema.FabricDomain) string { return f.Name }
	hostName := func(h schema.Host) string { return h.Name }
	modelName := func(m schema.Model) string { return m.Name }
	r.regions = uniqueNames(r, "regions", d.Regions, func(x schema.Region) string { return x.Name })
	r.dataCentres = uniqueNames(r, "data_centres", d.DataCentres, func(x schema.DataCentre) string { return x.Name })
	uniqueNames(r, "fabric_domains", d.FabricDomains, domainName)
	uniqueNames(r, "hosts", d.Hosts, hostName)
	uniqueNames(r, "models", d.Models, modelName)
	uniqueNames(r, "groups", d.Groups, func(x schema.Group) string { return x.Name })
	uniqueNames(r, "services", d.Services, func(x schema.Service) string { return x.Name })
	r.accounts = uniqueNames(r, "accounts", d.Accounts, func(x schema.Account) string { return x.Name })
	r.calendars = uniqueNames(r, "calendars", d.Calendars, func(x schema.Calendar) string { return x.Name })
	r.domains = byName(d.FabricDomains, domainName)
	r.hosts = byName(d.Hosts, hostName)
	r.models = byName(d.Models, modelName)
}

// known notes a reference to a name that does not exist.
func (r *review) known(path, what, name string, names sets.Set[string]) {
	if !names.Has(name) {
		r.addf(path, "there is no %s %q", what, name)
	}
}

func (r *review) places() {
	for i, dc := range r.doc.DataCentres {
		r.known(fmt.Sprintf("$.data_centres[%d].region", i), "region", dc.Region, r.regions)
	}
	pairs := sets.New[[2]string]()
	for i, d := range r.doc.Distances {
		if !pairs.Add([2]string{min(d.From, d.To), max(d.From, d.To)}) {
			r.addf(fmt.Sprintf("$.distances[%d]", i), "another distance is between the same data centres")
		}
		r.known(fmt.Sprintf("$.distances[%d].from", i), "data centre", d.From, r.dataCentres)
		r.known(fmt.Sprintf("$.distances[%d].to", i), "data centre", d.To, r.dataCentres)
	}
	for i, f := range r.doc.FabricDomains {
		r.known(fmt.Sprintf("$.fabric_domains[%d].data_centre", i), "data centre", f.DataCentre, r.dataCentres)
	}
	for i, h := range r.doc.Hosts {
		if _, ok := r.domains[h.FabricDomain]; !ok {
			r.addf(fmt.Sprintf("$.hosts[%d].fabric_domain", i), "there is no fabric domain %q", h.FabricDomain)
		}
	}
}

// hostAddresses notes addresses that are no IP and port, or that two hosts share.
func (r *review) hostAddresses() {
	seen := make(map[string]string, len(r.doc.Hosts))
	for i, h := range r.doc.Hosts {
		if h.Address == "" {
			continue
		}
		path := fmt.Sprintf("$.hosts[%d].address", i)
		r.address(path, h.Address)
		if other, ok := seen[h.Address]; ok {
			r.addf(path, "host %q has the same address", other)
		}
		seen[h.Address] = h.Name
	}
}

func (r *review) address(path, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		r.addf(path, "%q is not an IP and a port", addr)
	}
}

func (r *review) modelEntries() {
	for i, m := range r.doc.Models {
		seen := sets.New[string]()
		for j, v := range m.Versions {
			if !seen.Add(v.Name) {
				r.addf(fmt.Sprintf("$.models[%d].versions[%d].name", i, j), "the name %q stands twice", v.Name)
			}
		}
	}
}

func (r *review) groups() {
	member := make(map[string]string, len(r.doc.Hosts))
	for i, g := range r.doc.Groups {
		path := fmt.Sprintf("$.groups[%d]", i)
		r.groupPlace(path, g)
		r.groupModel(path, g)
		r.groupHosts(path, g, member)
		r.serverCapacity(path+".capacity", g.Capacity)
	}
}

// groupPlace notes a place that does not exist, and pinned hosts without a fabric domain.
func (r *review) groupPlace(path string, g schema.Group) {
	if g.DataCentre != "" {
		r.known(path+".data_centre", "data centre", g.DataCentre, r.dataCentres)
	}
	f, ok := r.domains[g.FabricDomain]
	switch {
	case g.FabricDomain == "" && len(g.Hosts) > 0:
		r.addf(path+".fabric_domain", "a group with pinned hosts needs a fabric domain")
	case g.FabricDomain != "" && !ok:
		r.addf(path+".fabric_domain", "there is no fabric domain %q", g.FabricDomain)
	case ok && g.DataCentre != "" && g.DataCentre != f.DataCentre:
		r.addf(path+".data_centre", "fabric domain %q is in data centre %q", f.Name, f.DataCentre)
	}
}

func (r *review) groupModel(path string, g schema.Group) {
	m, ok := r.models[g.Model]
	if !ok {
		r.addf(path+".model", "there is no model %q", g.Model)
		return
	}
	versions := sets.New[string]()
	for _, v := range m.Versions {
		versions.Add(v.Name)
	}
	r.known(path+".version", "version of the model named", g.Version, versions)
	adapters := sets.New(m.Adapters...)
	for j, a := range g.Adapters {
		r.known(fmt.Sprintf("%s.adapters[%d]", path, j), "adapter of the model named", a, adapters)
	}
	if len(g.Hosts) > 0 && len(g.Hosts) != m.HostsPerGroup {
		r.addf(path+".hosts", "the model needs %d hosts, not %d", m.HostsPerGroup, len(g.Hosts))
	}
}

// groupHosts notes hosts that are unknown, in two groups, or outside the group's fabric domain.
func (r *review) groupHosts(path string, g schema.Group, member map[string]string) {
	for j, name := range g.Hosts {
		at := fmt.Sprintf("%s.hosts[%d]", path, j)
		h, ok := r.hosts[name]
		if !ok {
			r.addf(at, "there is no host %q", name)
			continue
		}
		if other, taken := member[name]; taken {
			r.addf(at, "host %q is already in group %q", name, other)
		}
		member[name] = g.Name
		if h.FabricDomain != g.FabricDomain {
			r.addf(at, "host %q is in fabric domain %q, the group in %q", name, h.FabricDomain, g.FabricDomain)
		}
		if j == 0 && h.Address == "" {
			r.addf(at, "the leader %q has no address", name)
		}
	}
}

func (r *review) serverCapacity(path string, c schema.Capacity) {
	if c.ColdRequests > c.WarmRequests {
		r.addf(path+".cold_requests", "is above warm_requests, %d", c.WarmRequests)
	}
}

func (r *review) services() {
	for i, s := range r.doc.Services {
		seen := sets.New[string]()
		for j, b := range s.Backends {
			path := fmt.Sprintf("$.services[%d].backends[%d]", i, j)
			if !seen.Add(b.Name) {
				r.addf(path+".name", "the name %q stands twice", b.Name)
			}
			r.known(path+".data_centre", "data centre", b.DataCentre, r.dataCentres)
			r.address(path+".address", b.Address)
			r.serverCapacity(path+".capacity", b.Capacity)
		}
		routes := sets.New[[2]string]()
		for j, rt := range s.Routes {
			if !routes.Add([2]string{string(rt.Method), rt.PathPrefix}) {
				r.addf(fmt.Sprintf("$.services[%d].routes[%d]", i, j), "another route has the same method and prefix")
			}
		}
	}
}

// accountKeys notes a key that two client accounts share: its requests could belong to either.
func (r *review) accountKeys() {
	owner := make(map[string]string, len(r.doc.Accounts))
	for i, a := range r.doc.Accounts {
		for j, h := range a.KeyHashes {
			if other, ok := owner[h]; ok {
				r.addf(fmt.Sprintf("$.accounts[%d].key_hashes[%d]", i, j), "client account %q has the same key", other)
			}
			owner[h] = a.Name
		}
	}
}

func (r *review) limits() {
	l := r.doc.Limits.WithDefaults()
	if l.RequestBufferBytes > l.AccountBufferBytes {
		r.addf("$.limits.request_buffer_bytes", "is above account_buffer_bytes, %d", l.AccountBufferBytes)
	}
	if l.AccountBufferBytes > l.NodeBufferBytes {
		r.addf("$.limits.account_buffer_bytes", "is above node_buffer_bytes, %d", l.NodeBufferBytes)
	}
	if l.QueueTimeoutMs > l.RequestTimeoutMs {
		r.addf("$.limits.queue_timeout_ms", "is above request_timeout_ms, %d", l.RequestTimeoutMs)
	}
}

func (r *review) schedule() {
	for i, c := range r.doc.Calendars {
		// "Local" would differ between nodes.
		if _, err := time.LoadLocation(c.TimeZone); err != nil || c.TimeZone == "Local" {
			r.addf(fmt.Sprintf("$.calendars[%d].time_zone", i), "there is no time zone %q", c.TimeZone)
		}
		for j, p := range c.Periods {
			r.period(fmt.Sprintf("$.calendars[%d].periods[%d]", i, j), p)
		}
	}
	targets, objectives := sets.New[[2]string](), sets.New[[2]string]()
	for i, t := range r.doc.Targets {
		path := fmt.Sprintf("$.targets[%d]", i)
		if !targets.Add([2]string{t.Model, t.DataCentre}) {
			r.addf(path, "another target is for the same model and data centre")
		}
		if _, ok := r.models[t.Model]; !ok {
			r.addf(path+".model", "there is no model %q", t.Model)
		}
		r.known(path+".data_centre", "data centre", t.DataCentre, r.dataCentres)
		if t.Calendar != "" {
			r.known(path+".calendar", "calendar", t.Calendar, r.calendars)
		}
	}
	for i, o := range r.doc.Objectives {
		path := fmt.Sprintf("$.objectives[%d]", i)
		if !objectives.Add([2]string{o.Account, o.Model}) {
			r.addf(path, "another objective is for the same client account and model")
		}
		r.known(path+".account", "client account", o.Account, r.accounts)
		if _, ok := r.models[o.Model]; !ok {
			r.addf(path+".model", "there is no model %q", o.Model)
		}
	}
}

func (r *review) period(path string, p schema.Period) {
	first, err := time.Parse(time.DateOnly, p.FirstDay)
	if err != nil {
		r.addf(path+".first_day", "%q is not a day", p.FirstDay)
	}
	last, err2 := time.Parse(time.DateOnly, p.LastDay)
	if err2 != nil {
		r.addf(path+".last_day", "%q is not a day", p.LastDay)
	}
	if err == nil && err2 == nil && last.Before(first) {
		r.addf(path+".last_day", "is before first_day")
	}
}

// capacity notes models that have groups of which none can run, and groups that do not fit into the
// places that they may run in.
func (r *review) capacity() {
	free := r.freeHosts()
	running := make(map[string]int)
	declared := make(map[string]int)
	for _, i := range r.placementOrder() {
		g := r.doc.Groups[i]
		declared[g.Model]++
		switch {
		case g.OutOfService:
		case len(g.Hosts) > 0:
			if r.domainInService(g.FabricDomain) && r.hostsInService(g.Hosts) {
				running[g.Model]++
			}
		case r.takePlace(g, free):
			running[g.Model]++
		case g.FabricDomain != "" && r.domainInService(g.FabricDomain):
			r.addf(fmt.Sprintf("$.groups[%d].fabric_domain", i),
				"fabric domain %q has %d free hosts in service, the group needs %d",
				g.FabricDomain, free[g.FabricDomain], r.models[g.Model].HostsPerGroup)
		}
	}
	for i, m := range r.doc.Models {
		if declared[m.Name] > 0 && running[m.Name] == 0 {
			r.addf(fmt.Sprintf("$.models[%d]", i), "no group of model %q has a place to run", m.Name)
		}
	}
}

// placementOrder returns the groups by index, those with the least choice of places first: a group that
// may run anywhere must not take the hosts that another group depends on.
func (r *review) placementOrder() []int {
	order := make([]int, len(r.doc.Groups))
	for i := range order {
		order[i] = i
	}
	freedom := func(g schema.Group) int {
		switch {
		case g.FabricDomain != "":
			return 0
		case g.DataCentre != "":
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := r.doc.Groups[a], r.doc.Groups[b]
		return cmp.Or(cmp.Compare(freedom(x), freedom(y)),
			cmp.Compare(r.models[y.Model].HostsPerGroup, r.models[x.Model].HostsPerGroup))
	})
	return order
}

// takePlace takes the free hosts of a group without pinned hosts, from the fabric domain where they
// fit most tightly, and reports whether there was one.
func (r *review) takePlace(g schema.Group, free map[string]int) bool {
	need := r.models[g.Model].HostsPerGroup
	best := ""
	for _, f := range r.doc.FabricDomains {
		if g.FabricDomain != "" && f.Name != g.FabricDomain || g.DataCentre != "" && f.DataCentre != g.DataCentre {
			continue
		}
		if !r.domainInService(f.Name) || free[f.Name] < need {
			continue
		}
		if best == "" || free[f.Name] < free[best] {
			best = f.Name
		}
	}
	if best == "" {
		return false
	}
	free[best] -= need
	return true
}

// freeHosts counts the hosts in service of each fabric domain that no group has pinned.
func (r *review) freeHosts() map[string]int {
	pinned := sets.New[string]()
	for _, g := range r.doc.Groups {
		for _, h := range g.Hosts {
			pinned.Add(h)
		}
	}
	free := make(map[string]int)
	for _, h := range r.doc.Hosts {
		if h.InService && !pinned.Has(h.Name) {
			free[h.FabricDomain]++
		}
	}
	return free
}

func (r *review) domainInService(name string) bool {
	for _, dc := range r.doc.DataCentres {
		if dc.Name == r.domains[name].DataCentre {
			return dc.InService
		}
	}
	return false
}

func (r *review) hostsInService(names []string) bool {
	for _, n := range names {
		if !r.hosts[n].InService {
			return false
		}
	}
	return true
}
