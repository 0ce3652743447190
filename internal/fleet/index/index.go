// Package index maintains an immutable, indexed view of the known backend servers, which requests read
// without a lock.
package index

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/server"
)

// ReregistrationGrace is how long after a registry outage an entry that expired during it is kept. A server
// that has not registered again by then counts as terminated.
const ReregistrationGrace = 2 * time.Second

// missedHeartbeats is how many heartbeats of a server fail to arrive before the registry removes its entry.
const missedHeartbeats = 3

// Entry is a backend server's registration as known to this node.
type Entry struct {
	server.Info
	// Seen is when the entry was last read or changed, by the local clock.
	Seen time.Time
	// ColdUntil is when the server's cold start ends, by the local clock.
	ColdUntil time.Time
	// Expired is set on an entry that left the registry during an outage, or when the registry was restored from an older
	// copy, and may be registered again.
	Expired bool
	// Unconfirmed is set on an entry that was read from a restored registry and that its server has neither written there
	// nor was known to have written before: the server may have left, or be in another state. A node that starts cannot tell
	// when the registry was restored. If it ever was, the entries of the node's first read are unconfirmed until they
	// change, or have been there for so long that the registry would have removed them if their servers were gone.
	Unconfirmed bool
}

// Group is a serving group as reported by its members.
type Group struct {
	Name    string
	Epoch   uint64
	Service string
	Model   string
	Head    *Entry
	// Members are all servers that report membership in the group, including the head, sorted by rank.
	Members []*Entry
}

// View is a snapshot of the known servers. It is immutable.
type View struct {
	Servers map[string]*Entry
	// Services has the servers of each service, sorted by ID.
	Services map[string][]*Entry
	// OpenGroups has the groups whose head is open, by service and model, sorted by name.
	OpenGroups map[ModelKey][]*Group
	// Groups has every group that a member reports, by name and epoch.
	Groups map[Formation]*Group
	// OutOfService has the data centres that get no new work.
	OutOfService sets.Set[string]
	// Read is set once the whole registry has been read. Before that, a server that is missing may be registered.
	Read bool
}

// ModelKey identifies the service and model that a generative request asks for.
type ModelKey struct {
	Service string
	Model   string
}

// Formation identifies one formation of a group.
type Formation struct {
	Group string
	Epoch uint64
}

// Usable reports whether a server may get new work according to its registration and its data centre.
func (v *View) Usable(e *Entry) bool { return !e.Draining && !v.OutOfService.Has(e.DataCentre) }

// Index tracks the registry. It is safe for concurrent use.
type Index struct {
	view atomic.Pointer[View]

	mu           sync.Mutex
	entries      map[string]*Entry
	outOfService sets.Set[string]
	// registryDown is set while the registry can't be read. Entries removed during that time, or before
	// keepExpiredUntil, are kept as expired.
	registryDown     bool
	keepExpiredUntil time.Time
	// era is the era of the registry, and loaded is set once it has been read.
	era    uint64
	loaded bool
	// restored holds entries of a restored registry that are older than what is known of their servers, or of servers that
	// are not known and may have left. They are not used until the servers write them again, or settledAt.
	restored  map[string]server.Info
	settledAt time.Time
	// heartbeatInterval is the time between two heartbeats of a server.
	heartbeatInterval time.Duration
}

// New returns an empty index.
func New() *Index {
	x := &Index{entries: make(map[string]*Entry), restored: make(map[string]server.Info)}
	x.publishView()
	return x
}

// View returns the current view.
func (x *Index) View() *View { return x.view.Load() }

// SetHeartbeatInterval sets the time between two heartbeats of a server.
func (x *Index) SetHeartbeatInterval(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.heartbeatInterval = d
}

// Change is a change of the registry.
type Change struct {
	// Full reports that Put holds the whole registry.
	Full bool
	// Era rises each time that the registry is restored from an older copy. It is set if Full is.
	Era     uint64
	Put     []server.Info
	Removed []string
}

// Apply applies a change of the registry.
func (x *Index) Apply(now time.Time, c Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.Full {
		x.applyAll(now, c)
	} else {
		for _, i := range c.Put {
			x.putEntry(now, i)
		}
	}
	for _, id := range c.Removed {
		delete(x.restored, id)
		x.removeEntry(now, id)
	}
	x.publishView()
}

// applyAll applies a read of the whole registry.
func (x *Index) applyAll(now time.Time, c Change) {
	read := x.beginRead(now, c.Era)
	present := sets.New[string]()
	for _, i := range c.Put {
		present.Add(i.ID)
		x.readEntry(now, i, read)
	}
	maps.DeleteFunc(x.restored, func(id string, _ server.Info) bool { return !present.Has(id) })
	for id := range x.entries {
		if !present.Has(id) {
			x.removeEntry(now, id)
		}
	}
}

// putEntry records an entry as its server has written it.
func (x *Index) putEntry(now time.Time, i server.Info) {
	delete(x.restored, i.ID)
	x.entries[i.ID] = &Entry{Info: i, Seen: now, ColdUntil: now.Add(i.ColdRemaining)}
}

// removeEntry removes an entry. During an outage of the registry and the grace period after it, the entry is
// only marked expired: its server may have been unable to renew it.
func (x *Index) removeEntry(now time.Time, id string) {
	e, ok := x.entries[id]
	if !ok {
		return
	}
	if x.registryDown || now.Before(x.keepExpiredUntil) {
		expired := *e
		expired.Expired = true
		x.entries[id] = &expired
		return
	}
	delete(x.entries, id)
}

// SetRegistryReachable records whether the registry can be read.
func (x *Index) SetRegistryReachable(now time.Time, reached bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if reached && x.registryDown {
		x.keepExpiredUntil = now.Add(ReregistrationGrace)
		if !x.settledAt.IsZero() {
			x.settledAt = now.Add(x.settleTime())
		}
	}
	x.registryDown = !reached
}

// Sweep removes the entries that expired during an outage, once the grace period has passed, and uses the entries of a
// restored registry that are still there once they count as renewed. It returns the number of entries removed.
func (x *Index) Sweep(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.registryDown || now.Before(x.keepExpiredUntil) {
		return 0
	}
	n := len(x.entries)
	maps.DeleteFunc(x.entries, func(_ string, e *Entry) bool { return e.Expired })
	n -= len(x.entries)
	settled := !x.settledAt.IsZero() && !now.Before(x.settledAt)
	if settled {
		x.settledAt = time.Time{}
		x.settle(now)
	}
	if n > 0 || settled {
		x.publishView()
	}
	return n
}

// SetOutOfService sets the data centres that get no new work.
func (x *Index) SetOutOfService(out sets.Set[string]) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outOfService = out
	x.publishView()
}

// publishView builds and publishes a view of the entries. The lock must be held, unless no other goroutine
// knows the index.
func (x *Index) publishView() {
	v := &View{
		Servers:      make(map[string]*Entry, len(x.entries)),
		Services:     make(map[string][]*Entry),
		OpenGroups:   make(map[ModelKey][]*Group),
		Groups:       make(map[Formation]*Group),
		OutOfService: x.outOfService,
		Read:         x.loaded,
	}
	for id, e := range x.entries {
		v.Servers[id] = e
		v.Services[e.Service] = append(v.Services[e.Service], e)
		if e.Member.InGroup() {
			v.addToGroup(e)
		}
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, g := range v.Groups {
		slices.SortFunc(g.Members, func(a, b *Entry) int { return cmp.Compare(a.Member.Rank, b.Member.Rank) })
		if g.Head == nil || g.Head.Member.State != server.Open {
			continue
		}
		k := ModelKey{Service: g.Service, Model: g.Model}
		v.OpenGroups[k] = append(v.OpenGroups[k], g)
	}
	for _, list := range v.OpenGroups {
		slices.SortFunc(list, func(a, b *Group) int { return cmp.Compare(a.Name, b.Name) })
	}
	x.view.Store(v)
}

// addToGroup adds a server to the group that it reports.
func (v *View) addToGroup(e *Entry) {
	f := Formation{Group: e.Member.Group, Epoch: e.Member.Epoch}
	g, ok := v.Groups[f]
	if !ok {
		g = &Group{Name: f.Group, Epoch: f.Epoch, Service: e.Service}
		v.Groups[f] = g
	}
	g.Members = append(g.Members, e)
	if e.Member.Rank == 0 {
		g.Head, g.Model = e, e.Model
	}
}
