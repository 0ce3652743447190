// Package pick picks backend servers for the relay. It maintains the state that route/choose and route/prefix
// decide from: the latest load digest of each server, the requests that this node has sent, and the prefix
// index.
package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/prefix"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
)

// retryAfter is the retry delay that is suggested to a caller when no server can be picked. Load digests
// arrive once a second.
const retryAfter = time.Second

// Config configures a picker.
type Config struct {
	// DataCentre is the data centre of the node.
	DataCentre string
	// View returns the active configuration.
	View func() *view.View
	Now  func() time.Time
	// Seed seeds the random choices, so that nodes choose differently.
	Seed uint64
	// Choose holds the parameters of the estimated time to first token.
	Choose choose.Config
	// Chooser makes the choice; nil chooses the shortest expected time to first token.
	Chooser choose.Chooser
	// PrefixEntries limits the entries of the prefix index.
	PrefixEntries int
	// OnStarted, if not nil, is called for each request that is sent to a picked server. Admission uses it to
	// count tokens per server.
	OnStarted func(server string, w relay.RequestInfo)
}

// Picker implements relay.Picker. It is safe for concurrent use. Its memory is bounded by the configured
// servers, the entries of the prefix index and the requests in flight.
type Picker struct {
	cfg Config

	mu       sync.Mutex
	version  uint64
	synced   bool
	table    *choose.Table
	chooser  choose.Chooser
	index    *prefix.Index
	servers  []view.Server // by index in table
	inFlight map[sendKey]countedRequest
	// pendingPicks holds the pick of each request that has not been started, and pickExpiries their expiry
	// times in ascending order. Both are bounded by the number of requests that arrive in pickTimeout.
	pendingPicks map[string]countedRequest
	pickExpiries []pickExpiry
	hits         []prefix.Hit
	chooseHits   []choose.Hit
	triedServers []int
}

var _ relay.Picker = (*Picker)(nil)

// sendKey identifies a request at a server; a request is sent to a server at most once.
type sendKey struct {
	request, server string
}

// countedRequest is a request that is in flight or has a pending pick. Picker.table counts it as load of its
// server.
type countedRequest struct {
	server int
	name   string
	sendID uint64
	hit    prefix.Hit
}

// pickTimeout is how long a pick counts as load before the request is started. A grant is valid for 2 s.
const pickTimeout = 2 * time.Second

// pickExpiry is the time at which a pending pick expires.
type pickExpiry struct {
	request   string
	sendID    uint64
	expiresAt time.Time
}

// New returns a picker without load data. It picks a server only after the first digest of that server.
func New(cfg Config) (*Picker, error) {
	index, err := prefix.NewIndex(cfg.PrefixEntries)
	if err != nil {
		return nil, errors.Newf("make picker: %w", err)
	}
	if cfg.Chooser == nil {
		rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Now().UnixNano())))
		cfg.Chooser = choose.NewLowestEstimate(rnd, choose.DefaultWindow())
	}
	return &Picker{
		cfg: cfg, table: choose.NewTable(cfg.Choose, cfg.Now()), index: index, chooser: cfg.Chooser,
		inFlight: make(map[sendKey]countedRequest), pendingPicks: make(map[string]countedRequest),
	}, nil
}

// Pick implements relay.Picker. It uses the newest configuration that the picker has seen, which may be newer
// than v.
func (p *Picker) Pick(v *view.View, w relay.RequestInfo) (view.Server, *fault.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(v)
	now := p.cfg.Now()
	p.expirePicks(now)
	p.cancelPick(w.RequestID)
	r := p.chooseRequest(w)
	if id, ok := p.chooser.Choose(p.table, now, r); ok {
		p.countPick(id, now, w.RequestID, r)
		return p.servers[id], nil
	}
	err := fault.New(fault.NoBackend, fault.NotRun, "no backend server can take the request")
	if p.table.HasServerIgnoringTokens(now, r) {
		err = fault.New(fault.Overloaded, fault.NotRun, "all backend servers are full")
	}
	return view.Server{}, err.WithRetryAfter(retryAfter)
}

// countPick counts a pick as load. Otherwise all requests that are picked before this one is started would
// go to the same server.
func (p *Picker) countPick(id int, now time.Time, request string, r choose.Request) {
	s := p.countSend(id, now, r)
	p.pendingPicks[request] = s
	p.pickExpiries = append(p.pickExpiries, pickExpiry{request, s.sendID, now.Add(pickTimeout)})
}

// countSend counts a request as load of the server with index id. p.hits must be those of the request.
func (p *Picker) countSend(id int, now time.Time, r choose.Request) countedRequest {
	s := countedRequest{server: id, name: p.table.Name(id), sendID: p.table.RecordSend(id, now, r)}
	for _, h := range p.hits {
		if h.Server == id {
			s.hit = h
		}
	}
	return s
}

// cancelPick cancels the pending pick of a request, if any.
func (p *Picker) cancelPick(request string) {
	if s, ok := p.pendingPicks[request]; ok {
		delete(p.pendingPicks, request)
		if p.indexValid(s) {
			p.table.Cancel(s.server, s.sendID)
		}
	}
}

// expirePicks cancels the pending picks that have expired.
func (p *Picker) expirePicks(now time.Time) {
	n := 0
	for n < len(p.pickExpiries) && p.pickExpiries[n].expiresAt.Before(now) {
		if r := p.pickExpiries[n]; p.pendingPicks[r.request].sendID == r.sendID {
			p.cancelPick(r.request)
		}
		n++
	}
	p.pickExpiries = p.pickExpiries[n:]
}

// indexValid reports whether s.server is still the index of the server s.name. After a server has been
// removed, its index may be reused for another one.
func (p *Picker) indexValid(s countedRequest) bool {
	id, ok := p.table.Index(s.name)
	return ok && id == s.server
}

// chooseRequest converts w for the chooser. The result is valid until the next call.
func (p *Picker) chooseRequest(w relay.RequestInfo) choose.Request {
	p.hits = p.index.Lookup(p.hits[:0], w.Prefix)
	p.chooseHits = p.chooseHits[:0]
	for _, h := range p.hits {
		p.chooseHits = append(p.chooseHits, choose.Hit{Server: h.Server, Tokens: h.Tokens})
	}
	p.triedServers = p.triedServers[:0]
	for name := range w.Tried {
		if id, ok := p.table.Index(name); ok {
			p.triedServers = append(p.triedServers, id)
		}
	}
	return choose.Request{
		Model: w.Model, Version: w.Version, Adapter: w.Adapter, Priority: w.Priority,
		PromptTokens: w.PromptTokens, AnswerTokens: w.MaxTokens, Hits: p.chooseHits, Tried: p.triedServers,
	}
}

// Started implements relay.Picker.
func (p *Picker) Started(server string, w relay.RequestInfo) {
	p.countStart(server, w)
	if p.cfg.OnStarted != nil {
		p.cfg.OnStarted(server, w)
	}
}

func (p *Picker) countStart(server string, w relay.RequestInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, ok := p.table.Index(server)
	if !ok {
		return
	}
	s, ok := p.pendingPicks[w.RequestID]
	if ok && s.server == id {
		delete(p.pendingPicks, w.RequestID)
	} else {
		p.cancelPick(w.RequestID)
		s = p.countSend(id, p.cfg.Now(), p.chooseRequest(w))
	}
	p.inFlight[sendKey{w.RequestID, server}] = s
	// Assume that the server caches the prompt from now on. Otherwise concurrent requests with the same
	// prefix would be spread over several servers until the first of them has ended.
	p.index.RecordSent(id, w.Prefix)
}

// Ended implements relay.Picker.
func (p *Picker) Ended(server string, w relay.RequestInfo, r relay.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, now := sendKey{w.RequestID, server}, p.cfg.Now()
	s, ok := p.inFlight[key]
	delete(p.inFlight, key)
	if !ok || !p.indexValid(s) {
		return
	}
	if r.Failed && r.Instance == "" {
		p.table.Cancel(s.server, s.sendID)
		return
	}
	p.table.RecordEnd(s.server, s.sendID, now, r.FirstToken)
	p.table.ApplyResponse(s.server, now, r.Instance, r.State == engine.Cold)
	p.index.SetInstance(s.server, r.Instance)
	if !r.Failed && r.PromptTokens > 0 {
		p.index.RecordResult(s.server, w.Prefix, s.hit, r.PromptTokens, r.CachedTokens)
	}
}

// Observe applies a load digest that has just arrived. Digests of unknown servers are ignored.
func (p *Picker) Observe(d frame.LoadDigest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(p.cfg.View())
	id, ok := p.table.Index(d.Server)
	if !ok {
		return
	}
	if p.table.ApplyReport(id, choose.Report{
		Instance: d.Inst, Open: d.Open, Cold: d.State != string(engine.Warm), Running: d.Run, Waiting: d.Wait,
		HeldTokens: d.Held, CapacityTokens: d.Cap, CreatedAt: p.cfg.Now().Add(-time.Duration(d.AgeMs) * time.Millisecond),
	}) {
		p.index.SetInstance(id, d.Inst)
	}
}

// Events applies cache events of an instance of a server to the prefix index.
func (p *Picker) Events(server, instance string, events []engine.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, ok := p.table.Index(server)
	if !ok {
		return
	}
	p.index.SetInstance(id, instance)
	list := make([]prefix.Event, len(events))
	for i, e := range events {
		list[i] = prefix.Event{Seq: e.Seq, Hash: e.Hash, Stored: e.Stored}
	}
	p.index.Apply(id, list)
}

// sync updates the servers to the configuration v if it is newer than the last one.
func (p *Picker) sync(v *view.View) {
	if p.synced && v.Version <= p.version {
		return
	}
	p.version, p.synced = v.Version, true
	names := sets.New[string]()
	for _, m := range v.Document().Models {
		for _, s := range v.Servers(m.Name) {
			names.Add(s.Name)
			p.putServer(v, s)
		}
	}
	for _, name := range p.table.Names() {
		if !names.Has(name) {
			id, _ := p.table.Index(name)
			p.table.Remove(name)
			p.index.RemoveServer(id)
		}
	}
}

func (p *Picker) putServer(v *view.View, s view.Server) {
	id := p.table.Put(choose.Spec{
		Name: s.Name, Model: s.Model, Version: s.Version, Adapters: s.Adapters,
		OneWayDelay:  v.Distance(p.cfg.DataCentre, s.DataCentre),
		ColdRequests: s.Capacity.ColdRequests, WarmRequests: s.Capacity.WarmRequests, WarmTokens: s.Capacity.WarmTokens,
	})
	for len(p.servers) <= id {
		p.servers = append(p.servers, view.Server{})
	}
	p.servers[id] = s
}
