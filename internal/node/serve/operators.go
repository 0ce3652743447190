package serve

import (
	"context"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/fleet/drain"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/report/metric"
	"github.com/cockroachdb/errors"
)

// Reasons for which a node is not ready or accepts no change.
var (
	errStopping = errors.New("the node is stopping")
	errIsolated = errors.New("the node is cut off and its configuration has aged")
	errMinority = errors.New("the node hears less than half of the fleet, so a change might be missed by others")
)

// operators shows a node to the operators' address.
type operators struct {
	node *Node
}

var _ admin.Node = operators{}

// serveOperators answers the operators' address until ctx ends.
func (n *Node) serveOperators(ctx context.Context, m *metric.Set) error {
	srv, err := admin.New(ctx, admin.Deps{
		Log: n.log.Named("admin"), Configs: n.configs, View: n.view.Load, Node: operators{node: n},
		Reasons: n.reasons, Metrics: m.Handler(), KeyHash: n.cfg.OperatorKeyHash, Now: n.now,
	})
	if err != nil {
		return errors.Newf("build operators' address: %w", err)
	}
	return srv.Serve(ctx, n.lns.Operators)
}

// Status implements admin.Node.
func (o operators) Status() admin.NodeStatus {
	n := o.node
	st := n.peers.Status()
	return admin.NodeStatus{
		Node: n.cfg.NodeName, DataCentre: n.cfg.DataCentre, Version: st.Version,
		AgeSeconds: st.Age.Seconds(), Mode: string(st.Mode), Ready: n.Ready(), Drain: n.drainState(),
	}
}

// Fleet implements admin.Node. The versions of other nodes are those of their last heartbeats.
func (o operators) Fleet(context.Context) []admin.NodeStatus {
	self := o.Status()
	out := []admin.NodeStatus{self}
	for _, m := range o.node.peers.Status().Members {
		if m.Node == self.Node {
			continue
		}
		out = append(out, admin.NodeStatus{
			Node: m.Node, DataCentre: m.DataCentre, Version: m.Version, Mode: string(m.State), Drain: m.Drain,
			Ready: m.State == roster.Live && (m.Drain == "" || m.Drain == string(drain.Serving)),
		})
	}
	return out
}

// Ready implements admin.Node.
func (o operators) Ready() error {
	if o.node.Ready() {
		return nil
	}
	if o.node.Isolated() {
		return errIsolated
	}
	return errStopping
}

// MayCommit implements admin.Node.
func (o operators) MayCommit() error {
	if o.node.peers.MayCommit() {
		return nil
	}
	return errMinority
}

// Accepted implements admin.Node. The version comes into force with the next read of the table, at
// most a second later, so that a commit and a read never race to put a version in force.
func (o operators) Accepted(e apply.Entry) {
	o.node.log.Info("change accepted", "version", e.Version, "author", e.Author)
}
