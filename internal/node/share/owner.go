package share

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/budget"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// Times and bounds of the owner's side.
const (
	// stepInterval is how often duties, routes and expired asks are looked at.
	stepInterval = 100 * time.Millisecond
	pollInterval = 500 * time.Millisecond
	// pollTimeout is below the report age of 3 s by enough for another try.
	pollTimeout = time.Second
	// maxPolls bounds the polls that run at once, for a node that owns all 600 servers for a while.
	maxPolls       = 64
	digestInterval = time.Second
	releaseRetry   = time.Second
	senders        = 4
)

// Run works until ctx ends.
func (s *Shares) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	polls := semaphore.NewWeighted(maxPolls)
	g.Go("shares", func(ctx context.Context) error {
		t := time.NewTicker(stepInterval)
		defer t.Stop()
		for {
			s.step(g, polls)
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
		}
	})
	for range senders {
		g.Go("releases", s.sendReleases)
	}
	g.Go("release retries", s.retryReleases)
	if err := g.Wait(); err != nil {
		return errors.Newf("shared budgets: %w", err)
	}
	return nil
}

func (s *Shares) step(g *tasks.Group, polls *semaphore.Weighted) {
	now := time.Now()
	s.configure(now)
	s.syncTenures(now)
	watchers := s.watchers()
	for _, o := range s.all() {
		s.pollIfDue(g, polls, o, now)
		s.digestIfDue(o, now, watchers[o.name])
	}
	s.closeRoutes(now)
	s.holdMu.Lock()
	defer s.holdMu.Unlock()
	for _, r := range s.hold.Expire(now) {
		s.queue(r)
	}
}

// syncTenures brings the owners in line with the duties that the node holds.
func (s *Shares) syncTenures(now time.Time) {
	tenures := make(map[string]budget.Tenure)
	lost := make(map[string]bool)
	for _, t := range s.deps.Leases.Tenures() {
		if !strings.HasPrefix(t.Duty, dutyPrefix) {
			// Duties of other kinds have users of their own.
			continue
		}
		if t.Lost {
			lost[t.Duty] = true
			continue
		}
		bt := budget.Tenure{Fence: t.Fence, Depth: t.Depth, Retaken: t.Retaken, Clean: t.Clean}
		for _, e := range t.Earlier {
			bt.Earlier = append(bt.Earlier, budget.EarlierHolder{ID: e.Node + "/" + e.Incarnation, Depth: e.Depth})
		}
		tenures[t.Duty] = bt
	}
	idle := make(map[string]bool, len(lost))
	for d := range lost {
		idle[d] = true
	}
	for _, o := range s.all() {
		t, held := tenures[o.duty]
		if !o.sync(now, t, held) {
			idle[o.duty] = false
		}
	}
	for d := range lost {
		if idle[d] {
			s.deps.Leases.Consent(d)
		}
	}
	if d, ok := s.deps.Leases.Wants(dutyPrefix); ok {
		s.Yield(d)
	}
}

// sync applies a tenure, or the lack of one, and reports whether no own grant is out.
func (o *owned) sync(now time.Time, t budget.Tenure, held bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !held:
		o.owner.Lose()
	case o.owner.Fence() != t.Fence:
		o.owner.Take(now, t)
	default:
		o.owner.Update(now, t)
	}
	return o.owner.Idle()
}

// Yield stops granting under a duty and releases it. Draining nodes yield every duty they hold.
func (s *Shares) Yield(duty string) {
	clean := true
	for _, o := range s.all() {
		if o.duty != duty {
			continue
		}
		o.mu.Lock()
		o.owner.Lose()
		clean = clean && o.owner.Clean()
		o.mu.Unlock()
	}
	s.deps.Leases.Yield(duty, clean)
}

// pollIfDue starts a poll of a server that the node owns or still has grants out for. Polls of one
// server don't overlap, so that its reports are taken in order.
func (s *Shares) pollIfDue(g *tasks.Group, polls *semaphore.Weighted, o *owned, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.polling || now.Before(o.pollAt) || (!o.owner.Owning() && o.owner.Idle()) || !polls.TryAcquire(1) {
		return
	}
	o.polling = true
	o.pollAt = now.Add(pollInterval*9/10 + rand.N(pollInterval/5)) //nolint:gosec // Jitter needs no secret.
	srv := o.server
	g.Go("poll "+o.name, func(ctx context.Context) error {
		defer polls.Release(1)
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		sent := time.Now()
		r, err := s.deps.Load(ctx, srv)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.polling = false
		if err != nil {
			s.deps.Log.Debug("poll failed", "backend_server", o.name, "error", err)
			s.judged(o, RouteChange{Open: time.Now().Before(o.openUntil), Reason: RouteNoReport})
			return nil
		}
		s.judged(o, o.take(sent, time.Now(), r))
		return nil
	})
}

// ageUnit is the resolution of ages in reports; the true age may be greater by up to one unit.
const ageUnit = time.Millisecond

// take applies a report and returns what it makes of the route. mu is held.
func (o *owned) take(sent, now time.Time, r engine.Report) RouteChange {
	age := time.Duration(r.AgeMs)*time.Millisecond + ageUnit
	c, oldest := o.judge(r)
	complete := c.Open
	o.report = r
	o.made = sent.Add(-age - oldest)
	o.openUntil = time.Time{}
	if complete {
		o.openUntil = o.made.Add(budget.DefaultReportAge)
	}
	o.owner.Report(sent, now, budget.Report{
		Instance: r.Instance, State: stateOf(r.State), Running: r.Running + r.Waiting, Age: age, Open: complete,
	})
	return c
}

// judge opens the route when every host of the configured group has reported the group and one
// generation. The second result is the age of the oldest of these reports relative to the load report.
func (o *owned) judge(r engine.Report) (RouteChange, time.Duration) {
	members := make(map[string]engine.Member, len(r.Members))
	for _, m := range r.Members {
		members[m.Host] = m
	}
	var oldest time.Duration
	for _, h := range o.server.Hosts {
		m, ok := members[h]
		switch {
		case !ok:
			return RouteChange{Reason: RouteMemberMissing, Host: h}, 0
		case m.Group != o.server.Name:
			return RouteChange{Reason: RouteOtherGroup, Host: h}, 0
		case m.Generation != r.Members[0].Generation:
			return RouteChange{Reason: RouteOtherGeneration, Host: h}, 0
		}
		oldest = max(oldest, time.Duration(m.AgeMs)*time.Millisecond)
	}
	return RouteChange{Open: len(o.server.Hosts) > 0, Reason: RouteComplete}, oldest
}

// digest describes the server as the owner knows it. mu is held.
func (o *owned) digest(now time.Time, valid bool) *frame.LoadDigest {
	free := 0
	if o.owner.Ready(now) == budget.Granted {
		free = o.owner.Available(now, valid).Requests
	}
	return &frame.LoadDigest{
		Server: o.name, Inst: o.report.Instance, State: string(o.report.State), Run: o.report.Running,
		Wait: o.report.Waiting, Held: o.report.TokensHeld, Cap: o.report.TokenCapacity, Free: free,
		Open: now.Before(o.openUntil), AgeMs: int(now.Sub(o.made).Milliseconds()),
	}
}

// HandleAsk answers an ask of the process with the given incarnation, which the hello of its link
// named.
func (s *Shares) HandleAsk(incarnation string, a frame.GrantAsk) frame.GrantReply {
	o, ok := s.find(a.Server)
	if !ok || a.Tokens < 0 {
		return frame.GrantReply{Id: a.Id, Status: frame.GrantReplyStatusNotOwner}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	valid := s.deps.Leases.Holds(o.duty, o.owner.Fence())
	rep := budget.Reply{Status: budget.Closed}
	if now.Before(o.openUntil) || !o.owner.Owning() {
		key := budget.Key{Holder: incarnation, ID: uint64(a.Id)} //nolint:gosec // Any number names a grant.
		rep = o.owner.Ask(now, valid, budget.Ask{Key: key, Tokens: a.Tokens})
	}
	out := frame.GrantReply{Id: a.Id, Status: statuses[rep.Status]}
	if rep.Status == budget.NotOwner {
		return out
	}
	out.Load = o.digest(now, valid)
	out.Fence = int(o.owner.Fence()) //nolint:gosec // Counts up from 1.
	if rep.Status == budget.Granted {
		out.Inst, out.TtlMs = rep.Instance, int(rep.TTL.Milliseconds())
	}
	return out
}

// HandleRelease takes a release of the process with the given incarnation. It can be repeated.
func (s *Shares) HandleRelease(incarnation string, r frame.GrantRelease) {
	o, ok := s.find(r.Server)
	if !ok {
		return
	}
	end := budget.Unsure
	switch r.Proof {
	case proofEnded:
		end = budget.Ended
	case proofUnused:
		end = budget.Unused
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner.Release(time.Now(), budget.Release{
		Key: budget.Key{Holder: incarnation, ID: uint64(r.Id)}, End: end, //nolint:gosec // Any number names a grant.
		Instance: r.Inst, State: stateOf(engine.State(r.State)),
	})
}
