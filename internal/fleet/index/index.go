// Package index keeps what is known of the backend servers in an immutable, indexed form that requests
// read without a lock.
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

// ReturnTime is how long after an outage of the registry entries that expired during it may take to
// come back. A server whose entry is missing after that is gone.
const ReturnTime = 2 * time.Second

// Entry is a backend server with what this node knows of its registration.
type Entry struct {
	server.Info
	// Seen is when the entry was last read or changed, by this node's clock.
	Seen time.Time
	// ColdUntil is when the server ceases to be cold.
	ColdUntil time.Time
	// Expired entries left the registry during an outage and may come back.
	Expired bool
}

// Group is a serving group as its members report it.
type Group struct {
	Name    string
	Epoch   uint64
	Service string
	Model   string
	Head    *Entry
	// Members are all servers that report a place in the group, by rank; the head is among them.
	Members []*Entry
}

// View is the servers at one moment. It is immutable.
type View struct {
	Servers map[string]*Entry
	// Services holds the servers of each service, sorted by ID.
	Services map[string][]*Entry
	// Open holds the groups whose head is open, by service and model.
	Open map[Key][]*Group
	// Groups holds all groups that a member reports, by name and epoch.
	Groups map[Formation]*Group
	// Out are the data centres that get no new work.
	Out sets.Set[string]
}

// Key names what a generative request asks for.
type Key struct {
	Service string
	Model   string
}

// Formation names one formation of a group.
type Formation struct {
	Group string
	Epoch uint64
}

// Usable reports whether a server may get new work as far as its registration tells.
func (v *View) Usable(e *Entry) bool { return !e.Draining && !v.Out.Has(e.DataCentre) }

// Index follows the registry. It is safe for concurrent use.
type Index struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	entries map[string]*Entry
	out     sets.Set[string]
	// away is set while the registry is not read; entries that are removed are held until holdUntil.
	away      bool
	holdUntil time.Time
}

// New returns an empty index.
func New() *Index {
	x := &Index{entries: make(map[string]*Entry)}
	x.publish()
	return x
}

// View returns the servers as they are known now.
func (x *Index) View() *View { return x.view.Load() }

// Change is what became known of the registry.
type Change struct {
	// Full says that Put is the whole registry.
	Full    bool
	Put     []server.Info
	Removed []string
}

// Apply takes a change of the registry.
func (x *Index) Apply(now time.Time, c Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.Full {
		present := sets.New[string]()
		for _, i := range c.Put {
			present.Add(i.ID)
		}
		for id := range x.entries {
			if !present.Has(id) {
				x.remove(now, id)
			}
		}
	}
	for _, i := range c.Put {
		x.entries[i.ID] = &Entry{Info: i, Seen: now, ColdUntil: now.Add(i.ColdFor)}
	}
	for _, id := range c.Removed {
		x.remove(now, id)
	}
	x.publish()
}

// remove drops an entry, or keeps it for a while if the registry was away: a server that could not renew
// its entry then is not gone.
func (x *Index) remove(now time.Time, id string) {
	e, ok := x.entries[id]
	if !ok {
		return
	}
	if x.away || now.Before(x.holdUntil) {
		expired := *e
		expired.Expired = true
		x.entries[id] = &expired
		return
	}
	delete(x.entries, id)
}

// Reached says whether the registry is read now.
func (x *Index) Reached(now time.Time, reached bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if reached && x.away {
		x.holdUntil = now.Add(ReturnTime)
	}
	x.away = !reached
}

// Sweep drops entries that expired during an outage and have not come back in time. It returns how many.
func (x *Index) Sweep(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.away || now.Before(x.holdUntil) {
		return 0
	}
	n := len(x.entries)
	maps.DeleteFunc(x.entries, func(_ string, e *Entry) bool { return e.Expired })
	if n -= len(x.entries); n > 0 {
		x.publish()
	}
	return n
}

// SetOut says which data centres get no new work.
func (x *Index) SetOut(out sets.Set[string]) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.out = out
	x.publish()
}

// publish makes the view of the entries. The lock must be held, or the index unknown to others.
func (x *Index) publish() {
	v := &View{
		Servers:  make(map[string]*Entry, len(x.entries)),
		Services: make(map[string][]*Entry),
		Open:     make(map[Key][]*Group),
		Groups:   make(map[Formation]*Group),
		Out:      x.out,
	}
	for id, e := range x.entries {
		v.Servers[id] = e
		v.Services[e.Service] = append(v.Services[e.Service], e)
		if e.Member.Some() {
			v.join(e)
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
		k := Key{Service: g.Service, Model: g.Model}
		v.Open[k] = append(v.Open[k], g)
	}
	for _, list := range v.Open {
		slices.SortFunc(list, func(a, b *Group) int { return cmp.Compare(a.Name, b.Name) })
	}
	x.view.Store(v)
}

// join adds a server to the group that it reports.
func (v *View) join(e *Entry) {
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
