package match_test

import (
	"fmt"
	"testing"

	"geraniumhollow/internal/route/batch"
	"geraniumhollow/internal/route/match"
)

func ExampleTable_Route() {
	t := match.New(match.Document{Routes: []match.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
	}})
	fmt.Println(t.Route("a.example", "/x/y/z").Name, t.Route("A.Example", "/x/z").Name, t.Route("a.example", "/z") == nil)
	// Output: long short true
}

// Guards against ignoring the weights of targets, and against sending requests to a target of weight zero.
func TestTarget(t *testing.T) {
	t.Parallel()
	r := match.Route{Targets: []match.Target{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	count := make(map[string]int)
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	if count["a"] != 900 || count["b"] != 100 || len(count) != 2 {
		t.Errorf("1000 requests were distributed as %v", count)
	}
	if got := (&match.Route{}).PickService(0.5); got != "" {
		t.Errorf("a route without targets selected %q", got)
	}
}

// Guards against repeating a request that may run only once.
func TestRepeatable(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		route match.Route
		want  bool
	}{
		{match.Route{Kind: match.Idempotent}, true},
		{match.Route{Kind: match.Once}, false},
		{match.Route{Kind: match.Once, Resumable: true}, false},
		{match.Route{Kind: match.Stream}, false},
		{match.Route{Kind: match.Stream, Resumable: true}, true},
	} {
		if got := tt.route.Repeatable(); got != tt.want {
			t.Errorf("%+v is repeatable: %v", tt.route, got)
		}
	}
}

// Guards against a service whose requests wait in order of priority although all have the same, or do not although they differ.
func TestPrioritized(t *testing.T) {
	t.Parallel()
	route := func(priority int, public bool, service string) match.Route {
		return match.Route{Priority: priority, Public: public, Targets: []match.Target{{Service: service, Weight: 1}}}
	}
	with, without := match.Account{Name: "with", Priority: 2, HasPriority: true}, match.Account{Name: "without"}
	tests := map[string]struct {
		doc  match.Document
		want bool
	}{
		"one route":                         {match.Document{Routes: []match.Route{route(1, false, "s")}}, false},
		"equal routes":                      {match.Document{Routes: []match.Route{route(1, false, "s"), route(1, true, "s")}}, false},
		"different routes":                  {match.Document{Routes: []match.Route{route(1, false, "s"), route(0, false, "s")}}, true},
		"different routes of others":        {match.Document{Routes: []match.Route{route(1, false, "s"), route(0, false, "other")}}, false},
		"account of another priority":       {match.Document{Routes: []match.Route{route(1, false, "s")}, Accounts: []match.Account{with, without}}, true},
		"account of the same priority":      {match.Document{Routes: []match.Route{route(2, false, "s")}, Accounts: []match.Account{with, without}}, false},
		"account of another, public route":  {match.Document{Routes: []match.Route{route(1, true, "s")}, Accounts: []match.Account{with, without}}, false},
		"all accounts of the same priority": {match.Document{Routes: []match.Route{route(0, false, "s"), route(1, false, "s")}, Accounts: []match.Account{with}}, false},
	}
	for name, tt := range tests {
		tt.doc.Services = []match.Service{{Name: "s", Engine: &batch.Engine{}}}
		if got := match.New(tt.doc).Prioritized("s"); got != tt.want {
			t.Errorf("%s: %v, want %v", name, got, tt.want)
		}
		tt.doc.Services = []match.Service{{Name: "s"}}
		if match.New(tt.doc).Prioritized("s") {
			t.Errorf("%s: a service without an engine has priorities", name)
		}
	}
}
