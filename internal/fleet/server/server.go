// Package server describes backend servers by what they report of themselves, in the platform's registry and
// in load reports.
package server

import (
	"slices"
	"time"
)

// GroupState is the state of a member of a serving group.
type GroupState string

// Member states. Only the head of a group reaches Open.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// Member is a backend server's membership in a serving group. The zero value means that it is in none.
type Member struct {
	Group string
	// Epoch identifies one formation of the group. It grows with each formation.
	Epoch uint64
	// Rank is the member's position in the list of members. The head has rank 0.
	Rank  int
	State GroupState
}

// InGroup reports whether the server is a member of a group.
func (m Member) InGroup() bool { return m.Group != "" }

// InFormation reports whether the server is a member of this formation of the group.
func (m Member) InFormation(group string, epoch uint64) bool {
	return m.Group == group && m.Epoch == epoch
}

// Info is what a backend server registers about itself.
type Info struct {
	// ID identifies one registration. A restarted server usually has a new one.
	ID      string
	Service string
	// Address is an IP address and port.
	Address    string
	DataCentre string
	// Domain is the fabric domain of the server's host, or empty for a plain HTTP service, which runs no model.
	Domain string
	// Slots is the number of requests that the server can run at the same time.
	Slots int
	// Draining is set on a server that will leave soon and gets no new work.
	Draining bool
	// ColdRemaining is how much longer the server is in cold start, in which it can take less work, counted from when
	// it reported this.
	ColdRemaining time.Duration
	// StartedAt is when the process started. It distinguishes processes with the same ID.
	StartedAt time.Time
	// StagedModels lists the models whose weights are stored on the server's host.
	StagedModels []string
	// Model is the loaded model, or "" for none.
	Model  string
	Member Member
	// RenewalSeq changes with each renewal of the registration.
	RenewalSeq uint64
}

// SameProcess reports whether i and o describe the same process.
func (i Info) SameProcess(o Info) bool { return i.ID == o.ID && i.StartedAt.Equal(o.StartedAt) }

// SameState reports whether i and o describe the same process in the same state. It ignores RenewalSeq and ColdRemaining,
// which change while nothing else does, and DataCentre, Domain and Slots.
func (i Info) SameState(o Info) bool {
	return i.SameProcess(o) && i.Service == o.Service && i.Address == o.Address && i.Draining == o.Draining &&
		i.Model == o.Model && i.Member == o.Member && slices.Equal(i.StagedModels, o.StagedModels)
}

// HasStaged reports whether the server's host has the weights of a model.
func (i Info) HasStaged(model string) bool { return slices.Contains(i.StagedModels, model) }

// Report is a backend server's answer to a request for its load. It is a few hundred milliseconds old.
type Report struct {
	Info
	Running int
	Waiting int
	// HeldTokens is the engine memory in use and CapacityTokens its size, in tokens.
	HeldTokens     int
	CapacityTokens int
	// Slowdown is the factor by which the server is slower than usual; 1 is the usual speed.
	Slowdown float64
	// Busy reports that the server is carrying out an order of the group planner, such as to join a group.
	Busy bool
}
