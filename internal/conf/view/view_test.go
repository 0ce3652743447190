package view_test

import (
	"testing"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
)

func document() *schema.Document {
	at := site.Addresses{
		Runners:   []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"},
		Instances: []string{"10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"},
	}
	return site.Strygekurv().WithRunners(len(at.Runners)).Document(at)
}

// Guards against routing requests to a data centre, host, group or service instance that is out of service.
func TestOutOfService(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name            string
		change          func(d *schema.Document)
		groups, servers int
	}{
		{"all in service", func(*schema.Document) {}, 3, 3},
		{"data centre out of service", func(d *schema.Document) { d.DataCentres[0].InService = false }, 2, 2},
		{"second host of a group out of service", func(d *schema.Document) { d.Hosts[1].InService = false }, 2, 3},
		{"group out of service", func(d *schema.Document) { d.Groups[2].OutOfService = true }, 2, 3},
		{"service instance out of service", func(d *schema.Document) { d.Services[0].Backends[1].OutOfService = true }, 3, 2},
		{"group without a placement", func(d *schema.Document) { d.Groups[1].Hosts = nil }, 2, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			doc := document()
			tt.change(doc)
			v := view.New(1, doc)
			svc, _ := v.Service("kurv-app")
			if g, s := len(v.Servers("presse-lm")), len(svc.Servers); g != tt.groups || s != tt.servers {
				t.Errorf("%d groups and %d service instances, want %d and %d", g, s, tt.groups, tt.servers)
			}
		})
	}
}

// Guards against routing requests to a group before it is placed, or to hosts outside its placement.
func TestPlacements(t *testing.T) {
	t.Parallel()
	doc := document()
	pinned := doc.Groups[1].Hosts
	doc.Groups[1].Hosts = nil
	v := view.New(1, doc)
	withPlacement := v.WithPlacements([]view.Placement{{
		Group: doc.Groups[1].Name, Generation: 7, FabricDomain: doc.Groups[1].FabricDomain, Hosts: pinned,
	}})
	if n := len(v.Servers("presse-lm")); n != 2 {
		t.Errorf("%d groups before the placement, want 2", n)
	}
	got := withPlacement.Servers("presse-lm")
	if len(got) != 3 || got[1].Generation != 7 || got[1].Address != "10.0.0.2:1" {
		t.Errorf("placed groups: %+v", got)
	}
}

// Guards against retrying a call that is not idempotent because a route with a shorter prefix was matched
// before the one for the call.
func TestServiceRoute(t *testing.T) {
	t.Parallel()
	svc, _ := view.New(1, document()).Service("kurv-app")
	tests := []struct {
		method, path      string
		found, repeatable bool
	}{
		{"POST", "/bookings/7", true, false},
		{"POST", "/summaries", true, true},
		{"GET", "/bookings/7", true, true},
		{"DELETE", "/bookings/7", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.method+tt.path, func(t *testing.T) {
			t.Parallel()
			rt, ok := svc.Route(tt.method, tt.path)
			if ok != tt.found || rt.Repeatable != tt.repeatable {
				t.Errorf("found %v, repeatable %v; want %v, %v", ok, rt.Repeatable, tt.found, tt.repeatable)
			}
		})
	}
}

// Guards against client accounts without a priority that are treated as lower than the lowest priority.
func TestDefaultPriority(t *testing.T) {
	t.Parallel()
	doc := &schema.Document{Accounts: []schema.Account{{Name: "a", KeyHashes: []string{view.HashKey("k")}}}}
	if a, ok := view.New(1, doc).AccountByKey("k"); !ok || a.Priority != 5 {
		t.Errorf("priority %d, found %v; want 5", a.Priority, ok)
	}
}
