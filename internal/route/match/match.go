// Package match holds what operators say of routes, client accounts and services, and finds the route
// and the account of a request. Everything in it is immutable once built.
package match

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/route/batch"
)

// Kind says how often a request may run.
type Kind string

// Kinds of requests. A stream may run again only from where its answer was cut, if its route is
// resumable.
const (
	Idempotent Kind = "idempotent"
	Once       Kind = "once"
	Stream     Kind = "stream"
)

// Target is a service that a route leads to.
type Target struct {
	Service string
	// Weight is its share relative to the other targets.
	Weight int
}

// Route is the rule for the requests of a host whose path starts with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another backend server after the last event that arrived.
	Resumable bool
	// Generative requests name a model and count tokens.
	Generative bool
	// Public requests need no key.
	Public bool
	// Timeout is how long a caller may be kept waiting for the whole answer.
	Timeout time.Duration
	// Objective is the latency up to which an answer, or its first event, is on time.
	Objective time.Duration
	// GapObjective is the longest pause between events of an answer that is on time.
	GapObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts bounds the backend servers that one request may be sent to.
	MaxAttempts int
	Targets     []Target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable) }

// Target returns the service for a request; u is uniform in [0, 1).
func (r *Route) Target(u float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := u * float64(total)
	for _, t := range r.Targets {
		if left -= float64(t.Weight); left < 0 {
			return t.Service
		}
	}
	return ""
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Service is a set of equal backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections one backend server accepts from all callers together.
	MaxConns int
	// ColdFor is how long a backend server is cold after its start; ColdRate is how many requests a
	// second it bears then, 0 for no bound.
	ColdFor  time.Duration
	ColdRate float64
	// Engine describes model engines; nil for a plain service.
	Engine *batch.Engine
}

// Limits bound what callers may send.
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

// Table answers which route and account a request has. It is immutable.
type Table struct {
	doc      Document
	hosts    map[string][]*Route
	accounts map[string]*Account
	services map[string]*Service
}

// New returns the table of a document. The document must not be changed afterwards.
func New(doc Document) *Table {
	t := &Table{
		doc:      doc,
		hosts:    make(map[string][]*Route),
		accounts: make(map[string]*Account, len(doc.Accounts)),
		services: make(map[string]*Service, len(doc.Services)),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		for _, k := range a.Keys {
			t.accounts[k] = a
		}
	}
	for i := range doc.Services {
		t.services[doc.Services[i].Name] = &doc.Services[i]
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.doc.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.doc.Limits }

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasAccounts reports whether requests need a key.
func (t *Table) HasAccounts() bool { return len(t.doc.Accounts) > 0 }

// Account returns the holder of a key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services. They must not be changed.
func (t *Table) Services() []Service { return t.doc.Services }
