// Package seat gives calls places at backend servers. It keeps what the deciders of route/choose and
// route/stall need: the servers of the registry, the load that their answers tell, and the node's own
// requests.
package seat

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/batch"
	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/stall"
	"github.com/hashicorp/go-hclog"
)

// Config is what seats are made of.
type Config struct {
	View func() *index.View
	// Service returns a service of the configuration in force, or nil.
	Service func(name string) *match.Service
	// ColdAllowance returns how many requests a second this node may send to a cold server that bears
	// rate requests a second.
	ColdAllowance func(server string, rate float64) int
	// Nodes returns how many nodes send to the same servers.
	Nodes func() int
	// Stalled is told of the formation of a head that makes no progress. It must not block.
	Stalled func(f index.Formation)
	Now     func() time.Time
	Seed    uint64
	Metrics *metric.Set
	Log     hclog.Logger
}

// Seats implements pass.Seats. It is safe for concurrent use.
type Seats struct {
	cfg Config

	mu      sync.Mutex
	table   *choose.Table
	chooser choose.Chooser
	watch   *stall.Watch
	view    *index.View
	servers map[string]*server
	// departed are servers that the registry has no more, while they run requests of this node.
	departed map[*server]time.Time
	notices  notices
	// usual is the load of the servers that offer the same, as they have told of late.
	usual  map[string]*mean
	barred []int
}

var _ pass.Picker = (*Seats)(nil)

// maxReportAge is the age of a load report past which a server is not chosen. Servers tell their load with
// each answer, so one that gets no requests has an old report, which says that it is free.
const maxReportAge = time.Hour

// maxPeerSends is the most sends of other nodes that are assumed for each own one. In a small fleet all nodes know the same
// loads and choose alike. In a large one each node knows the load of a server from its own few requests, at other times
// than the rest, and a server is not full because this node has just sent to it.
const maxPeerSends = 5

// firstStep is the weight of each first token in what is learned of a model: some dozens of them count.
const firstStep = 0.03

// Waits of calls without a place.
const (
	// retryNoServer is when a caller may come back for whom no backend server is open: a group that has
	// lost a member is open again after about two seconds.
	retryNoServer = 1500 * time.Millisecond
	// minRetry and maxRetry bound when a caller may come back for whom all backend servers are busy.
	minRetry = 300 * time.Millisecond
	maxRetry = 2 * time.Second
	// waitStep is the time between looks for a place.
	waitStep = 20 * time.Millisecond
	// waitShare is the part of the objective that a call may wait for a place.
	waitShare = 0.5
)

// New returns seats without servers.
func New(cfg Config) *Seats {
	shape := choose.DefaultConfig()
	shape.MaxReportAge = maxReportAge
	shape.FirstStep = firstStep
	rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Now().UnixNano())))
	return &Seats{
		cfg: cfg, table: choose.NewTable(shape, cfg.Now()),
		chooser: choose.NewShortest(rnd, choose.DefaultWindow()),
		watch:   stall.New(stall.DefaultConfig()),
		servers: make(map[string]*server), departed: make(map[*server]time.Time), notices: make(notices),
		usual: make(map[string]*mean),
	}
}

// Run looks for servers that make no progress until ctx ends.
func (s *Seats) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("check", func(ctx context.Context) error {
		return tasks.Every(ctx, checkInterval, func(context.Context) { s.check() })
	})
	g.Go("settle", func(ctx context.Context) error {
		return tasks.Every(ctx, choose.SettleInterval, func(context.Context) { s.settle() })
	})
	return g.Wait()
}

// Pick implements pass.Seats.
func (s *Seats) Pick(ctx context.Context, c *pass.Call, tried sets.Set[string], cancel context.CancelCauseFunc) (pass.Reservation, *fault.Error) {
	until := s.cfg.Now().Add(time.Duration(waitShare * float64(c.Route.Objective)))
	for {
		t, free, refusal := s.try(c, tried, cancel)
		if t != nil {
			return t, nil
		}
		if free.IsZero() || free.After(until) || !s.cfg.Now().Before(until) || !tasks.Sleep(ctx, waitStep) {
			return nil, refusal
		}
	}
}

// try gives a place if there is one. If not, it returns when there may be one, zero if that is not known, and how to
// refuse.
func (s *Seats) try(c *pass.Call, tried sets.Set[string], cancel context.CancelCauseFunc) (*seat, time.Time, *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.sync(now)
	free := s.bar(now, c, tried)
	r := choose.Request{
		Model: offer(c), PromptTokens: c.Prompt, AnswerTokens: c.MaxAnswer, Tried: s.barred,
	}
	id, ok := s.chooser.Choose(s.table, now, r)
	if !ok {
		after := retryNoServer
		if !free.IsZero() {
			after = min(max(free.Sub(now), minRetry), maxRetry)
		}
		return nil, free, fault.New(fault.NoBackend, fault.NotRun, "no backend server is open for the request").WithRetryAfter(after)
	}
	est, _ := s.table.Estimate(id, now, r)
	if refusal := busy(now, c, est, len(tried) > 0); refusal != nil {
		s.table.Refused(r.Model)
		return nil, time.Time{}, refusal
	}
	sv := s.servers[s.table.Name(id)]
	sv.sends.Add(now)
	s.watch.Trial(now, sv.entry.ID)
	t := &seat{facts: sv.facts(now, est), s: s, server: sv, entry: sv.entry, sent: s.table.Send(id, now, r), at: now, prompt: c.Prompt, wait: est, cancel: cancel, repeatable: c.Route.Repeatable()}
	sv.seats[t] = struct{}{}
	return t, time.Time{}, nil
}

// busy returns the refusal of a call whose answer the best server would begin too late, or nil. A call that is
// past its objective is still worth serving if it has been here before or has failed elsewhere, but not if its
// time is up before the answer begins.
func busy(now time.Time, c *pass.Call, estimate time.Duration, again bool) *fault.Error {
	if c.Route.Kind != match.Stream {
		return nil
	}
	refuse := func(why string, late time.Duration) *fault.Error {
		return fault.New(fault.Overloaded, fault.NotRun, why).WithRetryAfter(min(max(late, minRetry), maxRetry))
	}
	begins := now.Add(estimate)
	if late := begins.Sub(c.Deadline); late > 0 {
		return refuse("no backend server can answer in the time left", late)
	}
	if late := begins.Sub(c.Arrived.Add(c.Route.Objective)); late > 0 && !again && !c.IsCallerRetry() {
		return refuse("all backend servers are busy", late)
	}
	return nil
}

// bar collects the servers that must not be chosen now, and returns when the first of them may be, zero if that is not
// known.
func (s *Seats) bar(now time.Time, c *pass.Call, tried sets.Set[string]) time.Time {
	s.barred = s.barred[:0]
	for name := range tried {
		if id, ok := s.table.Index(name); ok {
			s.barred = append(s.barred, id)
		}
	}
	var free time.Time
	for name, sv := range s.servers {
		if tried.Has(name) || sv.entry.Service != c.Service.Name {
			continue
		}
		barred, at := s.bars(now, sv, c.Service)
		if !barred {
			continue
		}
		s.barred = append(s.barred, sv.id)
		if !at.IsZero() && (free.IsZero() || at.Before(free)) {
			free = at
		}
	}
	return free
}

// bars reports whether a server must not be chosen now, and when it may be, zero if that is not known.
func (s *Seats) bars(now time.Time, sv *server, svc *match.Service) (bool, time.Time) {
	if forbidden, until := s.notices.forbids(now, sv.entry); forbidden {
		return true, until
	}
	if s.watch.Stalled(now, sv.entry.ID) {
		return true, time.Time{}
	}
	if !sv.cold(now) {
		return false, time.Time{}
	}
	room := sv.entry.ColdUntil
	if limit := s.cfg.ColdAllowance(sv.entry.ID, svc.ColdRate); limit > 0 {
		room = sv.sends.Room(now, limit)
	}
	return room.After(now), room
}

// offer names what a call needs. The servers of a plain service are equal, whatever model a call names.
func offer(c *pass.Call) string {
	if c.Service.Engine == nil {
		return what(c.Service.Name, "")
	}
	return what(c.Service.Name, c.Model)
}

// what names what a server offers to the chooser.
func what(service, model string) string { return service + "/" + model }

// sync takes a new view of the registry.
func (s *Seats) sync(now time.Time) {
	v := s.cfg.View()
	if v == s.view {
		return
	}
	s.view = v
	s.notices.forget(now, v)
	s.table.SetPeerSends(float64(min(max(0, s.cfg.Nodes()-1), maxPeerSends)))
	present := sets.New[string]()
	for key, groups := range v.Open {
		for _, g := range groups {
			if v.Usable(g.Head) {
				s.put(now, g.Head, s.spec(key))
				present.Add(g.Head.ID)
			}
		}
	}
	for name, list := range v.Services {
		for _, e := range list {
			if e.Domain == "" && v.Usable(e) {
				s.put(now, e, choose.Spec{Model: what(name, "")})
				present.Add(e.ID)
			}
		}
	}
	for id, sv := range s.servers {
		if present.Has(id) {
			continue
		}
		s.drop(id, sv)
		if _, ok := v.Servers[id]; !ok && len(sv.seats) > 0 {
			// A server that leaves as planned may finish its answers after it has left the registry.
			s.departed[sv] = now
		}
	}
}

// spec describes the groups of a model.
func (s *Seats) spec(k index.Key) choose.Spec {
	out := choose.Spec{Model: what(k.Service, k.Model)}
	svc := s.cfg.Service(k.Service)
	if svc == nil || svc.Engine == nil || svc.Engine.ReadRate <= 0 {
		return out
	}
	e := svc.Engine
	m, ok := e.Model(k.Model)
	if !ok {
		m = batch.Model{Pace: 1}
	}
	out.PrefillPerToken = time.Duration(m.Pace / e.ReadRate * float64(time.Second))
	step := e.StepTime(e.Slots, e.Slots*(e.UsualPrompt+e.UsualAnswer/2))
	out.Hold = time.Duration(m.Pace * float64(e.UsualAnswer) * float64(step))
	return out
}

// put adds a server or takes what changed of it.
func (s *Seats) put(now time.Time, e *index.Entry, spec choose.Spec) {
	sv, ok := s.servers[e.ID]
	if ok && (!sv.entry.SameLife(e.Info) || sv.entry.Address != e.Address || sv.entry.Member.Epoch != e.Member.Epoch) {
		s.drop(e.ID, sv)
		ok = false
	}
	if !ok {
		sv = newServer(e)
		s.servers[e.ID] = sv
	}
	sv.entry = e
	spec.Name, spec.WarmRequests, spec.ColdRequests = e.ID, e.Slots, e.Slots
	sv.id = s.table.Put(spec)
	sv.offer = spec.Model
	if !ok {
		// A server that is not known yet is taken for a usual one. If it counted as idle, all nodes would send to a group
		// that has just opened, and to each server of which they have not heard.
		s.table.Observe(sv.id, choose.Report{Instance: e.ID, Open: true, Running: s.usual[spec.Model].rounded(), MadeAt: now})
	}
}

// drop forgets a server. Requests that it still runs keep their connections.
func (s *Seats) drop(id string, sv *server) {
	s.table.Remove(id)
	s.watch.Forget(id)
	sv.gone = true
	sv.conns.Close()
	delete(s.servers, id)
}

// settle lets what was learned of idle servers fade.
func (s *Seats) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Settle(s.cfg.Now())
}

// check ends the attempts at servers that make no progress, where they may be made again elsewhere.
func (s *Seats) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for name, sv := range s.servers {
		if sv.unanswered(now, s.watch.Silence(name, s.passTime(sv))) && !s.watch.Stalled(now, name) {
			s.watch.Mark(now, name)
			s.stalled(now, sv, "no_answer")
		}
	}
	s.checkDeparted(now)
	pass := func(name string) time.Duration {
		if sv, ok := s.servers[name]; ok {
			return s.passTime(sv)
		}
		return 0
	}
	for _, name := range s.watch.Check(now, pass) {
		if sv, ok := s.servers[name]; ok {
			s.stalled(now, sv, "streams_silent")
		}
	}
}

// checkDeparted ends the attempts at servers that have left the registry and make no progress any more.
func (s *Seats) checkDeparted(now time.Time) {
	for sv, since := range s.departed {
		silent := min(now.Sub(since), now.Sub(sv.progress)) >= s.watch.Silence(sv.entry.ID, s.passTime(sv))
		if len(sv.seats) > 0 && !silent {
			continue
		}
		delete(s.departed, sv)
		s.watch.Forget(sv.entry.ID)
		if len(sv.seats) > 0 {
			s.stalled(now, sv, "departed")
		}
	}
}

// passTime returns how long a pass of a server may take. The prompts that other nodes have sent are not known;
// they are taken to be like this node's own.
func (s *Seats) passTime(sv *server) time.Duration {
	svc := s.cfg.Service(sv.entry.Service)
	if svc == nil || svc.Engine == nil {
		return 0
	}
	e := svc.Engine
	pace := 1.0
	if m, ok := e.Model(sv.entry.Model); ok {
		pace = m.Pace
	}
	prompts := 0
	for t := range sv.seats {
		if t.first == 0 {
			prompts += t.prompt
		}
	}
	pass := e.PassTime(e.Slots, e.Slots*(e.UsualPrompt+e.UsualAnswer/2), prompts*s.cfg.Nodes())
	return time.Duration(pace * float64(pass))
}

// stalled withdraws the attempts at a server and tells of its group.
func (s *Seats) stalled(now time.Time, sv *server, why string) {
	s.cfg.Metrics.Stalled(why)
	s.cfg.Log.Warn("server makes no progress", "server", sv.entry.ID, "reason", why, "withdrawn", sv.withdraw(), "running", len(sv.seats),
		"silent_ms", now.Sub(sv.progress).Milliseconds())
	if m := sv.entry.Member; m.Some() {
		s.cfg.Stalled(index.Formation{Group: m.Group, Epoch: m.Epoch})
	}
}
