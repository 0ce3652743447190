package agenda

import (
	"cmp"
	"slices"
)

// Group is what the agenda looks at of a group without pinned hosts.
type Group struct {
	Name  string
	Model string
	// DataCentre is where the group is bound to or runs; empty if it is neither.
	DataCentre string
	// Bound is set when the document binds the group.
	Bound bool
	// Placed is set when the group has hosts, Open when its route is open.
	Placed bool
	Open   bool
	// Changed is set when the document asks for another version or other adapters than it runs.
	Changed bool
}

// Decision is what the agenda wants of a group.
type Decision struct {
	Wanted bool
	// DataCentre is where an unbound group is to run; empty for any.
	DataCentre string
	// Lack is the share of the target that callers lack, in (0, 1].
	Lack float64
	// Change allows the group to change its version or adapters now.
	Change bool
	Reason string
}

// leastLack keeps the lack of a group positive when its target is met.
const leastLack = 0.01

// Choose decides which groups run. Groups beyond a target are handed back, those without a route
// first. Models without any target run all their groups.
func Choose(targets map[Key]Target, groups []Group) map[string]Decision {
	out := make(map[string]Decision, len(groups))
	models := make(map[string]bool)
	for k := range targets {
		models[k.Model] = true
	}
	sorted := slices.Clone(groups)
	slices.SortFunc(sorted, func(a, b Group) int {
		return cmp.Or(first(a.Open, b.Open), first(a.Placed, b.Placed), first(a.Bound, b.Bound), cmp.Compare(a.Name, b.Name))
	})
	left := make(map[Key]int, len(targets))
	open := make(map[Key]int, len(targets))
	for k, t := range targets {
		left[k] = t.Groups
	}
	for _, g := range sorted {
		if g.Open {
			open[Key{Model: g.Model, DataCentre: g.DataCentre}]++
		}
	}
	for _, g := range sorted {
		out[g.Name] = decide(g, targets, models, left, open)
	}
	allowChanges(sorted, out)
	return out
}

// first orders true before false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func decide(g Group, targets map[Key]Target, models map[string]bool, left, open map[Key]int) Decision {
	if !models[g.Model] {
		return Decision{Wanted: true, Lack: 1, Reason: "the model has no target"}
	}
	k := Key{Model: g.Model, DataCentre: g.DataCentre}
	if g.DataCentre == "" {
		k = mostLacking(g.Model, left)
	}
	t, ok := targets[k]
	if !ok && g.Bound {
		return Decision{Wanted: true, Lack: 1, Reason: "the data centre has no target"}
	}
	if left[k] <= 0 {
		return Decision{Reason: "the target is met by other groups"}
	}
	left[k]--
	d := Decision{Wanted: true, Lack: leastLack, Reason: string(t.Cause)}
	if !g.Bound {
		d.DataCentre = k.DataCentre
	}
	d.Lack = max(d.Lack, float64(t.Groups-open[k])/float64(t.Groups))
	return d
}

// mostLacking returns the key of a model with the most groups left to choose.
func mostLacking(model string, left map[Key]int) Key {
	best := Key{Model: model}
	for k, n := range left {
		if k.Model != model {
			continue
		}
		if n > left[best] || (n == left[best] && k.DataCentre < best.DataCentre) {
			best = k
		}
	}
	return best
}

// allowChanges lets one group of each model change its version or adapters: one that is not open
// anyway, or else the first by name while every other placed and wanted group is open.
func allowChanges(groups []Group, out map[string]Decision) {
	closed := make(map[string][]string)
	changed := make(map[string][]string)
	for _, g := range groups {
		if !g.Placed || !out[g.Name].Wanted {
			continue
		}
		if !g.Open {
			closed[g.Model] = append(closed[g.Model], g.Name)
		}
		if g.Changed {
			changed[g.Model] = append(changed[g.Model], g.Name)
		}
	}
	for model, names := range changed {
		pick := slices.Min(names)
		switch c := closed[model]; {
		case len(c) == 1 && slices.Contains(names, c[0]):
			pick = c[0]
		case len(c) > 0:
			continue
		}
		d := out[pick]
		d.Change = true
		out[pick] = d
	}
}
