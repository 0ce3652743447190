package plans

import (
	"fmt"
	"io"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/batch"
)

// Shape of the modelled fleet.
const (
	modelDomains = 2
	domainHosts  = 7
	stallTime    = 5 * time.Second
	beatInterval = 1200 * time.Millisecond
	joinWarm     = 200 * time.Millisecond
	openTime     = 300 * time.Millisecond
)

// modelEngine returns the engine of the modelled fleet: groups of three and of two.
func modelEngine() *batch.Engine {
	return &batch.Engine{
		Models: []batch.Model{
			{Name: "large", Hosts: 3, TimeFactor: 1, WorkFraction: 0.6, ColdLoadTime: 4 * time.Second, WarmLoadTime: 800 * time.Millisecond},
			{Name: "small", Hosts: 2, TimeFactor: 1, WorkFraction: 0.4, ColdLoadTime: 3 * time.Second, WarmLoadTime: 500 * time.Millisecond},
		},
		LoadsPerSecond: 5, LoadsAtOnce: 8, StagedModels: 1,
	}
}

// engine is a modelled process of a backend server.
type engine struct {
	id     string
	addr   string
	domain string
	born   time.Time
	alive  bool
	// cut engines answer nobody; dark ones do not renew their registration either.
	cut  bool
	dark bool
	// seen is the highest epoch of a join.
	seen    uint64
	group   string
	epoch   uint64
	members []string
	state   server.GroupState
	readyAt time.Time
	openAt  time.Time
	staged  string
	model   string
	beat    uint64
}

// formation names a formation with its list of members.
type formation struct {
	group string
	epoch uint64
	list  string
}

// late is an order that a process will carry out at a time.
type late struct {
	at    time.Time
	to    *engine
	order group.Order
}

// world is the modelled engines, and the rules that hold always.
type world struct {
	now     time.Time
	engines []*engine
	byID    map[string]*engine
	// byAddr has the process that used an address last.
	byAddr map[string]*engine
	lives  int
	late   []late
	// ready are the members that have been ready, by formation.
	ready  map[formation]map[string]bool
	opened int
	fault  string
	trace  io.Writer
}

// logf writes a line of the trace.
func (w *world) logf(format string, args ...any) {
	if w.trace != nil {
		_, _ = fmt.Fprintf(w.trace, "%6.2f %s\n", w.now.Sub(worldStart).Seconds(), fmt.Sprintf(format, args...))
	}
}

// worldStart is when modelled time begins.
var worldStart = time.Unix(1_000_000, 0)

func emptyWorld() *world {
	return &world{now: worldStart, byID: make(map[string]*engine), byAddr: make(map[string]*engine), ready: make(map[formation]map[string]bool)}
}

func newWorld() *world {
	w := emptyWorld()
	for d := range modelDomains {
		for range domainHosts {
			w.add(fmt.Sprintf("d%d", d))
		}
	}
	return w
}

// add starts an engine in a domain.
func (w *world) add(domain string) *engine {
	w.lives++
	id := fmt.Sprintf("e%02d", w.lives)
	return w.start(&engine{id: id, addr: id, domain: domain})
}

func (w *world) start(e *engine) *engine {
	e.born, e.alive = w.now, true
	w.engines = append(w.engines, e)
	w.byID[e.id], w.byAddr[e.addr] = e, e
	return e
}

// again starts another process on the host of an engine that has ended, at its address. It may have the same ID.
func (w *world) again(e *engine, sameID bool) {
	n := &engine{id: e.id, addr: e.addr, domain: e.domain, staged: e.staged}
	if !sameID {
		w.lives++
		n.id = fmt.Sprintf("e%02d", w.lives)
	}
	w.logf("%s is followed by %s at %s", e.id, n.id, n.addr)
	w.start(n)
}

// advance lets time pass: joins and opens end, late orders are carried out, broken heads are noted.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.late = slices.DeleteFunc(w.late, func(l late) bool {
		if w.now.Before(l.at) {
			return false
		}
		if l.to.alive {
			w.apply(l.to, l.order)
		}
		return true
	})
	for _, e := range w.engines {
		if !e.alive {
			continue
		}
		e.beat = uint64(w.now.Sub(e.born) / beatInterval)
		if e.state == server.Joining && !w.now.Before(e.readyAt) {
			e.state, e.staged = server.Ready, e.model
			w.noteReady(e)
		}
		if e.state == server.Ready && !e.openAt.IsZero() && !w.now.Before(e.openAt) {
			e.state = server.Open
			w.checkOpen(e)
		}
		w.stall(e)
	}
}

// stall breaks a head that has been without a member for the stall time. A head's openAt is reused for when
// the stall began.
func (w *world) stall(e *engine) {
	if e.state != server.Open && e.state != server.Closing {
		return
	}
	if w.whole(e) {
		e.openAt = time.Time{}
		return
	}
	if e.openAt.IsZero() {
		e.openAt = w.now
	}
	if w.now.Sub(e.openAt) >= stallTime {
		e.state = server.Broken
	}
}

// whole reports whether all members of a head's formation are with it.
func (w *world) whole(head *engine) bool {
	for _, id := range head.members {
		m := w.byID[id]
		if m == nil || !m.alive || m.cut != head.cut || m.group != head.group || m.epoch != head.epoch {
			return false
		}
	}
	return true
}

func (e *engine) formation() formation {
	return formation{group: e.group, epoch: e.epoch, list: fmt.Sprint(e.members)}
}

func (w *world) noteReady(e *engine) {
	f := e.formation()
	if w.ready[f] == nil {
		w.ready[f] = make(map[string]bool)
	}
	w.ready[f][e.id] = true
}

// checkOpen checks that a head opens only after each member of its formation has been ready in it.
func (w *world) checkOpen(head *engine) {
	w.opened++
	head.openAt = time.Time{}
	w.logf("%s opens %s/%d", head.id, head.group, head.epoch)
	f := head.formation()
	for _, id := range head.members {
		if !w.ready[f][id] {
			w.failf("%s opened %s/%d, in which %s has never been ready", head.id, head.group, head.epoch, id)
		}
	}
}

// checkJoin checks that an engine joins another formation only while the head of its own does not serve.
func (w *world) checkJoin(e *engine, o group.Order) {
	if e.group == "" || (e.group == o.Group && e.epoch == o.Epoch) {
		return
	}
	head := w.byID[e.members[0]]
	if head == nil || !head.alive || head.group != e.group || head.epoch != e.epoch {
		return
	}
	if head.state == server.Open || head.state == server.Closing {
		w.failf("%s joined %s/%d while %s serves %s/%d", e.id, o.Group, o.Epoch, head.id, e.group, e.epoch)
	}
}

func (w *world) failf(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// apply has an engine that lives carry out an order.
func (w *world) apply(e *engine, o group.Order) group.Outcome {
	w.logf("%s carries out %s %s/%d", e.id, o.Kind, o.Group, o.Epoch)
	in := e.group == o.Group && e.epoch == o.Epoch
	switch o.Kind {
	case group.Join:
		return w.join(e, o)
	case group.Open:
		return w.open(e, in)
	case group.Close:
		if in && e.state == server.Open {
			e.state, e.openAt = server.Ready, time.Time{}
		}
		return outcomeIf(in)
	case group.Leave:
		if in {
			e.group, e.epoch, e.members, e.state, e.openAt = "", 0, nil, "", time.Time{}
		}
		return group.Accepted
	default:
		e.staged = o.Model
		return group.Accepted
	}
}

// open begins to open a head that is ready.
func (w *world) open(e *engine, in bool) group.Outcome {
	if !in || e.state != server.Ready {
		return outcomeIf(in && e.state == server.Open)
	}
	if e.openAt.IsZero() {
		e.openAt = w.now.Add(openTime)
	}
	return group.Accepted
}

func outcomeIf(ok bool) group.Outcome {
	if ok {
		return group.Accepted
	}
	return group.Rejected
}

func (w *world) join(e *engine, o group.Order) group.Outcome {
	same := e.group == o.Group && e.epoch == o.Epoch
	if o.Epoch < e.seen || (same && !slices.Equal(e.members, o.Members)) {
		return group.Rejected
	}
	if same {
		return group.Accepted
	}
	w.checkJoin(e, o)
	wait := joinWarm
	if e.model != o.Model {
		wait = 800 * time.Millisecond
		if e.staged != o.Model {
			wait = 4 * time.Second
		}
	}
	e.seen, e.group, e.epoch, e.members = o.Epoch, o.Group, o.Epoch, o.Members
	e.state, e.model, e.readyAt, e.openAt = server.Joining, o.Model, w.now.Add(wait), time.Time{}
	return group.Accepted
}

// info is what an engine says of itself.
func (e *engine) info() server.Info {
	i := server.Info{
		ID: e.id, Service: "llm", Address: e.addr, DataCentre: "dc", Domain: e.domain, Slots: 4, StartedAt: e.born, RenewalSeq: e.beat,
	}
	if e.staged != "" {
		i.StagedModels = []string{e.staged}
	}
	if e.state != server.Joining {
		i.Model = e.model
	}
	if e.group != "" {
		i.Member = server.Member{Group: e.group, Epoch: e.epoch, Rank: slices.Index(e.members, e.id), State: e.state}
	}
	return i
}

// registry returns the entries of all engines that renew them.
func (w *world) registry() index.Change {
	c := index.Change{Full: true}
	for _, e := range w.engines {
		if e.alive && !e.dark {
			c.Put = append(c.Put, e.info())
		}
	}
	return c
}

func (w *world) renewals() map[string]uint64 {
	out := make(map[string]uint64)
	for _, e := range w.engines {
		if e.alive && !e.dark {
			out[e.id] = e.beat
		}
	}
	return out
}
