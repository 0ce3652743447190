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
	hits    []prefix.Hit
	found   []choose.Hit
	tried   []int
}

var _ relay.Picker = (*Picker)(nil)

// sendKey identifies a send: a request is sent to a server at most once.
type sendKey struct {
	request, server string
}

// sentRequest is a request in flight.
type sentRequest struct {
	server int
	id     uint64
	hit    prefix.Hit
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
		sent: make(map[sendKey]sentRequest),
	}, nil
}

// Pick implements relay.Picker. It reads the newest configuration that the picker has seen, which may
// be newer than v.
func (p *Picker) Pick(v *view.View, w relay.Work) (view.Server, *fault.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(v)
	now, r := p.cfg.Now(), p.request(w)
	if id, ok := p.chooser.Choose(p.table, now, r); ok {
		return p.servers[id], nil
	}
	err := fault.New(fault.NoBackend, fault.NotRun, "no backend server can take the request")
	if p.table.Full(now, r) {
		err = fault.New(fault.Overloaded, fault.NotRun, "all backend servers are full")
	}
	return view.Server{}, err.WithRetryAfter(retryAfter)
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
	s := sentRequest{server: id, id: p.table.Send(id, p.cfg.Now(), p.request(w))}
	for _, h := range p.hits {
		if h.Server == id {
			s.hit = h
		}
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
	key := sendKey{w.RequestID, server}
	s, ok := p.sent[key]
	delete(p.sent, key)
	// A server that was removed in between may have left its index to another.
	if id, known := p.table.Index(server); !ok || !known || id != s.server {
		return
	}
	now := p.cfg.Now()
	p.table.Answer(s.server, now, r.Instance, r.State == engine.Cold)
	p.index.Instance(s.server, r.Instance)
	p.table.Done(s.server, s.id, now, r.FirstToken)
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
