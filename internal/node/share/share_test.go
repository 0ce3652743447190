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

// net is a set of nodes that call each other directly. The first owns everything.
type net struct {
	mu       sync.Mutex
	nodes    map[string]*share.Shares
	down     bool // no message arrives
	noOwner  bool
	loseAcks int
	report   engine.Report
	polls    int
	closed   map[string]int
	free     int
	lost     []string // duties that every node has lost
	consents []string
}

func (n *net) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// peer is the link of one node to all others.
type peer struct {
	net  *net
	from string
}

var errDown = errors.New("link is down")

func (p peer) to(node string) (*share.Shares, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.down {
		return nil, errDown
	}
	return p.net.nodes[node], nil
}

func (p peer) Ask(_ context.Context, node string, a frame.GrantAsk) (frame.GrantReply, error) {
	s, err := p.to(node)
	if err != nil {
		return frame.GrantReply{}, err
	}
	return s.HandleAsk(p.from+"-1", a), nil
}

func (p peer) Release(_ context.Context, node string, r frame.GrantRelease) error {
	s, err := p.to(node)
	if err != nil {
		return err
	}
	s.HandleRelease(p.from+"-1", r)
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.loseAcks > 0 {
		p.net.loseAcks--
		return errDown
	}
	return nil
}

func (p peer) Digest(node string, d frame.LoadDigest) {
	if s, err := p.to(node); err == nil {
		s.HandleDigest(d)
	}
}

// duties has the first node hold every duty.
type duties struct {
	net  *net
	self string
}

func (d duties) owner() string {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	if d.net.noOwner {
		return ""
	}
	return "a"
}

func (d duties) Holds(string, uint64) bool { return d.owner() == d.self }
func (d duties) Holder(string) string      { return d.owner() }
func (duties) Wants(string) (string, bool) { return "", false }
func (duties) Yield(string, bool)          {}

func (d duties) Consent(duty string) {
	d.net.set(func() { d.net.consents = append(d.net.consents, duty) })
}

func (d duties) Tenures() []lease.Tenure {
	if d.owner() != d.self {
		return nil
	}
	var out []lease.Tenure
	d.net.set(func() {
		for _, n := range d.net.lost {
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

// start runs two nodes until the test ends, and waits until the owner has a report.
func start(t *testing.T) (*net, view.Server) {
	t.Helper()
	v := testView()
	n := &net{nodes: make(map[string]*share.Shares), closed: make(map[string]int), report: engine.Report{
		Instance: "i", State: engine.Cold, Members: []engine.Member{member("h1", 7), member("h2", 7)},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, name := range []string{"a", "b"} {
		s := share.New(share.Config{Node: name, Incarnation: name + "-1"}, share.Deps{
			Log: hclog.NewNullLogger(), Peers: peer{n, name}, Leases: duties{n, name},
			View:  func() *view.View { return v },
			Nodes: func() []share.Node { return []share.Node{{Name: "a", DataCentre: "dc"}, {Name: "b", DataCentre: "dc"}} },
			Load: func(context.Context, view.Server) (engine.Report, error) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.polls++
				return n.report, nil
			},
			Heard:  func(d frame.LoadDigest, _ time.Time) { n.set(func() { n.free = d.Free }) },
			Closed: func(string) { n.set(func() { n.closed[name]++ }) },
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
	eventually(t, "route opens at the watcher", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.free == limit
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
	t.Fatalf("not within 6 s: %s", what)
}

// fill acquires on both nodes in turn until both refuse, and returns the grants by node.
func fill(t *testing.T, n *net, srv view.Server) map[string][]relay.Grant {
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

func count(m map[string][]relay.Grant) int { return len(m["a"]) + len(m["b"]) }

// Guards against a limit that does not hold over nodes, and against releases that get lost.
func TestShares(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		run  func(t *testing.T, n *net, srv view.Server)
	}{
		{"limit over two nodes, and releases with lost acknowledgements", func(t *testing.T, n *net, srv view.Server) {
			got := fill(t, n, srv)
			if count(got) != limit || got["a"][0].Instance != "i" {
				t.Fatalf("%d grants, want %d", count(got), limit)
			}
			n.set(func() { n.loseAcks = 2 })
			for _, g := range got["b"] {
				n.nodes["b"].Release(g, relay.Result{End: relay.Ended, Instance: "i", State: engine.Cold})
			}
			eventually(t, "released grants are given again", func() bool {
				_, err := n.nodes["a"].Acquire(context.Background(), srv, 10)
				return err == nil
			})
		}},
		{"a failed attempt frees nothing", func(t *testing.T, n *net, srv view.Server) {
			got := fill(t, n, srv)
			for _, g := range got["a"] {
				n.nodes["a"].Release(g, relay.Result{Failed: true})
			}
			time.Sleep(300 * time.Millisecond)
			if again := count(fill(t, n, srv)); again != 0 {
				t.Errorf("%d grants while all may be running", again)
			}
		}},
		{"a lost shard is consented to when nothing is out, and no other duty is", func(t *testing.T, n *net, srv view.Server) {
			duty := share.Duty(group, share.DefaultShards)
			got := fill(t, n, srv)
			consented := func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				if slices.Contains(n.consents, "config/dc") {
					t.Error("consent to another kind of duty")
				}
				return slices.Contains(n.consents, duty)
			}
			n.set(func() { n.lost = []string{duty, "config/dc"} })
			time.Sleep(300 * time.Millisecond)
			if consented() {
				t.Error("consent while grants are out")
			}
			for name, grants := range got {
				for _, g := range grants {
					n.nodes[name].Release(g, relay.Result{End: relay.Ended, Instance: "i", State: engine.Cold})
				}
			}
			eventually(t, "consent", consented)
		}},
		{"owner unknown or unreachable is an error at once", func(t *testing.T, n *net, srv view.Server) {
			for _, f := range []func(){func() { n.down = true }, func() { n.noOwner = true }} {
				n.set(f)
				from := time.Now()
				_, err := n.nodes["b"].Acquire(context.Background(), srv, 10)
				if !errors.Is(err, share.ErrNoOwner) || time.Since(from) > 500*time.Millisecond {
					t.Errorf("got %v after %v", err, time.Since(from))
				}
			}
		}},
		{"a member of another generation closes the route", func(t *testing.T, n *net, srv view.Server) {
			n.set(func() { n.report.Members = []engine.Member{member("h1", 7), member("h2", 8)} })
			eventually(t, "both nodes are told", func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.closed["a"] > 0 && n.closed["b"] > 0
			})
			if _, err := n.nodes["b"].Acquire(context.Background(), srv, 10); !errors.Is(err, share.ErrClosed) {
				t.Errorf("got %v", err)
			}
		}},
		{"a member's old report closes the route, and a watcher closes it by itself", func(t *testing.T, n *net, _ view.Server) {
			n.set(func() { n.down = true })
			eventually(t, "digests grow old", func() bool { return !n.nodes["b"].Open(group) })
			m := member("h2", 7)
			m.AgeMs = 3000
			n.set(func() { n.report.Members = []engine.Member{member("h1", 7), m} })
			eventually(t, "owner closes", func() bool { return !n.nodes["a"].Open(group) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n, srv := start(t)
			tt.run(t, n, srv)
		})
	}
}

// Guards against fixed shares that add up to more than the limit of a plain service.
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
