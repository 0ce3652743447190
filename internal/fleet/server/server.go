// Package server describes what a backend server says of itself: in the platform's registry and in its
// own reports.
package server

import (
	"slices"
	"time"
)

// GroupState is how far a member of a serving group is.
type GroupState string

// States of a member. Only the head of a group becomes open.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// Member is the place of a backend server in a serving group. The zero value is no place.
type Member struct {
	Group string
	// Epoch identifies one formation of the group; it grows with each.
	Epoch uint64
	// Rank is the position in the list of members; the head has rank 0.
	Rank  int
	State GroupState
}

// Some reports whether the server has a place in a group.
func (m Member) Some() bool { return m.Group != "" }

// Of reports whether the place is in this formation of the group.
func (m Member) Of(group string, epoch uint64) bool { return m.Group == group && m.Epoch == epoch }

// Info is what a backend server says of itself.
type Info struct {
	// ID names one registration; a restarted server mostly has a new one.
	ID      string
	Service string
	// Address is an IP and a port.
	Address    string
	DataCentre string
	// Domain is the fabric domain of its host; empty for a plain service.
	Domain string
	// Slots is how many requests it runs at the same time.
	Slots int
	// Draining servers leave soon and get no new work.
	Draining bool
	// ColdFor is how much longer it stays cold, as of the moment at which it said so.
	ColdFor time.Duration
	// Born is when the process started. It tells two processes with the same ID apart.
	Born time.Time
	// Staged are the models whose weights its host holds.
	Staged []string
	// Model is the model that is loaded, "" for none.
	Model  string
	Member Member
	// Beat changes with each renewal of the registration.
	Beat uint64
}

// SameLife reports whether two descriptions are of the same process.
func (i Info) SameLife(o Info) bool { return i.ID == o.ID && i.Born.Equal(o.Born) }

// Same reports whether two descriptions say the same of the same process. The number of renewals and the
// time left until the server is warm are left out: they change while nothing else does.
func (i Info) Same(o Info) bool {
	return i.SameLife(o) && i.Service == o.Service && i.Address == o.Address && i.Draining == o.Draining &&
		i.Model == o.Model && i.Member == o.Member && slices.Equal(i.Staged, o.Staged)
}

// HasStaged reports whether the host of the server holds the weights of a model.
func (i Info) HasStaged(model string) bool { return slices.Contains(i.Staged, model) }

// Report is what a backend server says of its load when asked. It is a few hundred milliseconds old.
type Report struct {
	Info
	Running int
	Waiting int
	// Held and Capacity are tokens of memory.
	Held     int
	Capacity int
	// Pace is how many times slower than usual the server works.
	Pace float64
	// Busy says that an order is being carried out.
	Busy bool
}
