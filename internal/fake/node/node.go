// Package node is a stand-in for a node behind its operators' address: it has no links to others and
// knows only its own version.
package node

import (
	"context"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/node/admin"
	"github.com/cockroachdb/errors"
)

// errNoConfiguration is why a node that has just started is not ready.
var errNoConfiguration = errors.New("no configuration yet")

// Node implements admin.Node.
type Node struct {
	name       string
	dataCentre string
	current    func() *view.View
	accepted   func(apply.Entry)
}

var _ admin.Node = (*Node)(nil)

// New returns a node that shows the version of current. accepted is told of each accepted version.
func New(name, dataCentre string, current func() *view.View, accepted func(apply.Entry)) *Node {
	return &Node{name: name, dataCentre: dataCentre, current: current, accepted: accepted}
}

// Status implements admin.Node.
func (n *Node) Status() admin.NodeStatus {
	return admin.NodeStatus{
		Node: n.name, DataCentre: n.dataCentre, Version: n.current().Version, Mode: "current", Ready: n.Ready() == nil,
	}
}

// Fleet implements admin.Node.
func (n *Node) Fleet(context.Context) []admin.NodeStatus { return []admin.NodeStatus{n.Status()} }

// Ready implements admin.Node.
func (n *Node) Ready() error {
	if n.current().Version == 0 {
		return errNoConfiguration
	}
	return nil
}

// MayCommit implements admin.Node. A node without peers is its whole roster.
func (n *Node) MayCommit() error { return nil }

// Accepted implements admin.Node.
func (n *Node) Accepted(e apply.Entry) { n.accepted(e) }
