// Package gate implements the admission control of the relay. It blocks queued requests and passes requests,
// load digests and configuration changes to route/admit, which makes the decisions.
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

// limitsInterval is the maximum time between updates of the limits, so that servers whose digests have become
// too old are no longer counted. A digest that changes the capacity of its server updates them at once.
const limitsInterval = time.Second

// Config configures a gate.
type Config struct {
	// View returns the active configuration.
	View func() *view.View
	Now  func() time.Time
	// MaxReportAge is the maximum age of a load digest: a server with an older digest has no capacity.
	MaxReportAge time.Duration
}

// Gate implements relay.Gate. It is safe for concurrent use. Its memory is bounded by the configured queue
// length, the requests in flight and the servers.
type Gate struct {
	cfg Config

	mu            sync.Mutex
	ctl           *admit.Controller
	version       uint64
	synced        bool
	nodes         int
	nextID        uint64
	waiters       map[uint64]chan admit.Decision
	admissionIDs  map[string]uint64 // IDs at ctl by request ID
	servers       map[string]*serverState
	limitsUpdated time.Time
}

var _ relay.Gate = (*Gate)(nil)

// serverState is a backend server with its last load digest.
type serverState struct {
	view.Server
	digest       frame.LoadDigest
	digestMadeAt time.Time // zero before the first digest
}

// New returns a gate. It uses the cold limit of a server until the first digest of that server.
func New(cfg Config) *Gate {
	return &Gate{
		cfg: cfg, nodes: 1, ctl: admit.New(admit.Config{}), waiters: make(map[uint64]chan admit.Decision),
		admissionIDs: make(map[string]uint64), servers: make(map[string]*serverState),
	}
}

// Enter implements relay.Gate. A request waits for at most queue_timeout_ms.
func (g *Gate) Enter(ctx context.Context, v *view.View, w relay.RequestInfo) (func(), *fault.Error) {
	now := g.cfg.Now()
	deadline := now.Add(time.Duration(v.Limits.QueueTimeoutMs) * time.Millisecond)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	id, d, wait := g.submit(now, deadline, v, w)
	if d.Verdict == admit.Queued {
		d = g.awaitDecision(ctx, id, deadline.Sub(now), wait)
	}
	if d.Verdict != admit.Admitted {
		return nil, refusal(d)
	}
	return func() { g.leave(id, w.RequestID) }, nil
}

// refusal returns the caller's error for a request that was not admitted.
func refusal(d admit.Decision) *fault.Error {
	message := "the queue is full or too slow for the request"
	if d.Code == fault.RateLimited {
		message = "the rate limit of the client account is reached"
	}
	return fault.New(d.Code, fault.NotRun, message).WithRetryAfter(d.RetryAfter)
}

// submit submits a request for admission and returns its ID and the decision. If the request was queued, the
// channel receives the final decision.
func (g *Gate) submit(
	now, deadline time.Time, v *view.View, w relay.RequestInfo,
) (uint64, admit.Decision, chan admit.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(v)
	g.updateLimits(now)
	g.nextID++
	id := g.nextID
	decisions := g.ctl.Admit(now, admit.Request{
		ID: id, Account: w.Account, Model: w.Model, Priority: w.Priority,
		Tokens: w.PromptTokens + w.MaxTokens, Deadline: deadline,
	})
	g.deliver(decisions[1:])
	d := decisions[0]
	if d.Verdict == admit.Refused {
		return id, d, nil
	}
	g.admissionIDs[w.RequestID] = id
	if d.Verdict == admit.Admitted {
		return id, d, nil
	}
	wait := make(chan admit.Decision, 1)
	g.waiters[id] = wait
	return id, d, wait
}

// awaitDecision waits for the decision on a queued request. It cancels the request after the timeout or when
// ctx ends.
func (g *Gate) awaitDecision(ctx context.Context, id uint64, timeout time.Duration, wait chan admit.Decision) admit.Decision {
	t := time.NewTimer(timeout)
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
	// Requests that were queued behind a large one may fit now.
	g.deliver(g.ctl.Dispatch(g.cfg.Now()))
	return d
}

// deliver sends decisions to the queued requests.
func (g *Gate) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if wait, ok := g.waiters[d.ID]; ok {
			delete(g.waiters, d.ID)
			wait <- d
		}
	}
}

// leave ends an admitted request and admits queued ones in its place.
func (g *Gate) leave(id uint64, request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.admissionIDs, request)
	g.deliver(g.ctl.Finish(g.cfg.Now(), id))
}

// Started records the server that a request is sent to, so that its tokens are counted at that server.
func (g *Gate) Started(name string, w relay.RequestInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id, ok := g.admissionIDs[w.RequestID]; ok {
		g.ctl.Pool(w.Model).SetServer(g.cfg.Now(), id, name)
	}
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters)
}

// SetNodes sets the number of live nodes including this one. Each node gets an equal part of the capacity.
func (g *Gate) SetNodes(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n = max(1, n); n == g.nodes {
		return
	}
	g.nodes = n
	g.limitsUpdated = time.Time{}
	g.ctl.SetNodes(g.cfg.Now(), n)
}

// Observe applies a load digest that has just arrived. Digests of unknown servers are ignored.
func (g *Gate) Observe(d frame.LoadDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(g.cfg.View())
	s, ok := g.servers[d.Server]
	if !ok {
		return
	}
	now := g.cfg.Now()
	old := s.requestCapacity(now, g.cfg.MaxReportAge)
	s.digest, s.digestMadeAt = d, now.Add(-time.Duration(d.AgeMs)*time.Millisecond)
	if s.requestCapacity(now, g.cfg.MaxReportAge) != old {
		g.limitsUpdated = time.Time{}
	}
	tokenCapacity := s.Capacity.WarmTokens
	if d.Cap > 0 {
		tokenCapacity = d.Cap
	}
	if pool := g.ctl.Pool(s.Model); d.Open {
		pool.ApplyReport(d.Server, d.Held, tokenCapacity, s.digestMadeAt)
	} else {
		pool.RemoveServer(d.Server) // requests can't be sent to it, so its free memory doesn't count
	}
	g.updateLimits(now)
	if len(g.waiters) > 0 {
		g.deliver(g.ctl.Dispatch(now))
	}
}

// sync applies the accounts, limits and servers of the configuration v if it is newer than the last one.
func (g *Gate) sync(v *view.View) {
	if g.synced && v.Version <= g.version {
		return
	}
	g.version, g.synced = v.Version, true
	doc, now := v.Document(), g.cfg.Now()
	g.ctl.SetQueueLimit(v.Limits.QueueRequests)
	accounts := make([]admit.Account, len(doc.Accounts))
	for i, a := range doc.Accounts {
		accounts[i] = admit.Account{
			Name: a.Name, Share: a.Share, Requests: a.RequestsPerSecond, Tokens: a.TokensPerSecond,
		}
	}
	g.ctl.SetAccounts(now, accounts)
	g.limitsUpdated = time.Time{}
	names, models := sets.New[string](), sets.New[string]()
	for _, m := range doc.Models {
		models.Add(m.Name)
		for _, s := range v.Servers(m.Name) {
			names.Add(s.Name)
			if old, ok := g.servers[s.Name]; ok {
				old.Server = s
			} else {
				g.servers[s.Name] = &serverState{Server: s}
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

// removeServers removes all servers except those in keep.
func (g *Gate) removeServers(keep sets.Set[string]) {
	for name, s := range g.servers {
		if !keep.Has(name) {
			g.ctl.Pool(s.Model).RemoveServer(name)
			delete(g.servers, name)
		}
	}
}

// updateLimits sets the limits of each model to this node's part of the capacity of the model's servers.
func (g *Gate) updateLimits(now time.Time) {
	if now.Sub(g.limitsUpdated) < limitsInterval {
		return
	}
	g.limitsUpdated = now
	requests, tokens := make(map[string]float64), make(map[string]int)
	for _, s := range g.servers {
		requests[s.Model] += float64(s.requestCapacity(now, g.cfg.MaxReportAge))
		tokens[s.Model] += s.Capacity.WarmTokens
	}
	for model, n := range requests {
		// Even when all servers are closed, one request at a time is admitted; the picker rejects it.
		g.ctl.Pool(model).SetLimits(max(1, n/float64(g.nodes)), tokens[model]/g.nodes)
	}
}

// requestCapacity returns the number of requests that may run on the server at a time.
func (s *serverState) requestCapacity(now time.Time, maxAge time.Duration) int {
	switch {
	case s.digestMadeAt.IsZero():
		return s.Capacity.ColdRequests
	case !s.digest.Open || now.Sub(s.digestMadeAt) > maxAge:
		return 0
	case s.digest.State != string(engine.Warm):
		return s.Capacity.ColdRequests
	}
	return s.Capacity.WarmRequests
}
