package form_test

import (
	"fmt"
	"slices"
	"testing"

	"geraniumhollow/internal/plan/form"
	"pgregory.net/rapid"
)

var weights = form.Weights{Model: "m", Version: "v1"}

// hosts returns n free hosts of a domain; the last loaded of them have the weights.
func hosts(domain string, n, loaded int) []form.Host {
	out := make([]form.Host, n)
	for i := range out {
		out[i] = form.Host{Name: fmt.Sprintf("%s-%02d", domain, i), Domain: domain, Accelerators: 4}
		if i >= n-loaded {
			out[i].Loaded = []form.Weights{weights}
		}
	}
	return out
}

// Guards against choices that break large places, reload weights without need, ignore bindings or
// what callers lack most, or drain the spares of other domains.
func TestPlace(t *testing.T) {
	t.Parallel()
	domains := []form.Domain{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "y"}}
	both := func(a, b []form.Host) []form.Host { return append(a, b...) }
	small := form.Request{Group: "g", Weights: weights, Hosts: 1}
	with := func(change func(r *form.Request)) form.Request { r := small; change(&r); return r }
	large := with(func(r *form.Request) { r.Group, r.Hosts, r.Lack = "large", 8, 2 })
	tests := []struct {
		name      string
		hosts     []form.Host
		returning int
		sizes     []int
		requests  []form.Request
		domain    string
		leader    string
		cause     form.Cause
	}{
		{"keeps the place of eight", both(hosts("a", 8, 0), hosts("b", 9, 0)), 0, []int{8}, []form.Request{small}, "b", "b-00", form.KeepsRoom},
		{"weights loaded", both(hosts("a", 4, 0), hosts("b", 9, 1)), 0, nil, []form.Request{small}, "b", "b-08", form.WeightsLoaded},
		{"keeps spares", both(hosts("a", 2, 2), hosts("b", 3, 0)), 0, nil, []form.Request{small}, "b", "b-00", form.KeepsSpares},
		{"tightest fit", both(hosts("a", 4, 0), hosts("b", 3, 0)), 0, nil, []form.Request{small}, "b", "b-00", form.TightestFit},
		{"bound to domain", both(hosts("a", 1, 0), hosts("b", 9, 1)), 0, nil, []form.Request{with(func(r *form.Request) { r.Domain = "a" })}, "a", "a-00", form.OnlyDomain},
		{"bound to data centre", both(hosts("a", 2, 0), hosts("b", 1, 0)), 0, nil, []form.Request{with(func(r *form.Request) { r.DataCentre = "x" })}, "a", "a-00", form.OnlyDomain},
		{"unknown domain", hosts("a", 2, 0), 0, nil, []form.Request{with(func(r *form.Request) { r.Domain = "c" })}, "", "", form.NoDomain},
		{"most lacking first", hosts("a", 1, 0), 0, nil, []form.Request{small, with(func(r *form.Request) { r.Group, r.Lack = "h", 3 })}, "", "", form.NoRoom},
		{"room held while hosts return", hosts("a", 6, 0), 2, nil, []form.Request{small, large}, "", "", form.HeldForLarger},
		{"no room held without returning hosts", hosts("a", 6, 0), 0, nil, []form.Request{small, large}, "a", "a-00", form.OnlyDomain},
		{"displaced group leaves spares", hosts("a", 2, 0), 0, nil, []form.Request{with(func(r *form.Request) { r.Hosts, r.Home = 2, "b" })}, "", "", form.SparesKept},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ds := slices.Clone(domains)
			ds[0].Returning = tt.returning
			choices := form.Place(form.Input{Domains: ds, Hosts: tt.hosts, Requests: tt.requests, Sizes: tt.sizes})
			i := slices.IndexFunc(choices, func(c form.Choice) bool { return c.Group == "g" })
			c := choices[i]
			if c.Domain != tt.domain || c.Reason.Cause != tt.cause || (tt.leader != "" && c.Hosts[0] != tt.leader) {
				t.Errorf("got %+v", c)
			}
		})
	}
}

// Guards against a host that is given twice, a group across domains or of the wrong size, and a
// group that waits although an unshared domain has room and nothing is held.
func TestPlaceBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		in := form.Input{Domains: []form.Domain{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
		for _, d := range in.Domains {
			n := rapid.IntRange(0, 40).Draw(rt, "hosts")
			in.Hosts = append(in.Hosts, hosts(d.Name, n, rapid.IntRange(0, n).Draw(rt, "loaded"))...)
		}
		domainOf := make(map[string]string)
		left := make(map[string]int)
		for _, h := range in.Hosts {
			domainOf[h.Name] = h.Domain
			left[h.Domain]++
		}
		for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
			in.Requests = append(in.Requests, form.Request{
				Group: fmt.Sprint(i), Weights: weights, Hosts: rapid.SampledFrom([]int{1, 2, 4, 32}).Draw(rt, "size"),
				Lack: float64(rapid.IntRange(0, 3).Draw(rt, "lack")),
			})
		}
		need := make(map[string]int)
		for _, r := range in.Requests {
			need[r.Group] = r.Hosts
		}
		for _, c := range form.Place(in) {
			if !c.Placed() {
				for d, n := range left {
					if n >= need[c.Group] {
						rt.Fatalf("group %s waits with %d free hosts in %s", c.Group, n, d)
					}
				}
				continue
			}
			for _, h := range c.Hosts {
				if domainOf[h] != c.Domain {
					rt.Fatalf("host %s is given twice or not in %s", h, c.Domain)
				}
				delete(domainOf, h)
			}
			left[c.Domain] -= len(c.Hosts)
			if len(c.Hosts) != need[c.Group] {
				rt.Fatalf("group %s has %d hosts", c.Group, len(c.Hosts))
			}
		}
	})
}
