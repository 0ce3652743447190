package serve

import (
	"context"
	"net/http"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/fleet/drain"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Reasons why a node is not ready or accepts no changes.
var (
	errStopping = errors.New("the node is stopping")
	errIsolated = errors.New("the node is isolated and its configuration may be stale")
	errMinority = errors.New("the node receives messages from less than half of the fleet, so other nodes could miss a change")
)

// adminNode gives the server of the operators' address access to a node.
type adminNode struct {
	node *Node
}

var _ admin.Node = adminNode{}

// serveOperators serves the operators' address until ctx ends.
func (n *Node) serveOperators(ctx context.Context, metrics http.Handler, b *burnReporter) error {
	srv, err := admin.New(ctx, admin.Deps{
		Log: n.log.Named("admin"), Configs: announcingStore{Store: n.configs, node: n}, View: n.view.Load, Node: adminNode{node: n},
		Burn: b.load, Reasons: n.reasons, Metrics: metrics, KeyHash: n.cfg.OperatorKeyHash, Now: n.now,
	})
	if err != nil {
		return errors.Newf("build the server of the operators' address: %w", err)
	}
	return srv.Serve(ctx, n.lns.Operators)
}

// Status implements admin.Node.
func (a adminNode) Status() admin.NodeStatus {
	n := a.node
	st := n.peers.Status()
	return admin.NodeStatus{
		Node: n.cfg.NodeName, DataCentre: n.cfg.DataCentre, Version: st.Version,
		AgeSeconds: st.Age.Seconds(), Mode: string(st.Mode), Ready: n.Ready(), Drain: n.drainState(),
	}
}

// Fleet implements admin.Node. For other nodes it returns the versions from their last heartbeats.
func (a adminNode) Fleet(context.Context) []admin.NodeStatus {
	self := a.Status()
	out := []admin.NodeStatus{self}
	for _, m := range a.node.peers.Status().Members {
		if m.Node == self.Node {
			continue
		}
		out = append(out, admin.NodeStatus{
			Node: m.Node, DataCentre: m.DataCentre, Version: m.Version, Mode: string(m.State), Drain: m.Drain,
			AgeSeconds: admin.NotKnown, HeardSeconds: admin.NotKnown,
			Ready: m.State == roster.Live && (m.Drain == "" || m.Drain == string(drain.Serving)),
		})
	}
	return out
}

// Ready implements admin.Node.
func (a adminNode) Ready() error {
	if a.node.Ready() {
		return nil
	}
	if a.node.Isolated() {
		return errIsolated
	}
	return errStopping
}

// MayCommit implements admin.Node.
func (a adminNode) MayCommit() error {
	if st := a.node.peers.Status(); 2*st.Heard >= st.Size {
		return nil
	}
	return errMinority
}

// Accepted implements admin.Node.
func (a adminNode) Accepted(e apply.Entry) {
	a.node.log.Info("change accepted", "version", e.Version, "author", e.Author)
	a.node.peers.Refresh()
}

// announcingStore is the configuration store of the operators' address. It announces each commit to the fleet
// first, so that no majority of nodes continues without the new version.
type announcingStore struct {
	*apply.Store
	node *Node
}

// Commit announces the next version and then commits a document like apply.Store.Commit. After a conflict, or
// if the table was unavailable, the commit had no effect and the announcement is withdrawn.
func (s announcingStore) Commit(ctx context.Context, base uint64, author string, doc *schema.Document) (apply.Entry, error) {
	notice, err := s.node.peers.Announce(ctx, base+1)
	if err != nil {
		return apply.Entry{}, errors.Mark(errors.Newf("announce version %d: %w", base+1, err), table.ErrUnavailable)
	}
	e, err := s.Store.Commit(ctx, base, author, doc)
	if errors.IsAny(err, apply.ErrConflict, table.ErrUnavailable) {
		notice.Withdraw()
	}
	if err != nil {
		return e, errors.Newf("commit announced change: %w", err)
	}
	return e, nil
}
