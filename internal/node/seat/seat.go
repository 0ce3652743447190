// Package seat picks backend servers for calls. It maintains the state that route/choose and route/stall
// need: the servers of the registry, the load that they report in their responses, and the requests of this
// node.
package seat

import (
	"context"
	"math/rand/v2"
	"slices"
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
	"geraniumhollow/internal/route/pace"
	"geraniumhollow/internal/route/stall"
	"github.com/hashicorp/go-hclog"
)

// Config holds the settings and dependencies of a Picker.
type Config struct {
	View func() *index.View
	// Service returns a service of the current configuration, or nil.
	Service func(name string) *match.Service
	// ColdAllowance returns how many requests per second this node may send to a cold server that can
	// handle rate requests per second.
	ColdAllowance func(server string, rate float64) int
	// Rates are the rates that servers name for all nodes together; nil if this node is the only one.
	Rates *pace.Book
	// Nodes returns the number of nodes that send to the same servers, including this one.
	Nodes func() int
	// OnStalled is called with the formation of a group whose head is stalled. It must not block.
	OnStalled func(f index.Formation)
	Now       func() time.Time
	Seed      uint64
	// Links tells whether what this node sees of a server is evidence about it; nil if it always is.
	Links Links
	// Source is the local IP address of connections to servers, or "" for any.
	Source  string
	Metrics *metric.Set
	Log     hclog.Logger
}

// Links observes the links of this node to servers.
type Links interface {
	// Heard records that bytes of a server arrived.
	Heard(server string)
	// Exchanged records the result of an exchange with a server. fresh is set if it was the first one of its connection.
	Exchanged(server string, fresh bool, err error)
	// Silent records that a server does not answer in time, and reports whether that is evidence about the server.
	Silent() bool
	// Isolated reports whether this node reaches no server while other nodes do.
	Isolated() bool
}

// reliableLinks are links that never fail.
type reliableLinks struct{}

func (reliableLinks) Heard(string)                  {}
func (reliableLinks) Exchanged(string, bool, error) {}
func (reliableLinks) Silent() bool                  { return true }
func (reliableLinks) Isolated() bool                { return false }

// Picker implements pass.Picker. It is safe for concurrent use.
type Picker struct {
	cfg Config

	mu      sync.Mutex
	rnd     *rand.Rand
	table   *choose.Table
	chooser choose.Chooser
	// aged chooses servers for calls that wait in a line.
	aged    *choose.Aged
	watch   *stall.Monitor
	view    *index.View
	servers map[string]*server
	// departed holds servers that get no new requests, or whose formation has ended, and still run requests of this node, with the
	// time from which their silence counts.
	departed map[*server]time.Time
	notices  notices
	// lines hold the calls that wait for servers by model key, for services whose calls have different priorities.
	lines map[string]*line
	// averageLoad is the average of the recently reported loads, by model key.
	averageLoad map[string]*movingAverage
	// lastCheck is when servers were last checked for stalls, or a check was skipped. Until skipUntil, checks are skipped
	// because they were late, since lateSince.
	lastCheck time.Time
	lateSince time.Time
	skipUntil time.Time
	// excluded is a buffer for the table indexes of servers that must not be chosen, paced one for the servers that name a
	// rate and may be chosen now.
	excluded []int
	paced    []*server
}

var _ pass.Picker = (*Picker)(nil)

// maxReportAge is the age of a load report above which a server is not chosen. It is long because servers report
// their load only in responses: the report of an idle server is old.
const maxReportAge = time.Hour

// maxPeerSends bounds the number of requests of other nodes that are assumed for each request of this node. In a small
// fleet, all nodes know the same loads and make the same choices. In a large one, each node knows the load of a server
// only from its own few requests, at different times than the others, so a request of this node does not imply that the
// server is full.
const maxPeerSends = 5

// firstTokenSmoothing is the weight of each time to first token in the moving average of a model, which thus covers a
// few dozen requests.
const firstTokenSmoothing = 0.03

// Values of Retry-After and limits of waiting for a free server.
const (
	// retryAfterNoServer is the Retry-After if no backend server is available: a group that has lost a member is open
	// again after about two seconds.
	retryAfterNoServer = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After if all backend servers are busy.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// pollInterval is the interval of the attempts to find a server.
	pollInterval = 20 * time.Millisecond
	// maxWaitShare is the fraction of the latency objective for which a call may wait for a server.
	maxWaitShare = 0.5
	// resumeWait is how long a call whose caller has received part of the response may wait for a server. By then, a group that
	// has lost a member is open again; callers leave after a gap of two seconds or more.
	resumeWait = 2 * time.Second
)

// New returns a Picker without servers. They are read from the registry on the first Pick.
func New(cfg Config) *Picker {
	if cfg.Links == nil {
		cfg.Links = reliableLinks{}
	}
	if cfg.Rates == nil {
		cfg.Rates = pace.NewBook(func(string) pace.Position { return pace.Position{Nodes: 1} })
	}
	tableConfig := choose.DefaultConfig()
	tableConfig.MaxReportAge = maxReportAge
	tableConfig.FirstTokenLearningRate = firstTokenSmoothing
	rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Now().UnixNano())))
	return &Picker{
		cfg: cfg, table: choose.NewTable(tableConfig, cfg.Now()),
		chooser: choose.NewLowestEstimate(rnd, choose.DefaultWindow()), aged: choose.NewAged(rnd),
		watch:   stall.New(stall.DefaultConfig()),
		servers: make(map[string]*server), departed: make(map[*server]time.Time), notices: make(notices),
		averageLoad: make(map[string]*movingAverage), lines: make(map[string]*line), rnd: rnd,
	}
}

// Run checks for stalled servers and calls settle at its interval until ctx is cancelled.
func (s *Picker) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("check", func(ctx context.Context) error {
		return tasks.Every(ctx, stallCheckInterval, func(context.Context) { s.checkStalls() })
	})
	g.Go("settle", func(ctx context.Context) error {
		return tasks.Every(ctx, choose.SlowdownDecayInterval, func(context.Context) { s.settle() })
	})
	return g.Wait()
}

// Pick implements pass.Picker.
func (s *Picker) Pick(ctx context.Context, c *pass.Call, tried sets.Set[string], onSilent context.CancelCauseFunc) (pass.Reservation, *fault.Error) {
	if c.Prioritized && !c.Answering && len(tried) == 0 {
		return s.pickInLine(ctx, c, onSilent)
	}
	wait := time.Duration(maxWaitShare * float64(c.Route.Objective))
	if c.Answering {
		wait = max(wait, resumeWait)
	}
	until := s.cfg.Now().Add(wait)
	for {
		res, freeAt, refusal := s.tryPick(c, tried, onSilent)
		if res != nil {
			return res, nil
		}
		// A response that has begun can be cut, but not refused.
		hopeless := !c.Answering && (freeAt.IsZero() || freeAt.After(until))
		if hopeless || !s.cfg.Now().Before(until) || !tasks.Sleep(ctx, pollInterval) {
			return nil, refusal
		}
	}
}

// tryPick reserves a slot on a server if one is available. If not, it returns the refusal and when a server becomes
// available, zero if unknown.
func (s *Picker) tryPick(c *pass.Call, tried sets.Set[string], onSilent context.CancelCauseFunc) (*reservation, time.Time, *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.sync(now)
	cand, freeAt, refusal := s.candidate(now, c, tried)
	if refusal != nil {
		return nil, freeAt, refusal
	}
	if refusal := checkWait(now, c, cand.estimate, len(tried) > 0 || c.Delayed); refusal != nil {
		if !c.Answering { // Such a call asks again and again.
			s.table.RecordRefusal(cand.request.Model)
		}
		return nil, time.Time{}, refusal
	}
	return s.reserve(now, c, cand, onSilent), time.Time{}, nil
}

// candidate is the server that is best for a call now.
type candidate struct {
	server   *server
	request  choose.Request
	estimate time.Duration
}

// candidate returns the best server for a call. If there is none, it returns the refusal and when a server becomes available, zero
// if unknown. The caller must hold mu.
func (s *Picker) candidate(now time.Time, c *pass.Call, tried sets.Set[string]) (candidate, time.Time, *fault.Error) {
	freeAt := s.exclude(now, c, tried)
	if c.Trial {
		s.excludeAllButLeastBusy(c)
	}
	req := choose.Request{
		Model: callModelKey(c), PromptTokens: c.PromptTokens, AnswerTokens: c.MaxTokens, Tried: s.excluded,
	}
	id, ok := s.choose(now, c, req)
	if !ok {
		retryAfter := retryAfterNoServer
		if !freeAt.IsZero() {
			retryAfter = min(max(freeAt.Sub(now), minRetryAfter), maxRetryAfter)
		}
		return candidate{}, freeAt, fault.New(fault.NoBackend, fault.NotRun, "no backend server is open for the request").WithRetryAfter(retryAfter)
	}
	est := s.estimate(c, id, now, req)
	return candidate{server: s.servers[s.table.Name(id)], request: req, estimate: est}, time.Time{}, nil
}

// reserve reserves a slot on a server for a call. The caller must hold mu.
func (s *Picker) reserve(now time.Time, c *pass.Call, cand candidate, onSilent context.CancelCauseFunc) *reservation {
	sv, est := cand.server, cand.estimate
	sv.recentSends.Add(now)
	s.cfg.Rates.Sent(now, sv.process())
	s.watch.RecordTrial(now, sv.entry.ID)
	res := &reservation{selection: sv.selection(now, est), picker: s, server: sv, entry: sv.entry, sendID: s.recordSend(now, c, cand), sentAt: now, promptTokens: c.PromptTokens, expectedFirstByte: est, onSilent: onSilent, repeatable: c.Route.Repeatable(), last: c.LastAttempt, answering: c.Answering, resumable: c.Route.Resumable}
	sv.reservations[res] = struct{}{}
	if l := s.lines[sv.modelKey]; l != nil {
		res.line = l
		if c.Route.Kind == match.Stream {
			// Other responses begin when the work is done, whose time tells nothing of how long the request waited.
			res.objective = c.Route.Objective
		}
		l.queue.RequestSent()
	}
	return res
}

func (s *Picker) recordSend(now time.Time, c *pass.Call, cand candidate) uint64 {
	if c.Prioritized {
		return s.aged.RecordSend(s.table, cand.server.tableIndex, now, cand.request)
	}
	return s.table.RecordSend(cand.server.tableIndex, now, cand.request)
}

// A server that names a rate is preferred if its response would start within soonShare of the latency objective, or within
// pacedShare of it after that of the best server. Its known load is old, as it gets few requests.
const (
	pacedShare = 0.125
	soonShare  = 0.5
)

// choose returns the table index of the server for a call, false if there is none. Servers that name a rate go first: in a large
// fleet, only a few nodes may send to such a server at a time, so that it would hardly be used if they sent it no more than to
// any other.
func (s *Picker) choose(now time.Time, c *pass.Call, req choose.Request) (int, bool) {
	chooser := s.chooser
	if c.Prioritized {
		chooser = s.aged
	}
	id, ok := chooser.Choose(s.table, now, req)
	if !ok || len(s.paced) == 0 {
		return id, ok
	}
	best := s.estimate(c, id, now, req)
	objective := float64(c.Route.Objective)
	limit := max(best+time.Duration(pacedShare*objective), time.Duration(soonShare*objective))
	for _, sv := range s.paced {
		if slices.Contains(s.excluded, sv.tableIndex) {
			continue
		}
		if est, ok := s.table.Estimate(sv.tableIndex, now, req); ok && sv.modelKey == req.Model && est <= limit {
			id, limit = sv.tableIndex, est
		}
	}
	return id, true
}

// estimate returns the expected time to the first byte on a server that was chosen for a call.
func (s *Picker) estimate(c *pass.Call, id int, now time.Time, req choose.Request) time.Duration {
	estimate := s.table.Estimate
	if c.Prioritized {
		estimate = func(id int, now time.Time, r choose.Request) (time.Duration, bool) {
			return s.aged.Estimate(s.table, id, now, r)
		}
	}
	est, _ := estimate(id, now, req)
	return est
}

// checkWait refuses a streaming call if even the best server would start its response too late. A call that would miss
// the latency objective is still served if it is a retry by the caller or by a node, unless its response would
// start after the deadline.
func checkWait(now time.Time, c *pass.Call, estimate time.Duration, retried bool) *fault.Error {
	if c.Route.Kind != match.Stream {
		return nil
	}
	refuse := func(message string, late time.Duration) *fault.Error {
		return fault.New(fault.Overloaded, fault.NotRun, message).WithRetryAfter(min(max(late, minRetryAfter), maxRetryAfter))
	}
	startsAt := now.Add(estimate)
	if late := startsAt.Sub(c.Deadline); late > 0 {
		return refuse("no backend server can answer in the time left", late)
	}
	if late := startsAt.Sub(c.Arrived.Add(c.Route.Objective)); late > 0 && !retried && !c.IsCallerRetry() {
		return refuse("all backend servers are busy", late)
	}
	return nil
}

// exclude collects the servers that must not be chosen now in s.excluded, and returns when the first of them becomes
// available, zero if unknown.
func (s *Picker) exclude(now time.Time, c *pass.Call, tried sets.Set[string]) time.Time {
	s.excluded, s.paced = s.excluded[:0], s.paced[:0]
	for name := range tried {
		if id, ok := s.table.Index(name); ok {
			s.excluded = append(s.excluded, id)
		}
	}
	var earliest time.Time
	for name, sv := range s.servers {
		if tried.Has(name) || sv.entry.Service != c.Service.Name {
			continue
		}
		s.updateRate(now, sv)
		excluded, at := s.isExcluded(now, sv, c.Service)
		if !excluded {
			if sv.namesRate {
				s.paced = append(s.paced, sv)
			}
			continue
		}
		s.excluded = append(s.excluded, sv.tableIndex)
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// updateRate records whether a server names a rate. At the end of a rate, the nodes know little of the load of the server, as few
// have sent it requests, and would all choose it if it counted as idle.
func (s *Picker) updateRate(now time.Time, sv *server) {
	names := s.cfg.Rates.Names(sv.process())
	if sv.namesRate && !names {
		// The reports that the average is of count the requests whose responses carried them, which have ended at the others.
		s.assumeLoad(now, sv, max(0, s.averageLoad[sv.modelKey].rounded()-1))
	}
	sv.namesRate = names
}

// assumeLoad sets the number of requests that a server is taken to run.
func (s *Picker) assumeLoad(now time.Time, sv *server, running int) {
	s.table.ApplyReport(sv.tableIndex, choose.Report{Instance: sv.entry.ID, Open: true, Running: running, CreatedAt: now})
}

// excludeAllButLeastBusy adds all servers that could be chosen for a call to s.excluded except the one that runs the
// fewest requests, as far as this node knows.
func (s *Picker) excludeAllButLeastBusy(c *pass.Call) {
	var least *server
	for _, sv := range s.servers {
		if sv.modelKey != callModelKey(c) || slices.Contains(s.excluded, sv.tableIndex) {
			continue
		}
		if least != nil && least.busy() <= sv.busy() {
			sv, least = least, sv
		}
		if least != nil {
			s.excluded = append(s.excluded, least.tableIndex)
		}
		least = sv
	}
}

// isExcluded reports whether a server must not be chosen now, and when it becomes available, zero if unknown.
func (s *Picker) isExcluded(now time.Time, sv *server, svc *match.Service) (bool, time.Time) {
	if blocked, until := s.notices.blocks(now, sv.entry); blocked {
		return true, until
	}
	if now.Before(sv.refusedUntil) || s.watch.Stalled(now, sv.entry.ID) {
		return true, time.Time{}
	}
	if at, ok := s.cfg.Rates.Room(now, sv.process()); !ok || at.After(now) {
		return true, at
	}
	if !sv.cold(now) {
		return false, time.Time{}
	}
	allowedAt := sv.entry.ColdUntil
	if limit := s.cfg.ColdAllowance(sv.entry.ID, svc.ColdRate); limit > 0 {
		allowedAt = sv.recentSends.Room(now, limit)
	}
	return allowedAt.After(now), allowedAt
}

// callModelKey returns the model key of a call. The servers of a service without an engine are interchangeable, so
// the model is ignored.
func callModelKey(c *pass.Call) string {
	if c.Service.Engine == nil {
		return modelKey(c.Service.Name, "")
	}
	return modelKey(c.Service.Name, c.Model)
}

// modelKey returns the key by which the chooser groups interchangeable servers.
func modelKey(service, model string) string { return service + "/" + model }

// sync applies a new view of the registry. The caller must hold mu.
func (s *Picker) sync(now time.Time) {
	v := s.cfg.View()
	if v == s.view {
		return
	}
	s.view = v
	s.notices.expire(now, v)
	s.table.SetPeerSends(float64(min(max(0, s.cfg.Nodes()-1), maxPeerSends)))
	present := sets.New[string]()
	for key, groups := range v.OpenGroups {
		for _, g := range groups {
			if v.Usable(g.Head) {
				s.upsert(now, g.Head, s.groupSpec(key))
				present.Add(g.Head.ID)
			}
		}
	}
	for name, list := range v.Services {
		for _, e := range list {
			if e.Domain == "" && v.Usable(e) {
				s.upsert(now, e, choose.Spec{Model: modelKey(name, "")})
				present.Add(e.ID)
			}
		}
	}
	for id, sv := range s.servers {
		if present.Has(id) {
			continue
		}
		s.remove(now, id, sv)
	}
}

// groupSpec returns the chooser specification of the groups of a model.
func (s *Picker) groupSpec(k index.ModelKey) choose.Spec {
	out := choose.Spec{Model: modelKey(k.Service, k.Model)}
	svc := s.cfg.Service(k.Service)
	if svc == nil || svc.Engine == nil || svc.Engine.PrefillRate <= 0 {
		return out
	}
	e := svc.Engine
	m, ok := e.Model(k.Model)
	if !ok {
		m = batch.Model{TimeFactor: 1}
	}
	out.PrefillPerToken = time.Duration(m.TimeFactor / e.PrefillRate * float64(time.Second))
	step := e.StepTime(e.MaxRequests, e.MaxRequests*(e.MeanPromptTokens+e.MeanAnswerTokens/2))
	out.SlotTime = time.Duration(m.TimeFactor * float64(e.MeanAnswerTokens) * float64(step))
	return out
}

// upsert adds or updates a server.
func (s *Picker) upsert(now time.Time, e *index.Entry, spec choose.Spec) {
	sv, ok := s.servers[e.ID]
	if ok && (!sv.entry.SameProcess(e.Info) || sv.entry.Address != e.Address || sv.entry.Member.Epoch != e.Member.Epoch) {
		s.remove(now, e.ID, sv)
		ok = false
	}
	if !ok {
		sv = newServer(e, s.cfg)
		s.servers[e.ID] = sv
	}
	sv.entry = e
	spec.Name, spec.WarmRequests, spec.ColdRequests = e.ID, e.Slots, e.Slots
	sv.tableIndex = s.table.Put(spec)
	sv.modelKey = spec.Model
	if !ok {
		// Assume the average load for a new server. If it counted as idle, all nodes would send their requests to a group
		// that has just opened, and to every server that has not yet reported its load to them.
		s.assumeLoad(now, sv, s.averageLoad[spec.Model].rounded())
	}
}

// remove removes a server. Requests that it still runs keep their connections: a server that shuts down gracefully, or the head of
// a group that closes, may finish its responses.
func (s *Picker) remove(now time.Time, id string, sv *server) {
	s.table.Remove(id)
	s.watch.Remove(id)
	sv.removed = true
	sv.conns.Close()
	delete(s.servers, id)
	if len(sv.reservations) > 0 {
		s.departed[sv] = now
	}
}

// settle moves the learned slowness of servers without recent reports towards normal, so that they are tried again.
func (s *Picker) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.DecaySlowdowns(s.cfg.Now())
}

// checkStalls detects stalled servers and reports them to their attempts that another one may replace.
func (s *Picker) checkStalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if s.skipsCheck(now) {
		return
	}
	var overdue []*server
	for name, sv := range s.servers {
		if sv.missesFirstByte(now, s.watch.SilenceLimit(name, s.passTime(sv))) && !s.watch.Stalled(now, name) {
			overdue = append(overdue, sv)
		}
	}
	passTime := func(name string) time.Duration {
		if sv, ok := s.servers[name]; ok {
			return s.passTime(sv)
		}
		return 0
	}
	silent := s.watch.Silent(now, passTime)
	if len(overdue)+len(silent) > 0 && !s.cfg.Links.Silent() {
		s.withdraw(overdue, silent)
		return
	}
	for _, sv := range overdue {
		s.watch.MarkStalled(now, sv.entry.ID)
		s.reportStall(now, sv, "no_answer")
	}
	s.checkDeparted(now)
	s.repeatReports(now)
	for _, name := range s.watch.Check(now, passTime) {
		if sv, ok := s.servers[name]; ok {
			s.reportStall(now, sv, "streams_silent")
		}
	}
}

// withdraw reports silent servers to their repeatable attempts if this node is isolated, so that others can be made through
// another node. Nothing follows from the silence about the servers.
func (s *Picker) withdraw(overdue []*server, silent []string) {
	if !s.cfg.Links.Isolated() {
		return
	}
	for _, name := range silent {
		if sv, ok := s.servers[name]; ok {
			overdue = append(overdue, sv)
		}
	}
	n := 0
	for _, sv := range overdue {
		n += sv.reportSilent()
	}
	if n > 0 {
		s.cfg.Log.Info("withdrew attempts on servers that this node does not reach", "servers", len(overdue), "withdrawn", n)
	}
}

// LinksRestored forgets the servers that are held back because this node did not reach them.
func (s *Picker) LinksRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Clear()
	for _, sv := range s.servers {
		sv.refusedUntil = time.Time{}
	}
}

// skipsCheck reports whether a check for stalled servers must be skipped because this process has not run for a while: the
// servers may have sent data that it has not read yet. The caller must hold mu.
func (s *Picker) skipsCheck(now time.Time) bool {
	elapsed := now.Sub(s.lastCheck)
	late := !s.lastCheck.IsZero() && elapsed > maxCheckInterval
	s.lastCheck = now
	if late {
		s.discount(now, elapsed-stallCheckInterval)
		if s.lateSince.IsZero() {
			s.lateSince = now
		}
		s.skipUntil = now.Add(catchUpTime)
	}
	if now.Before(s.skipUntil) && now.Sub(s.lateSince) < maxCatchUpTime {
		return true
	}
	s.lateSince, s.skipUntil = time.Time{}, time.Time{}
	return false
}

// discount leaves a time in which this process was not scheduled out of the silence of all servers. The caller must hold mu.
func (s *Picker) discount(now time.Time, d time.Duration) {
	s.watch.Discount(now, d)
	for _, sv := range s.servers {
		sv.discount(d)
	}
	for sv := range s.departed {
		sv.discount(d)
	}
}

// checkDeparted reports departed servers that make no progress.
func (s *Picker) checkDeparted(now time.Time) {
	for sv, since := range s.departed {
		if len(sv.reservations) == 0 {
			delete(s.departed, sv)
			continue
		}
		if e, ok := s.view.Servers[sv.entry.ID]; ok && !sv.entry.Member.InGroup() && e.SameProcess(sv.entry.Info) {
			s.departed[sv] = now // It lives, and sends nothing before its answers.
			continue
		}
		silent := min(now.Sub(since), sv.silence(now))
		if sv.reportedAt.IsZero() && silent >= s.watch.UnknownSilenceLimit(s.passTime(sv)) {
			s.reportStall(now, sv, "departed")
		}
	}
}

// repeatReports reports again the servers that have made no progress since they were reported: other servers may be able to
// take their requests by now.
func (s *Picker) repeatReports(now time.Time) {
	repeat := func(sv *server) {
		switch {
		case sv.reportedAt.IsZero():
		case sv.progress.After(sv.reportedAt):
			sv.reportedAt = time.Time{}
		case now.Sub(sv.reportedAt) >= reportAgainAfter:
			sv.reportedAt = now
			silence := s.watch.UnknownSilenceLimit(s.passTime(sv))
			sv.reportSilentIf(func(r *reservation) bool { return r.firstByte > 0 || r.missesFirstByte(now, silence) })
		}
	}
	for _, sv := range s.servers {
		repeat(sv)
	}
	for sv := range s.departed {
		repeat(sv)
	}
}

// passTime returns the maximum duration of an engine pass of a server, after which each of its requests gets its next
// event. The prompts of other nodes are unknown and assumed to equal those of this node.
func (s *Picker) passTime(sv *server) time.Duration {
	svc := s.cfg.Service(sv.entry.Service)
	if svc == nil || svc.Engine == nil {
		return 0
	}
	e := svc.Engine
	pace := 1.0
	if m, ok := e.Model(sv.entry.Model); ok {
		pace = m.TimeFactor
	}
	prompts := 0
	for r := range sv.reservations {
		if r.firstByte == 0 {
			prompts += r.promptTokens
		}
	}
	pass := e.PassTime(e.MaxRequests, e.MaxRequests*(e.MeanPromptTokens+e.MeanAnswerTokens/2), prompts*s.cfg.Nodes())
	return time.Duration(pace * float64(pass))
}

// refusedHold is how long a server that refused a connection gets no requests, unless another process registers in its
// place. The registry lists a server that has crashed for some heartbeats.
const refusedHold = 500 * time.Millisecond

// holdRefused excludes a server that refused a connection for refusedHold, and reports its group.
func (s *Picker) holdRefused(now time.Time, sv *server) {
	if sv.removed || now.Before(sv.refusedUntil) {
		return
	}
	sv.refusedUntil = now.Add(refusedHold)
	if s.cfg.Links.Isolated() {
		return
	}
	s.cfg.Metrics.Stalled("refused")
	s.cfg.Log.Info("server refused a connection, choosing others", "server", sv.entry.ID, "group", sv.entry.Member.Group, "epoch", sv.entry.Member.Epoch)
	if m := sv.entry.Member; m.InGroup() {
		s.cfg.OnStalled(index.Formation{Group: m.Group, Epoch: m.Epoch})
	}
}

// reportStall reports a stalled server to its repeatable attempts, and its group to the keeper.
func (s *Picker) reportStall(now time.Time, sv *server, reason string) {
	sv.reportedAt = now
	s.cfg.Metrics.Stalled(reason)
	s.cfg.Log.Warn("server makes no progress", "server", sv.entry.ID, "reason", reason, "withdrawn", sv.reportSilent(), "running", len(sv.reservations),
		"silent_ms", now.Sub(sv.progress).Milliseconds())
	if m := sv.entry.Member; m.InGroup() {
		s.cfg.OnStalled(index.Formation{Group: m.Group, Epoch: m.Epoch})
	}
}
