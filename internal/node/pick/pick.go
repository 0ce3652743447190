// Package pick chooses backend servers for the relay. It keeps what the deciders of route/choose and
// route/prefix need: the newest load digest of each server, the node's own sends and the prefix index.
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

// retryAfter is when a caller may come back for whom no server can be chosen: load digests arrive once
// a second.
const retryAfter = time.Second

// Config shapes a picker.
type Config struct {
	// DataCentre is where the node is.
	DataCentre string
	// View returns the configuration in force.
	View func() *view.View
	Now  func() time.Time
	// Seed makes the random choices of a node differ from those of the others.
	Seed uint64
	// Choose holds the assumptions of the estimate.
	Choose choose.Config
	// Chooser decides; nil takes the shortest expected time to first token.
	Chooser choose.Chooser
	// PrefixEntries bounds the prefix index.
	PrefixEntries int
	// Started, if set, is told of each choice that is used; admission counts tokens with it.
	Started func(server string, w relay.Work)
}

// Picker implements relay.Picker. It is safe for concurrent use. Its memory is bounded by the servers
// of the configuration, the entries of the index and the requests in flight.
type Picker struct {
	cfg Config

	mu      sync.Mutex
	version uint64
	synced  bool
	table   *choose.Table
	chooser choose.Chooser
	index   *prefix.Index
	servers []view.Server // by index of the table
	sent    map[sendKey]sentRequest
	// picked holds the choice of each request that has not been started, and reserved their ends in
	// order of time. They are bounded by the requests of reserveTime.
	picked   map[string]sentRequest
	reserved []reservation
	hits     []prefix.Hit
	found    []choose.Hit
	tried    []int
}

var _ relay.Picker = (*Picker)(nil)

// sendKey identifies a send: a request is sent to a server at most once.
type sendKey struct {
	request, server string
}

// sentRequest is a request in flight, or one that has been picked and may be sent.
type sentRequest struct {
	server int
	name   string
	id     uint64
	hit    prefix.Hit
}

// reserveTime is how long a choice counts as a send before it is started: a grant is valid for 2 s.
const reserveTime = 2 * time.Second

// reservation is when a choice ends that has not been started.
type reservation struct {
	request string
	id      uint64
	till    time.Time
}

// New returns a picker that knows no load: it chooses a server after the first digest of it.
func New(cfg Config) (*Picker, error) {
	index, err := prefix.NewIndex(cfg.PrefixEntries)
	if err != nil {
		return nil, errors.Newf("make picker: %w", err)
	}
	if cfg.Chooser == nil {
		rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Now().UnixNano())))
		cfg.Chooser = choose.NewShortest(rnd, choose.DefaultWindow())
	}
	return &Picker{
		cfg: cfg, table: choose.NewTable(cfg.Choose, cfg.Now()), index: index, chooser: cfg.Chooser,
		sent: make(map[sendKey]sentRequest), picked: make(map[string]sentRequest),
	}, nil
}

// Pick implements relay.Picker. It reads the newest configuration that the picker has seen, which may
// be newer than v.
func (p *Picker) Pick(v *view.View, w relay.Work) (view.Server, *fault.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(v)
	now := p.cfg.Now()
	p.expire(now)
	p.drop(w.RequestID)
	r := p.request(w)
	if id, ok := p.chooser.Choose(p.table, now, r); ok {
		p.reserve(id, now, w.RequestID, r)
		return p.servers[id], nil
	}
	err := fault.New(fault.NoBackend, fault.NotRun, "no backend server can take the request")
	if p.table.Full(now, r) {
		err = fault.New(fault.Overloaded, fault.NotRun, "all backend servers are full")
	}
	return view.Server{}, err.WithRetryAfter(retryAfter)
}

// reserve counts a choice as a send, so that requests which are picked before this one is started do
// not all follow it to the same server.
func (p *Picker) reserve(id int, now time.Time, request string, r choose.Request) {
	s := p.send(id, now, r)
	p.picked[request] = s
	p.reserved = append(p.reserved, reservation{request, s.id, now.Add(reserveTime)})
}

func (p *Picker) send(id int, now time.Time, r choose.Request) sentRequest {
	s := sentRequest{server: id, name: p.table.Name(id), id: p.table.Send(id, now, r)}
	for _, h := range p.hits {
		if h.Server == id {
			s.hit = h
		}
	}
	return s
}

// drop gives up the choice of a request that has not been started.
func (p *Picker) drop(request string) {
	if s, ok := p.picked[request]; ok {
		delete(p.picked, request)
		if p.same(s) {
			p.table.Cancel(s.server, s.id)
		}
	}
}

// expire gives up the choices that were not started in time.
func (p *Picker) expire(now time.Time) {
	n := 0
	for n < len(p.reserved) && p.reserved[n].till.Before(now) {
		if r := p.reserved[n]; p.picked[r.request].id == r.id {
			p.drop(r.request)
		}
		n++
	}
	p.reserved = p.reserved[n:]
}

// same reports whether the index of a send's server is still that server's: one that was removed may
// have left it to another.
func (p *Picker) same(s sentRequest) bool {
	id, ok := p.table.Index(s.name)
	return ok && id == s.server
}

// request returns the decider's form of w. It is valid until the next call.
func (p *Picker) request(w relay.Work) choose.Request {
	p.hits = p.index.Lookup(p.hits[:0], w.Prefix)
	p.found = p.found[:0]
	for _, h := range p.hits {
		p.found = append(p.found, choose.Hit{Server: h.Server, Tokens: h.Tokens})
	}
	p.tried = p.tried[:0]
	for name := range w.Tried {
		if id, ok := p.table.Index(name); ok {
			p.tried = append(p.tried, id)
		}
	}
	return choose.Request{
		Model: w.Model, Version: w.Version, Adapter: w.Adapter, Priority: w.Priority,
		PromptTokens: w.PromptTokens, AnswerTokens: w.MaxTokens, Hits: p.found, Tried: p.tried,
	}
}

// Started implements relay.Picker.
func (p *Picker) Started(server string, w relay.Work) {
	p.noteStart(server, w)
	if p.cfg.Started != nil {
		p.cfg.Started(server, w)
	}
}

func (p *Picker) noteStart(server string, w relay.Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, ok := p.table.Index(server)
	if !ok {
		return
	}
	s, ok := p.picked[w.RequestID]
	if ok && s.server == id {
		delete(p.picked, w.RequestID)
	} else {
		p.drop(w.RequestID)
		s = p.send(id, p.cfg.Now(), p.request(w))
	}
	p.sent[sendKey{w.RequestID, server}] = s
	// The server counts as having the prompt from now on, so that requests which share it and arrive
	// together are not spread before the first of them has ended.
	p.index.Sent(id, w.Prefix)
}

// Ended implements relay.Picker.
func (p *Picker) Ended(server string, w relay.Work, r relay.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, now := sendKey{w.RequestID, server}, p.cfg.Now()
	s, ok := p.sent[key]
	delete(p.sent, key)
	if !ok || !p.same(s) {
		return
	}
	if r.Failed && r.Instance == "" {
		p.table.Cancel(s.server, s.id)
		return
	}
	p.table.Done(s.server, s.id, now, r.FirstToken)
	p.table.Answer(s.server, now, r.Instance, r.State == engine.Cold)
	p.index.Instance(s.server, r.Instance)
	if !r.Failed && r.PromptTokens > 0 {
		p.index.Correct(s.server, w.Prefix, s.hit, r.PromptTokens, r.CachedTokens)
	}
}

// Observe takes a load digest that has just arrived. Digests of unknown servers are dropped.
func (p *Picker) Observe(d frame.LoadDigest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(p.cfg.View())
	id, ok := p.table.Index(d.Server)
	if !ok {
		return
	}
	if p.table.Observe(id, choose.Report{
		Instance: d.Inst, Open: d.Open, Cold: d.State != string(engine.Warm), Running: d.Run, Waiting: d.Wait,
		Held: d.Held, Capacity: d.Cap, MadeAt: p.cfg.Now().Add(-time.Duration(d.AgeMs) * time.Millisecond),
	}) {
		p.index.Instance(id, d.Inst)
	}
}

// Events takes cache events of an instance of a server.
func (p *Picker) Events(server, instance string, events []engine.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, ok := p.table.Index(server)
	if !ok {
		return
	}
	p.index.Instance(id, instance)
	list := make([]prefix.Event, len(events))
	for i, e := range events {
		list[i] = prefix.Event{Seq: e.Seq, Hash: e.Hash, Stored: e.Stored}
	}
	p.index.Apply(id, list)
}

// sync takes the servers of a configuration that is newer than the last one.
func (p *Picker) sync(v *view.View) {
	if p.synced && v.Version <= p.version {
		return
	}
	p.version, p.synced = v.Version, true
	names := sets.New[string]()
	for _, m := range v.Document().Models {
		for _, s := range v.Servers(m.Name) {
			names.Add(s.Name)
			p.put(v, s)
		}
	}
	for _, name := range p.table.Names() {
		if !names.Has(name) {
			id, _ := p.table.Index(name)
			p.table.Remove(name)
			p.index.Forget(id)
		}
	}
}

func (p *Picker) put(v *view.View, s view.Server) {
	id := p.table.Put(choose.Spec{
		Name: s.Name, Model: s.Model, Version: s.Version, Adapters: s.Adapters,
		Distance:     v.Distance(p.cfg.DataCentre, s.DataCentre),
		ColdRequests: s.Capacity.ColdRequests, WarmRequests: s.Capacity.WarmRequests, WarmTokens: s.Capacity.WarmTokens,
	})
	for len(p.servers) <= id {
		p.servers = append(p.servers, view.Server{})
	}
	p.servers[id] = s
}
