package keep_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/node/keep"
	"geraniumhollow/internal/plan/agenda"
	"geraniumhollow/internal/plan/heal"
	"geraniumhollow/internal/plat/engine"
	"github.com/hashicorp/go-hclog"
)

// duty is a lease that a test switches on and off.
type duty struct {
	mu    sync.Mutex
	fence uint64
	held  bool
}

func (d *duty) Held() (uint64, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, time.Minute, d.held
}

func (d *duty) set(fence uint64, held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence, d.held = fence, held
}

// noter counts reasons.
type noter struct {
	mu sync.Mutex
	n  int
}

func (n *noter) Note(_, _, _, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.n++
}

func (n *noter) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.n
}

// hanging is an engine that accepts connections and never answers.
type hanging struct{}

func (hanging) Load(ctx context.Context) (engine.Report, error) {
	<-ctx.Done()
	return engine.Report{}, ctx.Err()
}

func (hanging) Order(ctx context.Context, _ engine.Order) error {
	<-ctx.Done()
	return ctx.Err()
}

// hangingHosts is how many hosts of the domain hang; they come first in the document.
const hangingHosts = 100

// fleet is one domain of three engines on loopback with a keeper.
type fleet struct {
	store   *store.Store
	engines map[string]*model.Engine
	stop    map[string]context.CancelFunc
	duty    *duty
	notes   *noter

	mu     sync.Mutex
	placed []view.Placement
}

const loadTime = 50 * time.Millisecond

// start runs three engines and a keeper for the group g of two hosts until the test ends.
func start(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		store: store.New(), engines: make(map[string]*model.Engine), stop: make(map[string]context.CancelFunc),
		duty: &duty{fence: 1, held: true}, notes: &noter{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	doc := &schema.Document{
		DataCentres:   []schema.DataCentre{{Name: "x", InService: true}},
		FabricDomains: []schema.FabricDomain{{Name: "a", DataCentre: "x"}},
		Models:        []schema.Model{{Name: "m", HostsPerGroup: 2, Versions: []schema.Version{{Name: "v1", WeightBytes: 1}}}},
		Groups:        []schema.Group{{Name: "g", Model: "m", Version: "v1", ChecksFencing: true}},
	}
	for i := range hangingHosts {
		name := fmt.Sprintf("hanging-%d", i)
		doc.Hosts = append(doc.Hosts, schema.Host{Name: name, FabricDomain: "a", Accelerators: 1, InService: true, Address: name})
	}
	for i := range 3 {
		name := fmt.Sprintf("h%d", i)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e := model.New(model.Config{}, engine.Warm)
		e.SetOrders(model.Orders{Host: name, LoadTime: loadTime, ChecksFencing: true})
		f.engines[name] = e
		ectx, stop := context.WithCancel(ctx)
		f.stop[name] = stop
		g.Go(name, func(context.Context) error { return e.Serve(ectx, ln) })
		doc.Hosts = append(doc.Hosts, schema.Host{
			Name: name, FabricDomain: "a", Accelerators: 1, InService: true, Address: ln.Addr().String(),
		})
	}
	set := heal.DefaultSettings()
	// With hosts that hang, a round of reports takes a second.
	set.ReportMaxAge, set.LostAfter, set.OrderRepeat = 1500*time.Millisecond, 3*time.Second, time.Second
	k := keep.New(keep.Deps{
		Domain: "a", Table: f.store, Lease: f.duty, Hosts: f.store, Notes: f.notes, Log: hclog.NewNullLogger(), Settings: set,
		Dial: func(addr string) keep.Engine {
			if strings.HasPrefix(addr, "hanging") {
				return hanging{}
			}
			return engine.New(addr, "")
		},
		Document: func() *schema.Document { return doc },
		Placements: func(_ string, opened []view.Placement, closed []string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.placed = slices.DeleteFunc(f.placed, func(p view.Placement) bool { return slices.Contains(closed, p.Group) })
			f.placed = append(f.placed, opened...)
		},
		Rates: agenda.Rates{LinkBytesPerSecond: 1, HostBytesPerSecond: 1},
	})
	g.Go("keeper", k.Run)
	return f
}

// wait returns once the open route has the hosts, or none for an empty list.
func (f *fleet) wait(t *testing.T, hosts ...string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	var got []view.Placement
	for time.Now().Before(deadline) {
		f.mu.Lock()
		got = slices.Clone(f.placed)
		f.mu.Unlock()
		if len(got) == 0 && len(hosts) == 0 {
			return
		}
		if len(got) == 1 && slices.Equal(got[0].Hosts, hosts) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("placements %+v, want one with hosts %v", got, hosts)
}

// Guards against a shell that loses a report, an order or a lost answer between the decider and the
// sockets, and against hosts that hang and keep others from being asked: a group has to be formed,
// closed when a host dies, and healed with the spare.
func TestKeeperOverLoopback(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.store.LoseAnswers(1)
	f.wait(t, "h0", "h1")
	f.stop["h1"]()
	f.wait(t)
	f.wait(t, "h0", "h2")
	if f.notes.count() == 0 {
		t.Error("no decision left a reason")
	}
}

// Guards against routes that close because the table is down, and against a keeper that acts
// without the duty.
func TestServesThroughOutageWithoutDuty(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.wait(t, "h0", "h1")
	f.store.SetDown(true)
	f.duty.set(1, false)
	time.Sleep(3 * time.Second)
	f.wait(t, "h0", "h1")
	f.stop["h0"]()
	f.wait(t)
	f.store.SetDown(false)
	before := f.store.Counts().Writes
	time.Sleep(2 * time.Second)
	if after := f.store.Counts().Writes; after != before {
		t.Errorf("%d writes without the duty", after-before)
	}
}

// Guards against an engine that takes an order of an earlier keeper, and one that answers before the
// weights are loaded.
func TestEngineOrders(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.wait(t, "h0", "h1")
	e := f.engines["h2"]
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("serve", func(ctx context.Context) error { return e.Serve(ctx, ln) })
	c := engine.New(ln.Addr().String(), "")
	tests := []struct {
		name  string
		fence uint64
		fails bool
	}{{"newer", 5, false}, {"same", 5, false}, {"older", 4, true}}
	for _, tt := range tests {
		err := c.Order(ctx, engine.Order{Kind: engine.OrderLoad, Fence: tt.fence, Model: "m", Version: "v2"})
		if (err != nil) != tt.fails {
			t.Errorf("%s fencing number: %v", tt.name, err)
		}
	}
	if r, err := c.Load(ctx); err != nil || len(r.Loaded) != 0 {
		t.Errorf("loaded %v at once (%v)", r.Loaded, err)
	}
	time.Sleep(2 * loadTime)
	if r, err := c.Load(ctx); err != nil || len(r.Loaded) != 1 {
		t.Errorf("loaded %v after the load time (%v)", r.Loaded, err)
	}
	c.Close()
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}
