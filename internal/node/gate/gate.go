// Package gate admits requests for the relay: it holds those that wait and feeds the decider of
// route/admit.
package gate

import (
	"context"
	"sync"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/admit"
	"geraniumhollow/internal/wire/frame"
)

// capacityInterval is the longest time between computations of what the servers bear: servers without
// digests drop out. A digest that changes what its server bears counts at once.
const capacityInterval = time.Second

// Config shapes a gate.
type Config struct {
	// View returns the configuration in force.
	View func() *view.View
	Now  func() time.Time
	// MaxReportAge is group_report_max_age: a server with an older digest bears nothing.
	MaxReportAge time.Duration
}

// Gate implements relay.Gate. It is safe for concurrent use. Its memory is bounded by the queue of the
// configuration, the requests in flight and the servers.
type Gate struct {
	cfg Config

	mu       sync.Mutex
	ctl      *admit.Controller
	version  uint64
	synced   bool
	nodes    int
	next     uint64
	waiters  map[uint64]chan admit.Decision
	requests map[string]uint64 // request id to the decider's id
	servers  map[string]*server
	counted  time.Time
}

var _ relay.Gate = (*Gate)(nil)

// server is what the gate knows of one backend server.
type server struct {
	view.Server
	digest frame.LoadDigest
	madeAt time.Time // zero before the first digest
}

// New returns a gate. Before the first digest of a server it counts with the server's cold limit.
func New(cfg Config) *Gate {
	return &Gate{
		cfg: cfg, nodes: 1, ctl: admit.New(admit.Config{}), waiters: make(map[uint64]chan admit.Decision),
		requests: make(map[string]uint64), servers: make(map[string]*server),
	}
}

// Enter implements relay.Gate. A request waits at most for queue_timeout_ms.
func (g *Gate) Enter(ctx context.Context, v *view.View, w relay.Work) (func(), *fault.Error) {
	now := g.cfg.Now()
	deadline := now.Add(time.Duration(v.Limits.QueueTimeoutMs) * time.Millisecond)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	id, d, wait := g.ask(now, deadline, v, w)
	if d.Verdict == admit.Queued {
		d = g.wait(ctx, id, deadline.Sub(now), wait)
	}
	if d.Verdict != admit.Admitted {
		return nil, refusal(d)
	}
	return func() { g.leave(id, w.RequestID) }, nil
}

func refusal(d admit.Decision) *fault.Error {
	message := "the queue is full or too slow for the request"
	if d.Code == fault.RateLimited {
		message = "the rate limit of the client account is reached"
	}
	return fault.New(d.Code, fault.NotRun, message).WithRetryAfter(d.RetryAfter)
}

// ask puts the request to the decider. The channel tells of a later decision.
func (g *Gate) ask(
	now, deadline time.Time, v *view.View, w relay.Work,
) (uint64, admit.Decision, chan admit.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(v)
	g.count(now)
	g.next++
	id := g.next
	decisions := g.ctl.Enter(now, admit.Request{
		ID: id, Account: w.Account, Model: w.Model, Priority: w.Priority,
		Tokens: w.PromptTokens + w.MaxTokens, Deadline: deadline,
	})
	g.deliver(decisions[1:])
	d := decisions[0]
	if d.Verdict == admit.Refused {
		return id, d, nil
	}
	g.requests[w.RequestID] = id
	if d.Verdict == admit.Admitted {
		return id, d, nil
	}
	wait := make(chan admit.Decision, 1)
	g.waiters[id] = wait
	return id, d, wait
}

// wait returns the decision on a request that waits.
func (g *Gate) wait(ctx context.Context, id uint64, patience time.Duration, wait chan admit.Decision) admit.Decision {
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case d := <-wait:
		return d
	case <-t.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-wait:
		return d
	default:
	}
	delete(g.waiters, id)
	d := g.ctl.Cancel(id)
	// What waited behind a large request may fit now.
	g.deliver(g.ctl.Dispatch(g.cfg.Now()))
	return d
}

// deliver hands decisions to the requests that wait for them.
func (g *Gate) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if wait, ok := g.waiters[d.ID]; ok {
			delete(g.waiters, d.ID)
			wait <- d
		}
	}
}

func (g *Gate) leave(id uint64, request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.requests, request)
	g.deliver(g.ctl.Leave(g.cfg.Now(), id))
}

// Started notes the server that a request is sent to, so that its tokens count there.
func (g *Gate) Started(name string, w relay.Work) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id, ok := g.requests[w.RequestID]; ok {
		g.ctl.Pool(w.Model).Place(g.cfg.Now(), id, name)
	}
}

// Waiting returns the number of requests that wait for admission.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters)
}

// SetNodes sets the number of nodes that are heard, this one included.
func (g *Gate) SetNodes(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n = max(1, n); n == g.nodes {
		return
	}
	g.nodes = n
	g.counted = time.Time{}
	g.ctl.SetNodes(g.cfg.Now(), n)
}

// Observe takes a load digest that has just arrived. Digests of unknown servers are dropped.
func (g *Gate) Observe(d frame.LoadDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(g.cfg.View())
	s, ok := g.servers[d.Server]
	if !ok {
		return
	}
	now := g.cfg.Now()
	before := s.bears(now, g.cfg.MaxReportAge)
	s.digest, s.madeAt = d, now.Add(-time.Duration(d.AgeMs)*time.Millisecond)
	if s.bears(now, g.cfg.MaxReportAge) != before {
		g.counted = time.Time{}
	}
	capacity := s.Capacity.WarmTokens
	if d.Cap > 0 {
		capacity = d.Cap
	}
	if pool := g.ctl.Pool(s.Model); d.Open {
		pool.Observe(d.Server, d.Held, capacity, s.madeAt)
	} else {
		pool.Forget(d.Server) // its room is of no use
	}
	g.count(now)
	if len(g.waiters) > 0 {
		g.deliver(g.ctl.Dispatch(now))
	}
}

// sync takes accounts, limits and servers of a configuration that is newer than the last one.
func (g *Gate) sync(v *view.View) {
	if g.synced && v.Version <= g.version {
		return
	}
	g.version, g.synced = v.Version, true
	doc, now := v.Document(), g.cfg.Now()
	g.ctl.SetQueue(v.Limits.QueueRequests)
	accounts := make([]admit.Account, len(doc.Accounts))
	for i, a := range doc.Accounts {
		accounts[i] = admit.Account{
			Name: a.Name, Share: a.Share, Requests: a.RequestsPerSecond, Tokens: a.TokensPerSecond,
		}
	}
	g.ctl.SetAccounts(now, accounts)
	g.counted = time.Time{}
	names, models := sets.New[string](), sets.New[string]()
	for _, m := range doc.Models {
		models.Add(m.Name)
		for _, s := range v.Servers(m.Name) {
			names.Add(s.Name)
			if old, ok := g.servers[s.Name]; ok {
				old.Server = s
			} else {
				g.servers[s.Name] = &server{Server: s}
			}
		}
	}
	g.removeServers(names)
	for _, m := range g.ctl.Models() {
		if !models.Has(m) {
			g.ctl.RemovePool(m)
		}
	}
}

func (g *Gate) removeServers(keep sets.Set[string]) {
	for name, s := range g.servers {
		if !keep.Has(name) {
			g.ctl.Pool(s.Model).Forget(name)
			delete(g.servers, name)
		}
	}
}

// count computes this node's part of what the servers of each model bear.
func (g *Gate) count(now time.Time) {
	if now.Sub(g.counted) < capacityInterval {
		return
	}
	g.counted = now
	requests, tokens := make(map[string]float64), make(map[string]int)
	for _, s := range g.servers {
		requests[s.Model] += float64(s.bears(now, g.cfg.MaxReportAge))
		tokens[s.Model] += s.Capacity.WarmTokens
	}
	for model, n := range requests {
		// A node admits one request at a time when all servers are closed; the picker refuses it.
		g.ctl.Pool(model).SetLimits(max(1, n/float64(g.nodes)), tokens[model]/g.nodes)
	}
}

// bears returns how many requests a server may hold.
func (s *server) bears(now time.Time, maxAge time.Duration) int {
	switch {
	case s.madeAt.IsZero():
		return s.Capacity.ColdRequests
	case !s.digest.Open || now.Sub(s.madeAt) > maxAge:
		return 0
	case s.digest.State != string(engine.Warm):
		return s.Capacity.ColdRequests
	}
	return s.Capacity.WarmRequests
}
