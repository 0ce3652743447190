package edge

import (
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/duties"
	"geraniumhollow/internal/plat/cloud"
)

// newDuties returns the part of the node that calls the platform's API while it holds the duty.
func (n *Node) newDuties(set Settings, incarnation string) *duties.Duties {
	return duties.New(duties.Config{
		Node: set.Node, Process: usage.Process{Node: n.address, Incarnation: incarnation},
		Settings: func() duties.Settings { return n.settings.Load().Cloud },
		NewAPI:   func(address string) cloud.API { return n.cfg.NewCloud(address, set.IP) },
		Tenure:   n.keeper.Tenure, Table: n.store, Network: n.mesh, Nodes: n.mesh.Members,
		TakeDemand: n.tally.Take, Scaler: n.scaler,
		Metrics: n.cfg.Metrics, Log: n.cfg.Log,
	})
}
