// Package group decides which backend servers form serving groups, and which orders make them do
// so.
//
// A formation is one instance of a group: the name of the group, an epoch and a list of members,
// the first of which is the head. The head serves the requests of the group. All members are in one
// fabric domain, a set of hosts that share an accelerator fabric. A group is formed by ordering its
// members to join a formation. Once all members have been seen ready in that formation, the head is
// ordered to open. Epochs come from the stored plan and are used once, so a delayed order for an
// earlier formation does not affect a later one.
//
// Two invariants hold even if orders are delayed or lost. A head opens only after all members have
// been seen ready in its formation. A member of an earlier formation joins another one only after
// the earlier head is known not to serve: the head has left and no delayed orders can make it serve
// again, its process has exited, or it has lacked a member for longer than its stall time. The head
// itself joins another formation under the same condition, as its join may be delayed, too. Once the
// head has left, a member also joins another formation if it has certainly left itself and no delayed
// join can bring it back.
//
// The keeper is the node that currently manages the groups of a service; see package keeper. It
// stores the plan and carries out the actions that the decider returns. The decider does no I/O and
// is not safe for concurrent use.
package group

import (
	"slices"
	"time"
)

// Formation is one instance of a group, identified by its epoch.
type Formation struct {
	Group   string `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Service string `json:"service"`
	Model   string `json:"model"`
	Domain  string `json:"domain"`
	// Members are the IDs of backend servers, the head first.
	Members []string `json:"members"`
	// Addresses are the addresses of the members, in the same order. A new keeper uses them to
	// probe members that are missing from the registry.
	Addresses []string `json:"addresses"`
	// Started are the start times of the members' processes, in Unix milliseconds and in the same order, 0 if unknown. They tell
	// a member from another process that uses its address or its ID later. Plans of earlier versions do not have them.
	Started []int64 `json:"started,omitempty"`
	// NoReopen is set while a join and an open to the head cannot both be outstanding: given by any keeper, not answered, and
	// possibly still executed. Once the head has left, it cannot open again then. It is cleared in the store before any order
	// that contradicts it is sent. Plans of earlier versions do not have it.
	NoReopen bool `json:"no_reopen,omitempty"`
	// ReopenMs is how long after this was stored both may be outstanding, in milliseconds, or 0 if unknown. It is used if NoReopen
	// is not set.
	ReopenMs int64 `json:"reopen_ms,omitempty"`
}

// Head returns the ID of the head.
func (f Formation) Head() string { return f.Members[0] }

// startedAt returns when the process of the member with a rank started, or zero if that is unknown.
func (f Formation) startedAt(rank int) time.Time {
	if rank >= len(f.Started) || f.Started[rank] == 0 {
		return time.Time{}
	}
	return time.UnixMilli(f.Started[rank])
}

// HasMember reports whether a server is a member.
func (f Formation) HasMember(id string) bool { return slices.Contains(f.Members, id) }

// Header is the part of a plan that does not belong to a domain.
type Header struct {
	// Fence is the fencing number of the keeper that wrote the plan.
	Fence uint64 `json:"fence"`
	// Epoch is the highest epoch that has been assigned. InheritedEpoch is the highest one that an
	// earlier keeper assigned.
	Epoch          uint64 `json:"epoch"`
	InheritedEpoch uint64 `json:"inherited"`
	// Formations with an epoch above LostAfter and not above LostUntil may be missing, because the store went back to an older
	// copy. LostUntil is 0 if it never did.
	LostAfter uint64 `json:"lost_after,omitempty"`
	LostUntil uint64 `json:"lost_until,omitempty"`
}

// Plan is the desired set of groups. It is stored before any order that follows from it is sent.
type Plan struct {
	Header
	// Restored reports that the plan is from a restored store, and that the keeper of the era before may still act. It is
	// not stored.
	Restored bool

	// Current holds the desired formations.
	Current []Formation
	// Retired holds earlier formations whose head may still serve or which a live server is still
	// in.
	Retired []Formation
}

// Clone returns a copy whose lists of formations can be changed independently. The lists inside a
// formation are shared.
func (p Plan) Clone() Plan {
	p.Current = slices.Clone(p.Current)
	p.Retired = slices.Clone(p.Retired)
	return p
}

// FormationOf returns the current formation of a server.
func (p Plan) FormationOf(id string) (Formation, bool) {
	for _, f := range p.Current {
		if f.HasMember(id) {
			return f, true
		}
	}
	return Formation{}, false
}
