package serve

import (
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/relay"
)

// allowedPicker excludes backend servers that must not get new work. It checks at each pick, so that
// waiting requests and failovers also follow a change.
type allowedPicker struct {
	relay.Picker
	node *Node
}

// Pick implements relay.Picker.
func (p allowedPicker) Pick(v *view.View, w relay.RequestInfo) (view.Server, *fault.Error) {
	if out := p.excluded(v, w.Model); out.Len() > 0 {
		w.Tried = w.Tried.Union(out)
	}
	return p.Picker.Pick(v, w)
}

// excluded returns backend servers that must not get new work, including all such servers of the model. Servers
// in data centres and on hosts that the configuration in force takes out of service need not be included: a view
// does not list them.
func (p allowedPicker) excluded(v *view.View, model string) sets.Set[string] {
	allowed := p.node.allowedNow()
	if allowed.OnlyDataCentre() == "" {
		return allowed.Draining()
	}
	out := sets.New[string]()
	for _, s := range v.Servers(model) {
		if !allowed.Allowed(s.Name, s.DataCentre) {
			out.Add(s.Name)
		}
	}
	return out
}
