package check

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
	_ "time/tzdata" // Nodes have no disk, and a document must be valid on all of them or on none.

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
)

// ruleChecker checks a document against the rules that the schema cannot express and collects the faults.
type ruleChecker struct {
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

// documentFaults returns the faults of a document that matches the schema, such as unknown and duplicate
// names, hosts in two groups, groups that span fabric domains, a limit that is greater than the limit that
// contains it, and models of which no group can run.
func documentFaults(doc *schema.Document) []Fault {
	r := &ruleChecker{doc: doc}
	r.indexNames()
	r.checkLocations()
	r.checkHostAddresses()
	r.checkModels()
	r.checkGroups()
	r.checkServices()
	r.checkAccountKeys()
	r.checkLimits()
	r.checkSchedules()
	r.checkPlacement()
	return r.faults
}

// addf records a fault at a path.
func (r *ruleChecker) addf(path, format string, args ...any) {
	r.faults = append(r.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// uniqueNames returns the names of the entries of a list and records a fault for each duplicate.
func uniqueNames[T any](r *ruleChecker, list string, entries []T, name func(T) string) sets.Set[string] {
	seen := sets.New[string]()
	for i, e := range entries {
		if !seen.Add(name(e)) {
			r.addf(fmt.Sprintf("$.%s[%d].name", list, i), "the name %q is used twice", name(e))
		}
	}
	return seen
}

// indexByName returns a map from name to entry.
func indexByName[T any](entries []T, name func(T) string) map[string]T {
	index := make(map[string]T, len(entries))
	for _, e := range entries {
		index[name(e)] = e
	}
	return index
}

func (r *ruleChecker) indexNames() {
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
	r.domains = indexByName(d.FabricDomains, domainName)
	r.hosts = indexByName(d.Hosts, hostName)
	r.models = indexByName(d.Models, modelName)
}

// requireKnown records a fault at path if name is not in names. The message calls the missing entry kind.
func (r *ruleChecker) requireKnown(path, kind, name string, names sets.Set[string]) {
	if !names.Has(name) {
		r.addf(path, "there is no %s %q", kind, name)
	}
}

func (r *ruleChecker) checkLocations() {
	for i, dc := range r.doc.DataCentres {
		r.requireKnown(fmt.Sprintf("$.data_centres[%d].region", i), "region", dc.Region, r.regions)
	}
	pairs := sets.New[[2]string]()
	for i, d := range r.doc.Distances {
		if !pairs.Add([2]string{min(d.From, d.To), max(d.From, d.To)}) {
			r.addf(fmt.Sprintf("$.distances[%d]", i), "duplicate distance between the same two data centres")
		}
		r.requireKnown(fmt.Sprintf("$.distances[%d].from", i), "data centre", d.From, r.dataCentres)
		r.requireKnown(fmt.Sprintf("$.distances[%d].to", i), "data centre", d.To, r.dataCentres)
	}
	for i, f := range r.doc.FabricDomains {
		r.requireKnown(fmt.Sprintf("$.fabric_domains[%d].data_centre", i), "data centre", f.DataCentre, r.dataCentres)
	}
	for i, h := range r.doc.Hosts {
		if _, ok := r.domains[h.FabricDomain]; !ok {
			r.addf(fmt.Sprintf("$.hosts[%d].fabric_domain", i), "there is no fabric domain %q", h.FabricDomain)
		}
	}
}

// checkHostAddresses records addresses that are not an IP and port, and addresses that two hosts share.
func (r *ruleChecker) checkHostAddresses() {
	seen := make(map[string]string, len(r.doc.Hosts))
	for i, h := range r.doc.Hosts {
		if h.Address == "" {
			continue
		}
		path := fmt.Sprintf("$.hosts[%d].address", i)
		r.checkAddress(path, h.Address)
		if other, ok := seen[h.Address]; ok {
			r.addf(path, "host %q has the same address", other)
		}
		seen[h.Address] = h.Name
	}
}

func (r *ruleChecker) checkAddress(path, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		r.addf(path, "%q is not an IP address and port", addr)
	}
}

func (r *ruleChecker) checkModels() {
	for i, m := range r.doc.Models {
		seen := sets.New[string]()
		for j, v := range m.Versions {
			if !seen.Add(v.Name) {
				r.addf(fmt.Sprintf("$.models[%d].versions[%d].name", i, j), "the name %q is used twice", v.Name)
			}
		}
	}
}

func (r *ruleChecker) checkGroups() {
	groupByHost := make(map[string]string, len(r.doc.Hosts))
	for i, g := range r.doc.Groups {
		path := fmt.Sprintf("$.groups[%d]", i)
		r.checkGroupLocation(path, g)
		r.checkGroupModel(path, g)
		r.checkGroupHosts(path, g, groupByHost)
		r.checkServerCapacity(path+".capacity", g.Capacity)
	}
}

// checkGroupLocation records an unknown data centre or fabric domain, a data centre that is not the one of
// the fabric domain, and pinned hosts without a fabric domain.
func (r *ruleChecker) checkGroupLocation(path string, g schema.Group) {
	if g.DataCentre != "" {
		r.requireKnown(path+".data_centre", "data centre", g.DataCentre, r.dataCentres)
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

func (r *ruleChecker) checkGroupModel(path string, g schema.Group) {
	m, ok := r.models[g.Model]
	if !ok {
		r.addf(path+".model", "there is no model %q", g.Model)
		return
	}
	versions := sets.New[string]()
	for _, v := range m.Versions {
		versions.Add(v.Name)
	}
	r.requireKnown(path+".version", "model version", g.Version, versions)
	adapters := sets.New(m.Adapters...)
	for j, a := range g.Adapters {
		r.requireKnown(fmt.Sprintf("%s.adapters[%d]", path, j), "model adapter", a, adapters)
	}
	if len(g.Hosts) > 0 && len(g.Hosts) != m.HostsPerGroup {
		r.addf(path+".hosts", "the model requires %d hosts, but %d are pinned", m.HostsPerGroup, len(g.Hosts))
	}
}

// checkGroupHosts records hosts that are unknown, in two groups, or outside the group's fabric domain, and a
// leader without an address.
func (r *ruleChecker) checkGroupHosts(path string, g schema.Group, groupByHost map[string]string) {
	for j, name := range g.Hosts {
		hostPath := fmt.Sprintf("%s.hosts[%d]", path, j)
		h, ok := r.hosts[name]
		if !ok {
			r.addf(hostPath, "there is no host %q", name)
			continue
		}
		if other, assigned := groupByHost[name]; assigned {
			r.addf(hostPath, "host %q is already in group %q", name, other)
		}
		groupByHost[name] = g.Name
		if h.FabricDomain != g.FabricDomain {
			r.addf(hostPath, "host %q is in fabric domain %q, but the group is in %q", name, h.FabricDomain, g.FabricDomain)
		}
		if j == 0 && h.Address == "" {
			r.addf(hostPath, "the leader host %q has no address", name)
		}
	}
}

func (r *ruleChecker) checkServerCapacity(path string, c schema.Capacity) {
	if c.ColdRequests > c.WarmRequests {
		r.addf(path+".cold_requests", "is greater than warm_requests (%d)", c.WarmRequests)
	}
}

func (r *ruleChecker) checkServices() {
	for i, s := range r.doc.Services {
		seen := sets.New[string]()
		for j, b := range s.Backends {
			path := fmt.Sprintf("$.services[%d].backends[%d]", i, j)
			if !seen.Add(b.Name) {
				r.addf(path+".name", "the name %q is used twice", b.Name)
			}
			r.requireKnown(path+".data_centre", "data centre", b.DataCentre, r.dataCentres)
			r.checkAddress(path+".address", b.Address)
			r.checkServerCapacity(path+".capacity", b.Capacity)
		}
		routes := sets.New[[2]string]()
		for j, rt := range s.Routes {
			if !routes.Add([2]string{string(rt.Method), rt.PathPrefix}) {
				r.addf(fmt.Sprintf("$.services[%d].routes[%d]", i, j), "duplicate route with the same method and path prefix")
			}
		}
	}
}

// checkAccountKeys records keys that are listed twice. If two client accounts had the same key, a request
// with it could belong to either.
func (r *ruleChecker) checkAccountKeys() {
	accountByKey := make(map[string]string, len(r.doc.Accounts))
	for i, a := range r.doc.Accounts {
		for j, h := range a.KeyHashes {
			if other, ok := accountByKey[h]; ok {
				r.addf(fmt.Sprintf("$.accounts[%d].key_hashes[%d]", i, j), "client account %q has the same key", other)
			}
			accountByKey[h] = a.Name
		}
	}
}

func (r *ruleChecker) checkLimits() {
	l := r.doc.Limits.WithDefaults()
	if l.RequestBufferBytes > l.AccountBufferBytes {
		r.addf("$.limits.request_buffer_bytes", "is greater than account_buffer_bytes (%d)", l.AccountBufferBytes)
	}
	if l.AccountBufferBytes > l.NodeBufferBytes {
		r.addf("$.limits.account_buffer_bytes", "is greater than node_buffer_bytes (%d)", l.NodeBufferBytes)
	}
	if l.QueueTimeoutMs > l.RequestTimeoutMs {
		r.addf("$.limits.queue_timeout_ms", "is greater than request_timeout_ms (%d)", l.RequestTimeoutMs)
	}
}

func (r *ruleChecker) checkSchedules() {
	for i, c := range r.doc.Calendars {
		// "Local" is the time zone of the process and may differ between nodes.
		if _, err := time.LoadLocation(c.TimeZone); err != nil || c.TimeZone == "Local" {
			r.addf(fmt.Sprintf("$.calendars[%d].time_zone", i), "there is no time zone %q", c.TimeZone)
		}
		for j, p := range c.Periods {
			r.checkPeriod(fmt.Sprintf("$.calendars[%d].periods[%d]", i, j), p)
		}
	}
	targets, objectives := sets.New[[2]string](), sets.New[[2]string]()
	for i, t := range r.doc.Targets {
		path := fmt.Sprintf("$.targets[%d]", i)
		if !targets.Add([2]string{t.Model, t.DataCentre}) {
			r.addf(path, "duplicate target for the same model and data centre")
		}
		if _, ok := r.models[t.Model]; !ok {
			r.addf(path+".model", "there is no model %q", t.Model)
		}
		r.requireKnown(path+".data_centre", "data centre", t.DataCentre, r.dataCentres)
		if t.Calendar != "" {
			r.requireKnown(path+".calendar", "calendar", t.Calendar, r.calendars)
		}
	}
	for i, o := range r.doc.Objectives {
		path := fmt.Sprintf("$.objectives[%d]", i)
		if !objectives.Add([2]string{o.Account, o.Model}) {
			r.addf(path, "duplicate objective for the same client account and model")
		}
		r.requireKnown(path+".account", "client account", o.Account, r.accounts)
		if _, ok := r.models[o.Model]; !ok {
			r.addf(path+".model", "there is no model %q", o.Model)
		}
	}
}

func (r *ruleChecker) checkPeriod(path string, p schema.Period) {
	first, firstErr := time.Parse(time.DateOnly, p.FirstDay)
	if firstErr != nil {
		r.addf(path+".first_day", "%q is not a valid date", p.FirstDay)
	}
	last, lastErr := time.Parse(time.DateOnly, p.LastDay)
	if lastErr != nil {
		r.addf(path+".last_day", "%q is not a valid date", p.LastDay)
	}
	if firstErr == nil && lastErr == nil && last.Before(first) {
		r.addf(path+".last_day", "is before first_day")
	}
}

// checkPlacement records models that have groups of which none can run, and groups whose fabric domain is in
// service but has too few free hosts.
func (r *ruleChecker) checkPlacement() {
	free := r.countFreeHosts()
	runnable := make(map[string]int)
	declared := make(map[string]int)
	for _, i := range r.placementOrder() {
		g := r.doc.Groups[i]
		declared[g.Model]++
		switch {
		case g.OutOfService:
		case len(g.Hosts) > 0:
			if r.domainInService(g.FabricDomain) && r.hostsInService(g.Hosts) {
				runnable[g.Model]++
			}
		case r.reserveHosts(g, free):
			runnable[g.Model]++
		case g.FabricDomain != "" && r.domainInService(g.FabricDomain):
			r.addf(fmt.Sprintf("$.groups[%d].fabric_domain", i),
				"fabric domain %q has %d free hosts in service, but the group needs %d",
				g.FabricDomain, free[g.FabricDomain], r.models[g.Model].HostsPerGroup)
		}
	}
	for i, m := range r.doc.Models {
		if declared[m.Name] > 0 && runnable[m.Name] == 0 {
			r.addf(fmt.Sprintf("$.models[%d]", i), "no group of model %q can run", m.Name)
		}
	}
}

// placementOrder returns the indices of the groups in the order in which they are placed: the most
// constrained groups first, and among equals those with the most hosts. A group that may run anywhere must
// not take the hosts that a constrained group depends on.
func (r *ruleChecker) placementOrder() []int {
	order := make([]int, len(r.doc.Groups))
	for i := range order {
		order[i] = i
	}
	placementScope := func(g schema.Group) int {
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
		return cmp.Or(cmp.Compare(placementScope(x), placementScope(y)),
			cmp.Compare(r.models[y.Model].HostsPerGroup, r.models[x.Model].HostsPerGroup))
	})
	return order
}

// reserveHosts takes the hosts of a group without pinned hosts out of free and reports whether there were
// enough. It uses the eligible fabric domain with the fewest free hosts that suffice (best fit).
func (r *ruleChecker) reserveHosts(g schema.Group, free map[string]int) bool {
	hostsNeeded := r.models[g.Model].HostsPerGroup
	bestDomain := ""
	for _, f := range r.doc.FabricDomains {
		if g.FabricDomain != "" && f.Name != g.FabricDomain || g.DataCentre != "" && f.DataCentre != g.DataCentre {
			continue
		}
		if !r.domainInService(f.Name) || free[f.Name] < hostsNeeded {
			continue
		}
		if bestDomain == "" || free[f.Name] < free[bestDomain] {
			bestDomain = f.Name
		}
	}
	if bestDomain == "" {
		return false
	}
	free[bestDomain] -= hostsNeeded
	return true
}

// countFreeHosts returns, by fabric domain, the number of hosts in service that no group has pinned.
func (r *ruleChecker) countFreeHosts() map[string]int {
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

func (r *ruleChecker) domainInService(name string) bool {
	for _, dc := range r.doc.DataCentres {
		if dc.Name == r.domains[name].DataCentre {
			return dc.InService
		}
	}
	return false
}

func (r *ruleChecker) hostsInService(names []string) bool {
	for _, n := range names {
		if !r.hosts[n].InService {
			return false
		}
	}
	return true
}
