package edge

import (
	"geraniumhollow/internal/node/scaler"
	"geraniumhollow/internal/node/tally"
	"geraniumhollow/internal/route/match"
)

// asksForScaling reports whether the settings ask for scaling.
func (n *Node) asksForScaling() bool { return n.settings.Load().Cloud.Scale }

// newTally returns the counter of the demand of callers of this node.
func (n *Node) newTally(set Settings) *tally.Tally {
	return tally.New(tally.Config{DataCentre: set.DataCentre, Enabled: n.asksForScaling})
}

// newScaler returns the part of the node that decides on the number of servers while it holds the duty.
func (n *Node) newScaler() *scaler.Scaler {
	return scaler.New(scaler.Config{
		Service: n.scaledService, View: n.index.View, Objectives: n.tally.Objectives, SetTargets: n.keeper.SetTargets,
		Metrics: n.cfg.Metrics, Log: n.cfg.Log,
	})
}

// scaledService returns the service whose servers form groups, or nil if there is none.
func (n *Node) scaledService() *match.Service {
	name, _ := n.engineService()
	return n.service(name)
}

// followsDemand reports whether the number of groups follows demand.
func (n *Node) followsDemand() bool {
	s := n.scaledService()
	return s != nil && s.Scaling != nil && n.asksForScaling()
}
