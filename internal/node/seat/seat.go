// Package seat gives calls places at backend servers. It keeps what the decider of route/choose needs:
// the servers of the registry, the load that their answers tell, and the node's own requests.
package seat

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/route/choose"
	"github.com/hashicorp/go-hclog"
)

// Connections to backend servers.
var serverSilence = sock.Limits{Unacknowledged: 2 * time.Second, KeepAlive: time.Second}

const (
	// dialTimeout bounds a new connection to a backend server.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection is kept where the server does not say.
	idleTimeout = 4 * time.Second
)

// retryNoServer is when a caller may come back for whom no backend server is open.
const retryNoServer = 400 * time.Millisecond

// Config is what seats are made of.
type Config struct {
	View func() *index.View
	Now  func() time.Time
	Seed uint64
	Log  hclog.Logger
}

// Seats implements pass.Seats.
type Seats struct {
	cfg Config

	mu      sync.Mutex
	table   *choose.Table
	chooser choose.Chooser
	view    *index.View
	servers map[string]*server
	tried   []int
}

var _ pass.Seats = (*Seats)(nil)

// server is what the seats keep of one backend server.
type server struct {
	entry *index.Entry
	conns *conns.Pool
	id    int
}

// New returns seats without servers.
func New(cfg Config) *Seats {
	shape := choose.DefaultConfig()
	shape.MaxReportAge = maxReportAge
	rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Now().UnixNano())))
	return &Seats{
		cfg: cfg, table: choose.NewTable(shape, cfg.Now()),
		chooser: choose.NewShortest(rnd, choose.DefaultWindow()),
		servers: make(map[string]*server),
	}
}

// maxReportAge is the age of a load report past which a server is not chosen. Servers tell their load with
// each answer, so one that gets no requests has an old report, which says that it is free.
const maxReportAge = time.Hour

// Take implements pass.Seats.
func (s *Seats) Take(_ context.Context, c *pass.Call, tried sets.Set[string], _ context.CancelCauseFunc) (pass.Seat, *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.sync(now)
	r := s.request(c, tried)
	id, ok := s.chooser.Choose(s.table, now, r)
	if !ok {
		return nil, fault.New(fault.NoBackend, fault.NotRun, "no backend server is open for the request").WithRetryAfter(retryNoServer)
	}
	sv := s.servers[s.table.Name(id)]
	return &seat{s: s, server: sv, sent: s.table.Send(id, now, r), at: now}, nil
}

// request describes a call to the chooser.
func (s *Seats) request(c *pass.Call, tried sets.Set[string]) choose.Request {
	s.tried = s.tried[:0]
	for name := range tried {
		if id, ok := s.table.Index(name); ok {
			s.tried = append(s.tried, id)
		}
	}
	return choose.Request{
		Model: c.Service.Name + "/" + c.Model, PromptTokens: c.Prompt, AnswerTokens: c.MaxAnswer, Tried: s.tried,
	}
}

// sync takes a new view of the registry.
func (s *Seats) sync(now time.Time) {
	v := s.cfg.View()
	if v == s.view {
		return
	}
	s.view = v
	present := sets.New[string]()
	for key, groups := range v.Open {
		for _, g := range groups {
			if v.Usable(g.Head) {
				s.put(now, g.Head, key.Service+"/"+key.Model)
				present.Add(g.Head.ID)
			}
		}
	}
	for name, list := range v.Services {
		for _, e := range list {
			if e.Domain == "" && v.Usable(e) {
				s.put(now, e, name+"/")
				present.Add(e.ID)
			}
		}
	}
	for id, sv := range s.servers {
		if !present.Has(id) {
			s.table.Remove(id)
			sv.conns.Close()
			delete(s.servers, id)
		}
	}
}

// put adds a server or takes what changed of it.
func (s *Seats) put(now time.Time, e *index.Entry, what string) {
	sv, ok := s.servers[e.ID]
	if ok && (!sv.entry.SameLife(e.Info) || sv.entry.Address != e.Address) {
		s.table.Remove(e.ID)
		sv.conns.Close()
		ok = false
	}
	if !ok {
		sv = &server{conns: conns.New(e.Address, conns.Options{
			DialTimeout: dialTimeout, IdleTimeout: idleTimeout, Limits: serverSilence,
		})}
		s.servers[e.ID] = sv
	}
	sv.entry = e
	sv.id = s.table.Put(choose.Spec{Name: e.ID, Model: what, WarmRequests: e.Slots, ColdRequests: e.Slots})
	if !ok {
		s.table.Observe(sv.id, choose.Report{Instance: e.ID, Open: true, MadeAt: now})
	}
}

// seat implements pass.Seat.
type seat struct {
	s      *Seats
	server *server
	sent   uint64
	at     time.Time
	first  time.Duration
}

// Entry implements pass.Seat.
func (t *seat) Entry() *index.Entry { return t.server.entry }

// Conns implements pass.Seat.
func (t *seat) Conns() *conns.Pool { return t.server.conns }

// Progress implements pass.Seat.
func (t *seat) Progress() {
	if t.first == 0 {
		t.first = t.s.cfg.Now().Sub(t.at)
	}
}

// Answered implements pass.Seat.
func (t *seat) Answered(a pass.Answer) {
	if !a.HasLoad {
		return
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.table.Observe(t.server.id, choose.Report{
		Instance: t.server.entry.ID, Open: true, Running: a.Load.Running, Waiting: a.Load.Waiting, MadeAt: t.s.cfg.Now(),
	})
}

// Leave implements pass.Seat.
func (t *seat) Leave(o pass.Outcome) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if o != pass.Served {
		t.first = 0
	}
	t.s.table.Done(t.server.id, t.sent, t.s.cfg.Now(), t.first)
}
