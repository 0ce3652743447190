// Package keep is the shell of the group keeper of one fabric domain. It feeds plan/heal with the
// duty, the rows, the live list and the engines' reports, and carries out its transactions and orders.
// The duty is checked before each of them.
package keep

import (
	"context"
	"sync"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plan/agenda"
	"geraniumhollow/internal/plan/heal"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Lease is the duty to keep the domain. remaining is the time for which it is still held.
type Lease interface {
	Held() (fence uint64, remaining time.Duration, ok bool)
}

// Engine is what the keeper needs of an engine client.
type Engine interface {
	Load(ctx context.Context) (engine.Report, error)
	Order(ctx context.Context, o engine.Order) error
}

// Noter records the reasons of decisions.
type Noter interface {
	Note(kind, subject, decision, reason string)
}

// Deps are what a keeper works with. All are required.
type Deps struct {
	Domain string
	Table  table.Table
	Lease  Lease
	Hosts  hosts.Lister
	// Dial returns a client of the engine at an address.
	Dial func(addr string) Engine
	// Document returns the document in force.
	Document func() *schema.Document
	// Placements takes the groups of the domain whose routes opened or closed. What was opened stays
	// until it is closed, or opened under a higher generation by any keeper; when the duty ends, nothing
	// is closed.
	Placements func(domain string, opened []view.Placement, closed []string)
	Notes      Noter
	Log        hclog.Logger
	Settings   heal.Settings
	Rates      agenda.Rates
}

// Intervals of the keeper's loops. A report has to be heard several times within ReportMaxAge.
const (
	pollInterval  = 500 * time.Millisecond
	pollTimeout   = time.Second
	tableInterval = time.Second
	tableTimeout  = 2 * time.Second
	scanPage      = 1000
	// maxOrders bounds the orders that are sent at once.
	maxOrders = 64
)

// Keeper keeps the groups of one domain.
type Keeper struct {
	Deps
	work chan heal.Actions

	mu      sync.Mutex
	decider *heal.Decider
	planner *Planner
	clients map[string]Engine
	// tableAnswers is whether the last read of the table succeeded.
	tableAnswers bool
}

// New returns a keeper. Run does the work.
func New(d Deps) *Keeper {
	return &Keeper{
		Deps:    d,
		work:    make(chan heal.Actions, 1),
		decider: heal.New(d.Settings, d.Domain, heal.DefaultPolicies()),
		planner: NewPlanner(d.Rates),
		clients: make(map[string]Engine),
	}
}

// Run keeps the groups until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("watch engines", func(ctx context.Context) error { return tasks.EveryFromNow(ctx, pollInterval, k.watch) })
	g.Go("read table", func(ctx context.Context) error { return tasks.EveryFromNow(ctx, tableInterval, k.readTable) })
	g.Go("carry out", k.carryOut)
	return g.Wait()
}

// active reports whether the keeper has anything to watch: it holds the duty, or the table is down,
// so that nobody else can have taken the duty over.
func (k *Keeper) active() bool {
	_, _, held := k.Lease.Held()
	k.mu.Lock()
	defer k.mu.Unlock()
	return held || (!k.tableAnswers && len(k.decider.Routes()) > 0)
}

// watch asks the engines of the domain and lets the decider act on what they say.
func (k *Keeper) watch(ctx context.Context) {
	if !k.active() {
		return
	}
	k.poll(ctx)
	k.step(time.Now())
}

// poll asks every engine of the domain at once, each within pollTimeout. No limit is set on how many are
// asked at once, because hosts that hang would then keep those behind them from being asked.
func (k *Keeper) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	g := tasks.New(ctx)
	for _, h := range k.Document().Hosts {
		if h.FabricDomain != k.Domain || h.Address == "" {
			continue
		}
		client := k.client(h.Address)
		g.Go("poll "+h.Name, func(ctx context.Context) error {
			asked := time.Now()
			r, err := client.Load(ctx)
			if err != nil {
				// A host that does not answer is told by the age of its last report.
				return nil
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.decider.Report(h.Name, observe(h.Name, r, asked), time.Now())
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		k.Log.Error("poll engines", "domain", k.Domain, "error", err)
	}
}

// observe returns what a report says of one host. The report was true when it was asked for, less its
// age; the host's own entry has an age of its own.
func observe(host string, r engine.Report, asked time.Time) heal.Observation {
	o := heal.Observation{
		At:       asked.Add(-time.Duration(r.AgeMs) * time.Millisecond),
		Instance: r.Instance,
		Running:  r.Running,
	}
	for _, m := range r.Members {
		if m.Host == host {
			o.Group, o.Generation = m.Group, m.Generation
			o.At = o.At.Add(-time.Duration(m.AgeMs) * time.Millisecond)
		}
	}
	for _, w := range r.Loaded {
		o.Loaded = append(o.Loaded, weights(w))
	}
	return o
}

func (k *Keeper) client(addr string) Engine {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.clients[addr]
	if !ok {
		c = k.Dial(addr)
		k.clients[addr] = c
	}
	return c
}

// step lets the decider act. What takes time is handed to carryOut; while that is busy, the decider
// only opens and closes routes, because its transactions are still pending.
func (k *Keeper) step(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	open := sets.New[string]()
	for _, r := range k.decider.Routes() {
		open.Add(r.Group)
	}
	plan, err := k.planner.Plan(k.Document(), k.decider.Rowset(), open, k.Domain, now)
	if err != nil {
		k.Log.Error("compile calendars", "error", err)
	}
	fence, _, held := k.Lease.Held()
	k.decider.Configure(plan)
	// The duty counts as lost while earlier orders wait, so that none is decided twice.
	k.decider.Duty(fence, held && len(k.work) == 0, now)
	acts := k.decider.Step(now)
	if len(acts.Opened)+len(acts.Closed) > 0 {
		k.Placements(k.Domain, acts.Opened, acts.Closed)
	}
	for _, n := range acts.Notes {
		k.Notes.Note(n.Kind, n.Subject, n.Decision, n.Reason)
	}
	if len(acts.Commits)+len(acts.Orders) > 0 {
		k.work <- acts
	}
}

// readTable reads the rows and the live list.
func (k *Keeper) readTable(ctx context.Context) {
	if _, _, held := k.Lease.Held(); !held && !k.hasRoutes() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	began := time.Now()
	snap, err := k.scan(ctx)
	k.mu.Lock()
	k.tableAnswers = err == nil
	if err == nil {
		k.decider.Rows(snap, began)
	}
	if _, _, held := k.Lease.Held(); err == nil && !held {
		k.decider.Resign()
	}
	k.mu.Unlock()
	if err != nil {
		k.Log.Warn("read rows", "domain", k.Domain, "error", err)
		return
	}
	list, err := k.Hosts.List(ctx)
	if err != nil {
		k.Log.Warn("read live list", "error", err)
		return
	}
	leaving := sets.New[string]()
	for _, h := range list {
		if h.State == hosts.Leaving {
			leaving.Add(h.Name)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider.Listed(leaving)
}

func (k *Keeper) hasRoutes() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.decider.Routes()) > 0
}

func (k *Keeper) scan(ctx context.Context) (heal.Snapshot, error) {
	var rows []table.Row
	for _, prefix := range []string{heal.GroupPrefix, heal.HostPrefix} {
		after := ""
		for {
			page, err := k.Table.Scan(ctx, prefix, after, scanPage)
			if err != nil {
				return heal.Snapshot{}, errors.Newf("scan %s: %w", prefix, err)
			}
			rows = append(rows, page...)
			if len(page) < scanPage {
				break
			}
			after = page[len(page)-1].Key
		}
	}
	return heal.ReadSnapshot(rows)
}
