package form_test

import (
	"fmt"
	"slices"
	"testing"

	"geraniumhollow/internal/plan/form"
	"pgregory.net/rapid"
)

var weights = form.Weights{Model: "m", Version: "v1"}

// hosts returns n free hosts of a domain. The last ones, as many as loaded, have the weights.
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

// Guards against placements that split room for large groups, load weights again without need,
// ignore bindings or the order of shortfalls, or use up the spares of other domains.
func TestPlace(t *testing.T) {
	t.Parallel()
	domains := []form.Domain{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "y"}}
	both := func(a, b []form.Host) []form.Host { return append(a, b...) }
	small := form.Request{Group: "g", Weights: weights, Hosts: 1}
	with := func(change func(r *form.Request)) form.Request { r := small; change(&r); return r }
	large := with(func(r *form.Request) { r.Group, r.Hosts, r.Shortfall = "large", 8, 2 })
	tests := []struct {
		name      string
		hosts     []form.Host
		returning int
		sizes     []int
		requests  []form.Request
		domain    string
		head      string
		cause     form.Cause
	}{
		{"keeps room for eight hosts", both(hosts("a", 8, 0), hosts("b", 9, 0)), 0, []int{8}, []form.Request{small}, "b", "b-00", form.KeepsRoom},
		{"weights loaded", both(hosts("a", 4, 0), hosts("b", 9, 1)), 0, nil, []form.Request{small}, "b", "b-08", form.WeightsLoaded},
		{"keeps spares", both(hosts("a", 2, 2), hosts("b", 3, 0)), 0, nil, []form.Request{small}, "b", "b-00", form.KeepsSpares},
		{"tightest fit", both(hosts("a", 4, 0), hosts("b", 3, 0)), 0, nil, []form.Request{small}, "b", "b-00", form.TightestFit},
		{"bound to domain", both(hosts("a", 1, 0), hosts("b", 9, 1)), 0, nil, []form.Request{with(func(r *form.Request) { r.Domain = "a" })}, "a", "a-00", form.OnlyDomain},
		{"bound to data centre", both(hosts("a", 2, 0), hosts("b", 1, 0)), 0, nil, []form.Request{with(func(r *form.Request) { r.DataCentre = "x" })}, "a", "a-00", form.OnlyDomain},
		{"unknown domain", hosts("a", 2, 0), 0, nil, []form.Request{with(func(r *form.Request) { r.Domain = "c" })}, "", "", form.NoDomain},
		{"largest shortfall first", hosts("a", 1, 0), 0, nil, []form.Request{small, with(func(r *form.Request) { r.Group, r.Shortfall = "h", 3 })}, "", "", form.NoRoom},
		{"room held while hosts return", hosts("a", 6, 0), 2, nil, []form.Request{small, large}, "", "", form.RoomHeld},
		{"no room held without returning hosts", hosts("a", 6, 0), 0, nil, []form.Request{small, large}, "a", "a-00", form.OnlyDomain},
		{"group from another domain leaves spares", hosts("a", 2, 0), 0, nil, []form.Request{with(func(r *form.Request) { r.Hosts, r.LastDomain = 2, "b" })}, "", "", form.SparesKept},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ds := slices.Clone(domains)
			ds[0].Returning = tt.returning
			placements := form.Place(form.Input{Domains: ds, Hosts: tt.hosts, Requests: tt.requests, Sizes: tt.sizes})
			i := slices.IndexFunc(placements, func(p form.Placement) bool { return p.Group == "g" })
			p := placements[i]
			if p.Domain != tt.domain || p.Reason.Cause != tt.cause || (tt.head != "" && p.Hosts[0] != tt.head) {
				t.Errorf("got %+v", p)
			}
		})
	}
}

// Guards against assigning a host twice, against a group across domains or of the wrong size, and
// against a group that waits although a domain has room and nothing is held.
func TestPlaceBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		in := form.Input{Domains: []form.Domain{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
		for _, d := range in.Domains {
			n := rapid.IntRange(0, 40).Draw(rt, "hosts")
			in.Hosts = append(in.Hosts, hosts(d.Name, n, rapid.IntRange(0, n).Draw(rt, "loaded"))...)
		}
		domainOf := make(map[string]string)
		free := make(map[string]int)
		for _, h := range in.Hosts {
			domainOf[h.Name] = h.Domain
			free[h.Domain]++
		}
		for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
			in.Requests = append(in.Requests, form.Request{
				Group: fmt.Sprint(i), Weights: weights, Hosts: rapid.SampledFrom([]int{1, 2, 4, 32}).Draw(rt, "size"),
				Shortfall: float64(rapid.IntRange(0, 3).Draw(rt, "shortfall")),
			})
		}
		need := make(map[string]int)
		for _, r := range in.Requests {
			need[r.Group] = r.Hosts
		}
		for _, p := range form.Place(in) {
			if !p.Placed() {
				for d, n := range free {
					if n >= need[p.Group] {
						rt.Fatalf("group %s waits although %d hosts are free in domain %s", p.Group, n, d)
					}
				}
				continue
			}
			for _, h := range p.Hosts {
				if domainOf[h] != p.Domain {
					rt.Fatalf("host %s is assigned twice or is not in domain %s", h, p.Domain)
				}
				delete(domainOf, h)
			}
			free[p.Domain] -= len(p.Hosts)
			if len(p.Hosts) != need[p.Group] {
				rt.Fatalf("group %s has the wrong number of hosts: %d", p.Group, len(p.Hosts))
			}
		}
	})
}
