package drain_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/fleet/drain"
	"geraniumhollow/internal/plat/hosts"
	"pgregory.net/rapid"
)

// Guards against a stop that cuts off requests, refuses new ones too early, or never ends.
func TestNode(t *testing.T) {
	t.Parallel()
	start := time.Unix(100, 0)
	type event struct {
		at      time.Duration
		signal  bool
		running int
	}
	tests := []struct {
		name   string
		events []event
		want   drain.State
		ready  bool
		accept bool
	}{
		{"no signal", []event{{at: time.Hour}}, drain.Serving, true, true},
		{"notice", []event{{signal: true}, {at: 3999 * time.Millisecond}}, drain.Notice, false, true},
		{"finishing", []event{{signal: true}, {at: 4 * time.Second, running: 1}}, drain.Finishing, false, false},
		{"no running requests", []event{{signal: true}, {at: 4 * time.Second}}, drain.Stopped, false, false},
		{"last request ends", []event{{signal: true}, {at: 4 * time.Second, running: 1}, {at: 5 * time.Second}}, drain.Stopped, false, false},
		{"before the timeout", []event{{signal: true}, {at: 4 * time.Second, running: 1}, {at: 63 * time.Second, running: 1}}, drain.Finishing, false, false},
		{"after the timeout", []event{{signal: true}, {at: 4 * time.Second, running: 1}, {at: 64 * time.Second, running: 1}}, drain.Stopped, false, false},
		{"second signal", []event{{signal: true}, {at: time.Second, signal: true}}, drain.Stopped, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n := drain.NewNode(4*time.Second, time.Minute)
			for _, e := range tt.events {
				if e.signal {
					n.Signal(start.Add(e.at))
					continue
				}
				n.Tick(start.Add(e.at), e.running)
			}
			if n.State() != tt.want || n.Ready() != tt.ready || n.Accepts() != tt.accept {
				t.Errorf("got state %s, ready %v, accepts %v", n.State(), n.Ready(), n.Accepts())
			}
		})
	}
}

// Guards against new work for backend servers that are leaving or out of service.
func TestSet(t *testing.T) {
	t.Parallel()
	doc := &schema.Document{
		DataCentres: []schema.DataCentre{{Name: "in", InService: true}, {Name: "out"}},
		Hosts: []schema.Host{
			{Name: "h1", InService: true}, {Name: "h2", InService: true}, {Name: "h3"}, {Name: "h4", InService: true},
		},
		Groups: []schema.Group{
			{Name: "whole", Hosts: []string{"h1"}},
			{Name: "member leaves", Hosts: []string{"h1", "h2"}},
			{Name: "member out", Hosts: []string{"h3"}},
			{Name: "group out", Hosts: []string{"h4"}, OutOfService: true},
		},
	}
	set := drain.Set{}.WithHosts([]hosts.Host{{Name: "h2", State: hosts.Leaving}, {Name: "h1", State: hosts.Live}}).WithDocument(doc)
	tests := []struct {
		server, dataCentre string
		home               string
		want               bool
	}{
		{"whole", "in", "", true},
		{"whole", "out", "", false},
		{"member leaves", "in", "", false},
		{"member out", "in", "", false},
		{"group out", "in", "", false},
		{"whole", "in", "in", true},
		{"whole", "in", "other", false},
	}
	for _, tt := range tests {
		t.Run(tt.server+tt.dataCentre+tt.home, func(t *testing.T) {
			t.Parallel()
			if got := set.WithOnlyDataCentre(tt.home).Allowed(tt.server, tt.dataCentre); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
	if !set.WithHosts(nil).Allowed("member leaves", "in") {
		t.Error("a server is not allowed after its host is no longer leaving")
	}
}

// Guards against a stopping node that makes all servers of a model unavailable at the same time.
func TestHalves(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		models := rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3), 0, 64).Draw(rt, "models")
		duties := make([]drain.Duty, len(models))
		modelsOf := make(map[string][]string)
		for i, m := range models {
			duties[i] = drain.Duty{Name: fmt.Sprint(i), Models: m}
			modelsOf[duties[i].Name] = m
		}
		now, later := drain.SplitHandover(duties)
		if len(now)+len(later) != len(duties) {
			rt.Fatalf("got %d and %d duties, want %d in total", len(now), len(later), len(duties))
		}
		servers := func(names []string, model string) int {
			n := 0
			for _, d := range names {
				for _, m := range modelsOf[d] {
					if m == model {
						n++
					}
				}
			}
			return n
		}
		for _, m := range []string{"a", "b", "c"} {
			// A duty may have up to three servers of a model.
			if movedNow, movedLater := servers(now, m), servers(later, m); movedNow > movedLater+2 || movedNow > 0 && movedLater == 0 {
				rt.Errorf("model %s: %d servers are handed over now, %d later", m, movedNow, movedLater)
			}
		}
	})
}
