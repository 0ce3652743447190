package spread

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/node/peers"
	"geraniumhollow/internal/plat/hosts"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// settleTimeout bounds the wait for a fleet in which all nodes hear each other.
const settleTimeout = 60 * time.Second

// fleetNode is one node's loop without the caller interface.
type fleetNode struct {
	name     string
	peers    *peers.Peers
	platform *Platform

	mu      sync.Mutex
	version uint64
	applied time.Time
}

func (n *fleetNode) apply(version uint64, _ *schema.Document) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version, n.applied = version, time.Now()
}

// inForce returns the version in force and since when.
func (n *fleetNode) inForce() (uint64, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.applied
}

// fleet is a set of nodes in one process, in front of one table.
type fleet struct {
	store   *store.Store
	configs *apply.Store
	doc     *schema.Document
	nodes   []*fleetNode
	version uint64
	list    []hosts.Host
}

// startFleet starts size nodes in g, spread over data centres, with so many engine hosts on the live
// list.
func startFleet(ctx context.Context, g *tasks.Group, size, dataCentres, engines int) (*fleet, error) {
	d := site.Strygekurv()
	f := &fleet{store: store.New(), doc: document(d, d.Runners)}
	f.configs = apply.New(f.store, time.Now)
	if err := f.commit(ctx); err != nil {
		return nil, err
	}
	network := NewNetwork()
	list := make([]hosts.Host, 0, size)
	for i := range size {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Newf("listen: %w", err)
		}
		n := &fleetNode{name: fmt.Sprintf("node-%03d", i), platform: NewPlatform(f.store, f.store)}
		dc := fmt.Sprintf("dc-%d", i%dataCentres)
		network.Name(ln.Addr().String(), n.name)
		list = append(list, hosts.Host{
			Name: n.name, Kind: hosts.Entry, State: hosts.Live, DataCentre: dc, PeerAddress: ln.Addr().String(),
		})
		n.peers = peers.New(peers.Config{
			Node: n.name, DataCentre: dc, Incarnation: peers.NewIncarnation(time.Now()),
			Hosts: n.platform, Configs: apply.New(n.platform, time.Now),
			Log: hclog.NewNullLogger(), Apply: n.apply,
		})
		f.nodes = append(f.nodes, n)
		g.Go(n.name, func(ctx context.Context) error { return n.peers.Run(ctx, ln) })
	}
	for i := range engines {
		list = append(list, hosts.Host{
			Name: fmt.Sprintf("host-%03d-%02d", i/2, i%2), Kind: hosts.Engine, State: hosts.Live,
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
		})
	}
	f.list = list
	f.store.SetHosts(list)
	return f, f.settle(ctx)
}

// document returns the configuration document of a deployment with so many runners.
func document(d site.Deployment, runners int) *schema.Document {
	at := site.Addresses{}
	for i := range runners {
		at.Runners = append(at.Runners, fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250))
	}
	for i := range d.Instances {
		at.Instances = append(at.Instances, fmt.Sprintf("10.2.0.%d:8000", i))
	}
	return d.WithRunners(runners).Document(at)
}

// settle waits until every node is current and counts the whole fleet.
func (f *fleet) settle(ctx context.Context) error {
	return f.await(ctx, settleTimeout, func(n *fleetNode) bool {
		s := n.peers.Status()
		return s.Mode == watch.Current && s.Heard == len(f.nodes)
	})
}

// await waits until ok holds for every node.
func (f *fleet) await(ctx context.Context, limit time.Duration, ok func(n *fleetNode) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, n := range f.nodes {
		for !ok(n) {
			select {
			case <-ctx.Done():
				s := n.peers.Status()
				return errors.Newf("%s has version %d, age %v, %s, hears %d of %d: %w",
					n.name, s.Version, s.Age, s.Mode, s.Heard, s.Size, ctx.Err())
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

// commit commits the next version.
func (f *fleet) commit(ctx context.Context) error {
	e, err := f.configs.Commit(ctx, f.version, "spread", f.doc)
	if err != nil {
		return errors.Newf("commit: %w", err)
	}
	f.version = e.Version
	return nil
}
