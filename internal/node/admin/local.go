package admin

import (
	"context"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/view"
	"github.com/cockroachdb/errors"
)

// errNoConfiguration is why a node that has just started is not ready.
var errNoConfiguration = errors.New("no configuration yet")

// Local is the Node of a node that has no links to others: it knows only its own version.
type Local struct {
	name       string
	dataCentre string
	current    func() *view.View
	accepted   func(apply.Entry)
}

var _ Node = (*Local)(nil)

// NewLocal returns the Node of a node without peers. accepted is told of each accepted version.
func NewLocal(name, dataCentre string, current func() *view.View, accepted func(apply.Entry)) *Local {
	return &Local{name: name, dataCentre: dataCentre, current: current, accepted: accepted}
}

// Status implements Node.
func (l *Local) Status() NodeStatus {
	return NodeStatus{
		Node: l.name, DataCentre: l.dataCentre, Version: l.current().Version, Mode: "current", Ready: l.Ready() == nil,
	}
}

// Fleet implements Node.
func (l *Local) Fleet(context.Context) []NodeStatus { return []NodeStatus{l.Status()} }

// Ready implements Node.
func (l *Local) Ready() error {
	if l.current().Version == 0 {
		return errNoConfiguration
	}
	return nil
}

// MayCommit implements Node. A node without peers is its whole roster.
func (l *Local) MayCommit() error { return nil }

// Accepted implements Node.
func (l *Local) Accepted(e apply.Entry) { l.accepted(e) }
