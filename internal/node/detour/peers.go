package detour

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/fleet/reach"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/conns"
)

// Limits of connections to other nodes.
const (
	forwardDialTimeout = 300 * time.Millisecond
	// forwardIdleTimeout is shorter than the time for which nodes keep idle connections of other nodes.
	forwardIdleTimeout = 4 * time.Second
	maxForwardIdle     = 256
)

// Choice of a node.
const (
	// statusAge is the age of a status up to which its node is chosen. A status is renewed at each check.
	statusAge = time.Second
	// farCost is the factor by which a node of another data centre must be less loaded than one of the same.
	farCost = 2.0
	// distrustTime is how long a node is not chosen after it has refused or failed a request.
	distrustTime = time.Second
	// maxKept is the number of nodes whose statuses an isolated node renews. With fewer good ones it asks others.
	maxKept = 6
)

// peer is what is known of another node.
type peer struct {
	node   Node
	status Status
	at     time.Time
	// sent is the number of requests of this node in progress there that the status does not include.
	sent int
	// distrusted is until when the node is not chosen.
	distrusted time.Time
}

// load returns the load by which nodes are compared.
func (p *peer) load(dataCentre string) float64 {
	load := float64(p.status.Requests+p.sent+1) / max(p.node.Capacity, minCapacity)
	if p.node.DataCentre != dataCentre {
		load *= farCost
	}
	return load
}

// minCapacity is the capacity assumed for a node that states none.
const minCapacity = 0.1

// peers are the other nodes. It is safe for concurrent use.
type peers struct {
	cfg Config

	mu    *sync.Mutex
	known map[string]*peer
	pools map[string]*conns.Pool
	// askFactor is the factor on the number of nodes that a check asks.
	askFactor *int
}

func newPeers(cfg Config) peers {
	return peers{cfg: cfg, mu: new(sync.Mutex), known: make(map[string]*peer), pools: make(map[string]*conns.Pool), askFactor: new(1)}
}

// choose returns the nodes that a check asks: the good ones that are known, if known is set, and others at random.
func (p peers) choose(known bool) []Node {
	all := p.cfg.Nodes()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	p.mu.Lock()
	defer p.mu.Unlock()
	near, far := nearNodes**p.askFactor, farNodes**p.askFactor
	var out []Node
	isGood := func(n Node) bool {
		k, ok := p.known[n.Address]
		return known && ok && k.status.Accepts && time.Since(k.at) < statusAge
	}
	for _, n := range all {
		if isGood(n) && len(out) < maxKept {
			out = append(out, n)
		}
	}
	// One other node is asked even if enough are known, as their loads change.
	near, far = max(0, near-len(out)), max(1, far-len(out))
	for _, n := range all {
		quota := &near
		if n.DataCentre != p.cfg.DataCentre {
			quota = &far
		}
		if *quota > 0 && !isGood(n) {
			*quota--
			out = append(out, n)
		}
	}
	return out
}

// found adapts the number of nodes that the next check asks.
func (p peers) found(reaching bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reaching {
		*p.askFactor = 1
	} else {
		*p.askFactor = min(2**p.askFactor, maxAskFactor)
	}
}

// missed records that a node did not answer in time.
func (p peers) missed(n Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.known[n.Address]; ok {
		k.status.Accepts = false
	}
}

// answered records the status of a node.
func (p peers) answered(n Node, s Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.known[n.Address]
	if !ok {
		k = &peer{}
		p.known[n.Address] = k
	}
	k.node, k.status, k.at, k.sent = n, s, time.Now(), 0
	for address, k := range p.known {
		if time.Since(k.at) > forgetTime {
			p.forget(address)
		}
	}
}

// forgetTime is the age of a status after which its node is forgotten, and its connections are closed.
const forgetTime = 30 * time.Second

// forget drops what is known of a node. The lock must be held.
func (p peers) forget(address string) {
	delete(p.known, address)
	if pool, ok := p.pools[address]; ok {
		pool.Close()
		delete(p.pools, address)
	}
}

func (p peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.known {
		p.forget(address)
	}
}

// pick returns the less loaded one of two random nodes that accept requests, or nil.
func (p peers) pick(tried sets.Set[string]) *hop {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var good []*peer
	for address, k := range p.known {
		if !tried.Has(address) && k.status.Accepts && now.Sub(k.at) < statusAge && !now.Before(k.distrusted) {
			good = append(good, k)
		}
	}
	if len(good) == 0 {
		return nil
	}
	rand.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	best := slices.MinFunc(good[:min(2, len(good))], func(a, b *peer) int {
		if a.load(p.cfg.DataCentre) < b.load(p.cfg.DataCentre) {
			return -1
		}
		return 1
	})
	best.sent++
	pool, ok := p.pools[best.node.Address]
	if !ok {
		pool = conns.New(best.node.Forwards, conns.Options{
			DialTimeout: forwardDialTimeout, IdleTimeout: forwardIdleTimeout, MaxIdle: maxForwardIdle, Limits: sock.Local.WithSource(p.cfg.Source),
		})
		p.pools[best.node.Address] = pool
	}
	return &hop{peers: p, peer: best, node: best.node.Address, pool: pool}
}

// hop implements pass.Hop.
type hop struct {
	peers peers
	peer  *peer
	node  string
	pool  *conns.Pool
}

// Node implements pass.Hop.
func (h *hop) Node() string { return h.node }

// Conns implements pass.Hop.
func (h *hop) Conns() *conns.Pool { return h.pool }

// Done implements pass.Hop.
func (h *hop) Done(taken bool) {
	h.peers.mu.Lock()
	defer h.peers.mu.Unlock()
	h.peer.sent = max(0, h.peer.sent-1)
	if !taken {
		h.peer.distrusted = time.Now().Add(distrustTime)
	}
}

// Waits of a request for a check, and the time after which its caller may come again if no node takes it.
const (
	maxCheckWait  = 400 * time.Millisecond
	isolatedRetry = 500 * time.Millisecond
	maxTriedHops  = 3
)

// Choose implements pass.Detour.
func (d *Detour) Choose(ctx context.Context, tried sets.Set[string], broken bool) (pass.Hop, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, maxCheckWait)
	defer cancel()
	if broken {
		d.Confirm(ctx)
	}
	d.mu.Lock()
	state, checked := d.decider.State(), d.checked
	d.mu.Unlock()
	if state == reach.Suspected {
		state = d.await(ctx, checked)
	}
	if state != reach.Isolated {
		return nil, nil
	}
	refusal := fault.New(fault.NodeIsolated, fault.NotRun, "this node reaches no backend server").WithRetryAfter(isolatedRetry)
	if tried.Len() >= maxTriedHops {
		return nil, refusal
	}
	for {
		if h := d.peers.pick(tried); h != nil {
			return h, nil
		}
		d.mu.Lock()
		if d.decider.State() != reach.Isolated {
			d.mu.Unlock()
			return nil, nil
		}
		d.startCheck()
		checked := d.checked
		d.mu.Unlock()
		select {
		case <-checked:
		case <-ctx.Done():
			return nil, refusal
		}
	}
}
