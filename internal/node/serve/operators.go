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
func (n *Node) serveOperators(ctx context.Context, metrics http.Handler, b *burns) error {
	srv, err := admin.New(ctx, admin.Deps{
		Log: n.log.Named("admin"), Configs: commits{Store: n.configs, node: n}, View: n.view.Load, Node: operators{node: n},
		Burn: b.load, Reasons: n.reasons, Metrics: metrics, KeyHash: n.cfg.OperatorKeyHash, Now: n.now,
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
			AgeSeconds: admin.NotKnown, HeardSeconds: admin.NotKnown,
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
	if st := o.node.peers.Status(); 2*st.Heard >= st.Size {
		return nil
	}
	return errMinority
}

// Accepted implements admin.Node.
func (o operators) Accepted(e apply.Entry) {
	o.node.log.Info("change accepted", "version", e.Version, "author", e.Author)
	o.node.peers.Refresh()
}

// commits is the configuration of the operators' address. Each commit is announced to the fleet first,
// so that no majority goes on without it.
type commits struct {
	*apply.Store
	node *Node
}

// Commit commits a document as apply.Store does.
func (c commits) Commit(ctx context.Context, base uint64, author string, doc *schema.Document) (apply.Entry, error) {
	notice, err := c.node.peers.Announce(ctx, base+1)
	if err != nil {
		return apply.Entry{}, errors.Mark(errors.Newf("announce version %d: %w", base+1, err), table.ErrUnavailable)
	}
	e, err := c.Store.Commit(ctx, base, author, doc)
	if errors.IsAny(err, apply.ErrConflict, table.ErrUnavailable) {
		notice.Withdraw()
	}
	if err != nil {
		return e, errors.Newf("commit announced change: %w", err)
	}
	return e, nil
}
