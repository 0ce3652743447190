// Package match holds the configuration of routes, client accounts and services, and finds the route and the
// account of a request. All its values are immutable once built.
package match

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/route/batch"
)

// Kind is how often a request may run.
type Kind string

// Kinds of requests. A Stream request may run again only if its route is resumable, and then only from where
// its answer was cut off.
const (
	Idempotent Kind = "idempotent"
	Once       Kind = "once"
	Stream     Kind = "stream"
)

// Target is a service to which a route sends requests.
type Target struct {
	Service string
	// Weight is the share of requests relative to the other targets.
	Weight int
}

// Route is the rule for requests that have the given HTTP host and a path that starts with the prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue on another backend server after the last event that was received.
	Resumable bool
	// Generative requests name a model, and their tokens are counted.
	Generative bool
	// Public requests need no API key.
	Public bool
	// Timeout is the maximum time until a caller has the whole answer.
	Timeout time.Duration
	// Objective is the latency objective for an answer or for its first event.
	Objective time.Duration
	// GapObjective is the objective for the longest gap between events of an answer.
	GapObjective time.Duration
	// Priority is the priority class; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one request may be sent to.
	MaxAttempts int
	Targets     []Target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable) }

// PickService selects the service for a request by weight. u is uniformly distributed in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := u * float64(total)
	for _, t := range r.Targets {
		if remaining -= float64(t.Weight); remaining < 0 {
			return t.Service
		}
	}
	return ""
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Service is a set of equivalent backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that one backend server accepts from all callers together.
	MaxConns int
	// ColdDuration is how long a backend server is cold after it starts. ColdRate is the maximum number of requests
	// per second for a cold server; 0 means no limit.
	ColdDuration time.Duration
	ColdRate     float64
	// Engine describes a model engine; it is nil for a plain service.
	Engine *batch.Engine
	// Scaling holds the bounds within which the number of backend servers follows demand; it is nil if the number is fixed.
	Scaling *Scaling
}

// Scaling holds the bounds of the number of backend servers of a service in each data centre.
type Scaling struct {
	Min int
	Max int
	// Boot is the time until a new backend server starts to serve.
	Boot time.Duration
}

// Limits restrict what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Accounts []Account
	Services []Service
	Limits   Limits
}

// Table looks up the route and the account of a request. It is immutable.
type Table struct {
	doc            Document
	routesByHost   map[string][]*Route
	accountsByKey  map[string]*Account
	servicesByName map[string]*Service
	// prioritized holds the services whose requests have different priorities.
	prioritized map[string]bool
}

// New returns the table of a document. The document must not be changed afterwards.
func New(doc Document) *Table {
	t := &Table{
		doc:            doc,
		routesByHost:   make(map[string][]*Route),
		accountsByKey:  make(map[string]*Account, len(doc.Accounts)),
		servicesByName: make(map[string]*Service, len(doc.Services)),
		prioritized:    make(map[string]bool),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		for _, k := range a.Keys {
			t.accountsByKey[k] = a
		}
	}
	for i := range doc.Services {
		t.servicesByName[doc.Services[i].Name] = &doc.Services[i]
	}
	t.findPrioritized()
	return t
}

// findPrioritized determines the services whose requests have different priorities. Those without an engine are left out: with a few
// servers of a few slots, the loads that a node knows tell nothing about those of the fleet, and calls were refused while slots were free.
func (t *Table) findPrioritized() {
	first := make(map[string]int)
	note := func(service string, priority int) {
		if p, ok := first[service]; ok && p != priority {
			t.prioritized[service] = true
		} else if !ok {
			first[service] = priority
		}
	}
	own, priorities := t.accountPriorities()
	for i := range t.doc.Routes {
		r := &t.doc.Routes[i]
		for _, target := range r.Targets {
			if svc := t.servicesByName[target.Service]; svc == nil || svc.Engine == nil {
				continue
			}
			if r.Public || own {
				note(target.Service, r.Priority)
			}
			if r.Public {
				continue
			}
			for _, p := range priorities {
				note(target.Service, p)
			}
		}
	}
}

// accountPriorities returns the priorities that accounts have themselves, and whether some requests have that of their route.
func (t *Table) accountPriorities() (bool, []int) {
	own := !t.HasAccounts()
	var priorities []int
	for i := range t.doc.Accounts {
		switch a := &t.doc.Accounts[i]; {
		case !a.HasPriority:
			own = true
		case !slices.Contains(priorities, a.Priority):
			priorities = append(priorities, a.Priority)
		}
	}
	return own, priorities
}

// Prioritized reports whether requests for a service with an engine have different priorities, by their routes or accounts.
func (t *Table) Prioritized(service string) bool { return t.prioritized[service] }

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.doc.Version }

// Limits returns the restrictions on what callers may send.
func (t *Table) Limits() Limits { return t.doc.Limits }

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasAccounts reports whether any client account is configured. If so, requests need an API key.
func (t *Table) HasAccounts() bool { return len(t.doc.Accounts) > 0 }

// Account returns the account that an API key belongs to, or nil.
func (t *Table) Account(key string) *Account { return t.accountsByKey[key] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// Services returns all services. The caller must not modify them.
func (t *Table) Services() []Service { return t.doc.Services }
