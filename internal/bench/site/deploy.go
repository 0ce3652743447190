// Package site starts stand-ins of the platform, the engines and the plain services on loopback, and
// builds the configuration document that describes them. The demo, the load tool and the
// measurements run nodes in front of it.
package site

import (
	"fmt"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
)

// Deployment is the shape of one user's installation.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	OneWay      time.Duration
	Model       string
	Runners     int
	HostsEach   int
	Service     string
	Instances   int
	Accounts    int
}

// Sizes of today's deployments.
const (
	todayRunners   = 65
	todayInstances = 3
	todayAccounts  = 10
	todayHosts     = 2
)

// Strygekurv is the deployment with its data centres in dk-vest.
func Strygekurv() Deployment {
	return Deployment{
		Name: "strygekurv", Region: "dk-vest", DataCentres: []string{"esbjerg", "herning", "vejle"},
		OneWay: 500 * time.Microsecond, Model: "presse-lm", Runners: todayRunners, HostsEach: todayHosts,
		Service: "kurv-app", Instances: todayInstances, Accounts: todayAccounts,
	}
}

// Sutradhar is the deployment with its data centres in gangetic.
func Sutradhar() Deployment {
	return Deployment{
		Name: "sutradhar", Region: "gangetic", DataCentres: []string{"howrah", "salt-lake", "kalyani"},
		OneWay: time.Millisecond, Model: "hollow-llm", Runners: todayRunners, HostsEach: todayHosts,
		Service: "bench-app", Instances: todayInstances, Accounts: todayAccounts,
	}
}

// WithRunners returns a copy with another number of model runners.
func (d Deployment) WithRunners(n int) Deployment {
	d.Runners = n
	return d
}

// Capacities of the stand-in backend servers.
const (
	coldRequests    = 2
	warmRequests    = 64
	warmTokens      = 200_000
	serviceRequests = 256
	largeShare      = 8
	largeAccounts   = 3
	// objectiveQuantile is the share of requests that must meet the latency targets.
	objectiveQuantile = 0.95
)

// AccountName returns the name of client account i.
func (d Deployment) AccountName(i int) string { return fmt.Sprintf("account-%02d", i) }

// AccountKey returns the bearer key of client account i.
func (d Deployment) AccountKey(i int) string { return fmt.Sprintf("demo-key-%s-%02d", d.Name, i) }

// GroupName returns the name of the serving group of runner i.
func (d Deployment) GroupName(i int) string { return fmt.Sprintf("%s-%03d", d.Model, i) }

// RunnerDataCentre returns the data centre of runner i.
func (d Deployment) RunnerDataCentre(i int) string { return d.DataCentres[i%len(d.DataCentres)] }

// RunnerHosts returns the hosts of runner i, leader first.
func (d Deployment) RunnerHosts(i int) []string {
	hosts := make([]string, d.HostsEach)
	for j := range hosts {
		hosts[j] = fmt.Sprintf("host-%03d-%02d", i, j)
	}
	return hosts
}

// InstanceName returns the name of instance i of the plain service.
func (d Deployment) InstanceName(i int) string { return fmt.Sprintf("%s-%d", d.Service, i) }

// Addresses are where the stand-ins of a deployment listen: one for each runner and one for each
// instance of the plain service.
type Addresses struct {
	Runners   []string
	Instances []string
}

// Document returns the configuration document of the deployment.
func (d Deployment) Document(at Addresses) *schema.Document {
	doc := &schema.Document{
		Regions: []schema.Region{{Name: d.Region, IsolationPolicy: schema.RegionIsolationPolicyRefuse}},
		Models: []schema.Model{{
			Name: d.Model, Versions: []schema.Version{{Name: "v1"}}, HostsPerGroup: d.HostsEach,
		}},
		FabricDomains: []schema.FabricDomain{},
		Hosts:         []schema.Host{},
		Groups:        []schema.Group{},
		Services:      []schema.Service{d.service(at)},
		Accounts:      []schema.Account{},
	}
	for i, dc := range d.DataCentres {
		doc.DataCentres = append(doc.DataCentres, schema.DataCentre{Name: dc, Region: d.Region, InService: true})
		doc.FabricDomains = append(doc.FabricDomains, schema.FabricDomain{Name: dc + "-fabric", DataCentre: dc})
		for _, other := range d.DataCentres[i+1:] {
			doc.Distances = append(doc.Distances, schema.Distance{
				From: dc, To: other, OneWayUs: int(d.OneWay.Microseconds()),
			})
		}
	}
	d.addGroups(doc, at)
	d.addAccounts(doc)
	return doc
}

func (d Deployment) addGroups(doc *schema.Document, at Addresses) {
	for i, addr := range at.Runners {
		domain := d.RunnerDataCentre(i) + "-fabric"
		names := d.RunnerHosts(i)
		for j, name := range names {
			h := schema.Host{Name: name, FabricDomain: domain, Accelerators: 4, InService: true}
			if j == 0 {
				h.Address = addr
			}
			doc.Hosts = append(doc.Hosts, h)
		}
		doc.Groups = append(doc.Groups, schema.Group{
			Name: d.GroupName(i), Model: d.Model, Version: "v1", FabricDomain: domain, Hosts: names,
			ChecksFencing: i%2 == 0,
			Capacity: schema.Capacity{
				ColdRequests: coldRequests, WarmRequests: warmRequests, WarmTokens: warmTokens,
			},
		})
	}
}

func (d Deployment) addAccounts(doc *schema.Document) {
	for i := range d.Accounts {
		share := 1
		if i < largeAccounts {
			share = largeShare
			doc.Objectives = append(doc.Objectives, schema.Objective{
				Account: d.AccountName(i), Model: d.Model, Quantile: objectiveQuantile,
			})
		}
		doc.Accounts = append(doc.Accounts, schema.Account{
			Name: d.AccountName(i), KeyHashes: []string{view.HashKey(d.AccountKey(i))}, Share: share, Priority: 5,
		})
	}
}

func (d Deployment) service(at Addresses) schema.Service {
	svc := schema.Service{
		Name: d.Service,
		Routes: []schema.ServiceRoute{
			{Method: "GET", PathPrefix: "/", Repeatable: true},
			{Method: "POST", PathPrefix: "/", Repeatable: true},
			{Method: "POST", PathPrefix: "/bookings", Repeatable: false},
		},
		Backends: []schema.ServiceBackend{},
	}
	for i, addr := range at.Instances {
		svc.Backends = append(svc.Backends, schema.ServiceBackend{
			Name: d.InstanceName(i), DataCentre: d.RunnerDataCentre(i), Address: addr,
			Capacity: schema.Capacity{ColdRequests: serviceRequests, WarmRequests: serviceRequests},
		})
	}
	return svc
}
