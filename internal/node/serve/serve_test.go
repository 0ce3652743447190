package serve_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/bench/spread"
	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/peers"
	"geraniumhollow/internal/node/serve"
	"geraniumhollow/internal/plat/hosts"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// operatorKey is the key for the operators' addresses.
const operatorKey = "a test key"

// convergenceTimeout is the time within which a change must be in force on all nodes.
const convergenceTimeout = 4 * time.Second

// drainTimeout is 30 times what the stand-in engines need for the longest answer that a stop must wait for, so that a
// stop does not reach it on a machine without processor time.
const drainTimeout = 2 * time.Minute

// testNode is one running node of a testCluster.
type testNode struct {
	*serve.Node
	cfg      flags.Settings
	platform *spread.Platform
	stop     func()
}

// testCluster is six nodes in three data centres, with simulated platform services and engines.
type testCluster struct {
	t       *testing.T
	site    *site.Site
	network *spread.Network
	nodes   []*testNode
	version uint64
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	st, err := site.Start(g, site.Strygekurv().WithRunners(3))
	if err != nil {
		t.Fatal(err)
	}
	s := &testCluster{t: t, site: st, network: spread.NewNetwork(), version: 1}
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.stop()
		}
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	for i := range 6 {
		s.nodes = append(s.nodes, s.start(i, "127.0.0.1:0"))
	}
	s.publishHosts()
	s.eventually(2*convergenceTimeout, "six current nodes that receive messages from each other", func() bool {
		for _, n := range s.nodes {
			if st := n.Peers().Status(); st.Mode != watch.Current || st.Heard != 6 {
				return false
			}
		}
		return true
	})
	return s
}

func (s *testCluster) start(i int, peerAddress string) *testNode {
	s.t.Helper()
	cfg := flags.Settings{
		NodeName: fmt.Sprintf("node-%d", i), DataCentre: s.site.Deployment.RunnerDataCentre(i),
		CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", PeerAddress: peerAddress,
		TableAddress: s.site.PlatformAddress, ObjectAddress: s.site.PlatformAddress, HostsAddress: s.site.PlatformAddress,
		OperatorKeyHash: view.HashKey(operatorKey), LogLevel: "error", DrainNotice: time.Second, DrainTimeout: drainTimeout,
	}
	lns, cfg, err := serve.Listen(context.Background(), cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.network.Name(cfg.PeerAddress, cfg.NodeName)
	p := spread.NewPlatform(s.site.Platform, s.site.Platform)
	n, err := serve.New(cfg, lns, hclog.NewNullLogger(), serve.Parts{Table: p, Hosts: p, Dial: s.network.Dialer(cfg.NodeName)})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(context.Background())
	g.Go(cfg.NodeName, func(context.Context) error { return n.Run(ctx) })
	return &testNode{Node: n, cfg: cfg, platform: p, stop: sync.OnceFunc(func() {
		cancel()
		if err := g.Wait(); err != nil {
			s.t.Errorf("%s: %v", cfg.NodeName, err)
		}
	})}
}

func (s *testCluster) publishHosts() {
	cfgs := make([]flags.Settings, 0, len(s.nodes))
	for _, n := range s.nodes {
		cfgs = append(cfgs, n.cfg)
	}
	s.site.List(cfgs)
}

func (s *testCluster) eventually(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, n := range s.nodes {
				st := n.Peers().Status()
				s.t.Logf("%s: version %d, age %v, %s, receives messages from %d of %d", n.cfg.NodeName, st.Version, st.Age, st.Mode, st.Heard, st.Size)
			}
			s.t.Fatalf("timed out after %v waiting for: %s", limit, what)
		}
	}
}

// commit commits the next version and waits until all given nodes have it in force and are ready.
func (s *testCluster) commit(nodes []*testNode) {
	s.t.Helper()
	e, err := apply.New(s.site.Platform, time.Now).Commit(context.Background(), s.version, "test", s.site.Document)
	if err != nil {
		s.t.Fatal(err)
	}
	s.version = e.Version
	s.eventually(convergenceTimeout, fmt.Sprintf("version %d in force", s.version), func() bool {
		for _, n := range nodes {
			if n.View().Version != s.version || !n.Ready() {
				return false
			}
		}
		return true
	})
}

// complete sends a completion to a node and returns the status and body of the response.
func (s *testCluster) complete(n *testNode, tokens int) (int, string) {
	s.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":%d,"stream":true}`, s.site.Deployment.Model, tokens)
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.cfg.CallerAddress+"/v1/completions", bytes.NewBufferString(body))
	req.Header.Set("Authorization", "Bearer "+s.site.Deployment.AccountKey(0))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}

func (s *testCluster) refused(n *testNode, code string) bool {
	_, body := s.complete(n, 1)
	return strings.Contains(body, code) && strings.Contains(body, `"not_run"`) && strings.Contains(body, `"retry_after"`)
}

// Guards against configuration changes that arrive late or not at all on nodes that cannot reach the store.
func TestChangePropagation(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		down []int
	}{
		{"store up", nil},
		{"store down for some nodes", []int{0, 4}},
		{"store unreachable from one data centre", []int{1, 4}},
		{"store up for one node only", []int{0, 1, 2, 3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t)
			for _, i := range tt.down {
				s.nodes[i].platform.SetDown(true)
			}
			time.Sleep(convergenceTimeout)
			for range 3 {
				s.commit(s.nodes)
			}
		})
	}
}

// Guards against partitioned nodes that keep serving an old configuration, and against nodes that stop serving
// when no node can reach the store.
func TestPartition(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	cut, rest := []*testNode{s.nodes[0], s.nodes[3]}, []*testNode{s.nodes[1], s.nodes[2], s.nodes[4], s.nodes[5]}
	for _, c := range cut {
		c.platform.SetDown(true)
		for _, r := range rest {
			s.network.CutBoth(c.cfg.NodeName, r.cfg.NodeName, true)
		}
	}
	s.eventually(2*convergenceTimeout, "isolated nodes", func() bool { return !cut[0].Ready() && !cut[1].Ready() })
	s.commit(rest)
	for _, c := range cut {
		_, err := c.Peers().Announce(context.Background(), s.version+1)
		if !s.refused(c, "node_isolated") || !errors.Is(err, peers.ErrTooFew) {
			t.Errorf("%s serves or commits during a network partition: %v", c.cfg.NodeName, err)
		}
	}
	for _, c := range cut {
		for _, r := range rest {
			s.network.CutBoth(c.cfg.NodeName, r.cfg.NodeName, false)
		}
	}
	s.eventually(2*convergenceTimeout, "recovery of the partitioned nodes", func() bool {
		return cut[0].Ready() && cut[1].Ready() && cut[0].View().Version == s.version
	})
	for _, n := range s.nodes {
		n.platform.SetDown(true)
	}
	s.eventually(2*convergenceTimeout, "store_down everywhere", func() bool {
		for _, n := range s.nodes {
			if n.Peers().Status().Mode != watch.StoreDown {
				return false
			}
		}
		return true
	})
	if status, body := s.complete(s.nodes[0], 3); status != http.StatusOK || !strings.Contains(body, "[DONE]") {
		t.Errorf("store down: got %d %s", status, body)
	}
}

// Guards against a node that commits, or keeps serving, although its outgoing messages are lost and it only
// receives those of others. While it cannot reach the store, messages that are not replies to its own must not
// confirm its version.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	isolated := s.nodes[0]
	isolated.platform.SetDown(true)
	for _, n := range s.nodes[1:] {
		s.network.Cut(isolated.cfg.NodeName, n.cfg.NodeName, true)
	}
	s.eventually(2*convergenceTimeout, "isolation of the node", func() bool { return !isolated.Ready() })
	if _, err := isolated.Peers().Announce(context.Background(), s.version+1); !errors.Is(err, peers.ErrTooFew) {
		t.Errorf("announcement with outgoing messages lost: got %v, want ErrTooFew", err)
	}
	s.commit(s.nodes[1:])
	s.network.CutBoth(isolated.cfg.NodeName, s.nodes[1].cfg.NodeName, false)
	s.eventually(2*convergenceTimeout, "recovery through one peer", func() bool {
		return isolated.Ready() && isolated.View().Version == s.version
	})
}

// Guards against a majority that keeps serving the old configuration after the only node that can reach the
// table commits a change and is partitioned immediately.
func TestCommitThenPartition(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	first, rest := s.nodes[0], s.nodes[1:]
	if _, err := first.Peers().Announce(context.Background(), s.version+1); err != nil {
		t.Fatal(err)
	}
	for _, n := range rest {
		n.platform.SetDown(true)
		s.network.CutBoth(first.cfg.NodeName, n.cfg.NodeName, true)
	}
	s.commit([]*testNode{first})
	time.Sleep(convergenceTimeout)
	for end := time.Now().Add(convergenceTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range rest {
			if n.Ready() {
				t.Fatalf("%s serves an old version after a change, mode %s", n.cfg.NodeName, n.Peers().Mode())
			}
		}
	}
	rest[0].platform.SetDown(false)
	s.eventually(convergenceTimeout, "the change in force on all nodes", func() bool {
		for _, n := range rest {
			if n.View().Version != s.version || !n.Ready() {
				return false
			}
		}
		return true
	})
}

// Guards against nodes that send new work to a backend server whose host is leaving, and against an isolated
// node that sends work to other data centres.
func TestAllowed(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	d := s.site.Deployment
	allowed := func(n *testNode, runner int) bool { return n.Allowed(d.GroupName(runner), d.RunnerDataCentre(runner)) }
	list, err := s.site.Platform.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range list {
		if list[i].Name == d.RunnerHosts(1)[1] {
			list[i].State = hosts.Leaving
		}
	}
	s.site.Platform.SetHosts(list)
	s.eventually(convergenceTimeout, "no new work for the leaving host", func() bool {
		for _, n := range s.nodes {
			if !allowed(n, 0) || allowed(n, 1) || !allowed(n, 2) {
				return false
			}
		}
		return true
	})
	s.site.Document.Regions[0].IsolationPolicy = schema.RegionIsolationPolicyServeLocal
	s.commit(s.nodes)
	cut := s.nodes[0]
	cut.platform.SetDown(true)
	for _, n := range s.nodes[1:] {
		s.network.CutBoth(cut.cfg.NodeName, n.cfg.NodeName, true)
	}
	s.eventually(2*convergenceTimeout, "isolation", func() bool { return cut.Peers().Mode() == watch.Isolated })
	if !cut.Ready() || !allowed(cut, 0) || allowed(cut, 2) {
		t.Errorf("serve_local: ready %v, own data centre %v, another %v", cut.Ready(), allowed(cut, 0), allowed(cut, 2))
	}
}

// Guards against a restarted node that serves before it has a configuration, or with an old version.
func TestRestart(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.commit(s.nodes)
	old := s.nodes[5]
	old.stop()
	s.site.Platform.SetDown(true)
	fresh := s.start(5, old.cfg.PeerAddress)
	if fresh.Ready() || !s.refused(fresh, "node_isolated") {
		t.Error("a node without a configuration serves")
	}
	fresh.stop()
	s.site.Platform.SetDown(false)
	s.nodes[5] = s.start(5, old.cfg.PeerAddress)
	lowest := s.version
	s.eventually(convergenceTimeout, "the version after a restart", func() bool {
		v := s.nodes[5].View().Version
		if v != 0 && v < lowest {
			t.Fatalf("version %d after a restart, %d was in force", v, lowest)
		}
		return v == lowest && s.nodes[5].Ready()
	})
	s.commit(s.nodes)
}

// Guards against a planned stop that interrupts a running request, refuses new requests during the notice, or
// accepts them after it.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	n := s.nodes[2]
	answer := make(chan string, 1)
	g := tasks.New(context.Background())
	g.Go("request", func(context.Context) error {
		_, body := s.complete(n, 2000)
		answer <- body
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	g.Go("stop", func(context.Context) error {
		n.stop()
		return nil
	})
	s.eventually(time.Second, "node not ready", func() bool { return !n.Ready() })
	for path, want := range map[string]int{"/healthz": http.StatusOK, "/readyz": http.StatusServiceUnavailable} {
		resp, err := http.Get("http://" + n.cfg.OperatorAddress + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: got %d, want %d", path, resp.StatusCode, want)
		}
	}
	if status, body := s.complete(n, 1); status != http.StatusOK || !strings.Contains(body, "[DONE]") {
		t.Errorf("during notice: got %d %s", status, body)
	}
	s.eventually(2*convergenceTimeout, "refusal after the notice", func() bool { return s.refused(n, "node_draining") })
	if body := <-answer; !strings.Contains(body, "[DONE]") {
		t.Errorf("a running request was interrupted after %d bytes", len(body))
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a second signal that does not stop the node until running requests have ended.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	n := s.nodes[2]
	tasks.New(context.Background()).Go("request", func(context.Context) error {
		s.complete(n, 4000)
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	n.Stop()
	time.Sleep(50 * time.Millisecond)
	n.Stop()
	n.stop()
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("stop took %v", took)
	}
}
