package agenda

import (
	"cmp"
	"slices"
)

// Group is the state of a group without pinned hosts.
type Group struct {
	Name  string
	Model string
	// DataCentre is the data centre that the group is bound to or runs in, or empty if there is
	// none.
	DataCentre string
	// Bound is set when the document binds the group to a data centre.
	Bound bool
	// Placed is set when the group has hosts, Open when its route is open.
	Placed bool
	Open   bool
	// Outdated is set when the document specifies another version or other adapters than the group
	// runs.
	Outdated bool
}

// Decision is the decision on one group.
type Decision struct {
	Wanted bool
	// DataCentre is where an unbound group should run, or empty for any data centre.
	DataCentre string
	// Shortfall is the missing share of the target, in (0, 1].
	Shortfall float64
	// Update allows the group to change its version or adapters now.
	Update bool
	Reason string
}

// minShortfall keeps the shortfall of a group positive when its target is met.
const minShortfall = 0.01

// Choose decides which groups run. Groups beyond a target are released, those without an open route
// first. All groups of a model without any target run.
func Choose(targets map[Key]Target, groups []Group) map[string]Decision {
	decisions := make(map[string]Decision, len(groups))
	models := make(map[string]bool)
	for k := range targets {
		models[k.Model] = true
	}
	sorted := slices.Clone(groups)
	slices.SortFunc(sorted, func(a, b Group) int {
		return cmp.Or(trueFirst(a.Open, b.Open), trueFirst(a.Placed, b.Placed), trueFirst(a.Bound, b.Bound), cmp.Compare(a.Name, b.Name))
	})
	remaining := make(map[Key]int, len(targets))
	open := make(map[Key]int, len(targets))
	for k, t := range targets {
		remaining[k] = t.Groups
	}
	for _, g := range sorted {
		if g.Open {
			open[Key{Model: g.Model, DataCentre: g.DataCentre}]++
		}
	}
	for _, g := range sorted {
		decisions[g.Name] = decide(g, targets, models, remaining, open)
	}
	allowUpdates(sorted, decisions)
	return decisions
}

// trueFirst compares two values so that true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func decide(g Group, targets map[Key]Target, models map[string]bool, remaining, open map[Key]int) Decision {
	if !models[g.Model] {
		return Decision{Wanted: true, Shortfall: 1, Reason: "the model has no target"}
	}
	k := Key{Model: g.Model, DataCentre: g.DataCentre}
	if g.DataCentre == "" {
		k = mostRemaining(g.Model, remaining)
	}
	t, ok := targets[k]
	if !ok && g.Bound {
		return Decision{Wanted: true, Shortfall: 1, Reason: "the data centre has no target"}
	}
	if remaining[k] <= 0 {
		return Decision{Reason: "the target is met by other groups"}
	}
	remaining[k]--
	d := Decision{Wanted: true, Shortfall: minShortfall, Reason: string(t.Cause)}
	if !g.Bound {
		d.DataCentre = k.DataCentre
	}
	d.Shortfall = max(d.Shortfall, float64(t.Groups-open[k])/float64(t.Groups))
	return d
}

// mostRemaining returns the key of a model for which the most groups have yet to be chosen. On a
// tie it is the one with the first data centre by name.
func mostRemaining(model string, remaining map[Key]int) Key {
	best := Key{Model: model}
	for k, n := range remaining {
		if k.Model != model {
			continue
		}
		if n > remaining[best] || (n == remaining[best] && k.DataCentre < best.DataCentre) {
			best = k
		}
	}
	return best
}

// allowUpdates lets at most one group of each model change its version or adapters. If exactly one
// group is closed and that group is outdated, it may change. If no group is closed, the first
// outdated group by name may change. Only placed and wanted groups count.
func allowUpdates(groups []Group, decisions map[string]Decision) {
	closed := make(map[string][]string)
	outdated := make(map[string][]string)
	for _, g := range groups {
		if !g.Placed || !decisions[g.Name].Wanted {
			continue
		}
		if !g.Open {
			closed[g.Model] = append(closed[g.Model], g.Name)
		}
		if g.Outdated {
			outdated[g.Model] = append(outdated[g.Model], g.Name)
		}
	}
	for model, names := range outdated {
		pick := slices.Min(names)
		switch c := closed[model]; {
		case len(c) == 1 && slices.Contains(names, c[0]):
			pick = c[0]
		case len(c) > 0:
			continue
		}
		d := decisions[pick]
		d.Update = true
		decisions[pick] = d
	}
}
