package share_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/fleet/lease"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/node/share"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

const (
	group = "g1"
	limit = 4
)

// cluster is a set of nodes that call each other directly. Node "a" owns all shards.
type cluster struct {
	mu         sync.Mutex
	nodes      map[string]*share.Shares
	linksDown  bool // no message is delivered
	noOwner    bool
	dropAcks   int
	report     engine.Report
	polls      int
	closed     map[string]int
	lastFree   int
	lostDuties []string // duties that every node has lost
	consents   []string
}

func (n *cluster) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// peerLinks connects one node to all others.
type peerLinks struct {
	cluster *cluster
	from    string
}

var errLinkDown = errors.New("link is down")

func (p peerLinks) resolve(node string) (*share.Shares, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if p.cluster.linksDown {
		return nil, errLinkDown
	}
	return p.cluster.nodes[node], nil
}

func (p peerLinks) Ask(_ context.Context, node string, a frame.GrantAsk) (frame.GrantReply, error) {
	s, err := p.resolve(node)
	if err != nil {
		return frame.GrantReply{}, err
	}
	return s.HandleAsk(p.from+"-1", a), nil
}

func (p peerLinks) Release(_ context.Context, node string, r frame.GrantRelease) error {
	s, err := p.resolve(node)
	if err != nil {
		return err
	}
	s.HandleRelease(p.from+"-1", r)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if p.cluster.dropAcks > 0 {
		p.cluster.dropAcks--
		return errLinkDown
	}
	return nil
}

func (p peerLinks) Digest(node string, d frame.LoadDigest) {
	if s, err := p.resolve(node); err == nil {
		s.HandleDigest(d)
	}
}

// fixedLeases makes node "a" the holder of every duty.
type fixedLeases struct {
	cluster *cluster
	self    string
}

func (d fixedLeases) owner() string {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	if d.cluster.noOwner {
		return ""
	}
	return "a"
}

func (d fixedLeases) Holds(string, uint64) bool     { return d.owner() == d.self }
func (d fixedLeases) Holder(string) string          { return d.owner() }
func (fixedLeases) DueToMove(string) (string, bool) { return "", false }
func (fixedLeases) ReleaseDuty(string, bool)        {}

func (d fixedLeases) ConfirmUnused(duty string) {
	d.cluster.withLock(func() { d.cluster.consents = append(d.cluster.consents, duty) })
}

func (d fixedLeases) Tenures() []lease.Tenure {
	if d.owner() != d.self {
		return nil
	}
	var out []lease.Tenure
	d.cluster.withLock(func() {
		for _, n := range d.cluster.lostDuties {
			out = append(out, lease.Tenure{Duty: n, Lost: true})
		}
	})
	if len(out) > 0 {
		return out
	}
	for _, n := range share.Duties(share.DefaultShards) {
		out = append(out, lease.Tenure{Duty: n, Fence: 1, Clean: true})
	}
	return out
}

func testView() *view.View {
	return view.New(1, &schema.Document{
		DataCentres:   []schema.DataCentre{{Name: "dc", InService: true}},
		FabricDomains: []schema.FabricDomain{{Name: "f", DataCentre: "dc"}},
		Hosts:         []schema.Host{{Name: "h1", InService: true}, {Name: "h2", InService: true}},
		Models:        []schema.Model{{Name: "m", ContextTokens: 1000, HostsPerGroup: 2}},
		Groups: []schema.Group{{
			Name: group, FabricDomain: "f", Hosts: []string{"h1", "h2"}, Model: "m",
			Capacity: schema.Capacity{ColdRequests: limit, WarmRequests: limit, WarmTokens: 4000},
		}},
	})
}

func member(host string, generation uint64) engine.Member {
	return engine.Member{Host: host, Group: group, Generation: generation}
}

// startCluster runs two nodes until the test ends. It returns after the first digest with the full limit.
func startCluster(t *testing.T) (*cluster, view.Server) {
	t.Helper()
	v := testView()
	n := &cluster{nodes: make(map[string]*share.Shares), closed: make(map[string]int), report: engine.Report{
		Instance: "i", State: engine.Cold, Members: []engine.Member{member("h1", 7), member("h2", 7)},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, name := range []string{"a", "b"} {
		s := share.New(share.Config{Node: name, Incarnation: name + "-1"}, share.Deps{
			Log: hclog.NewNullLogger(), Peers: peerLinks{n, name}, Leases: fixedLeases{n, name},
			View:  func() *view.View { return v },
			Nodes: func() []share.Node { return []share.Node{{Name: "a", DataCentre: "dc"}, {Name: "b", DataCentre: "dc"}} },
			Load: func(context.Context, view.Server) (engine.Report, error) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.polls++
				return n.report, nil
			},
			DigestReceived: func(d frame.LoadDigest, _ time.Time) { n.withLock(func() { n.lastFree = d.Free }) },
			RouteClosed:    func(string) { n.withLock(func() { n.closed[name]++ }) },
		})
		n.nodes[name] = s
	}
	for _, s := range n.nodes {
		wg.Go(func() {
			if err := s.Run(ctx); err != nil {
				t.Errorf("run: %v", err)
			}
		})
	}
	srv := v.Servers("m")[0]
	eventually(t, "first digest with the full limit", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.lastFree == limit
	})
	return n, srv
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out after 6 s: %s", what)
}

// acquireAll acquires grants on both nodes in turn, more often than the limit allows, and returns the grants
// by node.
func acquireAll(t *testing.T, n *cluster, srv view.Server) map[string][]relay.Grant {
	t.Helper()
	out := make(map[string][]relay.Grant)
	for range limit + 1 {
		for name, s := range n.nodes {
			if g, err := s.Acquire(context.Background(), srv, 10); err == nil {
				out[name] = append(out[name], g)
			} else if !errors.Is(err, share.ErrBusy) {
				t.Fatalf("acquire: %v", err)
			}
		}
	}
	return out
}

func countGrants(m map[string][]relay.Grant) int { return len(m["a"]) + len(m["b"]) }

// Guards against nodes that together exceed the limit of a server, against releases that are lost, and
// against routes that stay open without complete and recent reports.
func TestShares(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		run  func(t *testing.T, n *cluster, srv view.Server)
	}{
		{"limit across two nodes, and releases with lost acknowledgements", func(t *testing.T, n *cluster, srv view.Server) {
			got := acquireAll(t, n, srv)
			if countGrants(got) != limit || got["a"][0].Instance != "i" {
				t.Fatalf("%d grants, want %d", countGrants(got), limit)
			}
			n.withLock(func() { n.dropAcks = 2 })
			for _, g := range got["b"] {
				n.nodes["b"].Release(g, relay.Result{End: relay.EndConfirmed, Instance: "i", State: engine.Cold})
			}
			eventually(t, "released grants can be granted again", func() bool {
				_, err := n.nodes["a"].Acquire(context.Background(), srv, 10)
				return err == nil
			})
		}},
		{"a failed attempt without proof of its end frees no grant", func(t *testing.T, n *cluster, srv view.Server) {
			got := acquireAll(t, n, srv)
			for _, g := range got["a"] {
				n.nodes["a"].Release(g, relay.Result{Failed: true})
			}
			time.Sleep(300 * time.Millisecond)
			if again := countGrants(acquireAll(t, n, srv)); again != 0 {
				t.Errorf("%d grants while all earlier attempts may still be running", again)
			}
		}},
		{"consent to the loss of a shard only without outstanding grants, and never for another kind of duty", func(t *testing.T, n *cluster, srv view.Server) {
			duty := share.ShardDuty(group, share.DefaultShards)
			got := acquireAll(t, n, srv)
			consented := func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				if slices.Contains(n.consents, "config/dc") {
					t.Error("consented to the loss of another kind of duty")
				}
				return slices.Contains(n.consents, duty)
			}
			n.withLock(func() { n.lostDuties = []string{duty, "config/dc"} })
			time.Sleep(300 * time.Millisecond)
			if consented() {
				t.Error("consented with outstanding grants")
			}
			for name, grants := range got {
				for _, g := range grants {
					n.nodes[name].Release(g, relay.Result{End: relay.EndConfirmed, Instance: "i", State: engine.Cold})
				}
			}
			eventually(t, "consent", consented)
		}},
		{"an unknown or unreachable owner is an immediate error", func(t *testing.T, n *cluster, srv view.Server) {
			for _, f := range []func(){func() { n.linksDown = true }, func() { n.noOwner = true }} {
				n.withLock(f)
				start := time.Now()
				_, err := n.nodes["b"].Acquire(context.Background(), srv, 10)
				if !errors.Is(err, share.ErrNoOwner) || time.Since(start) > 500*time.Millisecond {
					t.Errorf("got %v after %v", err, time.Since(start))
				}
			}
		}},
		{"a member of another generation closes the route", func(t *testing.T, n *cluster, srv view.Server) {
			n.withLock(func() { n.report.Members = []engine.Member{member("h1", 7), member("h2", 8)} })
			eventually(t, "both nodes close the route", func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.closed["a"] > 0 && n.closed["b"] > 0
			})
			if _, err := n.nodes["b"].Acquire(context.Background(), srv, 10); !errors.Is(err, share.ErrClosed) {
				t.Errorf("got %v", err)
			}
		}},
		{"an old member report closes the route, and a watcher without digests closes it", func(t *testing.T, n *cluster, _ view.Server) {
			n.withLock(func() { n.linksDown = true })
			eventually(t, "watcher closes the route", func() bool { return !n.nodes["b"].Open(group) })
			m := member("h2", 7)
			m.AgeMs = 3000
			n.withLock(func() { n.report.Members = []engine.Member{member("h1", 7), m} })
			eventually(t, "owner closes the route", func() bool { return !n.nodes["a"].Open(group) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n, srv := startCluster(t)
			tt.run(t, n, srv)
		})
	}
}

// Guards against fixed shares that do not add up to the limit of a plain HTTP service.
func TestFixedShares(t *testing.T) {
	t.Parallel()
	nodes := make([]share.Node, 0, 6)
	for _, n := range []string{"a", "b", "c", "d", "e", "f"} {
		nodes = append(nodes, share.Node{Name: n})
	}
	for _, want := range []int{0, 1, 4, 6, 20} {
		srv := view.Server{Name: "app", Capacity: schema.Capacity{WarmRequests: want}}
		got := 0
		for _, n := range nodes {
			s := share.New(share.Config{Node: n.Name}, share.Deps{Nodes: func() []share.Node { return nodes }})
			for {
				if _, err := s.Acquire(context.Background(), srv, 0); err != nil {
					break
				}
				got++
			}
		}
		if got != want {
			t.Errorf("limit %d: %d grants", want, got)
		}
	}
}
