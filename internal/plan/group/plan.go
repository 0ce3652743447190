// Package group decides which backend servers form serving groups, and which orders bring them there.
//
// A group is formed by orders to its members: each is told to join a formation, which is a group's name,
// an epoch and a list of members whose first is the head. Once all members have been seen ready in that
// very formation, the head is told to open. Epochs come from the stored plan and are used once, so an
// order of an earlier formation that arrives late does nothing to a later one.
//
// Two rules hold whatever arrives late or is lost. A head opens only after all members have been seen ready in
// its formation. A member of an earlier formation joins another one only after the earlier head is known
// not to serve: it has left, its process is gone, or it has been without a member for longer than a head
// stands without one.
//
// The decider does no I/O and is not safe for concurrent use.
package group

import "slices"

// Formation is one forming of a group.
type Formation struct {
	Group   string `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Service string `json:"service"`
	Model   string `json:"model"`
	Domain  string `json:"domain"`
	// Members are IDs of backend servers, the head first.
	Members []string `json:"members"`
	// Addresses are those of the members. A keeper that takes over asks there for members that the registry
	// does not have.
	Addresses []string `json:"addresses"`
}

// Head returns the ID of the head.
func (f Formation) Head() string { return f.Members[0] }

// Has reports whether a server is a member.
func (f Formation) Has(id string) bool { return slices.Contains(f.Members, id) }

// Head is what concerns the whole of a plan.
type Head struct {
	// Fence is the fencing number of the keeper that wrote the plan.
	Fence uint64 `json:"fence"`
	// Epoch is the highest epoch that has been used, Inherited the highest that an earlier keeper used.
	Epoch     uint64 `json:"epoch"`
	Inherited uint64 `json:"inherited"`
	// Names counts the groups that have been named.
	Names int `json:"names"`
}

// Plan is what the keeper has decided. It is stored before any order that follows from it is sent.
type Plan struct {
	Head

	// Current holds the formations that should be.
	Current []Formation
	// Retired holds earlier formations whose head may still serve.
	Retired []Formation
}

// Clone returns a copy that shares nothing that changes.
func (p Plan) Clone() Plan {
	p.Current = slices.Clone(p.Current)
	p.Retired = slices.Clone(p.Retired)
	return p
}

// Of returns the current formation of a server.
func (p Plan) Of(id string) (Formation, bool) {
	for _, f := range p.Current {
		if f.Has(id) {
			return f, true
		}
	}
	return Formation{}, false
}
